//! A daemon's replica of tables of the platform's store, and the deltas that bring a
//! peer's replica up to date.
//!
//! Each replica has the version of the store up to which it contains all writes. Versions
//! only increase, so that an older row never replaces a newer one, whether deltas come
//! from the store or from a peer. Numbers of another era of the store say nothing of this one, so a
//! replica enters an era by a whole table only.

use std::collections::BTreeMap;

use ibishill_core::{fleet, store_version};
use serde::{Deserialize, Serialize};

/// Tombstones of removed rows that are kept for peers; a peer that lacks older ones gets
/// the whole table.
const MAX_TOMBSTONES: usize = 512;

/// Replica of one table.
#[derive(Debug, Clone, Default)]
pub struct Table {
    is_loaded: bool,
    version: store_version::StoreVersion,
    // Tombstones up to this version may be missing.
    horizon: store_version::StoreVersion,
    rows: BTreeMap<String, fleet::RawRow>,
}

/// Rows of one table that bring a replica up to `version`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Whether it lists the whole table, so that any other row does not exist.
    pub is_whole: bool,
    /// Version of the store up to which the delta is complete.
    pub version: store_version::StoreVersion,
    /// Rows in ascending key order; a row without a value was removed.
    pub rows: Vec<fleet::RawRow>,
}

impl Table {
    /// Whether the table has been read at least once; it may be empty.
    pub const fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Version of the store up to which the replica is complete; the default before the first read.
    pub const fn version(&self) -> store_version::StoreVersion {
        self.version
    }

    /// Iterates over existing rows in key order.
    pub fn rows(&self) -> impl Iterator<Item = &fleet::RawRow> {
        self.rows.values().filter(|row| row.value.is_some())
    }

    /// Existing row with a key.
    pub fn row(&self, key: &str) -> Option<&fleet::RawRow> {
        self.rows.get(key).filter(|row| row.value.is_some())
    }

    /// Whether a delta is of a later era than the replica.
    pub fn is_later_era(&self, delta: &Delta) -> bool {
        self.is_loaded && delta.version.era > self.version.era
    }

    /// Applies a delta and returns the rows that it changed, removed ones included. A delta
    /// older than the replica is ignored, and so is one of a later era that is not whole. Of a later
    /// era, only rows with another value have changed.
    pub fn merge(&mut self, delta: Delta) -> Vec<fleet::RawRow> {
        let is_later_era = self.is_later_era(&delta);
        if delta.version < self.version || (is_later_era && !delta.is_whole) {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if delta.is_whole {
            // A whole table has no tombstones for rows that this replica never held.
            self.horizon = delta.version;
            let listed: Vec<&str> = delta.rows.iter().map(|row| row.key.as_str()).collect();
            for row in self.rows.values_mut() {
                let is_listed = listed.binary_search(&row.key.as_str()).is_ok();
                if !is_listed && row.value.is_some() {
                    row.version = delta.version;
                    row.value = None;
                    changed.push(row.clone());
                }
            }
        }
        for row in delta.rows {
            let known = self.rows.get(&row.key);
            if known.is_some_and(|known| known.version >= row.version) {
                continue;
            }
            let known_value = known.and_then(|known| known.value.as_ref());
            let is_change = (known_value.is_some() || row.value.is_some())
                && !(is_later_era && known_value == row.value.as_ref());
            if is_change {
                changed.push(row.clone());
            }
            self.rows.insert(row.key.clone(), row);
        }
        self.version = delta.version;
        self.is_loaded = true;
        self.evict_tombstones();
        changed
    }

    /// Returns the delta for a peer whose replica is at `version`, or `None` if it is up to
    /// date. Without the tombstones that the peer needs, the delta is the whole table.
    pub fn since(&self, version: store_version::StoreVersion) -> Option<Delta> {
        if version >= self.version {
            return None;
        }
        let is_whole = version < self.horizon || version == store_version::StoreVersion::default();
        let wanted = |row: &&fleet::RawRow| {
            if is_whole { row.value.is_some() } else { row.version > version }
        };
        let rows = self.rows.values().filter(wanted).cloned().collect();
        Some(Delta { is_whole, version: self.version, rows })
    }

    fn evict_tombstones(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        let mut versions: Vec<store_version::StoreVersion> =
            removed.map(|row| row.version).collect();
        if versions.len() <= MAX_TOMBSTONES {
            return;
        }
        versions.sort_unstable();
        let cut = versions[versions.len() - MAX_TOMBSTONES / 2];
        self.rows.retain(|_, row| row.value.is_some() || row.version > cut);
        self.horizon = self.horizon.max(cut);
    }
}
