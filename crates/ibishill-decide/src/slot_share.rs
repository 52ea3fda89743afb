//! Slots of endpoints that end when they have to reject too many requests.
//!
//! Designed for endpoints that may let nobody wait, and for many daemons that don't see each other's sends
//! in time: the slots of each endpoint are divided between its senders, so that their requests never exceed
//! them together, and what finds no slot waits at the daemon. What is rejected all the same shows that the
//! endpoint has less room than it registered; the daemon then sends less, and nothing for a while. An
//! endpoint that has just started gets its first requests one by one.

use std::collections::BTreeMap;

use ibishill_core::{fleet, id, time};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::division;
use crate::endpoint_key::EndpointKey;

/// Maximum number of daemons that send to such an endpoint.
pub const SENDERS_MAX: usize = 16;

/// Slots per sender from which on half of them are divided by demand.
const DEMAND_MIN_SLOTS: u32 = 4;

/// Share of what is divided by demand that is used, as daemons hear of each other's demand late.
const DEMAND_USED: f64 = 0.9;

/// Share of the rejections that an endpoint bears which all daemons together may cause.
const REJECTIONS_USED: f64 = 0.5;

/// Shortest and longest pause after a rejection.
const PAUSE_MIN: time::Millis = time::Millis(300);
const PAUSE_MAX: time::Millis = time::Millis(3_000);

/// Time after its start in which an endpoint gets ever more of its slots used.
const RAMP: time::Millis = time::Millis(3_000);

/// Time without news after which a statement no longer counts.
const STATEMENT_TTL: time::Millis = time::Millis::from_secs(10);

/// Age that is added to news when they are passed on, above the usual latency, so that news never
/// seem newer than where they come from.
const HOP_MARGIN: time::Millis = time::Millis(100);

/// A service, in messages between daemons: the low 32 bits of a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceKey(u32);

impl ServiceKey {
    /// Key of the service with this id.
    pub fn new(service: &id::ServiceId) -> Self {
        Self(xxh3::xxh3_64(service.as_str().as_bytes()) as u32)
    }
}

/// What endpoints of a service bear, as daemons tell it each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    service: ServiceKey,
    max_rejections: u32,
    // Since an answer told it, or longer.
    age: time::Millis,
}

#[derive(Debug, Clone, Copy)]
struct Fragile {
    max_rejections: u32,
    since: time::Tick,
    heard: time::Tick,
}

#[derive(Debug, Clone)]
struct Known {
    service: ServiceKey,
    slots: u32,
    since: time::Tick,
    division: division::Division,
    // Position of this daemon among the senders, and its part by demand.
    rank: Option<usize>,
    by_demand: f64,
    // Requests at the endpoint when it last rejected one, and when that was.
    rejected: Option<(u32, time::Tick)>,
}

impl Known {
    // Requests that this daemon may have at the endpoint.
    fn allowed(&self, fragile: Fragile, now: time::Tick) -> u32 {
        let Some(rank) = self.rank else { return 0 };
        let share = self.share(self.ramped(fragile, now), rank);
        let Some((running, at)) = self.rejected else { return share };
        let pause = self.pause(fragile);
        let since = now.since(at);
        if since < pause {
            return 0;
        }
        let regained = (since.saturating_sub(pause).0 / 1_000) as u32;
        share.min(running.max(1).saturating_add(regained))
    }

    // Slots that are used by all daemons together.
    fn ramped(&self, fragile: Fragile, now: time::Tick) -> u32 {
        let age = now.since(self.since);
        if self.since <= fragile.since || age >= RAMP {
            return self.slots;
        }
        (f64::from(self.slots) * age.0 as f64 / RAMP.0 as f64).ceil().max(1.0) as u32
    }

    fn share(&self, slots: u32, rank: usize) -> u32 {
        let count = u32::try_from(self.division.count().max(1)).unwrap_or(u32::MAX);
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let even = |slots: u32| slots / count + u32::from(rank < slots % count);
        if slots < DEMAND_MIN_SLOTS.saturating_mul(count) {
            return even(slots);
        }
        let by_demand = slots - slots / 2;
        even(slots / 2) + (f64::from(by_demand) * self.by_demand * DEMAND_USED) as u32
    }

    // Time for which nothing is sent after a rejection, so that all daemons together cause only so many.
    fn pause(&self, fragile: Fragile) -> time::Millis {
        let per_second = f64::from(fragile.max_rejections.max(1)) * REJECTIONS_USED;
        let pause = self.division.count() as f64 / per_second * 1_000.0;
        time::Millis(pause as u64).clamp(PAUSE_MIN, PAUSE_MAX)
    }
}

/// Endpoints, and the services whose endpoints end by rejections.
#[derive(Debug, Clone, Default)]
pub struct Slots {
    known: BTreeMap<EndpointKey, Known>,
    fragile: BTreeMap<ServiceKey, Fragile>,
}

impl Slots {
    /// Adds an endpoint, or updates its slots.
    pub fn register(&mut self, key: EndpointKey, entry: &fleet::Registration, now: time::Tick) {
        let known = self.known.entry(key).or_insert_with(|| Known {
            service: ServiceKey::new(&entry.service),
            slots: 0,
            since: now,
            division: division::Division::default(),
            rank: None,
            by_demand: 0.0,
            rejected: None,
        });
        known.slots = entry.slots;
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: EndpointKey) {
        self.known.remove(&key);
    }

    /// Records what an answer of an endpoint says, none if nothing, to a request that was sent at `sent`;
    /// returns whether that is a change for its service.
    pub fn record(
        &mut self,
        key: EndpointKey,
        max_rejections: Option<u32>,
        sent: time::Tick,
        now: time::Tick,
    ) -> bool {
        let Some(service) = self.known.get(&key).map(|known| known.service) else { return false };
        match max_rejections {
            Some(max) => self.set(service, max, now, now),
            None => {
                let is_over = self.fragile.get(&service).is_some_and(|found| sent > found.heard);
                is_over && self.fragile.remove(&service).is_some()
            }
        }
    }

    fn set(
        &mut self,
        service: ServiceKey,
        max_rejections: u32,
        heard: time::Tick,
        now: time::Tick,
    ) -> bool {
        let found = Fragile { max_rejections, since: now, heard };
        let known = self.fragile.entry(service).or_insert(found);
        let is_new = known.since == now || known.max_rejections != max_rejections;
        if heard >= known.heard {
            (known.max_rejections, known.heard) = (max_rejections, heard);
        }
        is_new
    }

    /// Records that an endpoint has rejected a request while `running` others of this daemon were there.
    pub fn record_rejection(&mut self, key: EndpointKey, running: u32, now: time::Tick) {
        if let Some(known) = self.known.get_mut(&key) {
            known.rejected = Some((running, now));
        }
    }

    /// Divides the slots anew, and forgets what is out of date; `senders` returns the daemons that send to
    /// an endpoint, at most as many as asked for, in a membership that has changed if `generation` has.
    pub fn divide<F>(
        &mut self,
        own: &id::VmId,
        generation: u64,
        senders: F,
        demands: &division::Demands,
        now: time::Tick,
    ) where
        F: Fn(EndpointKey, usize) -> Vec<id::VmId>,
    {
        self.fragile.retain(|_, fragile| now.since(fragile.heard) < STATEMENT_TTL);
        if self.fragile.is_empty() {
            return;
        }
        for (key, known) in &mut self.known {
            if !self.fragile.contains_key(&known.service) {
                continue;
            }
            let count = usize::try_from(known.slots).unwrap_or(SENDERS_MAX).clamp(1, SENDERS_MAX);
            known.division.refresh(generation, || senders(*key, count));
            known.rank = known.division.rank(own);
            known.by_demand = known.division.demand_share(own, demands, now);
        }
    }

    /// Whether this daemon may send a request to an endpoint, where `running` of its own are.
    pub fn admits(&self, key: EndpointKey, running: u32, now: time::Tick) -> bool {
        let Some(known) = self.known.get(&key) else { return true };
        let Some(fragile) = self.fragile.get(&known.service) else { return true };
        running < known.allowed(*fragile, now)
    }

    /// Daemons that send to an endpoint; none if it does not end by rejections.
    pub fn division(&self, key: EndpointKey) -> Option<&division::Division> {
        let known = self.known.get(&key)?;
        self.fragile.get(&known.service).map(|_| &known.division)
    }

    /// Whether an endpoint ends by rejections.
    pub fn is_fragile(&self, key: EndpointKey) -> bool {
        self.known.get(&key).is_some_and(|known| self.fragile.contains_key(&known.service))
    }

    /// Number of endpoints that end by rejections.
    pub fn fragile_count(&self) -> usize {
        let fragile = self.known.values().filter(|known| self.fragile.contains_key(&known.service));
        fragile.count()
    }

    /// Daemons that this one shares slots with; they need to hear of its demand.
    pub fn partners<'a>(&'a self, own: &'a id::VmId) -> impl Iterator<Item = &'a id::VmId> {
        let fragile = self.known.values().filter(|known| self.fragile.contains_key(&known.service));
        fragile.flat_map(|known| known.division.partners(own))
    }

    /// What peers are told, at most about so many services.
    pub fn told(&self, count: usize, now: time::Tick) -> Vec<Told> {
        let told = self.fragile.iter().map(|(service, fragile)| Told {
            service: *service,
            max_rejections: fragile.max_rejections,
            age: time::Millis(now.since(fragile.heard).0 + HOP_MARGIN.0),
        });
        told.take(count).collect()
    }

    /// Merges what a peer tells; returns whether that is a change.
    pub fn merge(&mut self, told: Vec<Told>, now: time::Tick) -> bool {
        let mut is_changed = false;
        for Told { service, max_rejections, age } in told {
            if age < STATEMENT_TTL {
                let heard = time::Tick(now.0.saturating_sub(age.0));
                is_changed |= self.set(service, max_rejections, heard, now);
            }
        }
        is_changed
    }
}
