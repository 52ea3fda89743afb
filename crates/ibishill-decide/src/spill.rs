//! The order in which owners are asked: near ones first, others by the price of the hop and
//! by what they last said of their room.

use std::cmp;
use std::collections::BTreeMap;

use ibishill_config::{declared, in_force};
use ibishill_core::{id, room, time};
use xxhash_rust::xxh3;

use crate::{plan, zone};

/// Age from which on what an owner said of its room no longer counts.
const FRESH: time::Millis = time::Millis(200);

/// Time for which an owner that could not be reached is asked last; each further failure
/// doubles it.
const LOST_MIN: time::Millis = time::Millis(2_000);

/// Longest time for which an owner that could not be reached is asked last.
const LOST_MAX: time::Millis = time::Millis(16_000);

/// Most owners with their targets that are remembered.
const KNOWN_MAX: usize = 8_192;

/// Price of a hop to another daemon of the zone, in milliseconds.
const NEAR_MS: f64 = 1.0;

/// Price of a hop to another zone, in milliseconds.
const FAR_MS: f64 = 2.0;

/// Load up to which an owner is as good as an idle one.
const LOAD_CALM: f64 = 0.5;

/// Slowdown of an owner whose endpoints are full against idle ones, in milliseconds.
const LOAD_MS: f64 = 40.0;

/// What an answer tells of its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Requests of the target that it could still admit, and those that run there at once.
    Room(room::Room),
    /// It refused for want of room and said when to come back.
    Full(time::Millis),
    /// It could not be reached.
    Lost,
}

// An owner that could not be reached; once the time is over, one request tries it.
#[derive(Debug, Clone, Copy)]
struct Lost {
    until: time::Tick,
    wait: time::Millis,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    free: u32,
    limit: u32,
    until: time::Tick,
    // Requests sent there since.
    sent: u32,
}

/// What an entry daemon knows of owners.
#[derive(Debug, Clone, Default)]
pub struct Spill {
    zones: zone::Zones,
    known: BTreeMap<(id::VmId, id::Target), Known>,
    lost: BTreeMap<id::VmId, Lost>,
}

/// What the order depends on besides what is known of owners.
#[derive(Clone, Copy)]
pub struct Facts<'a> {
    /// The configuration in force.
    pub config: &'a in_force::InForce,
    /// Where the daemon stands.
    pub place: &'a plan::Location,
    /// The time.
    pub now: time::Tick,
}

// Groups come one after the other; within one, the least price is first.
#[derive(Debug, Clone, Copy)]
struct Rank {
    group: u8,
    price: f64,
    spread: u64,
}

impl Rank {
    fn compare(&self, other: &Self) -> cmp::Ordering {
        let prices = self.price.total_cmp(&other.price);
        self.group.cmp(&other.group).then(prices).then(self.spread.cmp(&other.spread))
    }
}

const OPEN: u8 = 0;
const HELD_BACK: u8 = 1;
const FULL: u8 = 2;
const UNREACHABLE: u8 = 3;

/// Most owners that are asked for room at once before the request waits.
const OPEN_MAX: usize = 3;

/// Most owners that are asked in all.
const TRIES_MAX: usize = 5;

/// An owner to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Try {
    /// The way to it.
    pub route: plan::Route,
    /// Whether the request may wait there for room.
    pub waits: bool,
}

impl Spill {
    /// Makes a state that gives a zone its whole share back within `ramp`.
    pub fn new(ramp: time::Millis) -> Self {
        Self { zones: zone::Zones::new(ramp), ..Self::default() }
    }

    /// Takes in what an answer told of its owner.
    pub fn hear(&mut self, vm: &id::VmId, target: &id::Target, news: News, now: time::Tick) {
        let key = (vm.clone(), target.clone());
        if let News::Lost = news {
            let before = self.lost.get(vm).map(|lost| time::Millis(2 * lost.wait.0));
            let wait = before.unwrap_or(LOST_MIN).min(LOST_MAX);
            self.lost.insert(vm.clone(), Lost { until: now + wait, wait });
            return;
        }
        self.lost.remove(vm);
        if self.known.len() >= KNOWN_MAX {
            self.known.retain(|_, known| known.until > now);
        }
        let known = match news {
            News::Room(room::Room { free, limit }) => {
                Known { free, limit, until: now + FRESH, sent: 0 }
            }
            News::Full(after) => {
                Known { free: 0, limit: 1, until: now + after.min(FRESH), sent: 0 }
            }
            News::Lost => return,
        };
        if self.known.len() < KNOWN_MAX {
            self.known.insert(key, known);
        }
    }

    /// The owners to ask for a request, best first.
    ///
    /// Owners that may have room are asked for it at once; only then does it wait at one.
    pub fn tries(
        &mut self,
        facts: &Facts<'_>,
        plan: &plan::Plan,
        request: &id::RequestId,
    ) -> Vec<Try> {
        self.zones.observe(facts.config, facts.now);
        self.lost.retain(|_, lost| lost.until + LOST_MAX > facts.now);
        let rank = |route| (self.rank(facts, &plan.target, request, route), route);
        let mut ranked: Vec<_> = plan.routes.iter().map(rank).collect();
        ranked.sort_by(|(a, _), (b, _)| a.compare(b));
        let open = ranked.iter().take_while(|(rank, _)| rank.group < FULL).take(OPEN_MAX);
        let open = open.map(|(_, route)| Try { route: (*route).clone(), waits: false });
        let waits = ranked.iter().map(|(_, route)| Try { route: (*route).clone(), waits: true });
        open.chain(waits).take(TRIES_MAX).collect()
    }

    /// Notes that a request was sent to an owner, whose last word on its room counts less.
    pub fn sent(&mut self, vm: &id::VmId, target: &id::Target, now: time::Tick) {
        if let Some(lost) = self.lost.get_mut(vm) {
            lost.until = lost.until.max(now + LOST_MIN);
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
        let group = if self.lost.get(vm).is_some_and(|lost| lost.until > facts.now) {
            UNREACHABLE
        } else if known.is_some_and(|known| known.free <= known.sent) {
            FULL
        } else if self.zones.holds_back(&route.zone, request, facts.now) {
            HELD_BACK
        } else {
            OPEN
        };
        let load = known.map_or(0.0, |known| {
            let free = known.free.saturating_sub(known.sent).min(known.limit);
            1.0 - f64::from(free) / f64::from(known.limit.max(1))
        });
        // Where cost weighs more, work leaves its zone only for want of room.
        let wait = match facts.config.declared.policy {
            declared::Policy::Latency => LOAD_MS * (load - LOAD_CALM).max(0.0),
            declared::Policy::Cost => 0.0,
        };
        let seed = xxh3::xxh3_64(request.as_str().as_bytes());
        let spread = xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), seed);
        Rank { group, price: hop_ms(facts.place, route) + wait, spread }
    }
}

fn hop_ms(place: &plan::Location, route: &plan::Route) -> f64 {
    if route.owner.vm == place.vm {
        return 0.0;
    }
    if route.zone == place.zone { NEAR_MS } else { FAR_MS }
}
