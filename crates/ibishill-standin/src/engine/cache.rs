//! The engine's prefix cache in limited memory, and the events it publishes late and
//! with gaps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ibishill_endpoint::wire;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Prompt tokens in one block of the cache.
pub const BLOCK_TOKENS: u64 = 16;

/// Size of the cache and quality of its events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Most blocks that are kept.
    pub max_blocks: usize,
    /// Time from a change to its event.
    pub event_lag: Duration,
    /// Chance that an event is never published.
    pub event_loss: f64,
}

/// Cached prompt prefixes, evicted by least recent use.
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
    /// Makes an empty cache whose lost events follow `seed`.
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

    /// Tokens of the longest cached prefix of `prompt`.
    pub fn cached_tokens(&self, prompt: &[wire::Block]) -> u64 {
        let blocks = prompt.iter().take_while(|block| self.last_used.contains_key(block)).count();
        blocks as u64 * BLOCK_TOKENS
    }

    /// Keeps all blocks of `prompt`, evicting others.
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

    /// Forgets everything, as a restart does; nothing is published.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_use.clear();
    }

    /// Takes the events that are due at `now`.
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
