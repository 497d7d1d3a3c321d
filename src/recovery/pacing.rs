//! How one of many callers that share a list keeps its copy up to date: which call comes next, how long it may take, and
//! how long to back off after a failed one.
//!
//! Two successive calls begin no further apart than [`Times::gap`], however the first one ended. So from the moment at
//! which discovery can be reached, a complete answer is taken within [`Times::bound`]: the gap, the answer to the call
//! after it and, in case discovery has been restarted, a short pause and the answer to a second call.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::Micros;

/// The time limits of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// What discovery knows must have reached the caller this long after discovery could be reached.
    pub apply_within: Micros,
    /// The part of `apply_within` that is left for a slow machine.
    pub margin: Micros,
    /// A discovery that can be reached answers a call that need not wait, with the full list, within this time.
    pub answer_within: Micros,
    /// The longest time that a watch waits for a change. The shorter it is, the sooner a silent discovery is noticed.
    pub longest_hold: Micros,
    /// How much later than its longest wait an answer may arrive. A later one is not expected any more.
    pub answer_grace: Micros,
    /// The longest pause before a call that resumes what the last one began.
    pub resume_within: Micros,
}

impl Times {
    /// The limits of the platform. `apply_within` is the operators' limit. A watch continues if the next call arrives
    /// within 200 ms, of which `resume_within` leaves half. A full list takes about ten milliseconds on a machine that
    /// does nothing else.
    pub const PLATFORM: Times = Times {
        apply_within: 6_000_000,
        margin: 500_000,
        answer_within: 500_000,
        longest_hold: 2_000_000,
        answer_grace: 1_000_000,
        resume_within: 100_000,
    };

    /// Returns the longest time from the return of discovery to a complete answer.
    pub const fn bound(&self) -> Micros {
        self.apply_within - self.margin
    }

    /// Returns the longest time from the beginning of one call to that of the next.
    pub const fn gap(&self) -> Micros {
        self.bound() - 2 * self.answer_within - self.resume_within
    }

    /// Returns the longest time that a call takes.
    const fn longest_call(&self) -> Micros {
        self.longest_hold + self.answer_grace
    }
}

const _: () = assert!(Times::PLATFORM.longest_call() + Times::PLATFORM.resume_within < Times::PLATFORM.gap());

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks for the full list, to be answered at once.
    Full,
    /// Asks for what is newer than a revision, to be answered at once. It shows whether discovery answers.
    Check {
        /// The revision that is known.
        from: u64,
    },
    /// Asks for what is newer than a revision, to be answered when there is something.
    Watch {
        /// The revision that is known.
        from: u64,
        /// How long discovery may wait for something newer.
        hold: Micros,
    },
}

/// What the caller is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A call is in flight.
    Calling {
        /// The call.
        call: Call,
        /// When it began.
        since: Micros,
        /// When it is given up.
        until: Micros,
    },
    /// No call is in flight.
    Pausing {
        /// When the next call begins.
        until: Micros,
    },
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A whole answer arrived.
    Answered {
        /// The revision of its list.
        revision: u64,
        /// It names all members, not only the changes.
        complete: bool,
    },
    /// Discovery refused the call, as too many callers ask or as it is down. The revision that was known is still valid
    /// there.
    Refused,
    /// The answer is not a list, or discovery does not know the revision that was named.
    Invalid,
    /// The connection broke, or could not be made.
    ConnectionLost,
}

/// An event that the caller is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The call in flight has ended.
    Ended(CallOutcome),
    /// The time of the phase is over.
    Due,
    /// Discovery is at another address.
    AddressChanged,
}

/// The first backoff after a refusal is drawn around this time for each of the callers. Measured with many callers that
/// ask at once: an overloaded discovery accepts about five new watches a second, and none while more than that arrive.
const BACKOFF_PER_CALLER: Micros = 100_000;
/// The least backoff: with few callers the time per caller is too short for discovery to work off a queue.
const MIN_BACKOFF: Micros = 300_000;
/// Each further backoff is drawn around twice the one before, up to this many times the first.
const MAX_BACKOFF_FACTOR: Micros = 4;
/// How many lost connections in a row are retried soon. Any more count as refusals, as more calls don't help a service
/// that is down.
const LOST_CONNECTIONS_BEFORE_BACKOFF: u32 = 4;

/// The state of one caller.
pub struct Pacing {
    rng: Pcg64Mcg,
    times: Times,
    callers: Micros,
    known_revision: Option<u64>,
    phase: Phase,
    /// The last call was answered, so the next one may wait.
    last_answered: bool,
    refusals: u32,
    lost_connections: u32,
}

impl Pacing {
    /// Creates a caller whose first call begins now. The seed makes its random times differ from those of the other
    /// callers.
    pub fn new(seed: u64, callers: u32, known_revision: Option<u64>, times: Times, now: Micros) -> Self {
        let mut pacing = Pacing {
            rng: Pcg64Mcg::seed_from_u64(seed),
            times,
            callers: callers.max(1).into(),
            known_revision,
            phase: Phase::Pausing { until: now },
            last_answered: false,
            refusals: 0,
            lost_connections: 0,
        };
        pacing.begin_call(now);
        pacing
    }

    /// Returns what the caller is doing.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Applies an event. Returns true if it is an answer that the caller has to apply.
    pub fn handle(&mut self, now: Micros, input: Input) -> bool {
        match (self.phase, input) {
            // The revisions of another discovery need not be those of the previous one, and it has not failed yet.
            (_, Input::AddressChanged) => {
                (self.known_revision, self.last_answered, self.refusals, self.lost_connections) =
                    (None, false, 0, 0);
                self.begin_call(now);
            }
            (Phase::Pausing { until }, Input::Due) if now >= until => self.begin_call(now),
            // The wait for the answer was a pause already, and its length was random.
            (Phase::Calling { until, .. }, Input::Due) if now >= until => {
                self.last_answered = false;
                self.pause(now, self.times.resume_within);
            }
            (Phase::Calling { call, since, .. }, Input::Ended(outcome)) => {
                return self.call_ended(now, call, since, outcome);
            }
            _ => {}
        }
        false
    }

    fn call_ended(&mut self, now: Micros, call: Call, since: Micros, outcome: CallOutcome) -> bool {
        match outcome {
            // An incomplete list with an older revision is that of a restarted discovery.
            CallOutcome::Answered { revision, complete: false }
                if self.known_revision.is_none_or(|known_revision| revision < known_revision) =>
            {
                self.require_full_list(now, since);
            }
            CallOutcome::Answered { revision, .. } => {
                let early =
                    matches!(call, Call::Watch { from, hold } if from == revision && now < since + hold / 2);
                (self.known_revision, self.last_answered, self.refusals, self.lost_connections) =
                    (Some(revision), true, 0, 0);
                // A discovery that does not wait for changes is not called without a pause.
                if early {
                    self.pause(now, self.times.resume_within)
                } else {
                    self.begin_call(now)
                }
                return true;
            }
            CallOutcome::Invalid => self.require_full_list(now, since),
            CallOutcome::Refused => self.back_off(now, since),
            CallOutcome::ConnectionLost => {
                self.lost_connections = self.lost_connections.saturating_add(1);
                self.last_answered = false;
                if self.lost_connections <= LOST_CONNECTIONS_BEFORE_BACKOFF {
                    self.pause(now, self.times.resume_within);
                } else {
                    self.back_off(now, since);
                }
            }
        }
        false
    }

    /// Makes the next call ask for the full list: soon, unless the last call asked for it already.
    fn require_full_list(&mut self, now: Micros, since: Micros) {
        self.last_answered = false;
        match self.known_revision.take() {
            Some(_) => self.pause(now, self.times.resume_within),
            None => self.back_off(now, since),
        }
    }

    fn back_off(&mut self, now: Micros, since: Micros) {
        self.last_answered = false;
        let time_left = self.times.gap().saturating_sub(now.saturating_sub(since));
        let first = 2 * (BACKOFF_PER_CALLER * self.callers).max(MIN_BACKOFF);
        let longest = (first * 2_u64.saturating_pow(self.refusals).min(MAX_BACKOFF_FACTOR)).min(time_left);
        // The first backoff is drawn from the whole range, so that callers which failed together spread over it. They
        // stay spread, so further backoffs are drawn from the range's upper end to spare discovery.
        let shortest = if self.refusals == 0 { MIN_BACKOFF.min(time_left) } else { longest - longest / 4 };
        self.refusals = self.refusals.saturating_add(1);
        self.pause_between(now, shortest, longest);
    }

    fn pause(&mut self, now: Micros, longest: Micros) {
        self.pause_between(now, 0, longest);
    }

    fn pause_between(&mut self, now: Micros, shortest: Micros, longest: Micros) {
        // There is always some pause, or a discovery that fails at once would be called without end.
        let shortest = shortest.max(self.times.resume_within / 10);
        self.phase = Phase::Pausing { until: now + self.rng.random_range(shortest..=longest.max(shortest)) };
    }

    /// Begins the next call. Its length is random, as many callers may have begun theirs together after the same change.
    fn begin_call(&mut self, now: Micros) {
        let Times { longest_hold, answer_grace, .. } = self.times;
        let (call, within) = match self.known_revision {
            Some(from) if self.last_answered => {
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
