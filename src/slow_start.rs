//! Slow start: counts the calls that a warm server of a role has recently served as tokens in buckets, from which
//! choices draw what they may send to cold servers. The decision module applies the draws. docs/design/slow-start.md
//! shows why the sum over all processes keeps a cold server's budget without knowing how many processes there are.

use std::collections::BTreeMap;

use crate::interface::{CellId, Micros, Rules, ServerEntry};
use crate::pace::DecayedSums;

/// The fraction of one choice that a process may draw before it has seen any call served. Of hundreds of processes that
/// start at once none knows the load, which may then be twice what the fleet can serve.
const INITIAL_ALLOWANCE: f64 = 0.5;
/// The fraction of one choice that each new request adds, so that a fleet that has not served anything yet is tried at
/// all. Retries add nothing, because refused requests arrive several times.
const ALLOWANCE_PER_REQUEST: f64 = 1.0 / 16.0;
/// Half-life of the tokens that are not drawn, as a fraction of the window. It gives a mean life of half the window.
const HALF_LIFE_FRACTION: f64 = 0.5 * std::f64::consts::LN_2;
/// The fraction of a cold writer's budget that is for prompts read in other cells; the rest is for its own cell.
const FAR_BUDGET_FRACTION: f64 = 0.25;

/// Returns the fraction of its capacity that a server is sure to have, by the time since its start.
pub fn warmth(now: Micros, rules: &Rules, entry: &ServerEntry) -> f64 {
    match entry.started {
        Some(at) if now < at + rules.warm_up => {
            let part = now.saturating_sub(at) as f64 / rules.warm_up as f64;
            rules.cold_from + (1.0 - rules.cold_from) * part
        }
        _ => 1.0,
    }
}

/// The token bucket of all choices, or of those after a read in one cell.
#[derive(Clone, Copy, Default)]
struct Bucket {
    tokens: f64,
    /// The value of [`SlowStart::earned_tokens`] when the bucket was last updated.
    earned_at_update: f64,
}

/// How much of a choice may go to cold servers, as a factor on their even share.
#[derive(Clone, Copy, Default)]
pub struct Draw {
    /// For servers in the cell of the read.
    pub near: f64,
    /// For all other servers.
    pub far: f64,
}

/// The servers of one role, and what the cold ones among them may be sent. A token is one call at one warm server.
pub struct SlowStart {
    rules: Rules,
    /// A cold server may be sent this multiple of its present capacity.
    budget_multiple: f64,
    /// The sum of the weights of all listed servers.
    listed_weight: f64,
    /// The sum of their weights times their warmth, by which a served call is converted to tokens.
    warm_weight: f64,
    /// The same sum over the cold servers that take work, by cell.
    cold_weight_by_cell: BTreeMap<CellId, f64>,
    /// All tokens earned since the start of the process.
    earned_tokens: f64,
    /// Tokens recently earned by served calls, which limit what a bucket can hold.
    recent_tokens: DecayedSums,
    buckets: BTreeMap<Option<CellId>, Bucket>,
}

impl SlowStart {
    /// Creates the state for one role. A cold server may be sent `budget_fraction` of the load that makes it fall
    /// over.
    pub fn new(rules: &Rules, budget_fraction: f64) -> Self {
        SlowStart {
            rules: *rules,
            budget_multiple: budget_fraction * rules.fall_multiple,
            listed_weight: 0.0,
            warm_weight: 0.0,
            cold_weight_by_cell: BTreeMap::new(),
            earned_tokens: 0.0,
            recent_tokens: DecayedSums::default(),
            buckets: BTreeMap::new(),
        }
    }

    /// Replaces the list of servers, each with its weight relative to the mean.
    pub fn set_servers(&mut self, now: Micros, servers: impl Iterator<Item = (ServerEntry, f64)>) {
        (self.listed_weight, self.warm_weight) = (0.0, 0.0);
        self.cold_weight_by_cell.clear();
        for (entry, weight) in servers {
            let warmth = warmth(now, &self.rules, &entry);
            let cold_weight = self.cold_weight_by_cell.entry(entry.cell).or_default();
            *cold_weight += if warmth < 1.0 && entry.takes_work() { warmth * weight } else { 0.0 };
            (self.listed_weight, self.warm_weight) =
                (self.listed_weight + weight, self.warm_weight + warmth * weight);
        }
        self.buckets.retain(|cell, _| cell.is_none_or(|cell| self.cold_weight_by_cell.contains_key(&cell)));
    }

    /// Records the calls that a server has served (it has read a prompt or begun an answer); 0 only decays the sums.
    pub fn record_served(&mut self, now: Micros, calls: f64) {
        let tokens = if self.warm_weight > 0.0 { calls / self.warm_weight } else { 0.0 };
        self.recent_tokens.decay_with(now, self.rules.fall_after as f64 * HALF_LIFE_FRACTION);
        self.recent_tokens.work += tokens;
        self.earned_tokens += tokens;
    }

    /// Records the arrival of a request that is not a client's retry.
    pub fn record_arrival(&mut self) {
        self.earned_tokens += ALLOWANCE_PER_REQUEST / self.listed_weight.max(1.0);
    }

    /// Draws tokens for one choice. A choice after a read gives the cell of the read and that cell's fraction of all
    /// readers.
    pub fn draw(&mut self, now: Micros, read_cell: Option<(CellId, f64)>) -> Draw {
        self.recent_tokens.decay_with(now, self.rules.fall_after as f64 * HALF_LIFE_FRACTION);
        let far = self.take_tokens(None, 1.0, if read_cell.is_some() { FAR_BUDGET_FRACTION } else { 1.0 });
        match read_cell {
            Some((cell, share_of_choices)) => Draw {
                near: self.take_tokens(
                    Some(cell),
                    share_of_choices,
                    if share_of_choices < 1.0 { 1.0 - FAR_BUDGET_FRACTION } else { 1.0 },
                ),
                far,
            },
            None => Draw { near: far, far },
        }
    }

    /// Takes the tokens for one choice from the bucket of a cell, or of all cells, as far as there are enough.
    /// `share_of_choices` is the fraction of all choices that draw from this bucket, and `budget_fraction` the
    /// fraction of a cold server's budget that the bucket is for.
    fn take_tokens(&mut self, cell: Option<CellId>, share_of_choices: f64, budget_fraction: f64) -> f64 {
        let choice_tokens = 1.0 / (self.listed_weight.max(1.0) * share_of_choices);
        let cold_weight = match cell {
            Some(cell) => self.cold_weight_by_cell.get(&cell).copied().unwrap_or(0.0),
            None => self.cold_weight_by_cell.values().sum(),
        };
        let bucket = self
            .buckets
            .entry(cell)
            .or_insert(Bucket { tokens: INITIAL_ALLOWANCE * choice_tokens, earned_at_update: 0.0 });
        let capacity = self.recent_tokens.work.max(INITIAL_ALLOWANCE * choice_tokens);
        let tokens = (bucket.tokens + self.earned_tokens - bucket.earned_at_update).min(capacity);
        let taken = tokens.min(choice_tokens);
        // A choice sends to one server, even if it is in the share of several, so fewer tokens are used.
        let expected_sends = self.budget_multiple * budget_fraction * cold_weight * taken;
        let used = if expected_sends > 0.0 { -(-expected_sends).exp_m1() / expected_sends } else { 0.0 };
        (bucket.tokens, bucket.earned_at_update) = (tokens - used * taken, self.earned_tokens);
        budget_fraction * taken * self.listed_weight.max(1.0)
    }

    /// Returns the share of choices with this draw that go to a server with the capacity of a mean warm one.
    pub fn share_of_draw(&self, draw: f64) -> f64 {
        self.budget_multiple * draw / self.listed_weight.max(1.0)
    }
}
