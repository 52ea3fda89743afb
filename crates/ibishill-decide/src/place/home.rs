//! The engine of a zone that holds each served version whatever the demand is.

use std::collections::BTreeMap;

use ibishill_config::declared;
use ibishill_core::id;
use xxhash_rust::xxh3;

/// Whether requests may be sent to a version now.
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

/// The home of each served version of a zone; a version without room anywhere has none.
///
/// All daemons work out the same homes, so they need no agreement.
pub fn homes(
    declared: &declared::Declared,
    zone: &id::ZoneId,
) -> BTreeMap<id::VersionRef, id::EndpointId> {
    let mut homes = BTreeMap::new();
    let mut rooms: BTreeMap<&id::EndpointId, (u32, u32)> = BTreeMap::new();
    for (name, endpoint) in managed(declared, zone) {
        rooms.insert(name, (endpoint.memory.unwrap_or(0), endpoint.adapters));
    }
    let served = declared.versions.iter().filter(|(name, _)| is_served(declared, name));
    let (bases, adapters): (Vec<_>, Vec<_>) = served.partition(|(_, v)| v.base.is_none());
    // The rarest first, so that those with a choice leave room to those without.
    let mut order: Vec<_> = bases;
    let able = |name: &id::VersionRef| {
        managed(declared, zone).filter(|(_, engine)| engine.versions.contains(name)).count()
    };
    order.sort_by_key(|(name, _)| able(name));
    for (name, version) in order.into_iter().chain(adapters) {
        let fits = managed(declared, zone).filter(|(engine, endpoint)| {
            let (memory, adapters) = rooms[engine];
            let room = match &version.base {
                None => memory > 0,
                Some(base) => adapters > 0 && homes.get(base) == Some(*engine),
            };
            room && endpoint.versions.contains(name)
        });
        let best = fits.max_by_key(|(engine, _)| weight(name, engine));
        let Some((engine, _)) = best else { continue };
        if let Some(room) = rooms.get_mut(engine) {
            let place = if version.base.is_none() { &mut room.0 } else { &mut room.1 };
            *place -= 1;
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
        let open = endpoint.state == declared::AdminState::In;
        open && endpoint.zone == *zone && endpoint.memory.is_some()
    })
}

fn weight(version: &id::VersionRef, engine: &id::EndpointId) -> u64 {
    xxh3::xxh3_64(format!("{version}/{engine}").as_bytes())
}
