//! Shares of workspaces in a service, over all daemons and without a coordinator.
//!
//! Designed for a workspace that sends many times its usual load through all daemons while the service has no spare
//! capacity: each daemon sees a small part of it, so it looks ordinary at each. Daemons tell each other which slots
//! their workspaces hold and which of them want more. From that each computes the max-min fair share. A workspace
//! far beyond it leaves the last part of the capacity to the others as long as one of them wants more; with spare
//! capacity nothing is held back. A daemon that hears from no peer uses its own counts.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::slot_share::ServiceKey;

/// Rank from which on requests yield to all others, of any priority.
pub const YIELDING: u32 = 1 << 16;

/// Time constant by which the use of slots is averaged: requests shorter than the interval between reports count
/// by the slots that they hold on average.
const AVERAGE_MS: f64 = 2_000.0;

/// Age at which a peer's report has lost its weight, which falls linearly. A peer is told at random, once in about 2 s.
const REPORT_TTL: time::Millis = time::Millis(6_000);

/// Time after its last request in which a workspace counts as sending requests to a service.
const ACTIVE_TTL: time::Millis = time::Millis::from_secs(10);

/// Time for which the utilization counts at which no endpoint had a free slot.
const FULL_TTL: time::Millis = time::Millis::from_secs(5);

/// Interval at which shares and utilization are computed again; reports arrive less often.
const REFRESH_INTERVAL: time::Millis = time::Millis(100);

/// Part of the capacity that workspaces far beyond their share leave to the others.
const RESERVE: f64 = 0.1;

/// Use, relative to the fair share, from which on a workspace yields to those that lack slots. It is below 1, as one
/// that takes all that is left holds little more than its fair share when the others want little.
const YIELD_RATIO: f64 = 0.9;

/// Use, relative to the fair share, below which a workspace counts as lacking slots if its requests wait. The distance
/// to [`YIELD_RATIO`] keeps workspaces with equal use from yielding to each other.
const LACK_RATIO: f64 = 0.75;

/// Slots that a workspace lacks, relative to those that it holds, from which on it counts: requests that wait for a
/// twentieth of the time that they run are no shortage.
const LACK_MIN: f64 = 0.05;

/// Ranks for each multiple of the fair share.
const RANKS_PER_SHARE: f64 = 4.0;

/// Services that one report tells of, those with the most slots in use first.
const SERVICES_MAX: usize = 2;

/// Workspaces with the highest use, and further ones of which most requests wait, in a report of one service.
const USES_MAX: (usize, usize) = (3, 2);

/// Units of reported use per slot.
const UNITS: f64 = 10.0;

/// Use that is assumed of a workspace when the rest of a peer's report is divided.
const REST_MIN: f64 = 0.05;

/// A workspace, in messages between daemons: the low 32 bits of a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceKey(u32);

impl WorkspaceKey {
    /// Key of the workspace with this name.
    pub fn new(name: &id::WorkspaceId) -> Self {
        Self(xxh3::xxh3_64(name.as_str().as_bytes()) as u32)
    }
}

/// Use of a service by one workspace, as a daemon tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    workspace: WorkspaceKey,
    /// Slots that it holds, in tenths.
    slots: u16,
    /// Requests that wait, in tenths.
    waiting: u16,
}

/// Use of a service, as a daemon tells it while capacity is short.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    service: ServiceKey,
    /// Slots that all workspaces hold, in tenths.
    slots: u16,
    /// Requests of all workspaces that wait, in tenths.
    waiting: u16,
    uses: Vec<Use>,
}

// A number averaged over time.
#[derive(Debug, Clone, Copy)]
struct Average {
    present: u32,
    average: f64,
    at: time::Tick,
}

impl Average {
    const fn new(now: time::Tick) -> Self {
        Self { present: 0, average: 0.0, at: now }
    }

    fn at(&self, now: time::Tick) -> f64 {
        let kept = (-(now.since(self.at).0 as f64) / AVERAGE_MS).exp();
        self.average * kept + f64::from(self.present) * (1.0 - kept)
    }

    fn set(&mut self, present: u32, now: time::Tick) {
        self.average = self.at(now);
        (self.present, self.at) = (present, now);
    }
}

// Requests of one workspace to a service at this daemon: those that hold a slot, and those that wait for one.
#[derive(Debug, Clone, Copy)]
struct Own {
    running: Average,
    waiting: Average,
    asked: time::Tick,
}

// Slots that a workspace holds, and those that it would hold if no request had to wait.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    held: f64,
    wanted: f64,
}

impl Demand {
    fn lacks(&self) -> bool {
        self.wanted > self.held * (1.0 + LACK_MIN)
    }

    fn add(&mut self, held: f64, waiting: f64) {
        self.held += held;
        self.wanted += held + waiting;
    }
}

// Shares of a service's workspaces.
#[derive(Debug, Clone, Default)]
struct Shares {
    at: Option<time::Tick>,
    uses: BTreeMap<WorkspaceKey, Demand>,
    // Max-min fair share; none if no workspace that holds less lacks slots.
    level: Option<f64>,
    // Whether the capacity is used up, but for the reserve.
    is_full: bool,
}

impl Shares {
    fn yields(&self, used: &Demand) -> bool {
        self.is_full && self.level.is_some_and(|level| used.held >= level * YIELD_RATIO)
    }
}

#[derive(Debug, Clone, Default)]
struct Service {
    own: BTreeMap<id::WorkspaceId, Own>,
    shares: Shares,
    // Utilization at which no endpoint had a free slot, and when that was seen last.
    full: Option<(f64, time::Tick)>,
}

impl Service {
    fn own(&mut self, workspace: &id::WorkspaceId, now: time::Tick) -> &mut Own {
        self.own.entry(workspace.clone()).or_insert(Own {
            running: Average::new(now),
            waiting: Average::new(now),
            asked: now,
        })
    }

    fn is_short(&self, now: time::Tick) -> bool {
        self.full.is_some_and(|(_, at)| now.since(at) <= FULL_TTL)
    }
}

/// Where a workspace stands in a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Part of the used slots that it holds.
    pub share: f64,
    /// Part that is its fair share.
    pub fair: f64,
}

/// Use of services by workspaces, of this daemon and of its peers.
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    services: BTreeMap<id::ServiceId, Service>,
    peers: BTreeMap<id::VmId, (time::Tick, Vec<Told>)>,
}

impl FairShare {
    /// Records a request of a workspace to a service.
    pub fn record_request(
        &mut self,
        service: &id::ServiceId,
        workspace: &id::WorkspaceId,
        now: time::Tick,
    ) {
        self.services.entry(service.clone()).or_default().own(workspace, now).asked = now;
    }

    /// Counts a request as holding a slot.
    pub fn begin(&mut self, service: &id::ServiceId, workspace: &id::WorkspaceId, now: time::Tick) {
        let own = self.services.entry(service.clone()).or_default().own(workspace, now);
        own.running.set(own.running.present + 1, now);
    }

    /// Records that such a request has left its slot.
    pub fn end(&mut self, service: &id::ServiceId, workspace: &id::WorkspaceId, now: time::Tick) {
        let own = self.services.entry(service.clone()).or_default().own(workspace, now);
        own.running.set(own.running.present.saturating_sub(1), now);
    }

    /// Counts a request as waiting for a slot.
    pub fn begin_wait(
        &mut self,
        service: &id::ServiceId,
        workspace: &id::WorkspaceId,
        now: time::Tick,
    ) {
        let own = self.services.entry(service.clone()).or_default().own(workspace, now);
        own.waiting.set(own.waiting.present + 1, now);
    }

    /// Records that such a request waits no longer.
    pub fn end_wait(
        &mut self,
        service: &id::ServiceId,
        workspace: &id::WorkspaceId,
        now: time::Tick,
    ) {
        let own = self.services.entry(service.clone()).or_default().own(workspace, now);
        own.waiting.set(own.waiting.present.saturating_sub(1), now);
    }

    /// Counts a request that is refused at once as if it had waited for this time.
    pub fn record_refused(
        &mut self,
        service: &id::ServiceId,
        workspace: &id::WorkspaceId,
        limit: time::Millis,
        now: time::Tick,
    ) {
        let own = self.services.entry(service.clone()).or_default().own(workspace, now);
        own.waiting.set(own.waiting.present, now);
        own.waiting.average += limit.0 as f64 / AVERAGE_MS;
    }

    /// Records that no endpoint of a service had a free slot at this utilization.
    pub fn record_full(&mut self, service: &id::ServiceId, utilization: f64, now: time::Tick) {
        let service = self.services.entry(service.clone()).or_default();
        let before = service.full.filter(|(_, at)| now.since(*at) <= FULL_TTL);
        let level = before.map_or(utilization, |(level, _)| 0.8 * level + 0.2 * utilization);
        service.full = Some((level, now));
    }

    /// Whether no endpoint of a service had a free slot within this time.
    pub fn was_full(&self, service: &id::ServiceId, within: time::Millis, now: time::Tick) -> bool {
        let full = self.services.get(service).and_then(|service| service.full);
        full.is_some_and(|(_, at)| now.since(at) <= within)
    }

    /// Whether more than one workspace sends requests to a service.
    pub fn is_contended(&self, service: &id::ServiceId, now: time::Tick) -> bool {
        let Some(found) = self.services.get(service) else { return false };
        let active = found.own.iter().filter(|(_, own)| now.since(own.asked) <= ACTIVE_TTL);
        let mut keys: BTreeSet<_> = active.map(|(name, _)| WorkspaceKey::new(name)).collect();
        if keys.len() < 2 {
            let told = self.told_of(service, now).flat_map(|(_, told)| &told.uses);
            keys.extend(told.map(|used| used.workspace));
        }
        keys.len() > 1
    }

    /// Replaces what a peer has told.
    pub fn record_peer(&mut self, vm: &id::VmId, told: Vec<Told>, now: time::Tick) {
        if !told.is_empty() {
            self.peers.insert(vm.clone(), (now, told));
        }
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: time::Tick) {
        self.peers.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        for service in self.services.values_mut() {
            service
                .own
                .retain(|_, own| own.running.present > 0 || now.since(own.asked) <= ACTIVE_TTL);
        }
        self.services.retain(|_, service| !service.own.is_empty());
    }

    // What peers have told of a service, with the weight of each report.
    fn told_of(
        &self,
        service: &id::ServiceId,
        now: time::Tick,
    ) -> impl Iterator<Item = (f64, &Told)> {
        let key = ServiceKey::new(service);
        self.peers.values().flat_map(move |(at, told)| {
            let weight = 1.0 - now.since(*at).0 as f64 / REPORT_TTL.0 as f64;
            let told = told.iter().filter(move |told| told.service == key && weight > 0.0);
            told.map(move |told| (weight, told))
        })
    }

    /// Use of services that are short of capacity, for peers: the workspaces with the highest use, and a few others
    /// whose requests wait.
    pub fn tell(&self, now: time::Tick) -> Vec<Told> {
        let short = self.services.iter().filter(|(_, service)| service.is_short(now));
        let mut told: Vec<Told> = short
            .map(|(name, service)| {
                let units = |slots: f64| (slots * UNITS).round().min(f64::from(u16::MAX)) as u16;
                let mut uses: Vec<Use> = service
                    .own
                    .iter()
                    .map(|(name, own)| Use {
                        workspace: WorkspaceKey::new(name),
                        slots: units(own.running.at(now)),
                        waiting: units(own.waiting.at(now)),
                    })
                    .collect();
                let slots = uses.iter().fold(0, |sum: u16, used| sum.saturating_add(used.slots));
                let waiting =
                    uses.iter().fold(0, |sum: u16, used| sum.saturating_add(used.waiting));
                uses.retain(|used| used.slots > 0 || used.waiting > 0);
                uses.sort_by_key(|used| std::cmp::Reverse(used.slots));
                let mut rest = uses.split_off(uses.len().min(USES_MAX.0));
                rest.sort_by_key(|used| std::cmp::Reverse(used.waiting));
                uses.extend(rest.into_iter().take(USES_MAX.1));
                Told { service: ServiceKey::new(name), slots, waiting, uses }
            })
            .collect();
        told.sort_by_key(|told| std::cmp::Reverse(told.slots));
        told.truncate(SERVICES_MAX);
        told
    }

    /// Computes the shares of a service again if they are old; `utilization` returns its present utilization.
    pub fn refresh<F>(&mut self, service: &id::ServiceId, utilization: F, now: time::Tick)
    where
        F: FnOnce() -> f64,
    {
        let Some(found) = self.services.get(service) else { return };
        if found.shares.at.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        let utilization = utilization();
        let mut shares = self.shares(found, service, now);
        let full = found.full.filter(|(_, at)| now.since(*at) <= FULL_TTL);
        shares.is_full = full.is_some_and(|(level, _)| utilization >= level * (1.0 - RESERVE));
        let Some(found) = self.services.get_mut(service) else { return };
        let is_held = shares.uses.values().any(|used| shares.yields(used));
        // While requests are held back, the capacity may be short without an endpoint that is full.
        if let Some((_, at)) = found.full.as_mut().filter(|_| is_held) {
            *at = now;
        }
        found.shares = shares;
    }

    fn shares(&self, found: &Service, service: &id::ServiceId, now: time::Tick) -> Shares {
        let mut uses: BTreeMap<WorkspaceKey, Demand> = BTreeMap::new();
        for (name, own) in &found.own {
            let demand = uses.entry(WorkspaceKey::new(name)).or_default();
            demand.add(own.running.at(now), own.waiting.at(now));
        }
        let own = uses.clone();
        for (weight, told) in self.told_of(service, now) {
            let (mut slots, mut waiting) = (f64::from(told.slots), f64::from(told.waiting));
            for used in &told.uses {
                let (held, waits) = (f64::from(used.slots), f64::from(used.waiting));
                let demand = uses.entry(used.workspace).or_default();
                demand.add(weight * held / UNITS, weight * waits / UNITS);
                (slots, waiting) = (slots - held, waiting - waits);
            }
            // Callers of all workspaces spread alike, so the rest is divided as the demand at this daemon.
            let listed = |key: &WorkspaceKey| told.uses.iter().any(|used| used.workspace == *key);
            let unlisted = || own.iter().filter(|(key, _)| !listed(key));
            let sum: f64 = unlisted().map(|(_, demand)| demand.wanted + REST_MIN).sum();
            for (key, demand) in unlisted() {
                let part = weight / UNITS * (demand.wanted + REST_MIN) / sum;
                uses.entry(*key).or_default().add(slots.max(0.0) * part, waiting.max(0.0) * part);
            }
        }
        let level = fair_level(uses.values());
        Shares { at: Some(now), uses, level, is_full: false }
    }

    /// Rank of a workspace's requests, lower first; [`YIELDING`] and above for those that yield to all others.
    pub fn rank(&self, service: &id::ServiceId, workspace: Option<&id::WorkspaceId>) -> u32 {
        let Some(shares) = self.services.get(service).map(|found| &found.shares) else { return 0 };
        let (Some(workspace), Some(level)) = (workspace, shares.level) else { return 0 };
        let used = shares.uses.get(&WorkspaceKey::new(workspace)).copied().unwrap_or_default();
        let ratio = used.held / level.max(f64::MIN_POSITIVE);
        let rank = (ratio * RANKS_PER_SHARE).min(f64::from(YIELDING - 1)) as u32;
        if shares.yields(&used) { YIELDING + rank } else { rank }
    }

    /// Where a workspace stands; none while no workspace lacks slots.
    pub fn standing(
        &self,
        service: &id::ServiceId,
        workspace: &id::WorkspaceId,
    ) -> Option<Standing> {
        let shares = &self.services.get(service)?.shares;
        let level = shares.level?;
        let total: f64 = shares.uses.values().map(|used| used.held).sum();
        let used = shares.uses.get(&WorkspaceKey::new(workspace)).copied().unwrap_or_default();
        let part = |slots: f64| if total > 0.0 { slots / total } else { 0.0 };
        Some(Standing { share: part(used.held), fair: part(level) })
    }

    /// Number of services that are short of capacity, and of their workspaces that yield.
    pub fn counts(&self, now: time::Tick) -> (usize, usize) {
        let short = || self.services.values().filter(|service| service.is_short(now));
        let yielding = short()
            .map(|service| &service.shares)
            .map(|shares| shares.uses.values().filter(|used| shares.yields(used)).count());
        (short().count(), yielding.sum())
    }
}

// Max-min fair share: each workspace gets what it wants up to this many slots, and all together those that they
// hold; none if all that hold less have what they want.
fn fair_level<'a, I>(uses: I) -> Option<f64>
where
    I: Iterator<Item = &'a Demand> + Clone,
{
    let mut left: f64 = uses.clone().map(|used| used.held).sum();
    let mut wanted: Vec<f64> = uses.clone().map(|used| used.wanted).collect();
    wanted.sort_by(f64::total_cmp);
    let mut count = wanted.len() as f64;
    for wanted in wanted {
        if wanted * count > left {
            break;
        }
        left -= wanted;
        count -= 1.0;
    }
    let level = left / count.max(1.0);
    let mut low = uses.filter(|used| used.held < level * LACK_RATIO);
    low.any(Demand::lacks).then_some(level)
}
