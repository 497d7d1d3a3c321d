//! Bounds the calls that the program makes to servers by itself, over all requests and servers together. However many
//! requests need a call, and however many servers leave theirs unanswered, only so many are in flight; the requests
//! that need more wait for their turn.

use std::collections::VecDeque;

use crate::interface::Micros;

/// The most calls that are in flight at once if nothing else is set.
pub const DEFAULT_MAX_CALLS: usize = 64;
/// A call that failed keeps its place for this long, so that calls that all fail at once don't take all of the processor.
const FAILED_CALL_PAUSE: Micros = 10_000;

/// The calls in flight, and the requests of type `R` that wait to make one.
#[derive(Debug)]
pub struct CallLimiter<R> {
    max_calls: usize,
    in_flight: usize,
    /// The times at which the places of failed calls may be used again, the earliest first.
    pausing: VecDeque<Micros>,
    waiting: VecDeque<R>,
}

impl<R> Default for CallLimiter<R> {
    fn default() -> Self {
        CallLimiter {
            max_calls: DEFAULT_MAX_CALLS,
            in_flight: 0,
            pausing: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }
}

impl<R> CallLimiter<R> {
    /// Sets how many calls may be in flight.
    pub fn set_max_calls(&mut self, max_calls: usize) {
        self.max_calls = max_calls.max(1);
    }

    /// Returns how many calls may be begun now.
    pub fn available(&mut self, now: Micros) -> usize {
        while self.pausing.front().is_some_and(|until| *until <= now) {
            self.pausing.pop_front();
        }
        self.max_calls.saturating_sub(self.in_flight + self.pausing.len())
    }

    /// Returns how many calls are in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Records that this many calls have begun.
    pub fn begin(&mut self, calls: usize) {
        self.in_flight += calls;
    }

    /// Records the end of a call.
    pub fn end(&mut self, now: Micros, succeeded: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !succeeded {
            self.pausing.push_back(now + FAILED_CALL_PAUSE);
        }
    }

    /// Has a request wait until it may make a call, behind those that wait already.
    pub fn wait(&mut self, request: R) {
        self.waiting.push_back(request);
    }

    /// Returns the request that has waited for longest, if it may make a call now.
    pub fn next(&mut self, now: Micros) -> Option<R> {
        if self.available(now) > 0 { self.waiting.pop_front() } else { None }
    }

    /// Returns the time at which the next place can be used, if a request waits for one that only time frees.
    pub fn next_due(&self) -> Option<Micros> {
        self.pausing.front().copied().filter(|_| !self.waiting.is_empty())
    }
}

#[cfg(test)]
mod tests;
