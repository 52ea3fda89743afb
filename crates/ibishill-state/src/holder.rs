//! Billing records held by a second daemon until the first has written them.
//!
//! The first holder writes batches and tells the second which records are safe.
//! A record that is not confirmed in time is written by the second holder as
//! well; counting is idempotent by request id, so a double write counts once.

use std::collections::BTreeMap;

use ibishill_core::{id, time};

use crate::billing;

/// Most records held for other daemons; beyond it a request is refused as not run.
pub const HELD_MAX: usize = 32_768;

#[derive(Debug, Clone)]
struct Held {
    record: billing::Record,
    due: time::Tick,
}

/// Records held for other daemons.
#[derive(Debug, Clone, Default)]
pub struct Holder {
    held: BTreeMap<id::RequestId, Held>,
}

impl Holder {
    /// Holds a record until it is confirmed or `due`; returns whether there was room.
    pub fn hold(&mut self, record: billing::Record, due: time::Tick) -> bool {
        let known = self.held.contains_key(&record.request);
        if !known && self.held.len() >= HELD_MAX {
            return false;
        }
        self.held.insert(record.request.clone(), Held { record, due });
        true
    }

    /// Lets go of a record that its first holder has written.
    pub fn confirm(&mut self, request: &id::RequestId) {
        self.held.remove(request);
    }

    /// Takes the records that were not confirmed in time; the caller writes them.
    pub fn take_due(&mut self, now: time::Tick) -> Vec<billing::Record> {
        let late = self.held.extract_if(.., |_, held| held.due <= now);
        late.map(|(_, held)| held.record).collect()
    }

    /// Takes every record, for a daemon that stops.
    pub fn take_all(&mut self) -> Vec<billing::Record> {
        std::mem::take(&mut self.held).into_values().map(|held| held.record).collect()
    }

    /// How many records are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
