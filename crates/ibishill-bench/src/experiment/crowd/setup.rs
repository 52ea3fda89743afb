//! The relays and engines of the experiment at its start.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{fleet, link, time};
use ibishill_decide::{balance, endpoint_key, exposure, fair_share, peers, promise};
use xxhash_rust::xxh3;

use super::relay::Relay;
use crate::model;

/// Slots of an engine.
pub(super) const SLOTS: usize = 24;

/// Relays that are observed, at most.
const OBSERVED_MAX: usize = 12;

/// An engine, with its true speed and requests.
pub(super) struct Engine {
    pub(super) entry: fleet::Registration,
    pub(super) key: endpoint_key::EndpointKey,
    /// Its key in reports.
    pub(super) flight: u32,
    pub(super) speed: f64,
    pub(super) running: BTreeSet<usize>,
}

/// A relay, with a balancer of the engines that it knows.
pub(super) fn relay(at: usize, zones: usize, engines: &[Engine]) -> Relay {
    let member = member(at, zones);
    let mut balancer = balance::Balancer::new(member.vm.clone(), member.zone.clone());
    let is_observed = at < OBSERVED_MAX;
    let is_known = |engine: &&Engine| is_observed || engine.entry.zone == member.zone;
    for engine in engines.iter().filter(is_known) {
        balancer.register(engine.entry.clone(), time::Tick(0));
    }
    Relay {
        member,
        shares: fair_share::FairShare::default(),
        promises: promise::Promises::default(),
        exposures: exposure::Exposures::default(),
        balancer,
        is_observed,
        running: BTreeMap::new(),
        round: 0,
        sent: Default::default(),
    }
}

/// A relay as its peers know it.
pub(super) fn member(at: usize, zones: usize) -> peers::Member {
    peers::Member {
        vm: model::name(&format!("vm-{at}")),
        zone: model::name(&format!("z{}", at % zones)),
        address: ([127, 0, 0, 1], 80).into(),
        start: 1_800_000_000_000,
        beat: 100_000,
        is_ready: true,
        link: link::Bandwidth::default(),
    }
}

/// An engine that starts at this time.
pub(super) fn engine(at: usize, started: u64, zones: usize, speed: f64) -> Engine {
    let id = format!("e{started}-{at}");
    let entry = fleet::Registration {
        id: model::name(&id),
        service: model::name("pool"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: model::name(&format!("z{}", at % zones)),
        version: model::name("v1"),
        slots: SLOTS as u32,
        readiness: fleet::Readiness::Ready,
        cold_remaining: time::Millis(0),
        started: Some(started),
    };
    let key = endpoint_key::EndpointKey::of(&entry);
    let flight = xxh3::xxh3_64(id.as_bytes()) as u32;
    Engine { entry, key, flight, speed, running: BTreeSet::new() }
}

/// The number at the end of a name.
pub(super) fn number(name: &str) -> usize {
    let (_, number) = name.rsplit_once('-').expect("a name with a number");
    number.parse().expect("a number")
}
