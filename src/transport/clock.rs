//! The event clock: whole microseconds on the monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::interface::Micros;

/// The event time at which the program starts: one hour, so that servers which started earlier have an event time
/// too.
const START_TIME: Micros = 3_600_000_000;

/// Exclusive upper bound of an event time, in microseconds. Spans in the settings are below it too, so that a span
/// can be added to a time without overflow.
const MAX_TIME_US: f64 = 9e18;

/// Maps the monotonic clock to event time. Unix time is related to event time once, at the start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_at_start: f64,
}

impl Clock {
    /// Starts the clock at the event time of one hour.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_at_start: unix.as_micros() as f64 }
    }

    /// Returns the current event time.
    pub fn now(&self) -> Micros {
        START_TIME + self.start.elapsed().as_micros() as Micros
    }

    /// Returns the instant of an event time; times before the start are taken as the start.
    pub fn instant(&self, time: Micros) -> Instant {
        self.start + std::time::Duration::from_micros(time.saturating_sub(START_TIME))
    }

    /// Returns the event time of a Unix time in milliseconds, or `None` if that lies before event time begins or is
    /// not a valid time.
    pub fn at_unix_ms(&self, ms: f64) -> Option<Micros> {
        let time = ms * 1000.0 - self.unix_at_start + START_TIME as f64;
        (ms > 0.0 && (1.0..MAX_TIME_US).contains(&time)).then_some(time as Micros)
    }
}

/// Sleeps until the deadline; without one, never returns.
pub(super) async fn sleep_until(deadline: Option<tokio::time::Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
