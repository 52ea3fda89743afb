//! How long this daemon's lease is valid, on the clock that goes on while a VM is suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ibishill_core::time;
use ibishill_decide::admit;

/// End of the lease, shared between duties; without a renewal there is no lease.
#[derive(Debug, Clone, Default)]
pub struct LeaseClock {
    until: Arc<AtomicU64>,
}

impl LeaseClock {
    /// Moves the lease's end, never back.
    pub fn extend(&self, until: time::Tick) {
        self.until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Ends the lease now.
    pub fn end(&self) {
        self.until.store(0, Ordering::Release);
    }

    /// The right to admit that the lease gives.
    pub fn guard(&self) -> admit::Guard {
        admit::Guard { until: time::Tick(self.until.load(Ordering::Acquire)) }
    }
}
