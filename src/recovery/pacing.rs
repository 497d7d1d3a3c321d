//! How one caller keeps a list that many share up to date: which call comes next, how long it may take, and how long
//! to back off after one that failed.
//!
//! No two calls begin further apart than [`Times::gap`], whatever became of the first. So from the moment at which
//! discovery can be reached, a whole answer is taken within [`Times::bound`]: the gap, the answer to the call after
//! it and, should discovery have been started anew, a short pause and the answer to a second call.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::Micros;

/// The times that a caller keeps.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// What discovery has counts as told this long after it could be reached.
    pub apply_within: Micros,
    /// What is left of that for a slow machine.
    pub margin: Micros,
    /// A discovery that can be reached answers a call that need not wait, with the whole list, within this.
    pub answer_within: Micros,
    /// The longest wait of a watch. A short one is soon missed where discovery has gone silent.
    pub longest_hold: Micros,
    /// An answer that is late by this does not come any more.
    pub answer_grace: Micros,
    /// The longest pause before a call that resumes what the last one began.
    pub resume_within: Micros,
}

impl Times {
    /// Those of the platform, in microseconds: `told` is the operators' term, and a watch goes on if the next call
    /// comes within 200 ms, of which `resume` leaves half. A full list takes some ten milliseconds where nothing
    /// else runs.
    pub const PLATFORM: Times = Times {
        apply_within: 6_000_000,
        margin: 500_000,
        answer_within: 500_000,
        longest_hold: 2_000_000,
        answer_grace: 1_000_000,
        resume_within: 100_000,
    };

    /// The longest time from the return of discovery to a whole answer.
    pub const fn bound(&self) -> Micros {
        self.apply_within - self.margin
    }

    /// The longest time from the beginning of one call to that of the next.
    pub const fn gap(&self) -> Micros {
        self.bound() - 2 * self.answer_within - self.resume_within
    }

    /// The longest time that a call takes.
    const fn longest(&self) -> Micros {
        self.longest_hold + self.answer_grace
    }
}

const _: () = assert!(Times::PLATFORM.longest() + Times::PLATFORM.resume_within < Times::PLATFORM.gap());

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The whole list, at once.
    Full,
    /// What is newer than this version, at once: it shows whether discovery answers.
    Check {
        /// The version that is known.
        from: u64,
    },
    /// The same, when there is something.
    Watch {
        /// The version that is known.
        from: u64,
        /// How long the call may wait for something newer.
        hold: Micros,
    },
}

/// Where the caller stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A call is out.
    Calling {
        /// What it asks.
        call: Call,
        /// When it began.
        since: Micros,
        /// When it is given up.
        until: Micros,
    },
    /// Nothing is out until then.
    Pausing {
        /// When the next call begins.
        until: Micros,
    },
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A list came whole.
    Answered {
        /// Its version.
        revision: u64,
        /// It names all members, not only what changed.
        complete: bool,
    },
    /// It was refused: too many ask, or discovery is down. What was known before still holds there.
    Refused,
    /// What came is no list, or discovery does not know the version that was named.
    Invalid,
    /// The connection broke, or did not come up.
    ConnectionLost,
}

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The call that is out has ended.
    Ended(CallOutcome),
    /// The time of the phase is over.
    Due,
    /// Discovery is at another address.
    AddressChanged,
}

/// The first backoff after a refusal is drawn around this for each caller that there is. Measured on herd days: an
/// overbooked discovery takes up some five new watches a second, and none at all while more than that come.
const REFUSED: Micros = 100_000;
/// Where callers are few, that is too little to let go of a queue; nobody comes back sooner.
const LEAST: Micros = 300_000;
/// Each further backoff is drawn around twice the one before, up to this many times the first.
const MOST: Micros = 4;
/// Breaks in a row before they count as refusals: a service that is down is no better off with more calls.
const BREAKS: u32 = 4;

/// One caller.
pub struct Pacing {
    rng: Pcg64Mcg,
    times: Times,
    callers: Micros,
    known: Option<u64>,
    phase: Phase,
    /// The last call was answered, so that the next may wait.
    heard: bool,
    refusals: u32,
    breaks: u32,
}

impl Pacing {
    /// One whose first call begins now. The seed sets its draws apart from those of the other callers.
    pub fn new(seed: u64, callers: u32, known: Option<u64>, times: Times, now: Micros) -> Self {
        let mut pacing = Pacing {
            rng: Pcg64Mcg::seed_from_u64(seed),
            times,
            callers: callers.max(1).into(),
            known,
            phase: Phase::Pausing { until: now },
            heard: false,
            refusals: 0,
            breaks: 0,
        };
        pacing.call(now);
        pacing
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes what has happened; true if the answer that came is to be taken as well.
    pub fn handle(&mut self, now: Micros, input: Input) -> bool {
        match (self.phase, input) {
            // Versions of another discovery need not be those of the one before, and it has not failed yet.
            (_, Input::AddressChanged) => {
                (self.known, self.heard, self.refusals, self.breaks) = (None, false, 0, 0);
                self.call(now);
            }
            (Phase::Pausing { until }, Input::Due) if now >= until => self.call(now),
            // The wait was a pause already, and its length was drawn.
            (Phase::Calling { until, .. }, Input::Due) if now >= until => {
                self.heard = false;
                self.pause(now, self.times.resume_within);
            }
            (Phase::Calling { call, since, .. }, Input::Ended(ended)) => {
                return self.ended(now, call, since, ended);
            }
            _ => {}
        }
        false
    }

    fn ended(&mut self, now: Micros, call: Call, since: Micros, ended: CallOutcome) -> bool {
        match ended {
            // A list that has gone back, and does not come whole, is one of a restarted discovery.
            CallOutcome::Answered { revision, complete: false }
                if self.known.is_none_or(|known| revision < known) =>
            {
                self.unfit(now, since);
            }
            CallOutcome::Answered { revision, .. } => {
                let early =
                    matches!(call, Call::Watch { from, hold } if from == revision && now < since + hold / 2);
                (self.known, self.heard, self.refusals, self.breaks) = (Some(revision), true, 0, 0);
                // A discovery that does not wait is not asked without a break.
                if early {
                    self.pause(now, self.times.resume_within)
                } else {
                    self.call(now)
                }
                return true;
            }
            CallOutcome::Invalid => self.unfit(now, since),
            CallOutcome::Refused => self.back_off(now, since),
            CallOutcome::ConnectionLost => {
                self.breaks = self.breaks.saturating_add(1);
                self.heard = false;
                if self.breaks <= BREAKS {
                    self.pause(now, self.times.resume_within);
                } else {
                    self.back_off(now, since);
                }
            }
        }
        false
    }

    /// The list is wanted whole; soon, unless that was asked for already.
    fn unfit(&mut self, now: Micros, since: Micros) {
        self.heard = false;
        match self.known.take() {
            Some(_) => self.pause(now, self.times.resume_within),
            None => self.back_off(now, since),
        }
    }

    fn back_off(&mut self, now: Micros, since: Micros) {
        self.heard = false;
        let left = self.times.gap().saturating_sub(now.saturating_sub(since));
        let first = 2 * (REFUSED * self.callers).max(LEAST);
        let most = (first * 2_u64.saturating_pow(self.refusals).min(MOST)).min(left);
        // The first draw sets callers that failed together apart over all of it. They stay so, and later draws spare
        // discovery.
        let least = if self.refusals == 0 { LEAST.min(left) } else { most - most / 4 };
        self.refusals = self.refusals.saturating_add(1);
        self.pause_between(now, least, most);
    }

    fn pause(&mut self, now: Micros, most: Micros) {
        self.pause_between(now, 0, most);
    }

    fn pause_between(&mut self, now: Micros, least: Micros, most: Micros) {
        // Never none at all, or a discovery that fails at once would be called without end.
        let least = least.max(self.times.resume_within / 10);
        self.phase = Phase::Pausing { until: now + self.rng.random_range(least..=most.max(least)) };
    }

    /// The next call. Its length is drawn: many may have begun theirs together, at one change.
    fn call(&mut self, now: Micros) {
        let Times { longest_hold, answer_grace, .. } = self.times;
        let (call, within) = match self.known {
            Some(from) if self.heard => {
                let hold = self.rng.random_range(longest_hold / 2..=longest_hold);
                (Call::Watch { from, hold }, hold + answer_grace)
            }
            Some(from) => {
                (Call::Check { from }, self.rng.random_range(answer_grace..=longest_hold + answer_grace))
            }
            None => (Call::Full, self.rng.random_range(answer_grace..=longest_hold + answer_grace)),
        };
        self.phase = Phase::Calling { call, since: now, until: now + within };
    }
}
