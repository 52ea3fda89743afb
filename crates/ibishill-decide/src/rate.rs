//! A token bucket.

use ibishill_core::time;

/// A token bucket that fills with time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    at: time::Tick,
}

/// How fast a bucket fills, and how far.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Tokens a second.
    pub per_second: f64,
    /// Most tokens.
    pub burst: f64,
}

impl Bucket {
    /// A bucket with `level` tokens.
    pub const fn new(level: f64, now: time::Tick) -> Self {
        Self { level, at: now }
    }

    /// Takes a token, if there is a whole one.
    pub fn try_take(&mut self, rate: Rate, now: time::Tick) -> bool {
        self.fill(rate, now);
        let has = self.level >= 1.0;
        if has {
            self.level -= 1.0;
        }
        has
    }

    /// Whether there is a whole token.
    pub fn has_token(&self, rate: Rate, now: time::Tick) -> bool {
        let mut filled = *self;
        filled.fill(rate, now);
        filled.level >= 1.0
    }

    fn fill(&mut self, rate: Rate, now: time::Tick) {
        let gained = now.since(self.at).0 as f64 / 1_000.0 * rate.per_second;
        self.level = (self.level + gained).min(rate.burst);
        self.at = self.at.max(now);
    }
}
