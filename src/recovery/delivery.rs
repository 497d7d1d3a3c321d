//! The delivery of a message that a server has been promised: when it is sent, how long each answer is waited for, when it
//! is sent again, and how it ends. A message whose answer is lost is sent again, so a server may receive it more than
//! once; it is recognised by its JSON-RPC id.
//!
//! Invariant: each delivery ends exactly once, at the latest when its time is over.

use crate::interface::Micros;

/// How long the answer to the first try is waited for. An open connection may fall silent without an error.
const FIRST_ANSWER_TIMEOUT: Micros = 1_000_000;
/// The longest that an answer is waited for. Each try that has no answer in time doubles the wait of the next one, up to this.
const MAX_ANSWER_TIMEOUT: Micros = 2_000_000;
/// The pause after the first try that fails.
const FIRST_PAUSE: Micros = 50_000;
/// The longest pause. Each failure doubles the pause after the next one, up to this.
const MAX_PAUSE: Micros = 1_000_000;

/// How one try of a delivery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// The server has taken the message.
    Accepted,
    /// The server does not want the message, and would not want it later either.
    Rejected,
    /// The server can't take the message now.
    Busy,
    /// The connection failed. The server may have received the message.
    Failed,
    /// There was no answer in time. The server may have received the message.
    TimedOut,
}

/// How a delivery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The server has taken the message.
    Delivered,
    /// The server has answered that it does not want the message.
    Rejected,
    /// The time was over first.
    Expired,
    /// The server is gone, or has ended the call to which the message belongs without an answer.
    ServerGone,
}

/// What a delivery has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStep {
    /// Send the message, and wait for the answer for so long at most.
    Try {
        /// How long the try may take.
        answer_within: Micros,
    },
    /// Do nothing until then.
    Wait {
        /// When the next step is due.
        until: Micros,
    },
    /// Nothing more.
    End(DeliveryOutcome),
}

/// The state of one delivery.
#[derive(Clone, Debug)]
pub struct DeliverySchedule {
    expires_at: Micros,
    next_try_at: Micros,
    pause: Micros,
    answer_timeout: Micros,
    outcome: Option<DeliveryOutcome>,
}

impl DeliverySchedule {
    /// Creates a delivery whose first try is due now.
    pub fn new(now: Micros, expires_at: Micros) -> Self {
        DeliverySchedule {
            expires_at,
            next_try_at: now,
            pause: FIRST_PAUSE,
            answer_timeout: FIRST_ANSWER_TIMEOUT,
            outcome: None,
        }
    }

    /// Returns what has to be done now.
    pub fn step(&mut self, now: Micros) -> DeliveryStep {
        if self.outcome.is_none() && now >= self.expires_at {
            self.outcome = Some(DeliveryOutcome::Expired);
        }
        match self.outcome {
            Some(outcome) => DeliveryStep::End(outcome),
            None if now < self.next_try_at => {
                DeliveryStep::Wait { until: self.next_try_at.min(self.expires_at) }
            }
            None => DeliveryStep::Try { answer_within: self.answer_timeout.min(self.expires_at - now) },
        }
    }

    /// Records how a try ended.
    pub fn record(&mut self, now: Micros, outcome: TryOutcome) {
        match outcome {
            TryOutcome::Accepted => self.end(DeliveryOutcome::Delivered),
            TryOutcome::Rejected => self.end(DeliveryOutcome::Rejected),
            TryOutcome::Busy | TryOutcome::Failed => self.pause(now),
            TryOutcome::TimedOut => {
                self.answer_timeout = (2 * self.answer_timeout).min(MAX_ANSWER_TIMEOUT);
                self.pause(now);
            }
        }
    }

    /// Records that the server is gone.
    pub fn server_gone(&mut self) {
        self.end(DeliveryOutcome::ServerGone);
    }

    fn end(&mut self, outcome: DeliveryOutcome) {
        self.outcome.get_or_insert(outcome);
    }

    fn pause(&mut self, now: Micros) {
        self.next_try_at = now + self.pause;
        self.pause = (2 * self.pause).min(MAX_PAUSE);
    }
}

#[cfg(test)]
mod tests;
