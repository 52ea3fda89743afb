//! Which endpoints a request prefers: those that cache its prefix, or serve its model.

use ibishill_core::{id, time};
use xxhash_rust::xxh3;

use super::endpoint::{Endpoint, endpoint_hash};
use super::{
    Balancer, JITTER, PACK_MIN_LOAD, PREFIX_BONUS, PREFIX_BONUS_MAX, Request, SAME_ZONE_BONUS,
    SMALL_MODEL_SHARE,
};

// The smallest hash among the engines that the smallest model prefers.
pub(super) fn small_model_threshold(endpoints: &[&Endpoint]) -> u64 {
    let mut hashes: Vec<u64> = endpoints.iter().map(|endpoint| endpoint_hash(endpoint)).collect();
    hashes.sort_unstable_by(|a, b| b.cmp(a));
    let count = (endpoints.len() as f64 * SMALL_MODEL_SHARE).round().max(1.0) as usize;
    hashes.get(count - 1).copied().unwrap_or_default()
}

// The first endpoint, then as many in the daemon's own zone and elsewhere, in their order; those elsewhere
// make up for what the zone lacks.
pub(super) fn nearest<'a>(
    endpoints: Vec<&'a Endpoint>,
    zone: &id::ZoneId,
    (near_count, far_count): (usize, usize),
) -> Vec<&'a Endpoint> {
    let (first, others) = endpoints.split_at(1.min(endpoints.len()));
    let is_near = |endpoint: &&&Endpoint| endpoint.entry.zone == *zone;
    let (near, far): (Vec<_>, Vec<_>) = others.iter().partition(is_near);
    let missing = near_count.saturating_sub(near.len());
    let near = near.into_iter().take(near_count);
    let far = far.into_iter().take(far_count + missing);
    first.iter().copied().chain(near).chain(far).collect()
}

pub(super) fn request_hash(endpoint: &Endpoint, request: &Request<'_>) -> u64 {
    xxh3::xxh3_64_with_seed(endpoint.entry.id.as_str().as_bytes(), request.seed)
}

// Rendezvous hashing of the prefix: daemons that know the same endpoints agree on the one with
// the highest hash; if it fails or is full, the next one takes its place.
pub(super) fn prefix_endpoint(endpoints: &[&Endpoint], request: &Request<'_>) -> Option<u32> {
    let (prefix, _) = request.prefix?;
    let weight = |endpoint: &&&Endpoint| {
        xxh3::xxh3_64_with_seed(endpoint.entry.id.as_str().as_bytes(), prefix)
    };
    endpoints.iter().max_by_key(weight).map(|endpoint| endpoint.report_key)
}

impl Balancer {
    /// Keeps only the first endpoint, by hash, whose load is below the mean load of the other versions' endpoints,
    /// if that mean is at least [`PACK_MIN_LOAD`].
    pub(super) fn pack(
        &self,
        available: &mut Vec<&Endpoint>,
        request: &Request<'_>,
        now: time::Tick,
    ) {
        let is_other = |endpoint: &&Endpoint| {
            endpoint.entry.service == *request.service
                && !request.versions.allows(&endpoint.entry.version)
                && self.is_in_service(endpoint)
        };
        let loads =
            self.endpoints.values().filter(is_other).map(|endpoint| self.load(endpoint, now));
        let (sum, count) = loads.fold((0.0, 0.0), |(sum, count), load| (sum + load, count + 1.0));
        let mean = sum / f64::max(count, 1.0);
        let is_less = |endpoint: &&&Endpoint| self.load(endpoint, now) < mean;
        let first = available
            .iter()
            .filter(is_less)
            .min_by_key(|endpoint| endpoint_hash(endpoint))
            .copied();
        if let Some(first) = first.filter(|_| mean >= PACK_MIN_LOAD) {
            available.retain(|endpoint| endpoint.report_key == first.report_key);
        }
    }

    /// Load of an endpoint, adjusted by locality and cache; the lowest wins.
    pub(super) fn score(
        &self,
        endpoint: &Endpoint,
        request: &Request<'_>,
        prefix_endpoint: Option<u32>,
        now: time::Tick,
    ) -> f64 {
        let is_engine = request.capacity > 0;
        let mut score = if is_engine {
            self.load_with_prefill(endpoint, now)
        } else {
            self.load(endpoint, now)
        };
        if let Some((_, tokens)) = request.prefix
            && prefix_endpoint == Some(endpoint.report_key)
        {
            score -= (tokens as f64 / 1_000.0 * PREFIX_BONUS).min(PREFIX_BONUS_MAX);
        }
        if endpoint.entry.zone == self.zone {
            score -= SAME_ZONE_BONUS;
        }
        score + JITTER * (request_hash(endpoint, request) as f64 / u64::MAX as f64)
    }
}
