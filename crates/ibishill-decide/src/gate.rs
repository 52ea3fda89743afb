//! Whether this daemon may send to an endpoint now, by what the endpoint says of itself.
//!
//! All that endpoints state in their answers is kept and judged here, so that each way to an endpoint asks
//! one question.

use std::collections::{BTreeMap, BTreeSet};

use ibishill_core::{fleet, id, terms, time};

use crate::endpoint_key::EndpointKey;
use crate::{division, endpoint_limit, slot_share};

/// Terms that an answer states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The terms.
    pub terms: terms::Terms,
    /// Whether what they leave out no longer holds: a refusal or an error may come from before the
    /// endpoint, and leaves out all.
    pub is_complete: bool,
    /// When the request was sent.
    pub sent: time::Tick,
}

/// Time for which an endpoint counts as leaving after it last said so; it is gone by then, and its next
/// incarnation has another key.
const LEAVING_TTL: time::Millis = time::Millis::from_secs(60);

/// Time for which peers are told that an endpoint leaves.
const NEWS_TTL: time::Millis = time::Millis::from_secs(5);

/// An endpoint that leaves, as daemons tell it each other, and for how long it has.
pub type Leaving = (EndpointKey, time::Millis);

#[derive(Debug, Clone, Copy)]
struct Departure {
    first: time::Tick,
    last: time::Tick,
}

/// Terms of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    limits: endpoint_limit::Limits,
    slots: slot_share::Slots,
    leaving: BTreeMap<EndpointKey, Departure>,
    // Until when endpoints want no requests from this daemon.
    resting: BTreeMap<EndpointKey, time::Tick>,
}

impl Gate {
    /// Adds an endpoint, or updates it.
    pub fn register(&mut self, key: EndpointKey, entry: &fleet::Registration, now: time::Tick) {
        self.slots.register(key, entry, now);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: EndpointKey) {
        self.slots.remove(key);
        self.leaving.remove(&key);
        self.resting.remove(&key);
    }

    /// Limits that endpoints name.
    pub const fn limits(&mut self) -> &mut endpoint_limit::Limits {
        &mut self.limits
    }

    /// Slots of endpoints that end by rejections.
    pub const fn slots(&mut self) -> &mut slot_share::Slots {
        &mut self.slots
    }

    /// Records what an answer states; returns whether it changes what may be sent.
    pub fn record(&mut self, key: EndpointKey, statement: Statement, now: time::Tick) -> bool {
        let Statement { terms, is_complete, sent } = statement;
        let mut is_changed = false;
        if terms.limit.is_some() || is_complete {
            let limit = endpoint_limit::Statement { limit: terms.limit, sent };
            is_changed |= self.limits.record(key, limit, now);
        }
        if terms.max_rejections.is_some() || is_complete {
            is_changed |= self.slots.record(key, terms.max_rejections, sent, now);
        }
        if let Some(rest) = terms.rest {
            let until = self.resting.entry(key).or_insert(now);
            *until = (now + rest).max(*until);
        }
        if terms.is_leaving {
            is_changed |= self.record_departure(key, now, now);
        }
        is_changed
    }

    // Records that an endpoint has said at `first` that it leaves; returns whether this was unknown. It is not
    // taken back: an answer without it may have been sent before, and so may a registration.
    fn record_departure(&mut self, key: EndpointKey, first: time::Tick, now: time::Tick) -> bool {
        let is_new = !self.leaving.contains_key(&key);
        let departure = self.leaving.entry(key).or_insert(Departure { first, last: first });
        departure.last = now.max(departure.last);
        is_new
    }

    /// Endpoints that leave, at most `count`, for peers.
    pub fn told_leaving(&self, count: usize, now: time::Tick) -> Vec<Leaving> {
        let ages = self.leaving.iter().map(|(key, departure)| (*key, now.since(departure.first)));
        ages.filter(|(_, age)| *age < NEWS_TTL).take(count).collect()
    }

    /// Merges the endpoints that leave, as a peer tells them.
    pub fn merge_leaving(&mut self, told: Vec<Leaving>, now: time::Tick) {
        for (key, age) in told {
            self.record_departure(key, time::Tick(now.0.saturating_sub(age.0)), now);
        }
    }

    /// Whether an endpoint has said that it leaves.
    pub fn is_leaving(&self, key: EndpointKey) -> bool {
        self.leaving.contains_key(&key)
    }

    /// Number of endpoints that leave.
    pub fn leaving_count(&self) -> usize {
        self.leaving.len()
    }

    /// Divides what endpoints take anew, and forgets what is out of date; `senders` returns the daemons that
    /// send to an endpoint, at most as many as asked for, in a membership that has changed if `generation`
    /// has.
    pub fn divide<F>(&mut self, own: &id::VmId, generation: u64, senders: F, now: time::Tick)
    where
        F: Fn(EndpointKey, usize) -> Vec<id::VmId>,
    {
        self.leaving.retain(|_, departure| now.since(departure.last) < LEAVING_TTL);
        self.resting.retain(|_, until| *until > now);
        let few = |key: EndpointKey| senders(key, endpoint_limit::SENDERS);
        self.limits.divide(own, generation, few, now);
        self.slots.divide(own, generation, &senders, self.limits.demands(), now);
    }

    /// Daemons that this one shares endpoints with; they need to hear of its demand.
    pub fn partners(&self, own: &id::VmId) -> BTreeSet<id::VmId> {
        let mut partners = self.limits.partners(own);
        partners.extend(self.slots.partners(own).cloned());
        partners
    }

    /// Whether this daemon may send a request to an endpoint now, where `running` of its own are.
    pub fn admits(&self, key: EndpointKey, running: u32, now: time::Tick) -> bool {
        self.is_open(key, now)
            && self.limits.admits(key, now)
            && self.slots.admits(key, running, now)
    }

    /// Other daemons that an endpoint is divided between; none if this one may send to it as well.
    pub fn other_senders(&self, own: &id::VmId, key: EndpointKey) -> Option<&[id::VmId]> {
        let divisions = [self.limits.division(key), self.slots.division(key)];
        let excluding = |division: &&division::Division| division.rank(own).is_none();
        divisions.into_iter().flatten().find(excluding).map(division::Division::senders)
    }

    /// Whether anything may be sent to an endpoint now, also a request that counts as sent already.
    pub fn is_open(&self, key: EndpointKey, now: time::Tick) -> bool {
        !self.is_leaving(key) && self.resting_until(key, now).is_none()
    }

    /// Until when an endpoint wants no requests from this daemon; none if it takes them.
    pub fn resting_until(&self, key: EndpointKey, now: time::Tick) -> Option<time::Tick> {
        self.resting.get(&key).copied().filter(|until| *until > now)
    }

    /// Records that this daemon sends a request to an endpoint.
    pub fn record_send(&mut self, key: EndpointKey, now: time::Tick) {
        self.limits.record_send(key, now);
    }
}
