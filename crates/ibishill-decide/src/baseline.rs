//! The time to the first token that an endpoint is used to, and what is late against it.

use ibishill_core::time;

/// Answers before a baseline says anything.
const LEARNED_MIN: u32 = 8;
const GAIN: f64 = 0.125;
/// Growth of the lowest mean with each value, so that an old one is forgotten.
const FLOOR_RISE: f64 = 1.005;
const MOST_DEVIATIONS: f64 = 2.0;
const LATE_FACTOR: f64 = 3.0;
const LATE_DEVIATIONS: f64 = 8.0;
const LATE_FLOOR_MS: f64 = 50.0;

/// Smoothed mean and deviation of the time to the first token.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Baseline {
    count: u32,
    mean_ms: f64,
    floor_ms: f64,
    deviation_ms: f64,
}

impl Baseline {
    /// Takes in one time to the first token.
    pub fn learn(&mut self, took: time::Millis) {
        let took = took.0 as f64;
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.mean_ms = took;
            self.floor_ms = took;
            self.deviation_ms = took / 2.0;
            return;
        }
        self.deviation_ms += GAIN * ((took - self.mean_ms).abs() - self.deviation_ms);
        self.mean_ms += GAIN * (took - self.mean_ms);
        self.floor_ms = self.mean_ms.min(self.floor_ms * FLOOR_RISE);
    }

    /// The mean against the lowest of late, 1 if there is none.
    pub fn rise(&self) -> f64 {
        if self.floor_ms > 0.0 { self.mean_ms / self.floor_ms } else { 1.0 }
    }

    /// The smoothed mean, once there is one.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean_ms)
    }

    /// The smoothed mean, once it is reliable.
    pub fn learned_ms(&self) -> Option<f64> {
        (self.count >= LEARNED_MIN).then_some(self.mean_ms)
    }

    /// The time that most keep to, once there is a mean.
    pub fn most_ms(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean_ms + MOST_DEVIATIONS * self.deviation_ms)
    }

    /// Whether `took` is a sudden rise.
    pub fn is_late(&self, took: time::Millis) -> bool {
        if self.count < LEARNED_MIN {
            return false;
        }
        let usual = LATE_FACTOR * self.mean_ms;
        let spread = self.mean_ms + LATE_DEVIATIONS * self.deviation_ms;
        took.0 as f64 > usual.max(spread).max(LATE_FLOOR_MS)
    }
}
