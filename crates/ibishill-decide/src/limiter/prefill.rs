//! Prompt processing (prefill) of an endpoint, which takes prompts one after the other.

use ibishill_core::time;

use crate::baseline;

// A stream without a first token; `work` and `ahead` are in prompt bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Wait {
    pub(super) since: time::Tick,
    pub(super) work: u64,
    pub(super) ahead: u64,
}

impl Wait {
    // Waiting time in milliseconds per byte of this prompt and those ahead.
    pub(super) fn ms_per_byte(&self, now: time::Tick) -> f64 {
        now.since(self.since).0 as f64 / (self.ahead + self.work) as f64
    }
}

/// Rate of prompt processing, learned from first tokens.
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
    /// Records a first token at `now`, for a prompt of `work` bytes that waited since `since`.
    ///
    /// Only the time since the previous first token counts for this prompt. The prompts ahead
    /// were partly processed when it arrived, so their time would make the endpoint seem too
    /// fast.
    pub(super) fn record(&mut self, since: time::Tick, work: u64, now: time::Tick) {
        self.rate.record(self.elapsed(since, now) / work as f64);
        self.last = now;
    }

    /// Remaining bytes of the oldest prompt, of `work` bytes.
    ///
    /// Once the prompt is overdue, the result grows with the delay, so that a stalled endpoint
    /// looks loaded.
    pub(super) fn remaining(&self, since: time::Tick, work: u64, now: time::Tick) -> u64 {
        let Some(rate) = self.rate.mean().filter(|rate| *rate > 0.0) else { return work };
        work.abs_diff((self.elapsed(since, now) / rate) as u64)
    }

    /// Milliseconds per byte; absent before the first token.
    pub(super) fn ms_per_byte(&self) -> Option<f64> {
        self.rate.mean()
    }

    /// Discards the learned rate.
    pub(super) fn reset(&mut self) {
        self.rate = baseline::Baseline::default();
    }

    // Milliseconds for which the oldest prompt has been processed.
    fn elapsed(&self, since: time::Tick, now: time::Tick) -> f64 {
        now.since(since.max(self.last)).0 as f64
    }
}
