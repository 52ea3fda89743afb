//! Which daemon owns an endpoint: rendezvous hashing over the zone's view.

use ibishill_core::{id, view};
use xxhash_rust::xxh3;

/// The owner of `endpoint`, or none if the view is empty.
///
/// Every daemon with the same view finds the same owner, and a change of the
/// view moves only the endpoints of the daemons that came or went.
pub fn owner<'a>(view: &'a view::View, endpoint: &id::EndpointId) -> Option<&'a view::Member> {
    view.members.iter().max_by_key(|member| weight(&member.vm, endpoint))
}

fn weight(vm: &id::VmId, endpoint: &id::EndpointId) -> u64 {
    seeded(vm.as_str(), endpoint.as_str())
}

/// A weight of the pair that spreads the neighbours of daemons over a zone, stable over time.
pub fn pair_weight(own: &id::VmId, other: &id::VmId) -> u64 {
    seeded(own.as_str(), other.as_str())
}

fn seeded(seed: &str, text: &str) -> u64 {
    xxh3::xxh3_64_with_seed(text.as_bytes(), xxh3::xxh3_64(seed.as_bytes()))
}
