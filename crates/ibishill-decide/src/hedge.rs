//! Hedged requests: when to start a second attempt beside a slow first one, for idempotent calls.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::{id, repeat, time};

/// Number of times to the first token that are kept per target.
const WINDOW: usize = 128;

/// Number of times from which on the delay is known.
const SAMPLES_MIN: usize = 32;

/// Quantile of the time to the first token after which a second attempt starts.
const QUANTILE: f64 = 0.95;

/// Recent times to the first token, by target.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    times: BTreeMap<id::Target, VecDeque<time::Millis>>,
}

impl Latencies {
    /// Records a time to the first token.
    pub fn record(&mut self, target: &id::Target, took: time::Millis) {
        let times = self.times.entry(target.clone()).or_default();
        times.push_back(took);
        if times.len() > WINDOW {
            times.pop_front();
        }
    }

    /// Delay after which a second attempt starts; `None` if the call isn't idempotent, or if too
    /// few times are known.
    pub fn delay(&self, target: &id::Target, repeat: repeat::Repeat) -> Option<time::Millis> {
        if repeat != repeat::Repeat::Safe {
            return None;
        }
        let times = self.times.get(target).filter(|times| times.len() >= SAMPLES_MIN)?;
        let mut sorted: Vec<_> = times.iter().copied().collect();
        sorted.sort_unstable();
        let at = ((sorted.len() - 1) as f64 * QUANTILE).ceil() as usize;
        sorted.get(at).copied()
    }
}
