//! Outcomes of prompts, by endpoint and request, so that a record that several daemons tell counts once; by time, so
//! that the oldest make room; and in the order in which they were heard, so that each is passed on for a while.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ibishill_core::time;

use super::Prompt;
use crate::endpoint_key::EndpointKey;

/// Maximum number of records.
const RECORDS_MAX: usize = 1_024;

pub(super) type Key = (EndpointKey, u32);

#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) prompt: Prompt,
    pub(super) sent: time::Tick,
    // End of the endpoint, or of the response.
    pub(super) until: time::Tick,
    pub(super) heard: time::Tick,
}

/// Records of one outcome.
#[derive(Debug, Clone, Default)]
pub(super) struct Records {
    all: BTreeMap<Key, Record>,
    times: BTreeSet<(time::Tick, Key)>,
    heard: VecDeque<Key>,
}

impl Records {
    /// Adds a record; returns whether it is new. One that is older than all that are kept is not added once there are
    /// as many as may be: it may have made room before, and would be passed on for ever.
    pub(super) fn add(&mut self, key: Key, record: Record) -> bool {
        if self.all.contains_key(&key) {
            return false;
        }
        if self.all.len() >= RECORDS_MAX {
            let Some(oldest) = self.times.first().copied() else { return false };
            if record.until <= oldest.0 {
                return false;
            }
            self.remove(oldest.1);
        }
        self.times.insert((record.until, key));
        self.all.insert(key, record);
        self.heard.push_front(key);
        self.heard.truncate(RECORDS_MAX);
        true
    }

    fn remove(&mut self, key: Key) {
        if let Some(record) = self.all.remove(&key) {
            self.times.remove(&(record.until, key));
        }
    }

    /// Removes the records before `from`.
    pub(super) fn expire(&mut self, from: time::Tick) {
        while let Some(oldest) = self.times.first().copied().filter(|(at, _)| *at < from) {
            self.remove(oldest.1);
        }
    }

    /// Removes the records for which `is_kept` is false; returns whether there were any.
    pub(super) fn retain<F>(&mut self, is_kept: F) -> bool
    where
        F: Fn(&Key, &Record) -> bool,
    {
        let removed = self.all.iter().filter(|(key, record)| !is_kept(key, record));
        let removed: Vec<Key> = removed.map(|(key, _)| *key).collect();
        for key in &removed {
            self.remove(*key);
        }
        !removed.is_empty()
    }

    pub(super) fn get(&self, key: &Key) -> Option<&Record> {
        self.all.get(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.all.iter()
    }

    /// Those heard since `from`, the latest first.
    pub(super) fn heard_since(&self, from: time::Tick) -> impl Iterator<Item = (&Key, &Record)> {
        let known = self.heard.iter().map(|key| (key, self.all.get(key)));
        let recent =
            known.take_while(move |(_, record)| record.is_none_or(|record| record.heard > from));
        recent.filter_map(|(key, record)| record.map(|record| (key, record)))
    }
}
