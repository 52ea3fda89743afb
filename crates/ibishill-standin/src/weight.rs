//! The weight store's rate limit over given time.

use std::collections::BTreeMap;

use ibishill_core::{id, time};
use ibishill_platform::weight;

/// A token bucket of transfers, each of which serves a whole zone for a while.
#[derive(Debug, Clone)]
pub struct Store {
    interval: time::Millis,
    retention: time::Millis,
    next_transfer: time::Tick,
    transferred_at: BTreeMap<(id::ZoneId, id::VersionRef), time::Tick>,
    transfers: u64,
}

impl Store {
    /// A store that starts one transfer per `interval`; a zone keeps a copy for `retention`.
    pub fn new(interval: time::Millis, retention: time::Millis) -> Self {
        Self {
            interval,
            retention,
            next_transfer: time::Tick(0),
            transferred_at: BTreeMap::new(),
            transfers: 0,
        }
    }

    /// Transfers that were started.
    pub fn transfers(&self) -> u64 {
        self.transfers
    }

    /// Grants a load or says how long to wait.
    pub fn reserve(&mut self, reservation: weight::Reservation, now: time::Tick) -> weight::Grant {
        let key = (reservation.zone, reservation.version);
        let is_cached = |at: &time::Tick| now.since(*at) < self.retention;
        if self.transferred_at.get(&key).is_some_and(is_cached) {
            return weight::Grant { wait_ms: 0 };
        }
        if now < self.next_transfer {
            return weight::Grant { wait_ms: self.next_transfer.since(now).0 };
        }
        self.next_transfer = now + self.interval;
        self.transferred_at.insert(key, now);
        self.transfers += 1;
        weight::Grant { wait_ms: 0 }
    }
}
