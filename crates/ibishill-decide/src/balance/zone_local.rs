//! Keeps requests in their daemon's zone where each zone has many large engines.
//!
//! Designed for steady demand on engines that each batch many requests. There, the engines of one zone level
//! out the demand by themselves, and what crosses zones only costs bandwidth and latency. Each zone has its own
//! engines for the smallest model, and for long prompts at the largest one, as many as the demand for them
//! fills: a long prompt delays the next event of all streams of its batch, and two in a row are felt as a pause.

use std::collections::BTreeSet;
use std::sync::Arc;

use ibishill_core::{id, time};

use super::endpoint::Endpoint;
use super::{SMALL_MODEL_SHARE, Tier, Work, speed};

/// Engines of a zone from which on they level out its demand by themselves.
const ENGINES_MIN: usize = 8;

/// Slots of an engine from which on one request more hardly changes its load. An engine with fewer is full by
/// chance more often, so zones have to help each other out.
const SLOTS_MIN: u32 = 24;

/// Share of a zone's engines that the smallest model may prefer, at most.
const SMALL_SHARE_MAX: f64 = 0.6;

/// Prefill, in thousands of tokens at the largest model, and slot time in seconds that what is measured has to
/// outweigh, so that a few requests do not move the boundary between the models.
const PRIOR: f64 = 30.0;

/// Utilization of the slots of the smallest model's engines that is aimed at: a burst is to find free ones.
const UTILIZATION: f64 = 0.5;

/// Prefill from which on a prompt counts as long, in thousands of tokens at the largest model: two of them in a
/// row delay the other streams of an engine by the order of a second.
pub(super) const LONG: f64 = 4.0;

/// Share of the largest model's engines that long prompts have before anything is measured, and at most.
const LONG_SHARE: (f64, f64) = (0.4, 0.8);

/// Time in which what was measured loses half of its weight.
const HALF_LIFE: time::Millis = time::Millis::from_secs(15);

/// Time for which tiers are kept while the engines stay the same; as often as peers report, by which utilization changes.
const KEEP: time::Millis = time::Millis(500);

/// Sets of engines whose tiers are kept at most: a roll-out has two for its service.
const KEPT_MAX: usize = 8;

/// What one tier's requests of this daemon take.
#[derive(Debug, Clone, Copy, Default)]
struct Used {
    running: u32,
    // Seconds in which a slot was in use.
    slots: f64,
    // Prefill, in thousands of tokens at the largest model.
    prefill: f64,
}

/// What this daemon's requests take, by the tier of their model.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    small: Used,
    large: Used,
    // Prefill of long prompts at the largest model.
    long: f64,
    at: time::Tick,
}

impl Demand {
    /// Records that a request begins.
    pub(super) fn begin(&mut self, work: &Work, now: time::Tick) {
        self.advance(now);
        if let Some(used) = self.used(work.tier) {
            used.running += 1;
            used.prefill += work.prefill;
        }
        if is_long(work.tier, work.prefill) {
            self.long += work.prefill;
        }
    }

    /// Records that a request ends.
    pub(super) fn end(&mut self, work: &Work, now: time::Tick) {
        self.advance(now);
        if let Some(used) = self.used(work.tier) {
            used.running = used.running.saturating_sub(1);
        }
    }

    const fn used(&mut self, tier: Tier) -> Option<&mut Used> {
        match tier {
            Tier::Small => Some(&mut self.small),
            Tier::Large => Some(&mut self.large),
            Tier::Any => None,
        }
    }

    fn advance(&mut self, now: time::Tick) {
        let elapsed = now.since(self.at).0 as f64;
        let weight = 0.5_f64.powf(elapsed / HALF_LIFE.0 as f64);
        for used in [&mut self.small, &mut self.large] {
            used.slots = used.slots * weight + f64::from(used.running) * elapsed / 1_000.0;
            used.prefill *= weight;
        }
        self.long *= weight;
        self.at = now;
    }

    // Share of the engines that the smallest model needs: for its part of the prefill, and for its slots, of
    // which `utilization` is the share in use at all engines.
    fn small_share(&self, utilization: f64) -> f64 {
        let share =
            |small: f64, large: f64| (small + SMALL_MODEL_SHARE * PRIOR) / (small + large + PRIOR);
        let prefill = share(self.small.prefill, self.large.prefill);
        let slots =
            share(self.small.slots, self.large.slots) * (utilization / UTILIZATION).min(1.0);
        prefill.max(slots).min(SMALL_SHARE_MAX)
    }

    // Share of the largest model's engines that its long prompts need.
    fn long_share(&self) -> f64 {
        let (prior, most) = LONG_SHARE;
        ((self.long + prior * PRIOR) / (self.large.prefill + PRIOR)).min(most)
    }
}

/// Whether a request belongs to the engines for long prompts.
pub(super) fn is_long(tier: Tier, prefill: f64) -> bool {
    tier == Tier::Large && prefill >= LONG
}

/// Engines that the smallest model prefers, and those for long prompts at the largest one.
#[derive(Debug, Clone, Default)]
pub(super) struct Tiers {
    small: BTreeSet<u32>,
    long: BTreeSet<u32>,
}

impl Tiers {
    /// Whether a request prefers an engine.
    pub(super) fn prefers(&self, tier: Tier, prefill: f64, endpoint: &Endpoint) -> bool {
        let key = endpoint.report_key;
        match tier {
            Tier::Any => true,
            Tier::Small => self.small.contains(&key),
            Tier::Large if is_long(tier, prefill) => self.long.contains(&key),
            Tier::Large => !self.small.contains(&key) && !self.long.contains(&key),
        }
    }
}

// Tiers of a set of engines, and when they were computed.
#[derive(Debug, Clone)]
struct Kept {
    service: id::ServiceId,
    engines: u64,
    at: time::Tick,
    tiers: Arc<Tiers>,
}

/// Tiers of the last choices: computing them takes longer than the rest of a choice among thousands of engines.
#[derive(Debug, Clone, Default)]
pub(super) struct Cache(Vec<Kept>);

impl Cache {
    /// Whether a service was placed by tiers within the time for which they are kept.
    pub(super) fn has(&self, service: &id::ServiceId, now: time::Tick) -> bool {
        let is_of = |kept: &Kept| kept.service == *service && now.since(kept.at) < KEEP;
        self.0.iter().any(is_of)
    }

    /// Tiers of these engines, computed if none are kept for just these.
    pub(super) fn get<F>(
        &mut self,
        service: &id::ServiceId,
        eligible: &[&Endpoint],
        compute: F,
        now: time::Tick,
    ) -> Option<Arc<Tiers>>
    where
        F: FnOnce() -> Option<Tiers>,
    {
        let engines = fingerprint(eligible);
        self.0.retain(|kept| now.since(kept.at) < KEEP);
        if let Some(kept) = self.0.iter().find(|kept| kept.engines == engines) {
            return Some(kept.tiers.clone());
        }
        let tiers = Arc::new(compute()?);
        if self.0.len() >= KEPT_MAX {
            self.0.remove(0);
        }
        self.0.push(Kept { service: service.clone(), engines, at: now, tiers: tiers.clone() });
        Some(tiers)
    }
}

// Differs if an engine joins or leaves the set, or has other slots.
fn fingerprint(engines: &[&Endpoint]) -> u64 {
    let one = |endpoint: &&Endpoint| {
        let word = u64::from(endpoint.report_key) << 32 | u64::from(endpoint.entry.slots);
        let mixed = word.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ (mixed >> 29)
    };
    engines.iter().map(one).fold(engines.len() as u64, u64::wrapping_add)
}

/// Engines to compare for a request: the one that caches its prefix, and some each that it prefers and that it
/// does not, in the own zone and elsewhere. They are few, so that daemons which know the same
/// loads do not all choose the same one; `size` is the number of preferred ones, and of the others each.
pub(super) fn sample<'a, P, K>(
    mut available: Vec<&'a Endpoint>,
    zone: &id::ZoneId,
    is_preferred: P,
    order: K,
    size: (usize, usize),
) -> Vec<&'a Endpoint>
where
    P: Fn(&Endpoint) -> bool,
    K: Fn(&Endpoint) -> (bool, u64),
{
    available.sort_by_cached_key(|endpoint| order(endpoint));
    let (mut near, mut other, mut far, mut last) = (0, 0, 0, 0);
    available.retain(|endpoint| {
        let (count, most) = match (endpoint.entry.zone == *zone, is_preferred(endpoint)) {
            (true, true) => (&mut near, size.0),
            (true, false) => (&mut other, size.1),
            (false, true) => (&mut far, size.1),
            (false, false) => (&mut last, size.1),
        };
        *count += 1;
        *count <= most
    });
    available
}

/// Whether the engines of the own zone suffice for its demand; `eligible` are all engines that may run a request.
pub(super) fn suffices(eligible: &[&Endpoint], zone: &id::ZoneId) -> bool {
    let own = eligible.iter().filter(|endpoint| endpoint.entry.zone == *zone);
    own.clone().count() >= ENGINES_MIN
        && own.into_iter().all(|endpoint| endpoint.entry.slots >= SLOTS_MIN)
}

/// Tiers of the engines of each zone, if they suffice for its demand; `eligible` are all engines that may run a
/// request.
pub(super) fn tiers<U>(
    eligible: &[&Endpoint],
    zone: &id::ZoneId,
    demand: &Demand,
    utilization: U,
) -> Option<Tiers>
where
    U: FnOnce() -> f64,
{
    if !suffices(eligible, zone) {
        return None;
    }
    let mut zones: Vec<&Endpoint> = eligible.to_vec();
    zones.sort_unstable_by_key(|endpoint| (&endpoint.entry.zone, endpoint.report_key));
    let (small, long) = (demand.small_share(utilization()), demand.long_share());
    let mut tiers = Tiers::default();
    let count = |engines: usize, share: f64| (engines as f64 * share).round().max(1.0) as usize;
    for engines in zones.chunk_by(|a, b| a.entry.zone == b.entry.zone) {
        let (first, rest) = engines.split_at(count(engines.len(), small).min(engines.len()));
        tiers.small.extend(first.iter().map(|endpoint| endpoint.report_key));
        let known = engines.iter().filter_map(|endpoint| endpoint.speed.millis()).collect();
        let limit = speed::slow_limit(known).unwrap_or(f64::MAX);
        let is_slow = |endpoint: &Endpoint| {
            endpoint.speed.millis().is_some_and(|millis| f64::from(millis) > limit)
        };
        // A long prompt at a slow engine delays the streams beside it for longer.
        let (slow, fast): (Vec<&Endpoint>, Vec<&Endpoint>) =
            rest.iter().copied().partition(|endpoint| is_slow(endpoint));
        let long = fast.into_iter().chain(slow).take(count(rest.len(), long));
        tiers.long.extend(long.map(|endpoint| endpoint.report_key));
    }
    Some(tiers)
}
