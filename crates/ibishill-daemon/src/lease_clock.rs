//! Expiry of the lease that admission checks, on the boot clock, which also advances while
//! the VM is suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ibishill_core::time;
use ibishill_decide::admit;

/// Expiry of the lease; clones share it.
#[derive(Debug, Clone, Default)]
pub struct LeaseClock {
    expiry: Arc<AtomicU64>,
}

impl LeaseClock {
    /// Sets the expiry.
    pub fn set(&self, expiry: time::Tick) {
        self.expiry.store(expiry.0, Ordering::Release);
    }

    /// Expiry of the lease; requests may be admitted only before it.
    pub fn expiry(&self) -> time::Tick {
        time::Tick(self.expiry.load(Ordering::Acquire))
    }

    /// Right to admit requests until the expiry.
    pub fn lease(&self) -> admit::Lease {
        admit::Lease { until: self.expiry() }
    }
}
