//! A duration that is usual, in milliseconds or relative to a size, and what is late against it.

/// Values before a baseline says anything.
const LEARNED_MIN: u32 = 8;
const GAIN: f64 = 0.125;
/// Growth of the lowest mean with each value, so that an old one is forgotten.
const FLOOR_RISE: f64 = 1.005;
const MOST_DEVIATIONS: f64 = 2.0;
const LATE_FACTOR: f64 = 3.0;
const LATE_DEVIATIONS: f64 = 8.0;

/// Smoothed mean and deviation of a duration.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Baseline {
    count: u32,
    mean: f64,
    floor: f64,
    deviation: f64,
}

impl Baseline {
    /// Takes in one duration.
    pub fn record(&mut self, took: f64) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.mean = took;
            self.floor = took;
            self.deviation = took / 2.0;
            return;
        }
        self.deviation += GAIN * ((took - self.mean).abs() - self.deviation);
        self.mean += GAIN * (took - self.mean);
        self.floor = self.mean.min(self.floor * FLOOR_RISE);
    }

    /// The mean against the lowest of late, 1 if there is none.
    pub fn growth(&self) -> f64 {
        if self.floor > 0.0 { self.mean / self.floor } else { 1.0 }
    }

    /// The smoothed mean, once there is one.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean)
    }

    /// The smoothed mean, once it is reliable.
    pub fn reliable_mean(&self) -> Option<f64> {
        (self.count >= LEARNED_MIN).then_some(self.mean)
    }

    /// The time that most keep to, once there is a mean.
    pub fn upper_bound(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean + MOST_DEVIATIONS * self.deviation)
    }

    /// Whether `took` is a sudden rise.
    pub fn is_outlier(&self, took: f64) -> bool {
        if self.count < LEARNED_MIN {
            return false;
        }
        let usual = LATE_FACTOR * self.mean;
        let spread = self.mean + LATE_DEVIATIONS * self.deviation;
        took > usual.max(spread)
    }
}
