//! The endpoints that are likely to have a prompt's prefix cached, in bounded memory.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::prefix::PrefixKey;
use ibishill_core::{id, time};

/// Most prefixes that one owner tracks.
pub const PREFIXES_MAX: usize = 16_384;

/// Most endpoints tracked for one prefix, the most recent ones.
const HOLDERS_MAX: usize = 4;

/// Age at which a hit is half as likely; it decays since eviction events may be lost.
const HALF_LIFE: time::Millis = time::Millis::from_secs(60);

/// Leading bytes of the messages that are hashed.
pub const PREFIX_BYTES: usize = 1_024;

/// Hashes the first [`PREFIX_BYTES`] bytes of `messages`.
pub fn key(messages: &[u8]) -> PrefixKey {
    let start = &messages[..messages.len().min(PREFIX_BYTES)];
    PrefixKey(xxhash_rust::xxh3::xxh3_64(start))
}

/// A change of an endpoint's prefix cache; events may be delayed, repeated or lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// Endpoints that are likely to hold each prefix.
#[derive(Debug, Clone, Default)]
pub struct Holders {
    // Most recent holder first.
    holders: BTreeMap<PrefixKey, Vec<(id::EndpointId, time::Tick)>>,
    insertion_order: VecDeque<PrefixKey>,
}

impl Holders {
    /// Records a cache event; a dispatch counts as [`Event::Stored`].
    pub fn record(
        &mut self,
        key: PrefixKey,
        endpoint: &id::EndpointId,
        event: Event,
        now: time::Tick,
    ) {
        if event == Event::Evicted {
            if let Some(holders) = self.holders.get_mut(&key) {
                holders.retain(|(name, _)| name != endpoint);
            }
            return;
        }
        if !self.holders.contains_key(&key) {
            self.evict_oldest();
            self.insertion_order.push_back(key);
        }
        let holders = self.holders.entry(key).or_default();
        holders.retain(|(name, _)| name != endpoint);
        holders.insert(0, (endpoint.clone(), now));
        holders.truncate(HOLDERS_MAX);
    }

    /// Estimated probability that `endpoint` has the prefix cached.
    pub fn hit_probability(
        &self,
        key: PrefixKey,
        endpoint: &id::EndpointId,
        now: time::Tick,
    ) -> f64 {
        let holders = self.holders.get(&key).map_or(&[][..], Vec::as_slice);
        let found = holders.iter().find(|(name, _)| name == endpoint);
        found.map_or(0.0, |(_, at)| 0.5_f64.powf(now.since(*at).0 as f64 / HALF_LIFE.0 as f64))
    }

    /// Number of tracked prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Removes an endpoint from all prefixes, such as after its restart.
    pub fn forget(&mut self, endpoint: &id::EndpointId) {
        for holders in self.holders.values_mut() {
            holders.retain(|(name, _)| name != endpoint);
        }
    }

    fn evict_oldest(&mut self) {
        if self.holders.len() >= PREFIXES_MAX
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.holders.remove(&oldest);
        }
    }
}
