//! Mean and variance of one version's answer times, which can be summed over daemons.
//!
//! Answer times differ by factors, so their logarithms are summed: a version that is slower by
//! some factor shifts the mean by the same amount, whatever mix of requests it answers.

use ibishill_core::time;
use serde::{Deserialize, Serialize};

/// Steps per doubling of the time; times are rounded to them so that sums are integers.
const STEPS_PER_DOUBLING: f64 = 100.0;

/// Steps of the longest time that can be recorded.
const STEPS_MAX: u64 = 64 * STEPS_PER_DOUBLING as u64;

/// Count, sum and sum of squares of the binary logarithms of times in milliseconds, in hundredths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moments {
    /// Number of recorded times.
    pub count: u64,
    sum: u64,
    squares: u64,
}

impl Moments {
    /// Records a time; less than a millisecond counts as one.
    pub fn record(&mut self, time: time::Millis) {
        let steps = ((time.0.max(1) as f64).log2() * STEPS_PER_DOUBLING).round() as u64;
        self.count += 1;
        self.sum += steps;
        self.squares += steps * steps;
    }

    /// Whether a peer's sums can be those of at most `count_max` times.
    pub const fn is_plausible(&self, count_max: u64) -> bool {
        let Self { count, sum, squares } = *self;
        count <= count_max
            && sum <= count.saturating_mul(STEPS_MAX)
            && squares <= count.saturating_mul(STEPS_MAX * STEPS_MAX)
    }

    /// Adds the times of another daemon.
    pub const fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Mean of the binary logarithms of times in milliseconds; 0 if there are no times.
    pub fn mean(&self) -> f64 {
        self.sum as f64 / STEPS_PER_DOUBLING / self.count.max(1) as f64
    }

    /// Variance, in squared doublings; 0 if there are no times.
    pub fn variance(&self) -> f64 {
        let squares = self.squares as f64
            / STEPS_PER_DOUBLING
            / STEPS_PER_DOUBLING
            / self.count.max(1) as f64;
        (squares - self.mean().powi(2)).max(0.0)
    }
}
