//! The relay's wait queue: the order in which requests get free slots, and how long they wait.
//!
//! Designed for bursts that fill every endpoint for a second or two. Requests are ordered by
//! priority, then by how few requests of their workspace are in flight, so that one workspace's
//! burst does not delay the others, then by waiting time.

use std::collections::BTreeMap;

use ibishill_core::{id, time};

/// Share of a service's latency target that a request may spend waiting.
const WAIT_SHARE: f64 = 0.5;

/// A request in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// Number that identifies it in the queue, set by [`Queue::push`].
    pub ticket: u64,
    /// Priority, 0 for the most urgent.
    pub priority: u8,
    /// Its workspace, if it has one.
    pub workspace: Option<id::WorkspaceId>,
    /// The service to be called.
    pub service: id::ServiceId,
    /// When it was queued.
    pub since: time::Tick,
}

/// Requests of all services that wait for a free slot.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    waiters: BTreeMap<u64, Waiter>,
    next: u64,
}

impl Queue {
    /// Adds a request and returns the ticket assigned to it.
    pub fn push(&mut self, waiter: Waiter) -> u64 {
        let ticket = self.next;
        self.next += 1;
        self.waiters.insert(ticket, Waiter { ticket, ..waiter });
        ticket
    }

    /// Removes a request that was admitted or gave up; does nothing if it is not queued.
    pub fn remove(&mut self, ticket: u64) {
        self.waiters.remove(&ticket);
    }

    /// Number of queued requests of all services.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request of any service is queued.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Number of queued requests of one service.
    pub fn waiting(&self, service: &id::ServiceId) -> usize {
        self.waiters.values().filter(|waiter| waiter.service == *service).count()
    }

    /// Whether a request for `service` with a higher priority than `priority` is queued.
    pub fn has_more_urgent(&self, service: &id::ServiceId, priority: u8) -> bool {
        self.waiters.values().any(|other| other.service == *service && other.priority < priority)
    }

    /// Tickets in the order of admission; `running` returns a workspace's requests in flight.
    pub fn order<F>(&self, service: &id::ServiceId, running: F) -> Vec<u64>
    where
        F: Fn(Option<&id::WorkspaceId>) -> u32,
    {
        let queued = self.waiters.values().filter(|waiter| waiter.service == *service);
        let mut order: Vec<_> = queued.collect();
        order.sort_by_key(|waiter| {
            (waiter.priority, running(waiter.workspace.as_ref()), waiter.since, waiter.ticket)
        });
        order.into_iter().map(|waiter| waiter.ticket).collect()
    }
}

/// Longest time that a request waits for a free slot before it is refused, given the service's
/// latency `target` and the time `left` until its deadline.
///
/// A longer wait would make the answer late, so an early refusal serves the caller better.
pub fn wait_limit(target: time::Millis, left: time::Millis) -> time::Millis {
    let share = (target.0 as f64 * WAIT_SHARE) as u64;
    time::Millis(share.min(left.0 / 3))
}
