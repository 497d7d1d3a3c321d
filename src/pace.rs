//! Decayed sums of work and time: a data structure of the decision module, which draws the conclusions from it.

use crate::interface::Micros;

/// Half-life of the sums in microseconds, unless the user gives another. It is short enough for a server's recovery to
/// show.
pub const DEFAULT_HALF_LIFE_US: f64 = 4e6;

/// Exponentially decayed sums of work and of the time that it took; their quotient is a recent rate or mean.
#[derive(Clone, Copy, Default)]
pub struct DecayedSums {
    /// Work, in a unit chosen by the user.
    pub work: f64,
    /// The seconds that the work took.
    pub seconds: f64,
    /// When the sums were last brought up to date.
    pub updated_at: Micros,
}

impl DecayedSums {
    /// Decays the sums up to now with the default half-life.
    pub fn decay(&mut self, now: Micros) {
        self.decay_with(now, DEFAULT_HALF_LIFE_US);
    }

    /// Decays the sums up to now with the given half-life in microseconds.
    pub fn decay_with(&mut self, now: Micros, half_life_us: f64) {
        if (self.work, self.seconds) == (0.0, 0.0) {
            // Skips the power: in a large fleet nothing is known of most servers.
            return self.updated_at = now;
        }
        let factor = 0.5f64.powf(now.saturating_sub(self.updated_at) as f64 / half_life_us);
        (self.work, self.seconds, self.updated_at) = (self.work * factor, self.seconds * factor, now);
    }

    /// Adds work that took the given time in microseconds.
    pub fn add(&mut self, now: Micros, work: f64, took: Micros) {
        self.decay(now);
        self.work += work;
        self.seconds += took as f64 / 1e6;
    }
}
