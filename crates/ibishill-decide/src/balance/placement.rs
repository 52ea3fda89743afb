//! Which endpoints a request prefers: those that cache its prefix, or serve its model.

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
