//! Rate limiting by a token bucket.
use ibishill_core::time;

/// A token bucket that refills over time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    refilled_at: time::Tick,
}

/// Refill rate and capacity of a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Tokens added per second.
    pub per_second: f64,
    /// Capacity in tokens.
    pub burst: f64,
}

impl Bucket {
    /// Creates a bucket that holds `level` tokens.
    pub const fn new(level: f64, now: time::Tick) -> Self {
        Self { level, refilled_at: now }
    }

    /// Takes a token if at least one is available; returns whether it was taken.
    pub fn try_take(&mut self, rate: Rate, now: time::Tick) -> bool {
        self.refill(rate, now);
        let is_available = self.level >= 1.0;
        if is_available {
            self.level -= 1.0;
        }
        is_available
    }

    /// Whether at least one token is available.
    pub fn has_token(&self, rate: Rate, now: time::Tick) -> bool {
        let mut refilled = *self;
        refilled.refill(rate, now);
        refilled.level >= 1.0
    }

    fn refill(&mut self, rate: Rate, now: time::Tick) {
        let added = now.since(self.refilled_at).0 as f64 / 1_000.0 * rate.per_second;
        self.level = (self.level + added).min(rate.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
