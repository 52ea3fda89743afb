//! The owner's decision: whether a request may run now, and at which endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ibishill_config::{declared, in_force};
use ibishill_core::prefix::PrefixKey;
use ibishill_core::{id, outcome, priority, time, view};

use crate::{choose, index, limiter, outlier, plan, prefix};

const RETRY_AFTER: time::Millis = time::Millis(1_000);

/// A request as the owner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The request.
    pub request: id::RequestId,
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// What runs.
    pub target: id::Target,
    /// Start of its messages, if it has any.
    pub prefix: Option<PrefixKey>,
    /// Its place within the workspace.
    pub priority: priority::Priority,
    /// Its prompt, if its first token can be told from the end of its answer.
    pub prompt: Option<limiter::PromptBytes>,
    /// When its answer is of no more use.
    pub deadline: time::Tick,
    /// Endpoints that it has been tried at.
    pub tried: BTreeSet<id::EndpointId>,
    /// Whether it waits here for room; otherwise another owner is asked for it.
    pub waits: bool,
}

/// The right to admit, until the owner's lease ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guard {
    /// End of the lease.
    pub until: time::Tick,
}

impl Guard {
    /// Checks that the lease is valid at `now`.
    ///
    /// # Errors
    ///
    /// A refusal of a request that has not run.
    pub fn check(self, now: time::Tick) -> Result<(), outcome::Refusal> {
        if now < self.until {
            return Ok(());
        }
        let detail = "the daemon holds no valid lease";
        let refusal = outcome::Refusal::not_run(outcome::Reason::NotReady, detail);
        Err(refusal.retry_after(RETRY_AFTER))
    }
}

/// Where an admitted request runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The endpoint.
    pub endpoint: id::EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// When it was admitted.
    pub admitted: time::Tick,
    /// Its mark at the endpoint's gate.
    pub mark: limiter::Ticket,
}

/// What an admission depends on besides the owner's state.
#[derive(Clone, Copy)]
pub struct Facts<'a> {
    /// The configuration in force.
    pub config: &'a in_force::InForce,
    /// The zone's view.
    pub view: &'a view::View,
    /// Where the daemon stands.
    pub place: &'a plan::Place,
    /// The daemon's lease.
    pub guard: Guard,
    /// The time.
    pub now: time::Tick,
}

/// Longest effects of an earlier owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Periods {
    /// Validity of a lease, and so of a member's knowledge of the view.
    pub lease: time::Millis,
    /// Longest run of a request.
    pub age: time::Millis,
}

/// The owner's state: one gate per endpoint.
#[derive(Debug, Clone)]
pub struct Owner {
    periods: Periods,
    // When another member last joined the view that this owner knows.
    joined: Option<time::Tick>,
    index: index::Index,
    gates: BTreeMap<id::EndpointId, limiter::Limiter>,
    reports: BTreeMap<id::EndpointId, limiter::Report>,
    holders: prefix::Holders,
    outliers: outlier::Outliers,
}

impl Owner {
    /// Makes an owner that keeps to the same periods as all others.
    pub fn new(periods: Periods) -> Self {
        Self {
            periods,
            joined: None,
            index: index::Index::default(),
            gates: BTreeMap::new(),
            reports: BTreeMap::new(),
            holders: prefix::Holders::default(),
            outliers: outlier::Outliers::default(),
        }
    }

    /// Admits a request to one of the endpoints that this daemon owns.
    ///
    /// # Errors
    ///
    /// A refusal of a request that has not run.
    pub fn admit(&mut self, facts: &Facts<'_>, job: &Job) -> Result<Admission, outcome::Refusal> {
        facts.guard.check(facts.now)?;
        self.check(facts, job)?;
        let loads = self.loads(job, facts.now);
        let Some(load) = choose::choose(&loads, &job.request) else {
            return Err(overloaded(&job.target));
        };
        let endpoint = load.endpoint.clone();
        let gate = self.gates.get_mut(&endpoint);
        let mark = gate.and_then(|gate| gate.admit(job.prompt, facts.now));
        let mark = mark.ok_or_else(|| overloaded(&job.target))?;
        self.outliers.begin(&endpoint, &job.target, facts.now);
        if let Some(key) = job.prefix {
            self.holders.note(key, &endpoint, prefix::Event::Stored, facts.now);
        }
        let address = facts.config.declared.endpoints[&endpoint].address;
        Ok(Admission { endpoint, address, admitted: facts.now, mark })
    }

    /// Checks that a request may run here at all, now or later.
    ///
    /// # Errors
    ///
    /// A refusal of a request that has not run.
    pub fn check(&mut self, facts: &Facts<'_>, job: &Job) -> Result<(), outcome::Refusal> {
        check_job(&facts.config.declared, facts.place, job)?;
        self.refresh(facts);
        if self.index.endpoints(&job.target).is_empty() {
            let detail = format!("{} has no endpoint with {}", facts.place.vm, job.target);
            return Err(outcome::Refusal::not_run(outcome::Reason::NoEndpoint, detail));
        }
        self.check_usable(job, facts.now)
    }

    fn check_usable(&self, job: &Job, now: time::Tick) -> Result<(), outcome::Refusal> {
        if !self.usable(job, now).is_empty() {
            return Ok(());
        }
        let names =
            self.index.endpoints(&job.target).iter().filter(|name| !job.tried.contains(*name));
        let due = names.map(|name| self.outliers.available_at(name, &job.target)).min();
        let detail = format!("no endpoint of {} is left to try", job.target);
        let refusal = outcome::Refusal::not_run(outcome::Reason::NoEndpoint, detail);
        Err(due.map_or(refusal.clone(), |due| refusal.retry_after(due.since(now))))
    }

    // Endpoints that are neither ejected nor have been tried.
    fn usable(&self, job: &Job, now: time::Tick) -> BTreeSet<id::EndpointId> {
        let names = self.index.endpoints(&job.target);
        let mut usable = self.outliers.usable(names, &job.target, job.waits, now);
        usable.retain(|name| !job.tried.contains(name));
        usable
    }

    /// Follows a changed configuration or view; an endpoint that is new here starts cold.
    pub fn refresh(&mut self, facts: &Facts<'_>) {
        if self.index.is_current(facts.config, facts.view) {
            return;
        }
        let before = self.index.owned().clone();
        let joined = |member: &view::Member| {
            self.index.view().is_none_or(|view| view.member(&member.vm).is_none())
        };
        let alone = facts.view.members.iter().all(|member| member.vm == facts.place.vm);
        if !alone && facts.view.members.iter().any(joined) {
            self.joined = Some(facts.now);
        }
        self.index.refresh(facts.config, facts.view, facts.place);
        // A member that does not know of this one yet goes on as owner for one lease.
        let fresh = self.joined.map_or(facts.now, |joined| joined + self.periods.lease);
        let since = fresh.max(facts.now);
        for name in self.index.owned() {
            let endpoint = &facts.config.declared.endpoints[name];
            let limits = limiter::Limits { cold: endpoint.cold_slots, warm: endpoint.slots };
            let gate =
                self.gates.entry(name.clone()).or_insert_with(|| limiter::Limiter::new(limits));
            gate.set_limits(limits);
            if !before.contains(name) {
                gate.take_over(since, self.periods.age);
                self.holders.forget(name);
            }
        }
        let mine = self.index.owned();
        self.gates.retain(|name, gate| mine.contains(name) || gate.running() > 0);
        self.reports.retain(|name, _| mine.contains(name));
        self.outliers.retain(|name| mine.contains(name));
    }

    fn loads(&mut self, job: &Job, now: time::Tick) -> Vec<choose::Load> {
        let mut loads = Vec::new();
        for name in &self.usable(job, now) {
            let Some(gate) = self.gates.get_mut(name) else { continue };
            let room = gate.available(now);
            let excess = self.reports.get(name).map(|report| choose::Excess {
                running: report.running.saturating_sub(gate.running()),
                age: now.since(report.taken),
            });
            let hit = job.prefix.map_or(0.0, |key| self.holders.hit(key, name, now));
            loads.push(choose::Load {
                endpoint: name.clone(),
                running: gate.running(),
                waiting: gate.backlog_bytes(now),
                prompt: u64::from(
                    job.prompt.unwrap_or(limiter::PROMPT_MIN).max(limiter::PROMPT_MIN).0,
                ),
                limit: gate.limit(),
                room,
                byte_ms: gate.ms_per_byte(),
                excess,
                hit,
                hop_ms: 0.0,
            });
        }
        loads
    }

    /// Notes the first token of an admitted request.
    pub fn first(&mut self, admission: &Admission, now: time::Tick) {
        if let Some(gate) = self.gates.get_mut(&admission.endpoint) {
            gate.record_first_token(admission.mark, now);
        }
    }

    /// Ends an admitted request.
    pub fn finish(&mut self, admission: &Admission, answer: limiter::Outcome, now: time::Tick) {
        if let Some(gate) = self.gates.get_mut(&admission.endpoint) {
            gate.finish(admission.mark, answer, now);
        }
    }

    /// Notes how an attempt ended; returns whether that ejected or took back the endpoint.
    pub fn attempted(
        &mut self,
        admission: &Admission,
        target: &id::Target,
        attempt: outlier::Attempt,
        now: time::Tick,
    ) -> bool {
        self.outliers.end(&admission.endpoint, target, attempt, now)
    }

    /// Takes in what an endpoint says of itself.
    pub fn report(&mut self, endpoint: &id::EndpointId, report: limiter::Report) {
        let Some(gate) = self.gates.get_mut(endpoint) else { return };
        gate.record_report(&report);
        let before = self.reports.insert(endpoint.clone(), report);
        if before.is_some_and(|before| before.start != report.start) {
            self.holders.forget(endpoint);
        }
    }

    /// Takes in which versions an endpoint holds; returns whether they differ.
    pub fn loaded(
        &mut self,
        endpoint: &id::EndpointId,
        versions: BTreeSet<id::VersionRef>,
    ) -> bool {
        self.index.owned().contains(endpoint) && self.index.set_loaded(endpoint, versions)
    }

    /// Takes in an event of an endpoint's prefix cache.
    pub fn cached(
        &mut self,
        endpoint: &id::EndpointId,
        key: PrefixKey,
        event: prefix::Event,
        now: time::Tick,
    ) {
        if self.gates.contains_key(endpoint) {
            self.holders.note(key, endpoint, event, now);
        }
    }

    /// Requests of `target` that may run at once at this owner's endpoints.
    pub fn slots(&self, target: &id::Target) -> u32 {
        let gates = self.index.endpoints(target).iter().filter_map(|name| self.gates.get(name));
        gates.map(limiter::Limiter::limit).sum()
    }

    /// Requests of `target` that may still be admitted now.
    pub fn room(&mut self, target: &id::Target, now: time::Tick) -> u32 {
        let mut room = 0;
        for name in self.outliers.usable(self.index.endpoints(target), target, false, now) {
            room += self.gates.get_mut(&name).map_or(0, |gate| gate.available(now));
        }
        room
    }

    /// When an endpoint of `target` may admit at the earliest.
    pub fn ready_at(&self, target: &id::Target) -> Option<time::Tick> {
        let gates = self.index.endpoints(target).iter().filter_map(|name| self.gates.get(name));
        gates.map(limiter::Limiter::ready_at).min()
    }

    /// The endpoints that this daemon owns.
    pub fn index(&self) -> &index::Index {
        &self.index
    }

    /// The gates by endpoint.
    pub fn gates(&self) -> &BTreeMap<id::EndpointId, limiter::Limiter> {
        &self.gates
    }
}

/// The refusal of a request that found all endpoints at their limit.
pub fn overloaded(target: &id::Target) -> outcome::Refusal {
    let detail = format!("all endpoints of {target} are at their limit");
    outcome::Refusal::not_run(outcome::Reason::Overloaded, detail).retry_after(RETRY_AFTER)
}

fn check_job(
    declared: &declared::Declared,
    place: &plan::Place,
    job: &Job,
) -> Result<(), outcome::Refusal> {
    let Some(space) = declared.workspaces.get(&job.workspace) else {
        let detail = "the workspace is not declared";
        return Err(outcome::Refusal::not_run(outcome::Reason::Unauthorized, detail));
    };
    let zone = declared.zones.get(&place.zone);
    if zone.is_none_or(|zone| zone.state == declared::ServiceState::Out) {
        let detail = format!("zone {} is out of service", place.zone);
        return Err(outcome::Refusal::not_run(outcome::Reason::NoEndpoint, detail));
    }
    match &job.target {
        id::Target::Version(version) => plan::check_version(declared, space, version),
        id::Target::Service(service) if space.services.contains(service) => Ok(()),
        id::Target::Service(service) => {
            let detail = format!("the workspace may not use {service}");
            Err(outcome::Refusal::not_run(outcome::Reason::NotAllowed, detail))
        }
    }
}
