//! Prefix cache of bounded size. Its events are published with a delay, and some are lost.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ibishill_endpoint::wire;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Prompt tokens per cache block.
pub const BLOCK_TOKENS: u64 = 16;

/// Size of the cache, and delay and loss of its events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Most blocks that the cache holds.
    pub max_blocks: usize,
    /// Delay from a change to the publication of its event.
    pub event_lag: Duration,
    /// Probability, from 0 to 1, that an event is never published.
    pub event_loss: f64,
}

/// Cached prompt prefixes; the least recently used block is evicted first.
#[derive(Debug, Clone)]
pub struct Cache {
    settings: Settings,
    last_used: BTreeMap<wire::Block, u64>,
    by_use: BTreeMap<u64, wire::Block>,
    clock: u64,
    event_number: u64,
    pending: VecDeque<(Duration, wire::CacheEvent)>,
    rng: ChaCha8Rng,
}

impl Cache {
    /// Creates an empty cache; `seed` decides which events are lost.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            last_used: BTreeMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            event_number: 0,
            pending: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Length of the longest cached prefix of `prompt`, in tokens.
    pub fn cached_tokens(&self, prompt: &[wire::Block]) -> u64 {
        let blocks = prompt.iter().take_while(|block| self.last_used.contains_key(block)).count();
        blocks as u64 * BLOCK_TOKENS
    }

    /// Inserts the first [`Settings::max_blocks`] blocks of `prompt`, evicting others as needed.
    pub fn insert(&mut self, now: Duration, prompt: &[wire::Block]) {
        for &block in prompt.iter().take(self.settings.max_blocks) {
            self.clock += 1;
            match self.last_used.insert(block, self.clock) {
                Some(previous) => drop(self.by_use.remove(&previous)),
                None => self.publish(now, wire::Change::Stored, block),
            }
            self.by_use.insert(self.clock, block);
            if self.last_used.len() > self.settings.max_blocks {
                self.evict(now);
            }
        }
    }

    /// Empties the cache without publishing events, as a restart does.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_use.clear();
    }

    /// Removes and returns the events that are due at `now`.
    pub fn take_events(&mut self, now: Duration) -> Vec<wire::CacheEvent> {
        let due = self.pending.partition_point(|(at, _)| *at <= now);
        self.pending.drain(..due).map(|(_, event)| event).collect()
    }

    fn evict(&mut self, now: Duration) {
        if let Some((_, block)) = self.by_use.pop_first() {
            self.last_used.remove(&block);
            self.publish(now, wire::Change::Evicted, block);
        }
    }

    fn publish(&mut self, now: Duration, change: wire::Change, block: wire::Block) {
        self.event_number += 1;
        if !self.rng.random_bool(self.settings.event_loss) {
            let event = wire::CacheEvent { number: self.event_number, change, block };
            self.pending.push_back((now + self.settings.event_lag, event));
        }
    }
}
