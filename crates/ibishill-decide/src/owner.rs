//! The daemon that owns an endpoint, by rendezvous hashing over the zone's view.

use ibishill_core::{id, view};
use xxhash_rust::xxh3;

/// The owner of `endpoint`, or none if the view is empty.
///
/// Every daemon with the same view computes the same owner, and a change of the
/// view moves only the endpoints of the daemons that joined or left.
pub fn owner<'a>(view: &'a view::View, endpoint: &id::EndpointId) -> Option<&'a view::Member> {
    view.members.iter().max_by_key(|member| weight(&member.vm, endpoint))
}

fn weight(vm: &id::VmId, endpoint: &id::EndpointId) -> u64 {
    seeded_hash(vm.as_str(), endpoint.as_str())
}

/// Rendezvous weight of `other` as a peer of `own`.
///
/// It is stable over time and differs between daemons, so that peers chosen by it are spread
/// over the zone.
pub fn pair_weight(own: &id::VmId, other: &id::VmId) -> u64 {
    seeded_hash(own.as_str(), other.as_str())
}

fn seeded_hash(seed: &str, text: &str) -> u64 {
    xxh3::xxh3_64_with_seed(text.as_bytes(), xxh3::xxh3_64(seed.as_bytes()))
}
