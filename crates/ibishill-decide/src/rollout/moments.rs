//! What the times of one version add up to; those of several daemons are summed.
//!
//! Times of answers differ by factors, so they are summed as logarithms: a version that is
//! slower by some factor shifts their mean, whatever mix of requests it answers.

use ibishill_core::time;
use serde::{Deserialize, Serialize};

/// Steps in which a doubling of the time is counted, so that sums are whole numbers.
const STEPS: f64 = 100.0;

/// Count, sum and sum of squares of the times' logarithms, in hundredths of a doubling of a
/// millisecond.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moments {
    /// Times.
    pub count: u64,
    sum: u64,
    squares: u64,
}

impl Moments {
    /// Counts a time.
    pub fn record(&mut self, time: time::Millis) {
        let steps = ((time.0.max(1) as f64).log2() * STEPS).round() as u64;
        self.count += 1;
        self.sum += steps;
        self.squares += steps * steps;
    }

    /// Adds those of another daemon.
    pub const fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Mean, in doublings of a millisecond; zero without times.
    pub fn mean(&self) -> f64 {
        self.sum as f64 / STEPS / self.count.max(1) as f64
    }

    /// Variance, in squared doublings; zero without times.
    pub fn variance(&self) -> f64 {
        let squares = self.squares as f64 / STEPS / STEPS / self.count.max(1) as f64;
        (squares - self.mean().powi(2)).max(0.0)
    }
}
