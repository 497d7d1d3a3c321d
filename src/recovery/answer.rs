//! Decides whether a server's answer goes on. A server that makes events or writes one is not silent, and its answer is not
//! cut off; an answer that only seems to go on is ended before its client has waited for too long.

use crate::interface::Micros;

/// How long the first event may take after the head, which itself comes with the first token.
const FIRST_EVENT_WITHIN: Micros = 1_000_000;
/// How long an answer may go without an event, or without a byte of an event that is being written. The platform requires
/// that a client sees the end within 5 s of the last event.
const SILENT_FOR: Micros = 4_000_000;
/// How long the writing of one event may take.
const EVENT_WRITTEN_WITHIN: Micros = 20_000_000;

/// What has arrived of an answer since the last time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrived {
    /// Events are complete.
    pub completes_event: bool,
    /// The server is in the middle of writing an event that has content.
    pub writes_event: bool,
    /// The stream has said that it is complete, so that nothing is an event any more.
    pub says_complete: bool,
}

/// What an answer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// Nothing is being written.
    Waiting,
    /// An event has been being written since this time.
    WritingSince(Micros),
    /// The stream has said that it is complete; only its last chunk is missing.
    Completed,
}

/// The progress of one answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerProgress {
    activity: Activity,
    /// No event is complete yet.
    awaits_first_event: bool,
    due: Micros,
}

impl AnswerProgress {
    /// Starts with the head of the answer.
    pub fn begin(now: Micros) -> Self {
        AnswerProgress {
            activity: Activity::Waiting,
            awaits_first_event: true,
            due: now + FIRST_EVENT_WITHIN,
        }
    }

    /// Returns the time at which the answer is given up, unless more arrives.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// Records what has arrived. Returns false if the answer is overdue nevertheless.
    pub fn record(&mut self, now: Micros, arrived: Arrived) -> bool {
        if self.activity == Activity::Completed {
            return now < self.due;
        }
        if arrived.completes_event {
            self.awaits_first_event = false;
            self.activity = Activity::Waiting;
            self.due = now + SILENT_FOR;
        }
        if arrived.says_complete {
            self.activity = Activity::Completed;
        } else if arrived.writes_event {
            self.record_writing(now);
        } else if !arrived.completes_event {
            self.activity = Activity::Waiting;
        }
        now < self.due
    }

    fn record_writing(&mut self, now: Micros) {
        let since = match self.activity {
            Activity::WritingSince(since) => since,
            Activity::Waiting | Activity::Completed => now,
        };
        self.activity = Activity::WritingSince(since);
        let pause = if self.awaits_first_event { FIRST_EVENT_WITHIN } else { SILENT_FOR };
        let due = (now + pause).min(since + EVENT_WRITTEN_WITHIN);
        self.due = self.due.max(due);
    }

    /// Records that nothing was read from the server for this long, as the client took nothing. That time is not the
    /// server's.
    pub fn was_held_back(&mut self, time: Micros) {
        self.due += time;
    }
}

#[cfg(test)]
mod tests;
