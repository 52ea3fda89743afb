//! Rows of the platform's store as one daemon knows them, and what a peer lacks of them.
//!
//! Each table is known up to one version of the store: everything that was written up to
//! there is in it. Versions only rise, so whichever way news arrives, from the store or
//! from a peer, the older copy never replaces the newer one.

use std::collections::BTreeMap;

use ibishill_core::fleet;
use serde::{Deserialize, Serialize};

/// Removed rows that are remembered for peers; one that lacks more gets the whole table.
const MAX_TOMBSTONES: usize = 512;

/// A table as far as it is known.
#[derive(Debug, Clone, Default)]
pub struct Table {
    is_loaded: bool,
    version: u64,
    // No removal up to here is remembered any more.
    horizon: u64,
    rows: BTreeMap<String, fleet::Record>,
}

/// News of one table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Whether rows that are not in it do not exist.
    pub is_whole: bool,
    /// Version of the store up to which it holds everything.
    pub version: u64,
    /// Rows, in the order of their keys.
    pub rows: Vec<fleet::Record>,
}

impl Table {
    /// Whether the table was read; it may be empty.
    pub const fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Version of the store up to which the table is known; 0 before the first read.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Rows that exist.
    pub fn rows(&self) -> impl Iterator<Item = &fleet::Record> {
        self.rows.values().filter(|row| row.value.is_some())
    }

    /// Takes in news and returns the rows that have changed by it, removed ones included.
    pub fn merge(&mut self, delta: Delta) -> Vec<fleet::Record> {
        if delta.version < self.version {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if delta.is_whole {
            // It tells of no removal of rows that were never known here.
            self.horizon = delta.version;
            let kept: Vec<&str> = delta.rows.iter().map(|row| row.key.as_str()).collect();
            for row in self.rows.values_mut() {
                let is_kept = kept.binary_search(&row.key.as_str()).is_ok();
                if !is_kept && row.value.is_some() {
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
            let is_news = known.is_some_and(|known| known.value.is_some()) || row.value.is_some();
            if is_news {
                changed.push(row.clone());
            }
            self.rows.insert(row.key.clone(), row);
        }
        self.version = delta.version;
        self.is_loaded = true;
        self.evict_tombstones();
        changed
    }

    /// What a peer lacks that knows the table up to `version`; none if it lacks nothing.
    pub fn since(&self, version: u64) -> Option<Delta> {
        if version >= self.version {
            return None;
        }
        let is_whole = version < self.horizon || version == 0;
        let wanted = |row: &&fleet::Record| {
            if is_whole { row.value.is_some() } else { row.version > version }
        };
        let rows = self.rows.values().filter(wanted).cloned().collect();
        Some(Delta { is_whole, version: self.version, rows })
    }

    fn evict_tombstones(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        let mut versions: Vec<u64> = removed.map(|row| row.version).collect();
        if versions.len() <= MAX_TOMBSTONES {
            return;
        }
        versions.sort_unstable();
        let cut = versions[versions.len() - MAX_TOMBSTONES / 2];
        self.rows.retain(|_, row| row.value.is_some() || row.version > cut);
        self.horizon = self.horizon.max(cut);
    }
}
