//! A smoothed baseline of a duration, in milliseconds or relative to a size, and its outliers.

/// Number of values from which on a baseline is reliable.
const RELIABLE_MIN: u32 = 8;
const GAIN: f64 = 0.125;
/// Factor by which the lowest mean rises with each value, so that old minima are forgotten.
const FLOOR_GROWTH: f64 = 1.005;
const BOUND_DEVIATIONS: f64 = 2.0;
const OUTLIER_FACTOR: f64 = 3.0;
const OUTLIER_DEVIATIONS: f64 = 8.0;

/// Exponentially smoothed mean and mean absolute deviation of a duration.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Baseline {
    count: u32,
    mean: f64,
    floor: f64,
    deviation: f64,
}

impl Baseline {
    /// Records a duration.
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
        self.floor = self.mean.min(self.floor * FLOOR_GROWTH);
    }

    /// The mean relative to the lowest recent one; 1 without values.
    pub fn slowdown(&self) -> f64 {
        if self.floor > 0.0 { self.mean / self.floor } else { 1.0 }
    }

    /// The smoothed mean, `None` without values.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean)
    }

    /// The smoothed mean, `None` until enough values were recorded.
    pub fn reliable_mean(&self) -> Option<f64> {
        (self.count >= RELIABLE_MIN).then_some(self.mean)
    }

    /// The duration that most values don't exceed, `None` without values.
    pub fn upper_bound(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean + BOUND_DEVIATIONS * self.deviation)
    }

    /// Whether `took` is far above the usual durations; false until the mean is reliable.
    pub fn is_outlier(&self, took: f64) -> bool {
        if self.count < RELIABLE_MIN {
            return false;
        }
        let usual = OUTLIER_FACTOR * self.mean;
        let spread = self.mean + OUTLIER_DEVIATIONS * self.deviation;
        took > usual.max(spread)
    }
}
