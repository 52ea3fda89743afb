//! When the lease lapses that admission checks, on the clock that counts suspension.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ibishill_core::time;
use ibishill_decide::admit;

/// A shared place that holds the end of the lease; clones share it.
#[derive(Debug, Clone, Default)]
pub struct LeaseClock {
    until: Arc<AtomicU64>,
}

impl LeaseClock {
    /// Notes when the lease lapses.
    pub fn set(&self, until: time::Tick) {
        self.until.store(until.0, Ordering::Release);
    }

    /// When the lease lapses; work may be admitted before that only.
    pub fn expiry(&self) -> time::Tick {
        time::Tick(self.until.load(Ordering::Acquire))
    }

    /// The right to admit that the lease gives.
    pub fn lease(&self) -> admit::Lease {
        admit::Lease { until: self.expiry() }
    }
}
