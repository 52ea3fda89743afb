//! Admission queues of an owner: every request is queued, then admitted in fair order.

use std::collections::BTreeMap;

use ibishill_config::change;
use ibishill_core::{capacity, id, outcome, time};

use crate::{admit, baseline, limiter, queue};

/// Longest remaining time of a takeover for which requests are queued; for a longer one they are
/// refused.
const TAKEOVER_WAIT_MAX: time::Millis = time::Millis(1_000);

/// The decision about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Number of the request.
    pub ticket: queue::Ticket,
    /// Where the request runs, or why it is refused.
    pub result: Result<admit::Admission, outcome::Refusal>,
}

impl From<queue::Refused> for Decision {
    fn from(refused: queue::Refused) -> Self {
        Self { ticket: refused.ticket, result: Err(refused.refusal) }
    }
}

#[derive(Debug, Clone, Default)]
struct TargetState {
    queue: queue::Queue,
    durations: baseline::Baseline,
}

/// An owner and its queues, one per target.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    /// Admits requests to the owned endpoints.
    pub owner: admit::Owner,
    targets: BTreeMap<id::Target, TargetState>,
    last_ticket: u64,
    checked_version: change::ConfigVersion,
}

impl Dispatcher {
    /// Creates a dispatcher for `owner`, with empty queues.
    pub fn new(owner: admit::Owner) -> Self {
        Self {
            owner,
            targets: BTreeMap::new(),
            last_ticket: 0,
            checked_version: change::ConfigVersion::default(),
        }
    }

    /// Queues a request and returns its ticket, under which [`Dispatcher::dispatch`] decides about
    /// it later.
    ///
    /// The returned decisions are about requests that are refused immediately, which may be this
    /// one or queued ones.
    pub fn enqueue(
        &mut self,
        facts: &admit::Facts<'_>,
        job: admit::Job,
    ) -> (queue::Ticket, Vec<Decision>) {
        self.last_ticket += 1;
        let ticket = queue::Ticket(self.last_ticket);
        let allowed = facts.lease.check(facts.now).and_then(|()| self.owner.check(facts, &job));
        if let Err(refusal) = allowed {
            return (ticket, vec![Decision { ticket, result: Err(refusal) }]);
        }
        if let Some(refusal) = self.check_takeover(&job, facts.now) {
            return (ticket, vec![Decision { ticket, result: Err(refusal) }]);
        }
        if !job.waits && self.capacity(&job.target, facts.now).free == 0 {
            let refusal = admit::overloaded(&job.target);
            return (ticket, vec![Decision { ticket, result: Err(refusal) }]);
        }
        let workspaces = &facts.config.declared.workspaces;
        let share = workspaces.get(&job.workspace).map_or(1, |workspace| workspace.share);
        let target = job.target.clone();
        let throughput = self.throughput(&target);
        let state = self.targets.entry(target).or_default();
        let entry = queue::Entry { ticket, job };
        let refused = state.queue.enqueue(entry, share, throughput, facts.now);
        (ticket, refused.into_iter().map(Decision::from).collect())
    }

    // Refuses during a long takeover, as another owner would serve the request sooner.
    fn check_takeover(&self, job: &admit::Job, now: time::Tick) -> Option<outcome::Refusal> {
        let wait = self.owner.ready_at(&job.target)?.since(now);
        if wait <= TAKEOVER_WAIT_MAX && now + wait < job.deadline {
            return None;
        }
        let detail = format!("endpoints of {} are being taken over", job.target);
        let refusal = outcome::Refusal::not_run(outcome::Reason::Overloaded, detail);
        Some(refusal.retry_after(wait))
    }

    /// Admits queued requests as far as capacity allows, and refuses those that can't run any more.
    pub fn dispatch(&mut self, facts: &admit::Facts<'_>) -> Vec<Decision> {
        self.owner.refresh(facts);
        let mut decisions = self.recheck(facts);
        let targets: Vec<_> = self.targets.keys().cloned().collect();
        for target in targets {
            self.dispatch_target(facts, &target, &mut decisions);
        }
        decisions
    }

    // After a change of configuration, refuses queued requests that it no longer allows.
    fn recheck(&mut self, facts: &admit::Facts<'_>) -> Vec<Decision> {
        if self.checked_version == facts.config.version {
            return Vec::new();
        }
        self.checked_version = facts.config.version;
        let mut refused = Vec::new();
        for state in self.targets.values_mut() {
            refused.extend(state.queue.check(|job| self.owner.check(facts, job)));
        }
        self.targets.retain(|target, state| {
            !state.queue.is_empty() || !self.owner.index().endpoints(target).is_empty()
        });
        refused.into_iter().map(Decision::from).collect()
    }

    fn dispatch_target(
        &mut self,
        facts: &admit::Facts<'_>,
        target: &id::Target,
        decisions: &mut Vec<Decision>,
    ) {
        let throughput = self.throughput(target);
        let Some(state) = self.targets.get_mut(target) else { return };
        let expired = state.queue.expire(throughput, facts.now);
        decisions.extend(expired.into_iter().map(Decision::from));
        while let Some(entry) = state.queue.front() {
            let result = self.owner.admit(facts, &entry.job);
            let is_full =
                |refusal: &outcome::Refusal| refusal.reason == outcome::Reason::Overloaded;
            if result.as_ref().is_err_and(is_full) {
                return;
            }
            let Some(entry) = state.queue.pop(result.is_ok()) else { return };
            decisions.push(Decision { ticket: entry.ticket, result });
        }
    }

    /// Ends an admitted request for `target`, and records its duration if the answer was good.
    pub fn finish(
        &mut self,
        target: &id::Target,
        admission: &admit::Admission,
        outcome: limiter::Outcome,
        now: time::Tick,
    ) {
        self.owner.finish(admission, outcome, now);
        if outcome == limiter::Outcome::Good
            && let Some(state) = self.targets.get_mut(target)
        {
            state.durations.record(now.since(admission.admitted).0 as f64);
        }
    }

    /// Capacity for further requests to `target`, less those that are queued for it.
    pub fn capacity(&mut self, target: &id::Target, now: time::Tick) -> capacity::Capacity {
        let waiting = self.targets.get(target).map_or(0, |state| state.queue.len());
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let free = self.owner.available(target, now).saturating_sub(waiting);
        capacity::Capacity { free, limit: self.owner.slots(target) }
    }

    /// Number of queued requests by version; services are left out.
    pub fn queue_lengths(&self) -> impl Iterator<Item = (&id::VersionRef, usize)> {
        self.targets.iter().filter_map(|(target, state)| match target {
            id::Target::Version(version) => Some((version, state.queue.len())),
            id::Target::Service(_) => None,
        })
    }

    /// Total number of queued requests.
    pub fn waiting(&self) -> usize {
        self.targets.values().map(|state| state.queue.len()).sum()
    }

    /// Time at which the next queued request expires; `None` if nothing is queued.
    pub fn next_expiry(&self) -> Option<time::Tick> {
        let next = |(target, state): (&id::Target, &TargetState)| {
            state.queue.next_expiry(self.throughput(target))
        };
        self.targets.iter().filter_map(next).min()
    }

    fn throughput(&self, target: &id::Target) -> Option<queue::Throughput> {
        let durations = &self.targets.get(target)?.durations;
        Some(queue::Throughput {
            slots: self.owner.slots(target),
            mean_ms: durations.mean()?,
            upper_ms: durations.upper_bound()?,
        })
    }
}
