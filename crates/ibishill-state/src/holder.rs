//! Copies of billing records that a second daemon holds until the first has written them.
//!
//! The first holder writes batches to the object store and confirms the written records to
//! the second. A record that is not confirmed in time is written by the second holder too;
//! totals are deduplicated by request id, so a record that is written twice counts once.

use std::collections::BTreeMap;

use ibishill_core::{id, time, view};
use sha2::{Digest, Sha256};

use crate::billing;

/// Maximum number of records held for other daemons; further records stay with their
/// first holder only.
pub const CAPACITY: usize = 32_768;

/// Returns the members of `view` other than `vm` that may hold the record of `request`, in
/// order of preference.
///
/// Rendezvous hashing by request id spreads the records evenly over the zone.
pub fn candidates<'a>(
    view: &'a view::View,
    vm: &id::VmId,
    request: &id::RequestId,
) -> Vec<&'a view::Member> {
    let mut members: Vec<_> = view.members.iter().filter(|member| member.vm != *vm).collect();
    members.sort_by_cached_key(|member| weight(&member.vm, request));
    members
}

fn weight(vm: &id::VmId, request: &id::RequestId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(vm.as_str());
    hash.update([0]);
    hash.update(request.as_str());
    hash.finalize().into()
}

#[derive(Debug, Clone)]
struct Entry {
    record: billing::Record,
    expires: time::Tick,
}

/// Billing records held for other daemons.
#[derive(Debug, Clone, Default)]
pub struct Holder {
    entries: BTreeMap<id::RequestId, Entry>,
}

impl Holder {
    /// Holds a record until it is confirmed or `expires`; returns false if the holder is
    /// full. A repeated record replaces its copy.
    pub fn hold(&mut self, record: billing::Record, expires: time::Tick) -> bool {
        let known = self.entries.contains_key(&record.request);
        if !known && self.entries.len() >= CAPACITY {
            return false;
        }
        self.entries.insert(record.request.clone(), Entry { record, expires });
        true
    }

    /// Drops a record that its first holder has written.
    pub fn confirm(&mut self, request: &id::RequestId) {
        self.entries.remove(request);
    }

    /// Removes at most `limit` expired records, which the caller has to write.
    pub fn take_expired(&mut self, now: time::Tick, limit: usize) -> Vec<billing::Record> {
        let expired = self.entries.extract_if(.., |_, entry| entry.expires <= now);
        expired.take(limit).map(|(_, entry)| entry.record).collect()
    }

    /// Number of records held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
