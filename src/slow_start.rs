//! What a warm server of a role has borne of late, as token buckets from which choices draw: a data structure below
//! the module. What is done with a draw stands there; why the sum over all processes holds, without knowing how many
//! there are: docs/design/slow-start.md.

use std::collections::BTreeMap;

use crate::interface::{CellId, Micros, Rules, ServerEntry};
use crate::pace::Pace;

/// Part of one choice that a process may draw before it has seen any call borne: of hundreds that start at once
/// each knows nothing, and what comes then may be twice what the fleet does.
const FIRST: f64 = 0.5;
/// Part of one choice that each new request adds, so that a fleet of which nothing has served yet is tried at all.
/// Tries again add nothing: what is refused comes several times.
const TRICKLE: f64 = 1.0 / 16.0;
/// Half-life of what was not drawn, as a part of the window: a mean life of half the window.
const KEPT: f64 = 0.5 * std::f64::consts::LN_2;
/// Part of a cold writer's budget that is for what was read in other cells; the rest is for its own.
const FAR: f64 = 0.25;

/// Share of its capacity that a server surely has, by the time since its start.
pub fn warmth(now: Micros, rules: &Rules, entry: &ServerEntry) -> f64 {
    match entry.started {
        Some(at) if now < at + rules.warm_up => {
            let part = now.saturating_sub(at) as f64 / rules.warm_up as f64;
            rules.cold_from + (1.0 - rules.cold_from) * part
        }
        _ => 1.0,
    }
}

/// Tokens of all choices, or of those of a cell, and how much had been earned when they were last seen to.
#[derive(Clone, Copy, Default)]
struct Bucket {
    tokens: f64,
    seen: f64,
}

/// How much of a choice may go to cold servers: a factor on their even part.
#[derive(Clone, Copy, Default)]
pub struct Draw {
    /// For those of the cell of the read.
    pub near: f64,
    /// For all others.
    pub far: f64,
}

/// The servers of one role, and what cold ones among them may be sent. A token is a call of one warm server.
pub struct SlowStart {
    rules: Rules,
    /// A cold server gets so many times what it bears.
    most: f64,
    /// Weights of all that are listed.
    listed: f64,
    /// The same times their warmth: a call that is borne came to one of these.
    whole: f64,
    /// The same of the cold ones that take work, by cell.
    cold: BTreeMap<CellId, f64>,
    /// Tokens since the start.
    earned: f64,
    borne: Pace,
    buckets: BTreeMap<Option<CellId>, Bucket>,
}

impl SlowStart {
    /// A cold server may be sent this part of what makes it fall.
    pub fn new(rules: &Rules, part: f64) -> Self {
        SlowStart {
            rules: *rules,
            most: part * rules.fall_multiple,
            listed: 0.0,
            whole: 0.0,
            cold: BTreeMap::new(),
            earned: 0.0,
            borne: Pace::default(),
            buckets: BTreeMap::new(),
        }
    }

    /// Counts all servers anew, each with its weight against the mean.
    pub fn count(&mut self, now: Micros, servers: impl Iterator<Item = (ServerEntry, f64)>) {
        (self.listed, self.whole) = (0.0, 0.0);
        self.cold.clear();
        for (entry, weight) in servers {
            let warmth = warmth(now, &self.rules, &entry);
            let cold = self.cold.entry(entry.cell).or_default();
            *cold += if warmth < 1.0 && entry.takes_work() { warmth * weight } else { 0.0 };
            (self.listed, self.whole) = (self.listed + weight, self.whole + warmth * weight);
        }
        self.buckets.retain(|cell, _| cell.is_none_or(|cell| self.cold.contains_key(&cell)));
    }

    /// A server has borne a call (it has read a prompt, or begun an answer), or, with 0, none.
    pub fn bear(&mut self, now: Micros, calls: f64) {
        let tokens = if self.whole > 0.0 { calls / self.whole } else { 0.0 };
        self.borne.forget(now, self.rules.fall_after as f64 * KEPT);
        self.borne.work += tokens;
        self.earned += tokens;
    }

    /// A request has come that is no client's second try.
    pub fn come(&mut self) {
        self.earned += TRICKLE / self.listed.max(1.0);
    }

    /// Draws for one choice. One after a read names the cell of the read, and its part of all reads.
    pub fn draw(&mut self, now: Micros, read: Option<(CellId, f64)>) -> Draw {
        self.borne.forget(now, self.rules.fall_after as f64 * KEPT);
        let far = self.take(None, 1.0, if read.is_some() { FAR } else { 1.0 });
        match read {
            Some((cell, of)) => {
                Draw { near: self.take(Some(cell), of, if of < 1.0 { 1.0 - FAR } else { 1.0 }), far }
            }
            None => Draw { near: far, far },
        }
    }

    /// Takes from the bucket of a cell, or of all, what is left of a choice that is such a part of all choices.
    fn take(&mut self, cell: Option<CellId>, of: f64, part: f64) -> f64 {
        let whole = 1.0 / (self.listed.max(1.0) * of);
        let cold = match cell {
            Some(cell) => self.cold.get(&cell).copied().unwrap_or(0.0),
            None => self.cold.values().sum(),
        };
        let bucket = self.buckets.entry(cell).or_insert(Bucket { tokens: FIRST * whole, seen: 0.0 });
        let full = self.borne.work.max(FIRST * whole);
        let tokens = (bucket.tokens + self.earned - bucket.seen).min(full);
        let taken = tokens.min(whole);
        // One choice sends to one server, also where it is of the share of several.
        let wins = self.most * part * cold * taken;
        let used = if wins > 0.0 { -(-wins).exp_m1() / wins } else { 0.0 };
        (bucket.tokens, bucket.seen) = (tokens - used * taken, self.earned);
        part * taken * self.listed.max(1.0)
    }

    /// The share of choices with this draw that a server gets that is as good as a mean warm one.
    pub fn share(&self, draw: f64) -> f64 {
        self.most * draw / self.listed.max(1.0)
    }
}
