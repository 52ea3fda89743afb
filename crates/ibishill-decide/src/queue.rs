//! The owner's wait queue of one target: fair between workspaces, ordered by priority within
//! each, and bounded by the requests' deadlines.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::{id, outcome, priority, time};

use crate::admit;

/// Most requests queued for one target at one owner.
pub const ENTRIES_MAX: usize = 4_096;

const PRIORITIES: usize = 3;
/// Number of its requests by which a workspace is served early while it has a high-priority
/// request queued.
const HIGH_CREDIT: f64 = 4.0;

const RETRY_AFTER_MIN: time::Millis = time::Millis(100);

/// Identifies a queued request; unique within one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Identifies it in the decision about it.
    pub ticket: Ticket,
    /// What is to be admitted.
    pub job: admit::Job,
}

/// How fast the endpoints of a target answer requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Throughput {
    /// Requests that all endpoints together run concurrently.
    pub slots: u32,
    /// Mean time to complete an answer, in milliseconds.
    pub mean_ms: f64,
    /// Time within which most answers complete, in milliseconds.
    pub upper_ms: f64,
}

/// A request that was removed from the queue, or never added, without having run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Identifies the request.
    pub ticket: Ticket,
    /// The answer to the caller.
    pub refusal: outcome::Refusal,
}

#[derive(Debug, Clone, Default)]
struct Flow {
    finish_tag: f64,
    weight: f64,
    levels: [VecDeque<Entry>; PRIORITIES],
}

impl Flow {
    fn len(&self) -> usize {
        self.levels.iter().map(VecDeque::len).sum()
    }

    fn front(&self) -> Option<&Entry> {
        self.levels.iter().find_map(VecDeque::front)
    }

    fn pop(&mut self) -> Option<Entry> {
        self.levels.iter_mut().find_map(VecDeque::pop_front)
    }

    fn pop_last(&mut self) -> Option<Entry> {
        self.levels.iter_mut().rev().find_map(VecDeque::pop_back)
    }

    fn ahead(&self, priority: priority::Priority) -> usize {
        self.levels[..=level_of(priority)].iter().map(VecDeque::len).sum()
    }

    fn remove(&mut self, priority: priority::Priority, ticket: Ticket) -> Option<Entry> {
        let level = &mut self.levels[level_of(priority)];
        let at = level.iter().position(|entry| entry.ticket == ticket)?;
        level.remove(at)
    }
}

fn level_of(priority: priority::Priority) -> usize {
    match priority {
        priority::Priority::High => 0,
        priority::Priority::Normal => 1,
        priority::Priority::Low => 2,
    }
}

/// Start-time fair queueing with one flow per workspace.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    virtual_time: f64,
    flows: BTreeMap<id::WorkspaceId, Flow>,
    deadlines: BTreeMap<(time::Tick, Ticket), (id::WorkspaceId, priority::Priority)>,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Queues a request of a workspace with weight `share`; returns the requests that are refused,
    /// which may include `entry` itself.
    ///
    /// Without a `throughput`, the time until an answer is not estimated.
    pub fn enqueue(
        &mut self,
        entry: Entry,
        share: u32,
        throughput: Option<Throughput>,
        now: time::Tick,
    ) -> Vec<Refused> {
        let weight = f64::from(share.max(1));
        if let Some(refusal) = self.refuse_late(&entry.job, weight, throughput, now) {
            return vec![Refused { ticket: entry.ticket, refusal }];
        }
        let job = &entry.job;
        let key = (job.deadline, entry.ticket);
        self.deadlines.insert(key, (job.workspace.clone(), job.priority));
        let flow = self.flows.entry(job.workspace.clone()).or_default();
        flow.weight = weight;
        flow.levels[level_of(job.priority)].push_back(entry);
        if self.len() <= ENTRIES_MAX {
            return Vec::new();
        }
        self.evict(throughput).into_iter().collect()
    }

    // Refuses a request whose estimated answer time is after its deadline.
    fn refuse_late(
        &self,
        job: &admit::Job,
        weight: f64,
        throughput: Option<Throughput>,
        now: time::Tick,
    ) -> Option<outcome::Refusal> {
        let left = job.deadline.since(now).0 as f64;
        if left <= 0.0 {
            return Some(deadline_refusal());
        }
        let throughput = throughput?;
        let ahead = self.flows.get(&job.workspace).map_or(0, |flow| flow.ahead(job.priority));
        let busy =
            self.flows.iter().filter(|(name, flow)| flow.len() > 0 && **name != job.workspace);
        let total = weight + busy.map(|(_, flow)| flow.weight).sum::<f64>();
        let per_request = throughput.mean_ms / f64::from(throughput.slots.max(1)) * total / weight;
        let wait = ahead as f64 * per_request;
        let over = wait + throughput.upper_ms - left;
        (over > 0.0).then(|| {
            let reason =
                if wait > 0.0 { outcome::Reason::Overloaded } else { outcome::Reason::Deadline };
            let detail = "the answer would come after the deadline";
            outcome::Refusal::not_run(reason, detail).retry_after(retry_after(over.min(wait)))
        })
    }

    // Drops the last request of least priority from the workspace with most requests per weight.
    fn evict(&mut self, throughput: Option<Throughput>) -> Option<Refused> {
        let total = self.len() as f64;
        let load = |flow: &Flow| flow.len() as f64 / flow.weight;
        let longest = self.flows.values_mut().max_by(|a, b| load(a).total_cmp(&load(b)))?;
        let entry = longest.pop_last()?;
        self.deadlines.remove(&(entry.job.deadline, entry.ticket));
        let drain = throughput.map_or(RETRY_AFTER_MIN.0 as f64, |throughput| {
            total * throughput.mean_ms / f64::from(throughput.slots.max(1))
        });
        let detail = "too many requests wait";
        let refusal = outcome::Refusal::not_run(outcome::Reason::Overloaded, detail);
        Some(Refused { ticket: entry.ticket, refusal: refusal.retry_after(retry_after(drain)) })
    }

    /// The request that [`Queue::pop`] would return.
    pub fn front(&self) -> Option<&Entry> {
        let (_, flow) = self.next_flow()?;
        flow.front()
    }

    fn next_flow(&self) -> Option<(&id::WorkspaceId, &Flow)> {
        let busy = self.flows.iter().filter(|(_, flow)| flow.len() > 0);
        busy.min_by(|(_, a), (_, b)| self.start_tag(a).total_cmp(&self.start_tag(b)))
    }

    // Virtual start time of a flow's next request. A flow that holds a request of high priority
    // starts HIGH_CREDIT requests earlier; its finish tag still counts them, so it waits longer
    // afterwards.
    fn start_tag(&self, flow: &Flow) -> f64 {
        let start = flow.finish_tag.max(self.virtual_time);
        let high = !flow.levels[level_of(priority::Priority::High)].is_empty();
        if high { start - HIGH_CREDIT / flow.weight } else { start }
    }

    /// Takes the next request; `charged` counts it against its workspace's share.
    pub fn pop(&mut self, charged: bool) -> Option<Entry> {
        let name = self.next_flow()?.0.clone();
        let busy = self.flows.values().filter(|flow| flow.len() > 0);
        let start_tags = busy.map(|flow| flow.finish_tag.max(self.virtual_time));
        let earliest = start_tags.fold(f64::INFINITY, f64::min);
        let flow = self.flows.get_mut(&name)?;
        let entry = flow.pop()?;
        if charged {
            let start = flow.finish_tag.max(self.virtual_time);
            self.virtual_time = earliest.max(self.virtual_time);
            flow.finish_tag = start + 1.0 / flow.weight;
        }
        self.deadlines.remove(&(entry.job.deadline, entry.ticket));
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| flow.len() > 0 || flow.finish_tag > virtual_time);
        Some(entry)
    }

    /// Refuses requests that can no longer be answered before their deadline.
    pub fn expire(&mut self, throughput: Option<Throughput>, now: time::Tick) -> Vec<Refused> {
        let latest = now + service_time(throughput);
        let mut refused = Vec::new();
        while let Some((&(deadline, ticket), _)) = self.deadlines.first_key_value() {
            if deadline > latest {
                break;
            }
            self.remove(deadline, ticket);
            refused.push(Refused { ticket, refusal: deadline_refusal() });
        }
        refused
    }

    /// When [`Queue::expire`] will next refuse a request.
    pub fn next_expiry(&self, throughput: Option<Throughput>) -> Option<time::Tick> {
        let (&(deadline, _), _) = self.deadlines.first_key_value()?;
        Some(time::Tick(deadline.0.saturating_sub(service_time(throughput).0)))
    }

    fn remove(&mut self, deadline: time::Tick, ticket: Ticket) -> Option<Entry> {
        let (workspace, priority) = self.deadlines.remove(&(deadline, ticket))?;
        self.flows.get_mut(&workspace)?.remove(priority, ticket)
    }

    /// Refuses every request for which `check` fails.
    pub fn check<F>(&mut self, mut check: F) -> Vec<Refused>
    where
        F: FnMut(&admit::Job) -> Result<(), outcome::Refusal>,
    {
        let mut refused = Vec::new();
        for level in self.flows.values_mut().flat_map(|flow| &mut flow.levels) {
            level.retain(|entry| match check(&entry.job) {
                Ok(()) => true,
                Err(refusal) => {
                    self.deadlines.remove(&(entry.job.deadline, entry.ticket));
                    refused.push(Refused { ticket: entry.ticket, refusal });
                    false
                }
            });
        }
        refused
    }
}

fn service_time(throughput: Option<Throughput>) -> time::Millis {
    time::Millis(throughput.map_or(0, |throughput| throughput.upper_ms as u64))
}

fn retry_after(after_ms: f64) -> time::Millis {
    time::Millis(after_ms.ceil() as u64).max(RETRY_AFTER_MIN)
}

fn deadline_refusal() -> outcome::Refusal {
    let detail = "the deadline would pass before an answer";
    outcome::Refusal::not_run(outcome::Reason::Deadline, detail).retry_after(RETRY_AFTER_MIN)
}
