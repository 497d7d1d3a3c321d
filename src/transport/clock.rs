//! The event clock: whole microseconds on the monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::interface::Micros;

/// The clock's reading at the program's start, so that servers which started earlier have a time on it too.
const AT_START: Micros = 3_600_000_000;

/// No time is later, in microseconds, so that a span of the settings, which is below this too, can be added to it.
const LATEST: f64 = 9e18;

/// Maps the monotonic clock, and once, at the start, Unix time to event time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_at_start: f64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_at_start: unix.as_micros() as f64 }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        AT_START + self.start.elapsed().as_micros() as Micros
    }

    /// The instant at an event time.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + std::time::Duration::from_micros(at.saturating_sub(AT_START))
    }

    /// The event time of a Unix time in milliseconds; none if that is long ago or no time at all.
    pub fn at_unix_ms(&self, ms: f64) -> Option<Micros> {
        let at = ms * 1000.0 - self.unix_at_start + AT_START as f64;
        (ms > 0.0 && (1.0..LATEST).contains(&at)).then_some(at as Micros)
    }
}

/// Sleeps until then; without a time, for good.
pub(super) async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
