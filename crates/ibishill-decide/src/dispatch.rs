//! The owner with its queues: every request is queued, then admitted in fair order.

use std::collections::BTreeMap;

use ibishill_config::change;
use ibishill_core::{id, outcome, room, time};

use crate::{admit, baseline, cold, queue};

/// Longest wait for a takeover that a request is queued for.
const TAKEOVER_WAIT_MAX: time::Millis = time::Millis(1_000);

/// What was decided about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Its number.
    pub ticket: queue::Ticket,
    /// Where it runs, or its final answer.
    pub result: Result<admit::Admission, outcome::Refusal>,
}

impl From<queue::Refused> for Decision {
    fn from(refused: queue::Refused) -> Self {
        Self { ticket: refused.ticket, result: Err(refused.refusal) }
    }
}

#[derive(Debug, Clone, Default)]
struct Lane {
    queue: queue::Queue,
    service: baseline::Baseline,
}

/// An owner's gates and queues.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    /// The gates.
    pub owner: admit::Owner,
    lanes: BTreeMap<id::Target, Lane>,
    tickets: u64,
    checked: change::ConfigVersion,
}

impl Dispatcher {
    /// Makes a dispatcher of `owner`.
    pub fn new(owner: admit::Owner) -> Self {
        Self {
            owner,
            lanes: BTreeMap::new(),
            tickets: 0,
            checked: change::ConfigVersion::default(),
        }
    }

    /// Queues a request; [`Dispatcher::turn`] decides about it under the same number.
    ///
    /// The decisions returned are about requests that are refused at once.
    pub fn offer(
        &mut self,
        facts: &admit::Facts<'_>,
        job: admit::Job,
    ) -> (queue::Ticket, Vec<Decision>) {
        self.tickets += 1;
        let ticket = queue::Ticket(self.tickets);
        let allowed = facts.lease.check(facts.now).and_then(|()| self.owner.check(facts, &job));
        if let Err(refusal) = allowed {
            return (ticket, vec![Decision { ticket, result: Err(refusal) }]);
        }
        if let Some(refusal) = self.taking_over(&job, facts.now) {
            return (ticket, vec![Decision { ticket, result: Err(refusal) }]);
        }
        if !job.waits && self.room(&job.target, facts.now).free == 0 {
            let refusal = admit::overloaded(&job.target);
            return (ticket, vec![Decision { ticket, result: Err(refusal) }]);
        }
        let spaces = &facts.config.declared.workspaces;
        let share = spaces.get(&job.workspace).map_or(1, |space| space.share);
        let target = job.target.clone();
        let pace = self.pace(&target);
        let lane = self.lanes.entry(target).or_default();
        let entry = queue::Entry { ticket, job };
        let refused = lane.queue.enqueue(entry, share, pace, facts.now);
        (ticket, refused.into_iter().map(Decision::from).collect())
    }

    // While a takeover lasts, another owner serves sooner.
    fn taking_over(&self, job: &admit::Job, now: time::Tick) -> Option<outcome::Refusal> {
        let wait = self.owner.ready_at(&job.target)?.since(now);
        if wait <= TAKEOVER_WAIT_MAX && now + wait < job.deadline {
            return None;
        }
        let detail = format!("endpoints of {} are being taken over", job.target);
        let refusal = outcome::Refusal::not_run(outcome::Reason::Overloaded, detail);
        Some(refusal.retry_after(wait))
    }

    /// Admits what there is room for and refuses what can't run any more.
    pub fn turn(&mut self, facts: &admit::Facts<'_>) -> Vec<Decision> {
        self.owner.refresh(facts);
        let mut decisions = self.check_all(facts);
        let targets: Vec<_> = self.lanes.keys().cloned().collect();
        for target in targets {
            self.turn_lane(facts, &target, &mut decisions);
        }
        decisions
    }

    // A changed configuration ends the wait of what it no longer allows.
    fn check_all(&mut self, facts: &admit::Facts<'_>) -> Vec<Decision> {
        if self.checked == facts.config.version {
            return Vec::new();
        }
        self.checked = facts.config.version;
        let mut refused = Vec::new();
        for lane in self.lanes.values_mut() {
            refused.extend(lane.queue.check(|job| self.owner.check(facts, job)));
        }
        self.lanes.retain(|target, lane| {
            !lane.queue.is_empty() || !self.owner.index().of(target).is_empty()
        });
        refused.into_iter().map(Decision::from).collect()
    }

    fn turn_lane(
        &mut self,
        facts: &admit::Facts<'_>,
        target: &id::Target,
        decisions: &mut Vec<Decision>,
    ) {
        let pace = self.pace(target);
        let Some(lane) = self.lanes.get_mut(target) else { return };
        let expired = lane.queue.expire(pace, facts.now);
        decisions.extend(expired.into_iter().map(Decision::from));
        while let Some(entry) = lane.queue.front() {
            let result = self.owner.admit(facts, &entry.job);
            let full = |refusal: &outcome::Refusal| refusal.reason == outcome::Reason::Overloaded;
            if result.as_ref().is_err_and(full) {
                return;
            }
            let Some(entry) = lane.queue.pop(result.is_ok()) else { return };
            decisions.push(Decision { ticket: entry.ticket, result });
        }
    }

    /// Ends an admitted request of `target`.
    pub fn finish(
        &mut self,
        target: &id::Target,
        admission: &admit::Admission,
        answer: cold::Answer,
        now: time::Tick,
    ) {
        self.owner.finish(admission, answer, now);
        if answer == cold::Answer::Good
            && let Some(lane) = self.lanes.get_mut(target)
        {
            lane.service.learn(now.since(admission.admitted).0 as f64);
        }
    }

    /// What may still be admitted for `target`, less what waits for it.
    pub fn room(&mut self, target: &id::Target, now: time::Tick) -> room::Room {
        let waiting = self.lanes.get(target).map_or(0, |lane| lane.queue.len());
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let free = self.owner.room(target, now).saturating_sub(waiting);
        room::Room { free, limit: self.owner.slots(target) }
    }

    /// Requests that wait, by version.
    pub fn queued(&self) -> impl Iterator<Item = (&id::VersionRef, usize)> {
        self.lanes.iter().filter_map(|(target, lane)| match target {
            id::Target::Version(version) => Some((version, lane.queue.len())),
            id::Target::Service(_) => None,
        })
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(|lane| lane.queue.len()).sum()
    }

    /// When the next waiting request has to be refused.
    pub fn next_expiry(&self) -> Option<time::Tick> {
        let next = |(target, lane): (&id::Target, &Lane)| lane.queue.next_expiry(self.pace(target));
        self.lanes.iter().filter_map(next).min()
    }

    fn pace(&self, target: &id::Target) -> Option<queue::Throughput> {
        let service = &self.lanes.get(target)?.service;
        Some(queue::Throughput {
            slots: self.owner.slots(target),
            mean_ms: service.mean()?,
            upper_ms: service.most()?,
        })
    }
}
