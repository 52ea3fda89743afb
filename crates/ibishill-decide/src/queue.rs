//! Requests of one target that wait at their owner: fair between workspaces, by priority
//! within one, and none longer than its deadline allows.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::{id, outcome, priority, time};

use crate::admit;

/// Most requests that wait for one target at one owner.
pub const ENTRIES_MAX: usize = 4_096;

const PRIORITIES: usize = 3;
/// Requests by which a workspace may overtake for one of high priority.
const HIGH_CREDIT: f64 = 4.0;

const RETRY_MIN: time::Millis = time::Millis(100);

/// Number of a waiting request, unique within one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its number.
    pub ticket: Ticket,
    /// The request.
    pub job: admit::Job,
}

/// How fast the endpoints of a target work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Throughput {
    /// Requests that run at once.
    pub slots: u32,
    /// Usual time of a whole answer, in milliseconds.
    pub mean_ms: f64,
    /// Time that most whole answers keep to, in milliseconds.
    pub upper_ms: f64,
}

/// A request that can't wait any longer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Its number.
    pub ticket: Ticket,
    /// Its final answer.
    pub refusal: outcome::Refusal,
}

#[derive(Debug, Clone, Default)]
struct Line {
    finish: f64,
    weight: f64,
    ranks: [VecDeque<Entry>; PRIORITIES],
}

impl Line {
    fn len(&self) -> usize {
        self.ranks.iter().map(VecDeque::len).sum()
    }

    fn front(&self) -> Option<&Entry> {
        self.ranks.iter().find_map(VecDeque::front)
    }

    fn pop(&mut self) -> Option<Entry> {
        self.ranks.iter_mut().find_map(VecDeque::pop_front)
    }

    fn pop_least(&mut self) -> Option<Entry> {
        self.ranks.iter_mut().rev().find_map(VecDeque::pop_back)
    }

    fn ahead(&self, priority: priority::Priority) -> usize {
        self.ranks[..=rank(priority)].iter().map(VecDeque::len).sum()
    }

    fn remove(&mut self, priority: priority::Priority, ticket: Ticket) -> Option<Entry> {
        let line = &mut self.ranks[rank(priority)];
        let at = line.iter().position(|entry| entry.ticket == ticket)?;
        line.remove(at)
    }
}

fn rank(priority: priority::Priority) -> usize {
    match priority {
        priority::Priority::High => 0,
        priority::Priority::Normal => 1,
        priority::Priority::Low => 2,
    }
}

/// Start-time fair queueing over workspaces.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    virtual_time: f64,
    lines: BTreeMap<id::WorkspaceId, Line>,
    deadlines: BTreeMap<(time::Tick, Ticket), (id::WorkspaceId, priority::Priority)>,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Lets a request wait; returns the requests, perhaps itself, that are refused for it.
    pub fn offer(
        &mut self,
        entry: Entry,
        share: u32,
        pace: Option<Throughput>,
        now: time::Tick,
    ) -> Vec<Refused> {
        let weight = f64::from(share.max(1));
        if let Some(refusal) = self.too_late(&entry.job, weight, pace, now) {
            return vec![Refused { ticket: entry.ticket, refusal }];
        }
        let job = &entry.job;
        let key = (job.deadline, entry.ticket);
        self.deadlines.insert(key, (job.workspace.clone(), job.priority));
        let line = self.lines.entry(job.workspace.clone()).or_default();
        line.weight = weight;
        line.ranks[rank(job.priority)].push_back(entry);
        if self.len() <= ENTRIES_MAX {
            return Vec::new();
        }
        self.evict(pace).into_iter().collect()
    }

    // The refusal of a request whose answer would come after its deadline.
    fn too_late(
        &self,
        job: &admit::Job,
        weight: f64,
        pace: Option<Throughput>,
        now: time::Tick,
    ) -> Option<outcome::Refusal> {
        let left = job.deadline.since(now).0 as f64;
        if left <= 0.0 {
            return Some(past_deadline());
        }
        let pace = pace?;
        let ahead = self.lines.get(&job.workspace).map_or(0, |line| line.ahead(job.priority));
        let busy =
            self.lines.iter().filter(|(name, line)| line.len() > 0 && **name != job.workspace);
        let total = weight + busy.map(|(_, line)| line.weight).sum::<f64>();
        let per_request = pace.mean_ms / f64::from(pace.slots.max(1)) * total / weight;
        let wait = ahead as f64 * per_request;
        let over = wait + pace.upper_ms - left;
        (over > 0.0).then(|| {
            let reason =
                if wait > 0.0 { outcome::Reason::Overloaded } else { outcome::Reason::Deadline };
            let detail = "the answer would come after the deadline";
            outcome::Refusal::not_run(reason, detail).retry_after(retry(over.min(wait)))
        })
    }

    // Refuses the last request of the workspace that waits with most for its weight.
    fn evict(&mut self, pace: Option<Throughput>) -> Option<Refused> {
        let total = self.len() as f64;
        let load = |line: &Line| line.len() as f64 / line.weight;
        let longest = self.lines.values_mut().max_by(|a, b| load(a).total_cmp(&load(b)))?;
        let entry = longest.pop_least()?;
        self.deadlines.remove(&(entry.job.deadline, entry.ticket));
        let drain = pace
            .map_or(RETRY_MIN.0 as f64, |pace| total * pace.mean_ms / f64::from(pace.slots.max(1)));
        let detail = "too many requests wait";
        let refusal = outcome::Refusal::not_run(outcome::Reason::Overloaded, detail);
        Some(Refused { ticket: entry.ticket, refusal: refusal.retry_after(retry(drain)) })
    }

    /// The request whose turn it is.
    pub fn front(&self) -> Option<&Entry> {
        let (_, line) = self.next_line()?;
        line.front()
    }

    fn next_line(&self) -> Option<(&id::WorkspaceId, &Line)> {
        let busy = self.lines.iter().filter(|(_, line)| line.len() > 0);
        busy.min_by(|(_, a), (_, b)| self.turn_of(a).total_cmp(&self.turn_of(b)))
    }

    // Virtual time of a line's turn; a line that holds a request of high priority may
    // overtake by a few requests, which it pays for later.
    fn turn_of(&self, line: &Line) -> f64 {
        let start = line.finish.max(self.virtual_time);
        let high = !line.ranks[rank(priority::Priority::High)].is_empty();
        if high { start - HIGH_CREDIT / line.weight } else { start }
    }

    /// Takes the request whose turn it is; `charged` if it uses its workspace's share.
    pub fn pop(&mut self, charged: bool) -> Option<Entry> {
        let name = self.next_line()?.0.clone();
        let busy = self.lines.values().filter(|line| line.len() > 0);
        let starts = busy.map(|line| line.finish.max(self.virtual_time));
        let least = starts.fold(f64::INFINITY, f64::min);
        let line = self.lines.get_mut(&name)?;
        let entry = line.pop()?;
        if charged {
            let start = line.finish.max(self.virtual_time);
            self.virtual_time = least.max(self.virtual_time);
            line.finish = start + 1.0 / line.weight;
        }
        self.deadlines.remove(&(entry.job.deadline, entry.ticket));
        let virtual_time = self.virtual_time;
        self.lines.retain(|_, line| line.len() > 0 || line.finish > virtual_time);
        Some(entry)
    }

    /// Refuses what can't keep its deadline any more.
    pub fn expire(&mut self, pace: Option<Throughput>, now: time::Tick) -> Vec<Refused> {
        let latest = now + service(pace);
        let mut refused = Vec::new();
        while let Some((&(deadline, ticket), _)) = self.deadlines.first_key_value() {
            if deadline > latest {
                break;
            }
            self.remove(deadline, ticket);
            refused.push(Refused { ticket, refusal: past_deadline() });
        }
        refused
    }

    /// When the next request will have waited too long.
    pub fn next_expiry(&self, pace: Option<Throughput>) -> Option<time::Tick> {
        let (&(deadline, _), _) = self.deadlines.first_key_value()?;
        Some(time::Tick(deadline.0.saturating_sub(service(pace).0)))
    }

    fn remove(&mut self, deadline: time::Tick, ticket: Ticket) -> Option<Entry> {
        let (workspace, priority) = self.deadlines.remove(&(deadline, ticket))?;
        self.lines.get_mut(&workspace)?.remove(priority, ticket)
    }

    /// Refuses every request that `check` does not let through any more.
    pub fn check<F>(&mut self, mut check: F) -> Vec<Refused>
    where
        F: FnMut(&admit::Job) -> Result<(), outcome::Refusal>,
    {
        let mut refused = Vec::new();
        for rank in self.lines.values_mut().flat_map(|line| &mut line.ranks) {
            rank.retain(|entry| match check(&entry.job) {
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

fn service(pace: Option<Throughput>) -> time::Millis {
    time::Millis(pace.map_or(0, |pace| pace.upper_ms as u64))
}

fn retry(after_ms: f64) -> time::Millis {
    time::Millis(after_ms.ceil() as u64).max(RETRY_MIN)
}

fn past_deadline() -> outcome::Refusal {
    let detail = "the deadline would pass before an answer";
    outcome::Refusal::not_run(outcome::Reason::Deadline, detail).retry_after(RETRY_MIN)
}
