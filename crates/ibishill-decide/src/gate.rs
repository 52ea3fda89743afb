//! Whether this daemon may send to an endpoint now, by what the endpoint says of itself.
//!
//! All that endpoints state in their answers is kept and judged here, so that each way to an endpoint asks
//! one question.

use std::collections::BTreeSet;

use ibishill_core::{fleet, id, terms, time};

use crate::endpoint_key::EndpointKey;
use crate::{endpoint_limit, slot_share};

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

/// Terms of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    limits: endpoint_limit::Limits,
    slots: slot_share::Slots,
}

impl Gate {
    /// Adds an endpoint, or updates it.
    pub fn register(&mut self, key: EndpointKey, entry: &fleet::Registration, now: time::Tick) {
        self.slots.register(key, entry, now);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: EndpointKey) {
        self.slots.remove(key);
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
        is_changed
    }

    /// Divides what endpoints take anew, and forgets what is out of date; `senders` returns the daemons that
    /// send to an endpoint, at most as many as asked for, in a membership that has changed if `generation`
    /// has.
    pub fn divide<F>(&mut self, own: &id::VmId, generation: u64, senders: F, now: time::Tick)
    where
        F: Fn(EndpointKey, usize) -> Vec<id::VmId>,
    {
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
        self.limits.admits(key, now) && self.slots.admits(key, running, now)
    }

    /// Records that this daemon sends a request to an endpoint.
    pub fn record_send(&mut self, key: EndpointKey, now: time::Tick) {
        self.limits.record_send(key, now);
    }
}
