//! Progress of the prompts that an endpoint works through one after the other.

use ibishill_core::time;

use crate::baseline;

// A stream without a first token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Wait {
    pub(super) since: time::Tick,
    pub(super) work: u64,
    pub(super) ahead: u64,
}

impl Wait {
    // Milliseconds for one byte of the prompts ahead and its own.
    pub(super) fn relative(&self, now: time::Tick) -> f64 {
        now.since(self.since).0 as f64 / (self.ahead + self.work) as f64
    }
}

/// What first tokens tell of the rate at which prompts are worked through.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Prefill {
    last: time::Tick,
    rate: baseline::Baseline,
}

impl Default for Prefill {
    fn default() -> Self {
        Self { last: time::Tick(0), rate: baseline::Baseline::default() }
    }
}

impl Prefill {
    /// Learns from a first token at `now` of a prompt of `work` bytes that waited since `since`.
    ///
    /// Only the time since the token before belongs to this prompt; the time of the prompts
    /// ahead, of which a part was done on arrival, would make the endpoint seem too fast.
    pub(super) fn learn(&mut self, since: time::Tick, work: u64, now: time::Tick) {
        self.rate.record(self.spent(since, now) / work as f64);
        self.last = now;
    }

    /// Bytes left of the oldest prompt, of `work` bytes.
    ///
    /// A prompt that is overdue counts by how long it is: something holds the endpoint up.
    pub(super) fn left(&self, since: time::Tick, work: u64, now: time::Tick) -> u64 {
        let Some(rate) = self.rate.mean().filter(|rate| *rate > 0.0) else { return work };
        work.abs_diff((self.spent(since, now) / rate) as u64)
    }

    /// Milliseconds for one byte, once there was a first token.
    pub(super) fn byte_ms(&self) -> Option<f64> {
        self.rate.mean()
    }

    /// Forgets the rate.
    pub(super) fn reset(&mut self) {
        self.rate = baseline::Baseline::default();
    }

    // Milliseconds for which the oldest prompt has been worked on.
    fn spent(&self, since: time::Tick, now: time::Tick) -> f64 {
        now.since(since.max(self.last)).0 as f64
    }
}
