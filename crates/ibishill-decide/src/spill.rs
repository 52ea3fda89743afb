//! Order in which owners are tried: near ones first, others by the cost of the hop and by the
//! capacity that they last reported.

use std::cmp;
use std::collections::BTreeMap;

use ibishill_config::{declared, in_force};
use ibishill_core::{capacity, id, time};
use xxhash_rust::xxh3;

use crate::{plan, zone};

/// Age at which the capacity that an owner reported no longer counts.
const CAPACITY_TTL: time::Millis = time::Millis(200);

/// Time for which an owner that could not be reached is tried last; each further failure
/// doubles it.
const UNREACHABLE_MIN: time::Millis = time::Millis(2_000);

/// Longest time for which an owner that could not be reached is tried last.
const UNREACHABLE_MAX: time::Millis = time::Millis(16_000);

/// Largest number of pairs of owner and target whose capacity is kept.
const KNOWN_MAX: usize = 8_192;

/// Cost of a hop to another daemon of the zone, in milliseconds.
const SAME_ZONE_MS: f64 = 1.0;

/// Cost of a hop to another zone, in milliseconds.
const OTHER_ZONE_MS: f64 = 2.0;

/// Load up to which an owner is as fast as an idle one.
const LOAD_FREE: f64 = 0.5;

/// Latency that an owner's load adds, in milliseconds per unit of load above `LOAD_FREE`.
const LOAD_SLOPE_MS: f64 = 40.0;

/// What a response says about its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feedback {
    /// Free capacity for the target, and its limit.
    Capacity(capacity::Capacity),
    /// Refusal for lack of capacity, with the time after which to retry.
    Full(time::Millis),
    /// It could not be reached.
    Unreachable,
}

// An owner that could not be reached; after `until`, one request probes it.
#[derive(Debug, Clone, Copy)]
struct Unreachable {
    until: time::Tick,
    delay: time::Millis,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    free: u32,
    limit: u32,
    until: time::Tick,
    // Requests sent there since the report.
    sent: u32,
}

/// State of owners, as an entry daemon knows it.
#[derive(Debug, Clone, Default)]
pub struct Spill {
    zones: zone::Zones,
    known: BTreeMap<(id::VmId, id::Target), Known>,
    unreachable: BTreeMap<id::VmId, Unreachable>,
}

/// Inputs of the order besides the state of owners.
#[derive(Clone, Copy)]
pub struct Facts<'a> {
    /// Configuration in force.
    pub config: &'a in_force::InForce,
    /// Where the daemon runs.
    pub place: &'a plan::Location,
    /// Current time.
    pub now: time::Tick,
}

// Sort key of a route: by group, then by cost, then by a hash that spreads requests.
#[derive(Debug, Clone, Copy)]
struct Rank {
    group: u8,
    cost: f64,
    spread: u64,
}

impl Rank {
    fn compare(&self, other: &Self) -> cmp::Ordering {
        let costs = self.cost.total_cmp(&other.cost);
        self.group.cmp(&other.group).then(costs).then(self.spread.cmp(&other.spread))
    }
}

const AVAILABLE: u8 = 0;
const HELD_BACK: u8 = 1;
const FULL: u8 = 2;
const UNREACHABLE: u8 = 3;

/// Largest number of owners that are tried without waiting before the request may wait at one.
const NO_WAIT_MAX: usize = 3;

/// Largest number of attempts in all.
const ATTEMPTS_MAX: usize = 5;

/// An attempt at an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Route to the owner.
    pub route: plan::Route,
    /// Whether the request may wait there for capacity.
    pub waits: bool,
}

impl Spill {
    /// Creates a state with the ramp-up time `ramp` for zones.
    pub fn new(ramp: time::Millis) -> Self {
        Self { zones: zone::Zones::new(ramp), ..Self::default() }
    }

    /// Records what a response says about its owner.
    pub fn record(
        &mut self,
        vm: &id::VmId,
        target: &id::Target,
        feedback: Feedback,
        now: time::Tick,
    ) {
        let key = (vm.clone(), target.clone());
        if let Feedback::Unreachable = feedback {
            let doubled =
                self.unreachable.get(vm).map(|unreachable| time::Millis(2 * unreachable.delay.0));
            let delay = doubled.unwrap_or(UNREACHABLE_MIN).min(UNREACHABLE_MAX);
            self.unreachable.insert(vm.clone(), Unreachable { until: now + delay, delay });
            return;
        }
        self.unreachable.remove(vm);
        if self.known.len() >= KNOWN_MAX {
            self.known.retain(|_, known| known.until > now);
        }
        let known = match feedback {
            Feedback::Capacity(capacity::Capacity { free, limit }) => {
                Known { free, limit, until: now + CAPACITY_TTL, sent: 0 }
            }
            Feedback::Full(after) => {
                Known { free: 0, limit: 1, until: now + after.min(CAPACITY_TTL), sent: 0 }
            }
            Feedback::Unreachable => return,
        };
        if self.known.len() < KNOWN_MAX {
            self.known.insert(key, known);
        }
    }

    /// Attempts for a request, best owner first.
    ///
    /// Owners that may have capacity are tried first without waiting; only then may the request
    /// wait at one.
    pub fn attempts(
        &mut self,
        facts: &Facts<'_>,
        plan: &plan::Plan,
        request: &id::RequestId,
    ) -> Vec<Attempt> {
        self.zones.observe(facts.config, facts.now);
        self.unreachable.retain(|_, lost| lost.until + UNREACHABLE_MAX > facts.now);
        let rank = |route| (self.rank(facts, &plan.target, request, route), route);
        let mut ranked: Vec<_> = plan.routes.iter().map(rank).collect();
        ranked.sort_by(|(a, _), (b, _)| a.compare(b));
        let immediate = ranked.iter().take_while(|(rank, _)| rank.group < FULL).take(NO_WAIT_MAX);
        let immediate =
            immediate.map(|(_, route)| Attempt { route: (*route).clone(), waits: false });
        let waiting =
            ranked.iter().map(|(_, route)| Attempt { route: (*route).clone(), waits: true });
        immediate.chain(waiting).take(ATTEMPTS_MAX).collect()
    }

    /// Records that a request was sent to an owner, which reduces its known free capacity.
    pub fn sent(&mut self, vm: &id::VmId, target: &id::Target, now: time::Tick) {
        if let Some(unreachable) = self.unreachable.get_mut(vm) {
            unreachable.until = unreachable.until.max(now + UNREACHABLE_MIN);
        }
        if let Some(known) = self.known.get_mut(&(vm.clone(), target.clone())) {
            known.sent += 1;
        }
    }

    fn rank(
        &self,
        facts: &Facts<'_>,
        target: &id::Target,
        request: &id::RequestId,
        route: &plan::Route,
    ) -> Rank {
        let vm = &route.owner.vm;
        let known = self.known.get(&(vm.clone(), target.clone()));
        let known = known.filter(|known| known.until > facts.now);
        let group =
            if self.unreachable.get(vm).is_some_and(|unreachable| unreachable.until > facts.now) {
                UNREACHABLE
            } else if known.is_some_and(|known| known.free <= known.sent) {
                FULL
            } else if self.zones.holds_back(&route.zone, request, facts.now) {
                HELD_BACK
            } else {
                AVAILABLE
            };
        let load = known.map_or(0.0, |known| {
            let free = known.free.saturating_sub(known.sent).min(known.limit);
            1.0 - f64::from(free) / f64::from(known.limit.max(1))
        });
        // Under the cost policy, requests leave their zone only for lack of capacity.
        let load_ms = match facts.config.declared.policy {
            declared::Policy::Latency => LOAD_SLOPE_MS * (load - LOAD_FREE).max(0.0),
            declared::Policy::Cost => 0.0,
        };
        let seed = xxh3::xxh3_64(request.as_str().as_bytes());
        let spread = xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), seed);
        Rank { group, cost: hop_ms(facts.place, route) + load_ms, spread }
    }
}

fn hop_ms(place: &plan::Location, route: &plan::Route) -> f64 {
    if route.owner.vm == place.vm {
        return 0.0;
    }
    if route.zone == place.zone { SAME_ZONE_MS } else { OTHER_ZONE_MS }
}
