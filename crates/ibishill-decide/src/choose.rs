//! Chooses between eligible endpoints by expected time to the first token.

use ibishill_core::{id, time};
use xxhash_rust::xxh3;

/// Share of the prompt's processing time that a certain cache hit saves.
const HIT_SAVING: f64 = 0.8;

/// Relative slowdown of an endpoint at its limit compared to an idle one.
const LOAD_SLOWDOWN: f64 = 1.0;

/// Age at which the weight of a load report has halved.
const REPORT_HALF_LIFE: time::Millis = time::Millis(1_000);

/// Processing time per prompt byte that is assumed until one was learned, in milliseconds.
const DEFAULT_MS_PER_BYTE: f64 = 0.05;

/// Load that an endpoint reported beyond what its owner knows of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Excess {
    /// Running requests beyond the owner's.
    pub running: u32,
    /// Age of the report.
    pub age: time::Millis,
}

/// State of an endpoint on which a request could be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Endpoint that the state belongs to.
    pub endpoint: id::EndpointId,
    /// Requests running there, counted exactly by the owner.
    pub running: u32,
    /// Prompt bytes there that still have to be processed.
    pub backlog_bytes: u64,
    /// Prompt bytes of the request that is placed.
    pub prompt_bytes: u64,
    /// Limit of concurrent requests.
    pub limit: u32,
    /// Requests that may still be admitted; none are sent there if 0.
    pub free: u32,
    /// Learned processing time of a prompt, in milliseconds per byte; `None` until known.
    pub ms_per_byte: Option<f64>,
    /// Load that its last report adds; `None` without a report.
    pub excess: Option<Excess>,
    /// Probability that the prompt's prefix is cached there, from 0 to 1.
    pub hit_probability: f64,
    /// Network cost of reaching the endpoint, in milliseconds.
    pub hop_ms: f64,
}

impl Load {
    /// Expected time to the first token of one more request, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        let excess = self.excess.map_or(0.0, |excess| {
            let half_lives = excess.age.0 as f64 / REPORT_HALF_LIFE.0 as f64;
            f64::from(excess.running) * 0.5_f64.powf(half_lives)
        });
        let running = f64::from(self.running) + excess;
        let slowdown = 1.0 + LOAD_SLOWDOWN * running / f64::from(self.limit.max(1));
        let ms_per_byte = self.ms_per_byte.unwrap_or(DEFAULT_MS_PER_BYTE);
        let own = self.prompt_bytes as f64 * (1.0 - HIT_SAVING * self.hit_probability);
        self.hop_ms + ms_per_byte * (self.backlog_bytes as f64 + own * slowdown)
    }
}

/// Picks the endpoint with the shortest expected time to the first token; the request's id breaks
/// ties. Returns `None` if no endpoint has capacity.
///
/// Only the owner admits to its endpoints, so its counts are exact and it can compare all of them:
/// no other daemon sends requests to the same idle endpoint at the same time.
pub fn choose<'a>(loads: &'a [Load], request: &id::RequestId) -> Option<&'a Load> {
    let free: Vec<_> = loads.iter().filter(|load| load.free > 0).collect();
    if free.is_empty() {
        return None;
    }
    let hash = xxh3::xxh3_64(request.as_str().as_bytes());
    let start = (hash % free.len() as u64) as usize;
    let (before, after) = free.split_at(start);
    let rotated = after.iter().chain(before).copied();
    rotated.min_by(|a, b| a.expected_ms().total_cmp(&b.expected_ms()))
}
