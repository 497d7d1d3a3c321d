//! Decayed sums of work and time: a data structure below the module. What is concluded from them stands there.

use std::collections::BTreeMap;

use crate::interface::Micros;

/// Half of what is known of a server's pace is forgotten in this time, in microseconds, so that recovery is seen
/// (tuned on the simulator).
pub const PACE_HALF_LIFE: f64 = 4e6;

/// Decayed sums of work and time.
#[derive(Clone, Copy, Default)]
pub struct Pace {
    /// Work, in whatever unit its user counts.
    pub work: f64,
    /// The seconds that it took.
    pub seconds: f64,
    /// When the sums were last brought up to date.
    pub at: Micros,
}

impl Pace {
    /// Brings the sums up to now.
    pub fn decay(&mut self, now: Micros) {
        self.forget(now, PACE_HALF_LIFE);
    }

    /// The same with a half-life of its own, in microseconds.
    pub fn forget(&mut self, now: Micros, half_life: f64) {
        if (self.work, self.seconds) == (0.0, 0.0) {
            return self.at = now; // of most servers in a large fleet nothing is known
        }
        let part = 0.5f64.powf(now.saturating_sub(self.at) as f64 / half_life);
        (self.work, self.seconds, self.at) = (self.work * part, self.seconds * part, now);
    }

    /// Adds work that took so many microseconds.
    pub fn add(&mut self, now: Micros, work: f64, took: Micros) {
        self.decay(now);
        self.work += work;
        self.seconds += took as f64 / 1e6;
    }
}

/// Half of what is known of a demand is forgotten in this time, in microseconds: long enough for one who sees a few
/// requests a second to meet a much used key again, short enough to follow a key that becomes so.
const DEMAND_HALF_LIFE: f64 = 10e6;
/// A demand below this is dropped.
const FORGOTTEN: f64 = 0.05;

/// How much of what comes has which keys, as decayed counts.
pub struct Shares<Key> {
    all: Pace,
    of: BTreeMap<Key, Pace>,
}

impl<Key: Ord> Shares<Key> {
    /// Nothing has come yet.
    pub fn new(now: Micros) -> Self {
        Shares { all: Pace { at: now, ..Pace::default() }, of: BTreeMap::new() }
    }

    /// One more has come, with these keys.
    pub fn add(&mut self, now: Micros, keys: impl Iterator<Item = Key>) {
        self.all.forget(now, DEMAND_HALF_LIFE);
        self.all.work += 1.0;
        for key in keys {
            let seen = self.of.entry(key).or_insert(Pace { at: now, ..Pace::default() });
            seen.forget(now, DEMAND_HALF_LIFE);
            seen.work += 1.0;
        }
    }

    /// The part of those that came before the last one which had this key, among so many more without it.
    pub fn part(&self, key: &Key, prior: f64) -> f64 {
        let seen = self.of.get(key).map_or(0.0, |seen| seen.work - 1.0);
        seen.max(0.0) / (self.all.work + prior)
    }

    /// Drops the keys that have not come for long.
    pub fn forget(&mut self, now: Micros) {
        self.of.retain(|_, seen| {
            seen.forget(now, DEMAND_HALF_LIFE);
            seen.work > FORGOTTEN
        });
    }
}
