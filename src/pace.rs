//! Decayed sums of work and time: a data structure below the module. What is concluded from them stands there.

use crate::interface::Micros;

/// Half of what is known of a server's pace is forgotten in this time, in microseconds, so that recovery is seen.
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
