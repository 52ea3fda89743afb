//! A second attempt beside a slow first one, for calls that may run twice.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::{id, repeat, time};

/// First tokens that are remembered for each target.
const WINDOW: usize = 128;

/// First tokens from which on the usual time is known.
const KNOWN_MIN: usize = 32;

/// Share of first tokens that come before a second attempt begins.
const SHARE: f64 = 0.95;

/// Times to the first token, by target.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    times: BTreeMap<id::Target, VecDeque<time::Millis>>,
}

impl Latencies {
    /// Notes the time to a first token.
    pub fn record(&mut self, target: &id::Target, took: time::Millis) {
        let times = self.times.entry(target.clone()).or_default();
        times.push_back(took);
        if times.len() > WINDOW {
            times.pop_front();
        }
    }

    /// When to begin a second attempt, if the call may have one.
    pub fn delay(&self, target: &id::Target, repeat: repeat::Repeat) -> Option<time::Millis> {
        if repeat != repeat::Repeat::Safe {
            return None;
        }
        let times = self.times.get(target).filter(|times| times.len() >= KNOWN_MIN)?;
        let mut sorted: Vec<_> = times.iter().copied().collect();
        sorted.sort_unstable();
        let at = ((sorted.len() - 1) as f64 * SHARE).ceil() as usize;
        sorted.get(at).copied()
    }
}
