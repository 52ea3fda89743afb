//! The weight store's rate limit over given time.

use std::collections::BTreeMap;

use ibishill_core::{id, time};
use ibishill_platform::weight;

/// A token bucket of transfers, each of which serves a whole zone for a while.
#[derive(Debug, Clone)]
pub struct Store {
    gap: time::Millis,
    kept: time::Millis,
    next: time::Tick,
    copies: BTreeMap<(id::ZoneId, id::VersionRef), time::Tick>,
    transfers: u64,
}

impl Store {
    /// A store that starts one transfer per `gap`; a zone keeps a copy for `kept`.
    pub fn new(gap: time::Millis, kept: time::Millis) -> Self {
        Self { gap, kept, next: time::Tick(0), copies: BTreeMap::new(), transfers: 0 }
    }

    /// Transfers that were started.
    pub fn transfers(&self) -> u64 {
        self.transfers
    }

    /// Grants a load or says how long to wait.
    pub fn reserve(&mut self, ask: weight::Reservation, now: time::Tick) -> weight::Grant {
        let place = (ask.zone, ask.version);
        let fresh = |at: &time::Tick| now.since(*at) < self.kept;
        if self.copies.get(&place).is_some_and(fresh) {
            return weight::Grant { wait_ms: 0 };
        }
        if now < self.next {
            return weight::Grant { wait_ms: self.next.since(now).0 };
        }
        self.next = now + self.gap;
        self.copies.insert(place, now);
        self.transfers += 1;
        weight::Grant { wait_ms: 0 }
    }
}
