//! The home of each served version: the engine of a zone that holds it regardless of demand.

use std::collections::BTreeMap;

use ibishill_config::declared;
use ibishill_core::id;
use xxhash_rust::xxh3;

/// Whether a version may receive requests: it is serving, or a roll-out sends it a share of them.
pub fn is_served(declared: &declared::Declared, name: &id::VersionRef) -> bool {
    let state = declared.versions.get(name).map(|version| version.state);
    match state {
        Some(declared::VersionState::Serving) => true,
        Some(declared::VersionState::Candidate) => {
            let mut rollouts = declared.rollouts.values();
            rollouts.any(|rollout| rollout.to == *name && rollout.percent() > 0)
        }
        Some(declared::VersionState::Withdrawn) | None => false,
    }
}

/// The home of each served version of a zone; a version that fits on no engine has none.
///
/// All daemons with the same declarations compute the same homes, without coordination.
pub fn homes(
    declared: &declared::Declared,
    zone: &id::ZoneId,
) -> BTreeMap<id::VersionRef, id::EndpointId> {
    let mut homes = BTreeMap::new();
    // Free places for base versions and for adapters.
    let mut free: BTreeMap<&id::EndpointId, (u32, u32)> = BTreeMap::new();
    for (name, endpoint) in managed(declared, zone) {
        free.insert(name, (endpoint.memory.unwrap_or(0), endpoint.adapters));
    }
    let served = declared.versions.iter().filter(|(name, _)| is_served(declared, name));
    let (bases, adapters): (Vec<_>, Vec<_>) = served.partition(|(_, v)| v.base.is_none());
    // Versions that fewest engines can hold come first, so that more flexible ones do not take
    // their room.
    let mut order: Vec<_> = bases;
    let candidate_count = |name: &id::VersionRef| {
        managed(declared, zone).filter(|(_, engine)| engine.versions.contains(name)).count()
    };
    order.sort_by_key(|(name, _)| candidate_count(name));
    for (name, version) in order.into_iter().chain(adapters) {
        let fits = managed(declared, zone).filter(|(engine, endpoint)| {
            let (memory, adapters) = free[engine];
            let has_room = match &version.base {
                None => memory > 0,
                Some(base) => adapters > 0 && homes.get(base) == Some(*engine),
            };
            has_room && endpoint.versions.contains(name)
        });
        let best = fits.max_by_key(|(engine, _)| weight(name, engine));
        let Some((engine, _)) = best else { continue };
        if let Some(left) = free.get_mut(engine) {
            let slots = if version.base.is_none() { &mut left.0 } else { &mut left.1 };
            *slots -= 1;
        }
        homes.insert(name.clone(), engine.clone());
    }
    homes
}

fn managed<'a>(
    declared: &'a declared::Declared,
    zone: &'a id::ZoneId,
) -> impl Iterator<Item = (&'a id::EndpointId, &'a declared::Endpoint)> {
    declared.endpoints.iter().filter(move |(_, endpoint)| {
        let in_service = endpoint.state == declared::AdminState::In;
        in_service && endpoint.zone == *zone && endpoint.memory.is_some()
    })
}

fn weight(version: &id::VersionRef, engine: &id::EndpointId) -> u64 {
    xxh3::xxh3_64(format!("{version}/{engine}").as_bytes())
}
