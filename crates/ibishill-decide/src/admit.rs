//! Admission by an owner: whether a request may run now, and at which endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ibishill_config::{declared, in_force};
use ibishill_core::prefix::PrefixKey;
use ibishill_core::{id, outcome, priority, time, view};

use crate::{choose, index, limiter, outlier, plan, prefix};

const RETRY_AFTER: time::Millis = time::Millis(1_000);

/// The part of a request that admission depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Identifies the request.
    pub request: id::RequestId,
    /// The caller's workspace.
    pub workspace: id::WorkspaceId,
    /// The version or service to run.
    pub target: id::Target,
    /// Hash of the start of its messages, if it has any.
    pub prefix: Option<PrefixKey>,
    /// Its priority among the workspace's requests.
    pub priority: priority::Priority,
    /// Size of its prompt, if the first token of its answer can be observed.
    pub prompt: Option<limiter::PromptBytes>,
    /// When the caller no longer waits for an answer.
    pub deadline: time::Tick,
    /// Endpoints that earlier attempts were sent to, which are excluded.
    pub tried: BTreeSet<id::EndpointId>,
    /// Whether it may be queued until a slot is free; otherwise it is refused at once and another
    /// owner is asked.
    pub waits: bool,
}

/// The owner's lease, without which it admits nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// When the lease ends, exclusive.
    pub until: time::Tick,
}

impl Lease {
    /// Checks that the lease is valid at `now`.
    ///
    /// # Errors
    ///
    /// Refuses the request, as not run, if the lease has ended.
    pub fn check(self, now: time::Tick) -> Result<(), outcome::Refusal> {
        if now < self.until {
            return Ok(());
        }
        let detail = "the daemon holds no valid lease";
        let refusal = outcome::Refusal::not_run(outcome::Reason::NotReady, detail);
        Err(refusal.retry_after(RETRY_AFTER))
    }
}

/// An admitted request's slot at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The endpoint to send the request to.
    pub endpoint: id::EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// When the request was admitted.
    pub admitted: time::Tick,
    /// Identifies the request to the endpoint's limiter.
    pub ticket: limiter::Ticket,
}

/// The inputs of an admission besides the owner's state.
#[derive(Clone, Copy)]
pub struct Facts<'a> {
    /// The configuration in force.
    pub config: &'a in_force::InForce,
    /// The membership view of the owner's zone.
    pub view: &'a view::View,
    /// Where the owner runs.
    pub location: &'a plan::Location,
    /// The owner's lease.
    pub lease: Lease,
    /// The current time.
    pub now: time::Tick,
}

/// How long an earlier owner of an endpoint may still affect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Periods {
    /// Duration of a lease, which also bounds how outdated a member's view may be.
    pub lease: time::Millis,
    /// Longest time for which a request may run.
    pub run_max: time::Millis,
}

/// The owner's state, with a limiter for each of its endpoints.
#[derive(Debug, Clone)]
pub struct Owner {
    periods: Periods,
    // When this owner last saw another member join the view.
    last_join: Option<time::Tick>,
    index: index::Index,
    limiters: BTreeMap<id::EndpointId, limiter::Limiter>,
    reports: BTreeMap<id::EndpointId, limiter::Report>,
    holders: prefix::Holders,
    outliers: outlier::Outliers,
}

impl Owner {
    /// Creates an owner without endpoints; all owners must use the same `periods`.
    pub fn new(periods: Periods) -> Self {
        Self {
            periods,
            last_join: None,
            index: index::Index::default(),
            limiters: BTreeMap::new(),
            reports: BTreeMap::new(),
            holders: prefix::Holders::default(),
            outliers: outlier::Outliers::default(),
        }
    }

    /// Admits a request to one of the endpoints that this daemon owns.
    ///
    /// # Errors
    ///
    /// Refuses, as not run, a request if the lease has ended, if [`Owner::check`] fails, or if no
    /// slot is free.
    pub fn admit(&mut self, facts: &Facts<'_>, job: &Job) -> Result<Admission, outcome::Refusal> {
        facts.lease.check(facts.now)?;
        self.check(facts, job)?;
        let loads = self.loads(job, facts.now);
        let Some(load) = choose::choose(&loads, &job.request) else {
            return Err(overloaded(&job.target));
        };
        let endpoint = load.endpoint.clone();
        let limiter = self.limiters.get_mut(&endpoint);
        let ticket = limiter.and_then(|limiter| limiter.admit(job.prompt, facts.now));
        let ticket = ticket.ok_or_else(|| overloaded(&job.target))?;
        self.outliers.begin(&endpoint, &job.target, facts.now);
        if let Some(key) = job.prefix {
            self.holders.record(key, &endpoint, prefix::Event::Stored, facts.now);
        }
        let address = facts.config.declared.endpoints[&endpoint].address;
        Ok(Admission { endpoint, address, admitted: facts.now, ticket })
    }

    /// Checks that a request may run here, now or once a slot is free.
    ///
    /// # Errors
    ///
    /// Refuses, as not run, a request that is not allowed or has no endpoint left here.
    pub fn check(&mut self, facts: &Facts<'_>, job: &Job) -> Result<(), outcome::Refusal> {
        check_job(&facts.config.declared, facts.location, job)?;
        self.refresh(facts);
        if self.index.endpoints(&job.target).is_empty() {
            let detail = format!("{} has no endpoint with {}", facts.location.vm, job.target);
            return Err(outcome::Refusal::not_run(outcome::Reason::NoEndpoint, detail));
        }
        self.check_usable(job, facts.now)
    }

    fn check_usable(&self, job: &Job, now: time::Tick) -> Result<(), outcome::Refusal> {
        if !self.usable(job, now).is_empty() {
            return Ok(());
        }
        let untried =
            self.index.endpoints(&job.target).iter().filter(|name| !job.tried.contains(*name));
        let available_at = untried.map(|name| self.outliers.available_at(name, &job.target)).min();
        let detail = format!("no endpoint of {} is left to try", job.target);
        let refusal = outcome::Refusal::not_run(outcome::Reason::NoEndpoint, detail);
        Err(available_at.map_or(refusal.clone(), |at| refusal.retry_after(at.since(now))))
    }

    // Endpoints that are neither ejected nor already tried.
    fn usable(&self, job: &Job, now: time::Tick) -> BTreeSet<id::EndpointId> {
        let names = self.index.endpoints(&job.target);
        let mut usable = self.outliers.usable(names, &job.target, job.waits, now);
        usable.retain(|name| !job.tried.contains(name));
        usable
    }

    /// Updates the endpoints after a change of configuration or view.
    ///
    /// A newly owned endpoint starts cold, after the takeover from its earlier owner.
    pub fn refresh(&mut self, facts: &Facts<'_>) {
        if self.index.is_current(facts.config, facts.view) {
            return;
        }
        let before = self.index.owned().clone();
        let joined = |member: &view::Member| {
            self.index.view().is_none_or(|view| view.member(&member.vm).is_none())
        };
        let alone = facts.view.members.iter().all(|member| member.vm == facts.location.vm);
        if !alone && facts.view.members.iter().any(joined) {
            self.last_join = Some(facts.now);
        }
        self.index.refresh(facts.config, facts.view, facts.location);
        // A member that has not seen the new view yet continues as owner for up to one lease.
        let lease_end = self.last_join.map_or(facts.now, |joined| joined + self.periods.lease);
        let since = lease_end.max(facts.now);
        for name in self.index.owned() {
            let endpoint = &facts.config.declared.endpoints[name];
            let limits = limiter::Limits { cold: endpoint.cold_slots, warm: endpoint.slots };
            let limiter =
                self.limiters.entry(name.clone()).or_insert_with(|| limiter::Limiter::new(limits));
            limiter.set_limits(limits);
            if !before.contains(name) {
                limiter.take_over(since, self.periods.run_max);
                self.holders.forget(name);
            }
        }
        let owned = self.index.owned();
        self.limiters.retain(|name, limiter| owned.contains(name) || limiter.running() > 0);
        self.reports.retain(|name, _| owned.contains(name));
        self.outliers.retain(|name| owned.contains(name));
    }

    fn loads(&mut self, job: &Job, now: time::Tick) -> Vec<choose::Load> {
        let mut loads = Vec::new();
        for name in &self.usable(job, now) {
            let Some(limiter) = self.limiters.get_mut(name) else { continue };
            let free = limiter.available(now);
            let excess = self.reports.get(name).map(|report| choose::Excess {
                running: report.running.saturating_sub(limiter.running()),
                age: now.since(report.taken),
            });
            let hit_probability =
                job.prefix.map_or(0.0, |key| self.holders.hit_probability(key, name, now));
            loads.push(choose::Load {
                endpoint: name.clone(),
                running: limiter.running(),
                backlog_bytes: limiter.backlog_bytes(now),
                prompt_bytes: u64::from(
                    job.prompt.unwrap_or(limiter::PROMPT_MIN).max(limiter::PROMPT_MIN).0,
                ),
                limit: limiter.limit(),
                free,
                ms_per_byte: limiter.ms_per_byte(),
                excess,
                hit_probability,
                hop_ms: 0.0,
            });
        }
        loads
    }

    /// Records the first token of an admitted request.
    pub fn record_first_token(&mut self, admission: &Admission, now: time::Tick) {
        if let Some(limiter) = self.limiters.get_mut(&admission.endpoint) {
            limiter.record_first_token(admission.ticket, now);
        }
    }

    /// Releases the slot of an admitted request.
    pub fn finish(&mut self, admission: &Admission, outcome: limiter::Outcome, now: time::Tick) {
        if let Some(limiter) = self.limiters.get_mut(&admission.endpoint) {
            limiter.finish(admission.ticket, outcome, now);
        }
    }

    /// Records the result of an attempt; returns whether it ejected or reinstated the endpoint.
    pub fn record_attempt(
        &mut self,
        admission: &Admission,
        target: &id::Target,
        attempt: outlier::Attempt,
        now: time::Tick,
    ) -> bool {
        self.outliers.end(&admission.endpoint, target, attempt, now)
    }

    /// Records an endpoint's load report; after a restart of the endpoint, its cache is empty.
    pub fn record_report(&mut self, endpoint: &id::EndpointId, report: limiter::Report) {
        let Some(limiter) = self.limiters.get_mut(endpoint) else { return };
        limiter.record_report(&report);
        let before = self.reports.insert(endpoint.clone(), report);
        if before.is_some_and(|before| before.start != report.start) {
            self.holders.forget(endpoint);
        }
    }

    /// Sets the versions that an endpoint holds; returns whether they changed.
    ///
    /// Does nothing for an endpoint that this daemon does not own.
    pub fn set_loaded(
        &mut self,
        endpoint: &id::EndpointId,
        versions: BTreeSet<id::VersionRef>,
    ) -> bool {
        self.index.owned().contains(endpoint) && self.index.set_loaded(endpoint, versions)
    }

    /// Records an event of an endpoint's prefix cache.
    pub fn record_cache_event(
        &mut self,
        endpoint: &id::EndpointId,
        key: PrefixKey,
        event: prefix::Event,
        now: time::Tick,
    ) {
        if self.limiters.contains_key(endpoint) {
            self.holders.record(key, endpoint, event, now);
        }
    }

    /// Requests of `target` that may run concurrently at this owner's endpoints.
    pub fn slots(&self, target: &id::Target) -> u32 {
        let limiters =
            self.index.endpoints(target).iter().filter_map(|name| self.limiters.get(name));
        limiters.map(limiter::Limiter::limit).sum()
    }

    /// Requests of `target` that can be admitted now.
    pub fn available(&mut self, target: &id::Target, now: time::Tick) -> u32 {
        let mut available = 0;
        for name in self.outliers.usable(self.index.endpoints(target), target, false, now) {
            available += self.limiters.get_mut(&name).map_or(0, |limiter| limiter.available(now));
        }
        available
    }

    /// The earliest time when an endpoint of `target` admits requests, or none without endpoints.
    pub fn ready_at(&self, target: &id::Target) -> Option<time::Tick> {
        let limiters =
            self.index.endpoints(target).iter().filter_map(|name| self.limiters.get(name));
        limiters.map(limiter::Limiter::ready_at).min()
    }

    /// The endpoints that this daemon owns.
    pub fn index(&self) -> &index::Index {
        &self.index
    }

    /// The limiters by endpoint, including endpoints given up while requests still run there.
    pub fn limiters(&self) -> &BTreeMap<id::EndpointId, limiter::Limiter> {
        &self.limiters
    }
}

/// The refusal of a request for which all endpoints are at their limit.
pub fn overloaded(target: &id::Target) -> outcome::Refusal {
    let detail = format!("all endpoints of {target} are at their limit");
    outcome::Refusal::not_run(outcome::Reason::Overloaded, detail).retry_after(RETRY_AFTER)
}

fn check_job(
    declared: &declared::Declared,
    location: &plan::Location,
    job: &Job,
) -> Result<(), outcome::Refusal> {
    let Some(workspace) = declared.workspaces.get(&job.workspace) else {
        let detail = "the workspace is not declared";
        return Err(outcome::Refusal::not_run(outcome::Reason::Unauthorized, detail));
    };
    let zone = declared.zones.get(&location.zone);
    if zone.is_none_or(|zone| zone.state == declared::AdminState::Out) {
        let detail = format!("zone {} is out of service", location.zone);
        return Err(outcome::Refusal::not_run(outcome::Reason::NoEndpoint, detail));
    }
    match &job.target {
        id::Target::Version(version) => plan::check_version(declared, workspace, version),
        id::Target::Service(service) if workspace.services.contains(service) => Ok(()),
        id::Target::Service(service) => {
            let detail = format!("the workspace may not use {service}");
            Err(outcome::Refusal::not_run(outcome::Reason::NotAllowed, detail))
        }
    }
}
