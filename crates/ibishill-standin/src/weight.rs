//! Rate limit of the weight store; the caller passes the current time.

use std::collections::BTreeMap;

use ibishill_core::{id, time};
use ibishill_platform::weight;

/// Limits how often a transfer starts; each transfer gives its zone a cached copy of a version.
#[derive(Debug, Clone)]
pub struct Store {
    interval: time::Millis,
    retention: time::Millis,
    next_transfer: time::Tick,
    transferred_at: BTreeMap<(id::ZoneId, id::VersionRef), time::Tick>,
    transfers: u64,
}

impl Store {
    /// Creates a store that starts at most one transfer per `interval`. A zone keeps its copy for
    /// `retention` after the transfer starts.
    pub fn new(interval: time::Millis, retention: time::Millis) -> Self {
        Self {
            interval,
            retention,
            next_transfer: time::Tick(0),
            transferred_at: BTreeMap::new(),
            transfers: 0,
        }
    }

    /// Number of transfers started so far.
    pub fn transfers(&self) -> u64 {
        self.transfers
    }

    /// Grants a load, or returns the time to wait before asking again. A load from a copy that the
    /// zone still keeps starts no transfer and is granted at once.
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
