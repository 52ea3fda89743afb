//! Billing records held by a second daemon until the first has written them.
//!
//! The first holder writes batches and tells the second which records are safe.
//! A record that is not confirmed in time is written by the second holder as
//! well; counting is idempotent by request id, so a double write counts once.

use std::collections::BTreeMap;

use ibishill_core::{id, time, view};
use sha2::{Digest, Sha256};

use crate::billing;

/// Most records held for other daemons; beyond it a record stays with its first holder.
pub const CAPACITY: usize = 32_768;

/// The daemons of `view` but `vm` that may hold the record of `request`, best first.
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

/// Records held for other daemons.
#[derive(Debug, Clone, Default)]
pub struct Holder {
    entries: BTreeMap<id::RequestId, Entry>,
}

impl Holder {
    /// Holds a record until it is confirmed or `due`; returns whether there was room.
    pub fn hold(&mut self, record: billing::Record, due: time::Tick) -> bool {
        let known = self.entries.contains_key(&record.request);
        if !known && self.entries.len() >= CAPACITY {
            return false;
        }
        self.entries.insert(record.request.clone(), Entry { record, expires: due });
        true
    }

    /// Lets go of a record that its first holder has written.
    pub fn confirm(&mut self, request: &id::RequestId) {
        self.entries.remove(request);
    }

    /// Takes at most `most` records not confirmed in time; the caller writes them.
    pub fn take_expired(&mut self, now: time::Tick, most: usize) -> Vec<billing::Record> {
        let late = self.entries.extract_if(.., |_, held| held.expires <= now);
        late.take(most).map(|(_, held)| held.record).collect()
    }

    /// How many records are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
