//! State of one endpoint, as a daemon knows it.

use ibishill_core::{fleet, id, time};
use xxhash_rust::xxh3;

use super::{doubt, speed};
use crate::endpoint_key;
use crate::{outlier, rate};

/// Age at which the load that a response reported has lost all its weight; the weight falls
/// linearly.
const LOAD_TTL: time::Millis = time::Millis(1_500);

// Requests of other daemons, as last reported by the endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observed {
    pub(super) others: f64,
    pub(super) waiting: f64,
    pub(super) at: time::Tick,
}

#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    pub(super) entry: fleet::Registration,
    // Identifies the endpoint in peers' reports: the low 32 bits of its id's hash.
    pub(super) report_key: u32,
    // Identifies this incarnation.
    pub(super) key: endpoint_key::EndpointKey,
    pub(super) running: u32,
    pub(super) tokens: u64,
    // Own requests whose response has not started, and their prefill cost.
    pub(super) pending: u32,
    pub(super) prefill: f64,
    pub(super) observed: Option<Observed>,
    // Time that work takes there, as a multiple of the usual one, and when the engine said so.
    pub(super) work: Option<(f64, time::Tick)>,
    pub(super) breaker: outlier::Breaker,
    // Key of the incarnation before, which peers may still know.
    pub(super) earlier: Option<endpoint_key::EndpointKey>,
    pub(super) warmth: doubt::Warmth,
    pub(super) cold_bucket: rate::Bucket,
    pub(super) speed: speed::Speed,
}

impl Endpoint {
    // Running and waiting requests of other daemons, weighted by the age of the observation.
    pub(super) fn observed_load(&self, now: time::Tick) -> (f64, f64) {
        let Some(observed) = self.observed else { return (0.0, 0.0) };
        let age = now.since(observed.at).0 as f64 / LOAD_TTL.0 as f64;
        let weight = (1.0 - age).max(0.0);
        (observed.others * weight, observed.waiting * weight)
    }
}

/// Time for which it counts what an engine says of the time that work takes there: it changes many times a second.
const WORK_TTL: time::Millis = time::Millis(1_000);

/// Time for which it counts for a forecast how many requests wait at an engine: as the longest time for which a peer's
/// report counts. An engine whose queue is long seldom responds.
const WAITING_TTL: time::Millis = time::Millis(4_000);

impl Endpoint {
    // Time that work takes there, as a multiple of the usual one.
    pub(super) fn work_factor(&self, now: time::Tick) -> f64 {
        let told = self.work.filter(|(_, at)| now.since(*at) <= WORK_TTL);
        told.map_or(1.0, |(factor, _)| factor)
    }
}

impl Endpoint {
    // Requests of other daemons that waited there when it last responded; 0 if that was too long ago.
    pub(super) fn waiting(&self, now: time::Tick) -> f64 {
        let observed = self.observed.filter(|observed| now.since(observed.at) <= WAITING_TTL);
        observed.map_or(0.0, |observed| observed.waiting)
    }
}

pub(super) fn endpoint_hash(endpoint: &Endpoint) -> u64 {
    xxh3::xxh3_64(endpoint.entry.id.as_str().as_bytes())
}

pub(super) fn report_key(id: &id::EndpointId) -> u32 {
    xxh3::xxh3_64(id.as_str().as_bytes()) as u32
}
