//! The order in which waiting requests get room, and when waiting is hopeless.
//!
//! The load this is for: a burst fills every endpoint for a second or two. Urgent requests
//! go first; among equals the workspace that has the fewest requests under way, so that one
//! workspace's burst does not hold up the others; then the one that waits longest.

use std::collections::BTreeMap;

use ibishill_core::{id, time};

/// Share of the time to the answer that callers expect which may be spent waiting.
const WAIT_SHARE: f64 = 0.5;

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// Number by which it is woken.
    pub ticket: u64,
    /// Rank, 0 for the most urgent.
    pub priority: u8,
    /// Its workspace.
    pub workspace: Option<id::WorkspaceId>,
    /// The service that it waits for.
    pub service: id::ServiceId,
    /// When it began to wait.
    pub since: time::Tick,
}

/// Requests that wait for room.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    waiters: BTreeMap<u64, Waiter>,
    next: u64,
}

impl Queue {
    /// Adds a request and returns its ticket.
    pub fn push(&mut self, waiter: Waiter) -> u64 {
        let ticket = self.next;
        self.next += 1;
        self.waiters.insert(ticket, Waiter { ticket, ..waiter });
        ticket
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: u64) {
        self.waiters.remove(&ticket);
    }

    /// Requests that wait, of all services.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Requests that wait for a service.
    pub fn waiting(&self, service: &id::ServiceId) -> usize {
        self.waiters.values().filter(|waiter| waiter.service == *service).count()
    }

    /// Whether a more urgent request waits for the service.
    pub fn has_more_urgent(&self, service: &id::ServiceId, priority: u8) -> bool {
        self.waiters.values().any(|other| other.service == *service && other.priority < priority)
    }

    /// Tickets in the order in which they get room; `running` counts a workspace's requests.
    pub fn order<F>(&self, service: &id::ServiceId, running: F) -> Vec<u64>
    where
        F: Fn(Option<&id::WorkspaceId>) -> u32,
    {
        let wanted = self.waiters.values().filter(|waiter| waiter.service == *service);
        let mut order: Vec<_> = wanted.collect();
        order.sort_by_key(|waiter| {
            (waiter.priority, running(waiter.workspace.as_ref()), waiter.since, waiter.ticket)
        });
        order.into_iter().map(|waiter| waiter.ticket).collect()
    }
}

/// Longest time for which a request waits for room before it is refused.
///
/// What waits longer would be answered late, and its caller is better off when told early.
pub fn wait_limit(target: time::Millis, left: time::Millis) -> time::Millis {
    let share = (target.0 as f64 * WAIT_SHARE) as u64;
    time::Millis(share.min(left.0 / 3))
}
