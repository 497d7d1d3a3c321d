//! The order among candidates.

use crate::interface::ServerId;

/// Chance among equals, the least first: each comes first as often as its weight says.
fn drawn((chance, weight): (u32, f64)) -> f64 {
    -(1.0 - (f64::from(chance) + 0.5) / 2f64.powi(32)).ln() / weight
}

/// How a candidate ranks: whether it failed or did not answer, its class, its measure, and chance.
pub(super) type Rank = (bool, u8, f64, (u32, f64), ServerId);

pub(super) fn ranked(mut found: Vec<Rank>) -> Vec<ServerId> {
    let by_chance = |a: &Rank, b: &Rank| drawn(a.3).total_cmp(&drawn(b.3));
    found.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then_with(|| by_chance(a, b)));
    found.into_iter().map(|rank| rank.4).collect()
}
