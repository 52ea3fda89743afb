//! Which endpoint is likely to have a prompt's prefix cached, in bounded memory.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::prefix::PrefixKey;
use ibishill_core::{id, time};

/// Prefixes kept by one owner.
pub const PREFIXES_MAX: usize = 16_384;

/// Endpoints kept for one prefix.
const HOLDERS_MAX: usize = 4;

/// Age at which a hit is half as likely, since events of evictions may be lost.
const HALF_LIFE: time::Millis = time::Millis::from_secs(60);

/// Bytes of the messages that count.
pub const PREFIX_BYTES: usize = 1_024;

/// Hashes the start of `messages`.
pub fn key(messages: &[u8]) -> PrefixKey {
    let start = &messages[..messages.len().min(PREFIX_BYTES)];
    PrefixKey(xxhash_rust::xxh3::xxh3_64(start))
}

/// What an endpoint says of its cache; events may come late, twice or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// Likely holders of prefixes, the latest first.
#[derive(Debug, Clone, Default)]
pub struct Holders {
    known: BTreeMap<PrefixKey, Vec<(id::EndpointId, time::Tick)>>,
    order: VecDeque<PrefixKey>,
}

impl Holders {
    /// Takes in an event, or a dispatch as [`Event::Stored`].
    pub fn record(
        &mut self,
        key: PrefixKey,
        endpoint: &id::EndpointId,
        event: Event,
        now: time::Tick,
    ) {
        if event == Event::Evicted {
            if let Some(holders) = self.known.get_mut(&key) {
                holders.retain(|(name, _)| name != endpoint);
            }
            return;
        }
        if !self.known.contains_key(&key) {
            self.make_room();
            self.order.push_back(key);
        }
        let holders = self.known.entry(key).or_default();
        holders.retain(|(name, _)| name != endpoint);
        holders.insert(0, (endpoint.clone(), now));
        holders.truncate(HOLDERS_MAX);
    }

    /// Probability that `endpoint` has the prefix cached.
    pub fn hit_probability(
        &self,
        key: PrefixKey,
        endpoint: &id::EndpointId,
        now: time::Tick,
    ) -> f64 {
        let holders = self.known.get(&key).map_or(&[][..], Vec::as_slice);
        let found = holders.iter().find(|(name, _)| name == endpoint);
        found.map_or(0.0, |(_, at)| 0.5_f64.powf(now.since(*at).0 as f64 / HALF_LIFE.0 as f64))
    }

    /// Prefixes known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets what an endpoint held, as after its restart.
    pub fn forget(&mut self, endpoint: &id::EndpointId) {
        for holders in self.known.values_mut() {
            holders.retain(|(name, _)| name != endpoint);
        }
    }

    fn make_room(&mut self) {
        if self.known.len() >= PREFIXES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}
