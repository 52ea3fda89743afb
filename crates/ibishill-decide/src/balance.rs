//! Load balancing: selects the endpoint of a service for a request from one daemon's state.
//!
//! Designed for prompts that share a prefix, which are cheap where the prefix is
//! cached; bursts, in which many daemons see the same reports and must not all choose the
//! same endpoint; endpoints that restart cold, fail or leave. Each daemon knows its own
//! in-flight work exactly, and that of others from responses and from peers' reports.

mod access;
mod admission;
mod cold;
pub mod doubt;
mod endpoint;
mod forecast;
mod placement;
mod prefix_use;
pub mod reports;
pub mod speed;
mod zone_local;

use std::cell::RefCell;
use std::collections::BTreeMap;

use ibishill_core::{fleet, id, time};

pub use admission::Start;
use cold::admits;
pub use cold::{COLD_SENDERS, SlowStart, cold_rate};
use endpoint::{Endpoint, Observed, endpoint_hash, report_key};
use placement::{nearest, prefix_endpoint, request_hash, small_model_threshold};

use crate::{contact, gate, outlier, rate, reach, report_targets};
use crate::{endpoint_key, forecast as forecasts};

/// Bonus for a cached prefix, in load for each 1,000 shared tokens.
const PREFIX_BONUS: f64 = 0.03;

/// Upper bound of the bonus for a cached prefix, in load.
const PREFIX_BONUS_MAX: f64 = 0.25;

/// Bonus for an endpoint in the daemon's own zone, in load: another zone costs cross-zone
/// traffic and latency.
const SAME_ZONE_BONUS: f64 = 0.12;

/// Range of the random difference between endpoints, in load, so that daemons spread.
const JITTER: f64 = 0.04;

/// Slots that 1,000 prompt tokens occupy at the largest model until their prefill ends:
/// prefill delays every request of the batch.
const PREFILL_SLOTS: f64 = 0.7;

/// Slots that a request occupies which another daemon sent and which has not started.
const WAITING_SLOTS: f64 = 3.0;

/// Share of a service's engines that the smallest model prefers; the largest prefers the
/// others. A batch of one model takes shorter steps than a mixed one, and each engine caches
/// more prompts of its model.
const SMALL_MODEL_SHARE: f64 = 0.2;

/// Penalty for an engine that the request's model does not prefer, in load.
const MODEL_PENALTY: f64 = 0.25;

/// Concurrent requests per slot of a plain service; those beyond its slots queue there for a
/// few milliseconds.
const PLAIN_DEPTH: f64 = 2.0;

/// Concurrent requests per slot of an engine, which batches.
const ENGINE_DEPTH: f64 = 1.0;

/// Share of an engine's KV cache that running requests may fill.
const MEMORY_SHARE: f64 = 0.9;

/// Mean load of the old version's endpoints from which on the canary's requests are packed
/// onto as few endpoints as carry the same load. Below it, the loss of an endpoint would look
/// like a fault of the version.
const PACK_MIN_LOAD: f64 = 0.5;

/// Endpoints compared for a request in the daemon's own zone and elsewhere, besides the one that caches its
/// prefix. Many daemons know the same loads; if all of them compared all endpoints, all would choose the
/// same one.
const SAMPLE_SIZE: (usize, usize) = (4, 2);

/// The same for a request of which the peers hear at once, so that they don't choose the same one.
const SAMPLE_SIZE_TOLD: (usize, usize) = (16, 4);

/// Number of endpoints up to which all are compared.
const SAMPLE_ALL_MAX: usize = 12;

/// Filter for the versions that a request may run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Versions<'a> {
    /// No restriction.
    Any,
    /// Only this version.
    Only(&'a id::VersionId),
    /// All versions but the one that is rolled out and others that count as no old ones.
    Except {
        /// The version that is rolled out.
        to: &'a id::VersionId,
        /// The others.
        others: &'a [id::VersionId],
    },
}

impl Versions<'_> {
    /// Whether a version passes.
    pub fn allows(&self, version: &id::VersionId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => *only == version,
            Self::Except { to, others } => *to != version && !others.contains(version),
        }
    }
}

/// Engines of a service that a request prefers because of its model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Tier {
    /// No preference.
    #[default]
    Any,
    /// Those of the smallest model.
    Small,
    /// Those of the largest model.
    Large,
}

/// Requirements of a request.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Service whose endpoints are considered.
    pub service: &'a id::ServiceId,
    /// Versions that it may run on.
    pub versions: Versions<'a>,
    /// Endpoints that earlier attempts went to; they are skipped.
    pub tried: &'a [id::EndpointId],
    /// Hash of the prompt's shared prefix and its length in tokens; `None` if it has none.
    pub prefix: Option<(u64, u64)>,
    /// Model that it runs on; `None` if its caller has chosen it.
    pub model: Option<&'a id::ModelId>,
    /// KV-cache tokens that it occupies at an engine.
    pub tokens: u64,
    /// KV-cache capacity of an engine, in tokens; 0 for a plain service.
    pub capacity: u64,
    /// Prefill cost of its prompt, in thousands of tokens at the largest model.
    pub prefill: f64,
    /// The part of it that a cached prefix saves.
    pub saved: f64,
    /// Engines that its model prefers.
    pub tier: Tier,
    /// Whether it is packed onto as few endpoints as carry the mean load of the other
    /// versions' endpoints; set for the few requests of a canary.
    pub uses_subset: bool,
    /// Seed by which requests spread over similar endpoints.
    pub seed: u64,
}

/// Result of [`Balancer::pick`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this endpoint.
    Send(id::EndpointId),
    /// There are eligible endpoints, but none has a free slot now.
    Full,
    /// No eligible endpoint, or all were tried.
    NoEndpoint,
    /// Those that could take it are out of reach from this daemon, or divided between others; peers can
    /// send to them.
    OutOfReach,
    /// Those that could take it want no requests from this daemon until then at the earliest.
    Resting(time::Tick),
}

/// Load of an endpoint, as its response reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that were running.
    pub running: u32,
    /// Requests that had not started.
    pub waiting: u32,
}

/// Resources that one request occupies at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// KV-cache tokens.
    pub tokens: u64,
    /// Prefill cost of its prompt, in thousands of tokens at the largest model.
    pub prefill: f64,
    /// Engines that its model prefers.
    pub tier: Tier,
}

/// Number of endpoints in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Takes requests at full rate.
    pub ready: u32,
    /// Takes requests at its declared cold rate, as it has just started or its last connection
    /// failed.
    pub cold: u32,
    /// Has an open circuit breaker, or its zone is suspected unreachable.
    pub ejected: u32,
    /// Takes no requests: it is draining, or its zone is out of service.
    pub out: u32,
}

/// Known endpoints with their load and health.
#[derive(Debug, Clone)]
pub struct Balancer {
    reports: reports::Reports,
    gate: gate::Gate,
    contacts: contact::Contacts,
    zone: id::ZoneId,
    own: id::VmId,
    endpoints: BTreeMap<id::EndpointId, Endpoint>,
    zones_out: BTreeMap<id::ZoneId, ()>,
    reach: reach::Reach,
    demand: zone_local::Demand,
    tiers: RefCell<zone_local::Cache>,
    forecasts: forecasts::Forecasts,
    prefixes: prefix_use::Uses,
    // Since the last call of take_doubts.
    doubts: Vec<doubt::Change>,
    // Endpoints that are not registered any more, and since when.
    gone: BTreeMap<id::EndpointId, (doubt::Warmth, time::Tick)>,
}

impl Balancer {
    /// Creates a balancer without endpoints, for the daemon `own` in `zone`.
    pub fn new(own: id::VmId, zone: id::ZoneId) -> Self {
        Self {
            reports: reports::Reports::default(),
            gate: gate::Gate::default(),
            contacts: contact::Contacts::default(),
            zone,
            own,
            endpoints: BTreeMap::new(),
            zones_out: BTreeMap::new(),
            reach: reach::Reach::default(),
            demand: zone_local::Demand::default(),
            tiers: RefCell::default(),
            forecasts: forecasts::Forecasts::default(),
            prefixes: prefix_use::Uses::default(),
            doubts: Vec::new(),
            gone: BTreeMap::new(),
        }
    }

    /// Reachability of the zones from this daemon.
    pub const fn reach(&mut self) -> &mut reach::Reach {
        &mut self.reach
    }

    /// This daemon's own in-flight work by endpoint, for its peers.
    pub fn in_flight(&self) -> Vec<reports::InFlight> {
        let busy = self.endpoints.values().filter(|endpoint| endpoint.running > 0);
        busy.map(|endpoint| {
            reports::InFlight::new(endpoint.report_key, endpoint.running, endpoint.prefill)
        })
        .collect()
    }

    /// This daemon's own in-flight work at one endpoint; none if the endpoint is unknown.
    pub fn in_flight_at(&self, id: &id::EndpointId) -> Option<reports::InFlight> {
        let endpoint = self.endpoints.get(id)?;
        Some(reports::InFlight::new(endpoint.report_key, endpoint.running, endpoint.prefill))
    }

    /// In-flight work reported by peers.
    pub const fn reports(&mut self) -> &mut reports::Reports {
        &mut self.reports
    }

    // Requests that other daemons have in flight at an endpoint, and their prefill cost.
    fn others_load(&self, endpoint: &Endpoint, now: time::Tick) -> (f64, f64) {
        let (observed, waiting) = endpoint.observed_load(now);
        let (running, prefill) = self.reports.total(endpoint.report_key, now);
        (observed.max(running), prefill.max(waiting * (WAITING_SLOTS - 1.0) / PREFILL_SLOTS))
    }

    // Requests per slot.
    fn load(&self, endpoint: &Endpoint, now: time::Tick) -> f64 {
        let all = f64::from(endpoint.running) + self.others_load(endpoint, now).0;
        all / f64::from(endpoint.entry.slots.max(1))
    }

    // Load including prompts whose prefill has not ended.
    fn load_with_prefill(&self, endpoint: &Endpoint, now: time::Tick) -> f64 {
        let prefill = (endpoint.prefill + self.others_load(endpoint, now).1) * PREFILL_SLOTS;
        self.load(endpoint, now) + prefill / f64::from(endpoint.entry.slots.max(1))
    }

    /// Adds or updates an endpoint; a changed start time means a restart, which resets its
    /// state but for a doubt about its latest start.
    pub fn register(&mut self, entry: fleet::Registration, now: time::Tick) {
        let cold_until =
            if entry.cold_remaining.0 > 0 { now + entry.cold_remaining } else { time::Tick(0) };
        match self.endpoints.get_mut(&entry.id) {
            Some(endpoint) if endpoint.entry.started == entry.started => {
                endpoint.warmth.cold_until = endpoint.warmth.cold_until.max(cold_until);
                self.gate.register(endpoint.key, &entry, now);
                endpoint.entry = entry;
            }
            _ => {
                let key = endpoint_key::EndpointKey::of(&entry);
                let part = contact::Part::of(&entry);
                let mut warmth = self.warmth(&entry.id).unwrap_or_default();
                warmth.cold_until = warmth.cold_until.max(cold_until);
                if warmth.started != entry.started {
                    self.prefixes.remove(report_key(&entry.id));
                }
                warmth.started = entry.started;
                warmth.earlier_since = None;
                self.gone.remove(&entry.id);
                self.gate.register(key, &entry, now);
                let endpoint = Endpoint {
                    report_key: report_key(&entry.id),
                    key,
                    entry: entry.clone(),
                    running: 0,
                    tokens: 0,
                    pending: 0,
                    prefill: 0.0,
                    observed: None,
                    work: None,
                    breaker: outlier::Breaker::default(),
                    earlier: self.endpoints.get(&entry.id).map(|earlier| earlier.key),
                    warmth,
                    cold_bucket: rate::Bucket::new(0.0, now),
                    speed: speed::Speed::default(),
                };
                if let Some(earlier) = self.endpoints.insert(entry.id, endpoint) {
                    self.contacts.remove(earlier.key);
                    self.gate.remove(earlier.key);
                    self.forecasts.remove(earlier.report_key);
                }
                self.contacts.register(key, part);
            }
        }
    }

    /// Removes an endpoint, if it is known.
    pub fn remove(&mut self, id: &id::EndpointId, now: time::Tick) {
        if let Some(endpoint) = self.endpoints.remove(id) {
            self.record_gone(id, endpoint.warmth, now);
            self.contacts.remove(endpoint.key);
            self.gate.remove(endpoint.key);
            self.forecasts.remove(endpoint.report_key);
        }
    }

    /// Registration of an endpoint; `None` if it is unknown.
    pub fn entry(&self, id: &id::EndpointId) -> Option<&fleet::Registration> {
        self.endpoints.get(id).map(|endpoint| &endpoint.entry)
    }

    /// Registrations of all endpoints.
    pub fn entries(&self) -> impl Iterator<Item = &fleet::Registration> {
        self.endpoints.values().map(|endpoint| &endpoint.entry)
    }

    /// Whether a version has an endpoint in service.
    pub fn has_version(&self, service: &id::ServiceId, version: &id::VersionId) -> bool {
        self.serves(service, Versions::Only(version))
    }

    /// Whether any of these versions has an endpoint in service.
    pub fn serves(&self, service: &id::ServiceId, versions: Versions<'_>) -> bool {
        self.endpoints.values().any(|endpoint| {
            endpoint.entry.service == *service
                && versions.allows(&endpoint.entry.version)
                && self.is_in_service(endpoint)
        })
    }

    fn is_in_service(&self, endpoint: &Endpoint) -> bool {
        self.is_ready(endpoint) && !self.gate.is_leaving(endpoint.key)
    }

    // Whether it is in service by its registration, and the operator's orders.
    fn is_ready(&self, endpoint: &Endpoint) -> bool {
        endpoint.entry.readiness == fleet::Readiness::Ready
            && !self.zones_out.contains_key(&endpoint.entry.zone)
    }

    /// Selects an endpoint; `rank` is this daemon's rank among the senders to a cold one.
    pub fn pick<R>(
        &self,
        request: &Request<'_>,
        cold: SlowStart,
        rank: R,
        now: time::Tick,
    ) -> Choice
    where
        R: Fn(&id::EndpointId) -> usize,
    {
        let is_eligible = |endpoint: &&Endpoint| {
            endpoint.entry.service == *request.service
                && request.versions.allows(&endpoint.entry.version)
                && self.is_in_service(endpoint)
        };
        let eligible: Vec<&Endpoint> = self.endpoints.values().filter(is_eligible).collect();
        if eligible.is_empty() {
            return Choice::NoEndpoint;
        }
        let is_reached = |endpoint: &&&Endpoint| !self.contacts.is_out(endpoint.key);
        let reached: Vec<&Endpoint> = eligible.iter().filter(is_reached).copied().collect();
        let is_partial = reached.len() < eligible.len();
        let is_untried = |endpoint: &&&Endpoint| !request.tried.contains(&endpoint.entry.id);
        let is_healthy = |endpoint: &&&Endpoint| {
            endpoint.breaker.allows(now) && self.reach.allows(&endpoint.entry.zone, now)
        };
        let mut candidates: Vec<&Endpoint> =
            reached.iter().filter(is_untried).filter(is_healthy).copied().collect();
        if candidates.is_empty() && is_partial {
            return Choice::OutOfReach;
        }
        if candidates.is_empty() {
            // Every untried endpoint is ejected: an ejected one is better than none.
            candidates = reached.iter().filter(is_untried).copied().collect();
        }
        if candidates.is_empty() {
            return Choice::NoEndpoint;
        }
        let rests = candidates.iter().map(|found| self.gate.resting_until(found.key, now));
        // None unless all of them rest.
        let resting = rests.collect::<Option<Vec<_>>>().and_then(|rests| rests.into_iter().min());
        let is_available = |endpoint: &&&Endpoint| {
            self.has_capacity(endpoint, request, now)
                && admits(endpoint, cold, &rank, now)
                && self.gate.admits(endpoint.key, endpoint.running, now)
        };
        let mut available: Vec<&Endpoint> =
            candidates.iter().filter(is_available).copied().collect();
        if request.uses_subset {
            self.pack(&mut available, request, now);
        }
        // A plain service reads no prompts.
        let tiers = if request.capacity == 0 {
            None
        } else {
            let utilization = || self.utilization(request.service, now);
            let compute = || zone_local::tiers(&eligible, &self.zone, &self.demand, utilization);
            self.tiers.borrow_mut().get(request.service, &eligible, compute, now)
        };
        let small = if tiers.is_none() { small_model_threshold(&eligible) } else { 0 };
        let is_preferred = |endpoint: &Endpoint| match (&tiers, request.tier) {
            (_, Tier::Any) => true,
            (Some(tiers), tier) => tiers.prefers(tier, request.prefill, endpoint),
            (None, Tier::Small) => endpoint_hash(endpoint) >= small,
            (None, Tier::Large) => endpoint_hash(endpoint) < small,
        };
        let preferred: Vec<&Endpoint> =
            available.iter().copied().filter(|n| is_preferred(n)).collect();
        let is_own = |endpoint: &&Endpoint| endpoint.entry.zone == self.zone;
        let own: Vec<&Endpoint> = preferred.iter().copied().filter(is_own).collect();
        let homes = match () {
            () if tiers.is_some() && !own.is_empty() => &own,
            () if preferred.is_empty() => &available,
            () => &preferred,
        };
        let prefix_endpoint = prefix_endpoint(homes, request);
        let score = |endpoint: &Endpoint| match tiers {
            Some(_) => self.cost(endpoint, request, prefix_endpoint, is_preferred(endpoint), now),
            None => {
                let penalty = if is_preferred(endpoint) { 0.0 } else { MODEL_PENALTY };
                self.score(endpoint, request, prefix_endpoint, now) + penalty
            }
        };
        let is_prefix_endpoint =
            |endpoint: &Endpoint| prefix_endpoint.is_some_and(|key| key == endpoint.report_key);
        let size =
            if report_targets::is_told(request.prefill) { SAMPLE_SIZE_TOLD } else { SAMPLE_SIZE };
        // Preferred engines are sampled alone if there are enough of them.
        let is_enough = preferred.len() > SAMPLE_SIZE.0 + SAMPLE_SIZE.1;
        let order =
            |endpoint: &Endpoint| (!is_prefix_endpoint(endpoint), request_hash(endpoint, request));
        let mut sample = if is_enough && tiers.is_none() { preferred } else { available };
        if tiers.is_some() {
            sample = zone_local::sample(sample, &self.zone, is_preferred, order, size);
        } else if sample.len() > SAMPLE_ALL_MAX {
            sample.sort_by_key(|endpoint| order(endpoint));
            sample = nearest(sample, &self.zone, size);
        }
        let scored = sample.into_iter().map(|endpoint| (score(endpoint), endpoint));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        match best {
            Some((_, endpoint)) => Choice::Send(endpoint.entry.id.clone()),
            None if is_partial || !self.senders(request.service).is_empty() => Choice::OutOfReach,
            None => resting.map_or(Choice::Full, Choice::Resting),
        }
    }

    fn has_capacity(&self, endpoint: &Endpoint, request: &Request<'_>, now: time::Tick) -> bool {
        let is_engine = request.capacity > 0;
        let depth = if is_engine { ENGINE_DEPTH } else { PLAIN_DEPTH };
        if self.load(endpoint, now) >= depth {
            return false;
        }
        let is_free = endpoint.running == 0 || !is_engine;
        is_free
            || (endpoint.tokens + request.tokens) as f64 <= request.capacity as f64 * MEMORY_SHARE
    }

    /// Records that a request is sent to an endpoint.
    pub fn begin(
        &mut self,
        id: &id::EndpointId,
        work: Work,
        cold: SlowStart,
        rank: usize,
        now: time::Tick,
    ) {
        self.demand.begin(&work, now);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.running += 1;
        endpoint.tokens += work.tokens;
        endpoint.pending += 1;
        endpoint.prefill += work.prefill;
        endpoint.breaker.begin(now);
        self.reach.begin(&endpoint.entry.zone, now);
        self.gate.record_send(endpoint.key, now);
        self.contacts.record_send(endpoint.key, now);
        // Tokens are also taken while the endpoint is warm, so that the bucket is not full when
        // it turns cold.
        if cold.rate > 0.0 {
            endpoint.cold_bucket.try_take(cold_rate(cold.rate, rank), now);
        }
    }

    /// Records that the response to a request has started, which ends its prefill.
    pub fn record_response_start(&mut self, id: &id::EndpointId, work: Work) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.pending = endpoint.pending.saturating_sub(1);
            endpoint.prefill = (endpoint.prefill - work.prefill).max(0.0);
            if endpoint.pending == 0 {
                // What rounding leaves would make an idle engine look busy.
                endpoint.prefill = 0.0;
            }
        }
    }

    /// Records that a request has left an endpoint.
    pub fn end(&mut self, id: &id::EndpointId, work: Work, now: time::Tick) {
        // The endpoint may be gone by now.
        self.demand.end(&work, now);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.running = endpoint.running.saturating_sub(1);
            endpoint.tokens = endpoint.tokens.saturating_sub(work.tokens);
        }
    }

    /// Records the result of an attempt, with the load that the response reported.
    ///
    /// An endpoint that could not be reached may have restarted: it counts as cold until a request that
    /// began after that is answered, and for [`SlowStart::duration`] after the answer.
    pub fn record_attempt(
        &mut self,
        id: &id::EndpointId,
        attempt: outlier::Attempt,
        load: Option<Load>,
        cold: SlowStart,
        (began, now): (time::Tick, time::Tick),
    ) {
        if attempt == outlier::Attempt::Unreachable {
            let _is_news = self.doubt(id, doubt::Cause::Unreached, cold, now);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let is_answered =
            attempt == outlier::Attempt::Good && endpoint.warmth.is_answered(began, now);
        if is_answered {
            let warmth = &mut endpoint.warmth;
            warmth.cold_until = warmth.cold_until.max(now + cold.duration);
            warmth.heard = Some(now);
            self.settle(id, doubt::Cause::Answered, began);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if attempt != outlier::Attempt::Good && self.contacts.is_out(endpoint.key) {
            return;
        }
        endpoint.breaker.end(attempt, now);
        if let Some(load) = load {
            let reported = f64::from(load.running) + f64::from(load.waiting);
            let others = (reported - f64::from(endpoint.running)).max(0.0);
            let waiting = (f64::from(load.waiting) - f64::from(endpoint.pending)).max(0.0);
            endpoint.observed = Some(Observed { others, waiting, at: now });
        }
    }

    /// Records that an endpoint refused a request for lack of capacity: it counts as full.
    pub fn record_refusal(&mut self, id: &id::EndpointId, now: time::Tick) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let slots = f64::from(endpoint.entry.slots);
            endpoint.observed = Some(Observed { others: slots, waiting: 0.0, at: now });
            // The request itself is still counted.
            let running = endpoint.running.saturating_sub(1);
            self.gate.slots().record_rejection(endpoint.key, running, now);
        }
    }

    /// Mean load of a service's endpoints in service, in requests per slot; above 1 where
    /// requests queue.
    pub fn utilization(&self, service: &id::ServiceId, now: time::Tick) -> f64 {
        let endpoints =
            self.endpoints.values().filter(|endpoint| endpoint.entry.service == *service);
        let (mut load, mut count) = (0.0, 0.0);
        for endpoint in endpoints.filter(|endpoint| self.is_in_service(endpoint)) {
            load += self.load(endpoint, now);
            count += 1.0;
        }
        load / f64::max(count, 1.0)
    }
}
