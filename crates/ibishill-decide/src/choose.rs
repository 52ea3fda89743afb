//! Choice between endpoints of equal right, by expected time to the first token.

use ibishill_core::{id, time};
use xxhash_rust::xxh3;

/// Share of the time to the first token that a sure cache hit saves.
const HIT_SAVING: f64 = 0.8;

/// Slowdown of an endpoint at its limit against an idle one, as a factor less one.
const LOAD_SLOWDOWN: f64 = 1.0;

/// Age at which a load report counts half.
const REPORT_HALF_LIFE: time::Millis = time::Millis(1_000);

/// Time to the first token for one prompt byte that is assumed before one is known.
const DEFAULT_BYTE_MS: f64 = 0.05;

/// Work that an endpoint reports beyond what its owner knows, and the report's age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Excess {
    /// Requests.
    pub running: u32,
    /// Age of the report.
    pub age: time::Millis,
}

/// What is known of one endpoint when a request is placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// The endpoint.
    pub endpoint: id::EndpointId,
    /// Requests that run there, known exactly by the owner.
    pub running: u32,
    /// Prompt bytes there that are still to be worked through.
    pub backlog_bytes: u64,
    /// Prompt bytes of the request to place.
    pub prompt_bytes: u64,
    /// Requests that may run there.
    pub limit: u32,
    /// Requests that may still be admitted.
    pub free: u32,
    /// Learned time to work through a prompt, in milliseconds for one byte.
    pub ms_per_byte: Option<f64>,
    /// What its last report adds.
    pub excess: Option<Excess>,
    /// Probability that the prompt's prefix is cached there, 0 to 1.
    pub hit_probability: f64,
    /// Cost of the way there, in milliseconds.
    pub hop_ms: f64,
}

impl Load {
    /// Expected time to the first token of one more request, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        let excess = self.excess.map_or(0.0, |excess| {
            let halves = excess.age.0 as f64 / REPORT_HALF_LIFE.0 as f64;
            f64::from(excess.running) * 0.5_f64.powf(halves)
        });
        let running = f64::from(self.running) + excess;
        let slowdown = 1.0 + LOAD_SLOWDOWN * running / f64::from(self.limit.max(1));
        let byte = self.ms_per_byte.unwrap_or(DEFAULT_BYTE_MS);
        let own = self.prompt_bytes as f64 * (1.0 - HIT_SAVING * self.hit_probability);
        self.hop_ms + byte * (self.backlog_bytes as f64 + own * slowdown)
    }
}

/// Picks the endpoint with the soonest first token; the request's id breaks ties.
///
/// The owner alone admits, so what it knows is exact and all may be compared: no other
/// daemon runs after the same idle endpoint.
pub fn choose<'a>(loads: &'a [Load], request: &id::RequestId) -> Option<&'a Load> {
    let free: Vec<_> = loads.iter().filter(|load| load.free > 0).collect();
    if free.is_empty() {
        return None;
    }
    let hash = xxh3::xxh3_64(request.as_str().as_bytes());
    let start = (hash % free.len() as u64) as usize;
    let (before, after) = free.split_at(start);
    let turned = after.iter().chain(before).copied();
    turned.min_by(|a, b| a.expected_ms().total_cmp(&b.expected_ms()))
}
