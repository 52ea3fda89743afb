//! Confirmations by the store that a table is current, as daemons pass them on.
//!
//! A daemon has no common clock with its peers, so it tells them the age of a confirmation. Each
//! message makes the age too small by the time that it travels. The store's own time identifies a
//! confirmation, so that an old one that is heard again doesn't seem to be newer.

use ibishill_core::{store_version, time};
use serde::{Deserialize, Serialize};

/// Time by the store's clock, which may go back with a new era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Era of the store.
    pub era: store_version::Era,
    /// Time in milliseconds; 0 if there was none.
    pub millis: u64,
}

/// Confirmation of a table's version, as told to a peer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Version of the table.
    pub version: store_version::StoreVersion,
    /// Time of the confirmation by the store's clock.
    pub stamp: Stamp,
    /// Time since the confirmation; `None` if there was none.
    pub age: Option<time::Millis>,
}

/// Latest confirmation that a daemon knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmation {
    stamp: Stamp,
    at: Option<time::Tick>,
}

impl Confirmation {
    /// When the store confirmed the table, by this daemon's clock.
    pub const fn at(&self) -> Option<time::Tick> {
        self.at
    }

    /// Records a confirmation that the store gave this daemon, at `stamp` by its own clock.
    pub fn record(&mut self, stamp: Stamp, at: time::Tick) {
        self.stamp = stamp;
        self.at = self.at.max(Some(at));
    }

    /// Records a peer's confirmation of the same version as this daemon's, unless it is known.
    pub fn hear(&mut self, told: &Told, now: time::Tick) {
        let age = told.age.filter(|_| told.stamp > self.stamp || self.at.is_none());
        if let Some(age) = age {
            self.record(told.stamp, time::Tick(now.0.saturating_sub(age.0)));
        }
    }

    /// The confirmation, to be told to peers.
    pub fn tell(&self, version: store_version::StoreVersion, now: time::Tick) -> Told {
        Told { version, stamp: self.stamp, age: self.at.map(|at| now.since(at)) }
    }
}
