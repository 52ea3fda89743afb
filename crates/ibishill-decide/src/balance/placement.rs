//! Which endpoints a request prefers: those that cache its prefix, or serve its model.

use ibishill_core::id;
use xxhash_rust::xxh3;

use super::endpoint::{Endpoint, endpoint_hash};
use super::{Request, SMALL_MODEL_SHARE};

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
