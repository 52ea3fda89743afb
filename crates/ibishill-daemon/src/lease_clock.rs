//! Time until which this daemon may admit requests, on the boot clock, which also advances while
//! the VM is suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ibishill_core::time;
use ibishill_decide::admit;

/// Time until which this daemon may admit requests; clones share it. Grants of the other members
/// can extend it beyond the expiry of the lease.
#[derive(Debug, Clone, Default)]
pub struct LeaseClock {
    expiry: Arc<AtomicU64>,
}

impl LeaseClock {
    /// Sets the expiry.
    pub fn set(&self, expiry: time::Tick) {
        self.expiry.store(expiry.0, Ordering::Release);
    }

    /// Requests may be admitted only before this time; zero if the daemon is no member.
    pub fn expiry(&self) -> time::Tick {
        time::Tick(self.expiry.load(Ordering::Acquire))
    }

    /// Right to admit requests until the expiry.
    pub fn lease(&self) -> admit::Lease {
        admit::Lease { until: self.expiry() }
    }
}
