//! The relay's wait queue: the order in which requests get free slots, and how long they wait.
//!
//! Designed for bursts that fill every endpoint for a second or two. Requests are ordered by
//! priority, then by the rank of their workspace, so that one workspace's burst does not delay the
//! others, then by the time left to start, then by age. The rank is the number of the workspace's
//! requests in flight at this daemon or, where several workspaces send requests, that of
//! [`crate::fair_share`], by which some yield to requests of any priority.

use std::collections::BTreeMap;

use ibishill_core::{id, time};

use crate::fair_share::YIELDING;

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
    /// When it must start, or is refused; the same for all where this does not matter for the order.
    pub until: time::Tick,
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

    /// Whether a request for `service` is queued that would be admitted before a new one of this priority and rank;
    /// `rank` returns that of a workspace. One of the same rank counts if `yields_to_equal`.
    pub fn has_earlier<F>(
        &self,
        service: &id::ServiceId,
        priority: u8,
        own: u32,
        yields_to_equal: bool,
        rank: F,
    ) -> bool
    where
        F: Fn(Option<&id::WorkspaceId>) -> u32,
    {
        let own = (own >= YIELDING, priority, own);
        self.of_service(service).any(|waiter| {
            let found = precedence(waiter, &rank);
            found < own || (yields_to_equal && found == own)
        })
    }

    /// Tickets in the order of admission; `rank` returns the rank of a workspace, lower first.
    pub fn order<F>(&self, service: &id::ServiceId, rank: F) -> Vec<u64>
    where
        F: Fn(Option<&id::WorkspaceId>) -> u32,
    {
        let mut order: Vec<_> = self.of_service(service).collect();
        order.sort_by_cached_key(|waiter| {
            (precedence(waiter, &rank), waiter.until, waiter.since, waiter.ticket)
        });
        order.into_iter().map(|waiter| waiter.ticket).collect()
    }

    fn of_service(&self, service: &id::ServiceId) -> impl Iterator<Item = &Waiter> {
        self.waiters.values().filter(move |waiter| waiter.service == *service)
    }
}

fn precedence<F>(waiter: &Waiter, rank: &F) -> (bool, u8, u32)
where
    F: Fn(Option<&id::WorkspaceId>) -> u32,
{
    let rank = rank(waiter.workspace.as_ref());
    (rank >= YIELDING, waiter.priority, rank)
}

/// Longest time that a request waits for a free slot before it is refused, given the service's
/// latency `target` and the time `left` until its deadline.
///
/// A longer wait would make the answer late, so an early refusal serves the caller better.
pub fn wait_limit(target: time::Millis, left: time::Millis) -> time::Millis {
    let share = (target.0 as f64 * WAIT_SHARE) as u64;
    time::Millis(share.min(left.0 / 3))
}
