//! The order of candidates in a choice.

use crate::interface::ServerId;

/// Returns the sort key that orders equal candidates at random, lowest first, so that each is first with a probability
/// proportional to its weight.
fn weighted_draw((chance, weight): (u32, f64)) -> f64 {
    -(1.0 - (f64::from(chance) + 0.5) / 2f64.powi(32)).ln() / weight
}

/// The rank of a candidate: whether it is avoided, its class, its measure, a random number with its weight, and its
/// id. Lower is better.
pub(super) type Rank = (bool, u8, f64, (u32, f64), ServerId);

/// Returns the candidates in order of rank, best first.
pub(super) fn rank_candidates(mut candidates: Vec<Rank>) -> Vec<ServerId> {
    let by_draw = |a: &Rank, b: &Rank| weighted_draw(a.3).total_cmp(&weighted_draw(b.3));
    candidates
        .sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then_with(|| by_draw(a, b)));
    candidates.into_iter().map(|rank| rank.4).collect()
}
