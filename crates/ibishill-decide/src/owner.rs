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
    let seed = xxh3::xxh3_64(vm.as_str().as_bytes());
    xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
}
