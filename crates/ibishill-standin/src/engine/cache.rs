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
    pub blocks: usize,
    /// Time from a change to its event.
    pub lag: Duration,
    /// Chance that an event is never published.
    pub loss: f64,
}

/// Cached prompt prefixes, evicted by least recent use.
#[derive(Debug, Clone)]
pub struct Cache {
    settings: Settings,
    used: BTreeMap<wire::Block, u64>,
    order: BTreeMap<u64, wire::Block>,
    clock: u64,
    number: u64,
    waiting: VecDeque<(Duration, wire::CacheEvent)>,
    rng: ChaCha8Rng,
}

impl Cache {
    /// Makes an empty cache whose lost events follow `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            used: BTreeMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            number: 0,
            waiting: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Tokens of the longest cached prefix of `prompt`.
    pub fn hit(&self, prompt: &[wire::Block]) -> u64 {
        let blocks = prompt.iter().take_while(|block| self.used.contains_key(block)).count();
        blocks as u64 * BLOCK_TOKENS
    }

    /// Keeps all blocks of `prompt`, evicting others.
    pub fn store(&mut self, now: Duration, prompt: &[wire::Block]) {
        for &block in prompt.iter().take(self.settings.blocks) {
            self.clock += 1;
            match self.used.insert(block, self.clock) {
                Some(before) => drop(self.order.remove(&before)),
                None => self.publish(now, wire::Change::Stored, block),
            }
            self.order.insert(self.clock, block);
            if self.used.len() > self.settings.blocks {
                self.evict(now);
            }
        }
    }

    /// Forgets everything, as a restart does; nothing is published.
    pub fn clear(&mut self) {
        self.used.clear();
        self.order.clear();
    }

    /// Takes the events that are due at `now`.
    pub fn events(&mut self, now: Duration) -> Vec<wire::CacheEvent> {
        let due = self.waiting.partition_point(|(at, _)| *at <= now);
        self.waiting.drain(..due).map(|(_, event)| event).collect()
    }

    fn evict(&mut self, now: Duration) {
        if let Some((_, block)) = self.order.pop_first() {
            self.used.remove(&block);
            self.publish(now, wire::Change::Evicted, block);
        }
    }

    fn publish(&mut self, now: Duration, change: wire::Change, block: wire::Block) {
        self.number += 1;
        if !self.rng.random_bool(self.settings.loss) {
            let event = wire::CacheEvent { number: self.number, change, block };
            self.waiting.push_back((now + self.settings.lag, event));
        }
    }
}
