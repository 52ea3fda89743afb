//! Admission to one endpoint: its own limit, lower while it is cold.

use ibishill_core::time;

/// How warm an endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It bears only its declared cold limit.
    Cold,
    /// Its limit rises with each good answer.
    Warming,
    /// It bears its full limit.
    Warm,
}

/// Limits of one endpoint, from its declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests at once when cold.
    pub cold: u32,
    /// Requests at once when warm.
    pub warm: u32,
}

/// How an answer ended, for the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Whole and in time.
    Good,
    /// Failed, cut or late.
    Bad,
}

/// Counts what runs at one endpoint and bounds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gate {
    limits: Limits,
    limit: u32,
    running: u32,
    good: u32,
    since: time::Tick,
}

impl Gate {
    /// Makes the gate of an endpoint that counts as cold.
    pub fn cold(limits: Limits, now: time::Tick) -> Self {
        Self { limits, limit: limits.cold, running: 0, good: 0, since: now }
    }

    /// How warm the endpoint is.
    pub fn warmth(&self) -> Warmth {
        if self.limit <= self.limits.cold && self.limit < self.limits.warm {
            return Warmth::Cold;
        }
        if self.limit < self.limits.warm { Warmth::Warming } else { Warmth::Warm }
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that may run at once now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Requests that may still be admitted now.
    pub fn room(&self) -> u32 {
        self.limit.saturating_sub(self.running)
    }

    /// Takes over changed limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.limit = self.limit.clamp(limits.cold, limits.warm);
    }

    /// Admits one request if there is room.
    pub fn admit(&mut self) -> bool {
        if self.room() == 0 {
            return false;
        }
        self.running += 1;
        true
    }

    /// Ends one request.
    pub fn finish(&mut self, answer: Answer, now: time::Tick) {
        self.running = self.running.saturating_sub(1);
        match answer {
            Answer::Good => self.grow(),
            Answer::Bad => self.shrink(now),
        }
    }

    // One more slot after as many good answers as there are slots: additive increase.
    fn grow(&mut self) {
        self.good += 1;
        if self.good >= self.limit && self.limit < self.limits.warm {
            self.limit += 1;
            self.good = 0;
        }
    }

    fn shrink(&mut self, now: time::Tick) {
        self.good = 0;
        self.limit = (self.limit / 2).max(self.limits.cold);
        self.since = now;
    }
}
