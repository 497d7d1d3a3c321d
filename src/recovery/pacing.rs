//! How long to wait before a service that many share is asked again.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::Micros;

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// It was refused: too many ask.
    Refused,
    /// The connection broke, or did not come up.
    Broke,
    /// No answer came in time, which is a pause in itself.
    Silent,
}

/// A watch goes on if the next call comes within 200 ms of the last answer; one that broke is resumed well within.
const RESUME: Micros = 50_000;
/// The first pause after a refusal is drawn around this for each caller that there is. Measured on herd days: an
/// overbooked discovery takes up some five new watches a second, and none at all while more than that come.
const REFUSED: Micros = 100_000;
/// Where callers are few, that is too little to let go of a queue...
const LEAST: Micros = 300_000;
/// ... and where they are many, news would come later than it counts as told at the latest.
const FIRST: Micros = 5_000_000;
/// Each further pause is drawn around twice the one before, up to this many times the first.
const MOST: Micros = 4;
/// Breaks in a row before they count as refusals: a service that is down is no better off with more calls.
const BREAKS: u32 = 4;

/// The pauses of one caller.
pub struct Pacing {
    rng: Pcg64Mcg,
    callers: Micros,
    refusals: u32,
    breaks: u32,
}

impl Pacing {
    /// One that has not failed yet; the seed sets its lots apart from those of other callers.
    pub fn new(seed: u64, callers: u32) -> Self {
        Pacing { rng: Pcg64Mcg::seed_from_u64(seed), callers: callers.into(), refusals: 0, breaks: 0 }
    }

    /// A call was answered well.
    pub fn answered(&mut self) {
        (self.refusals, self.breaks) = (0, 0);
    }

    /// How long to wait after a call that failed.
    pub fn pause(&mut self, failed: Failed) -> Micros {
        match failed {
            Failed::Silent => return RESUME,
            Failed::Broke => {
                self.breaks = self.breaks.saturating_add(1);
                if self.breaks <= BREAKS {
                    return RESUME;
                }
            }
            Failed::Refused => self.breaks = 0,
        }
        let first = (REFUSED * self.callers).clamp(LEAST, FIRST);
        let nominal = first * 2_u64.saturating_pow(self.refusals).min(MOST);
        self.refusals = self.refusals.saturating_add(1);
        self.rng.random_range(nominal / 2..=nominal + nominal / 2)
    }
}
