//! Which endpoints may be sent to: not those of a zone out of service, those out of reach from this daemon, nor
//! those that say they take nothing.

use std::collections::BTreeSet;

use ibishill_core::{id, time};

use super::{Balancer, Counts, Endpoint};
use crate::{contact, endpoint_key, gate, outlier};

impl Balancer {
    /// Contacts with endpoints, and which are out of reach from this daemon only.
    pub const fn contacts(&mut self) -> &mut contact::Contacts {
        &mut self.contacts
    }

    /// Key of an endpoint's incarnation.
    pub fn key(&self, id: &id::EndpointId) -> Option<endpoint_key::EndpointKey> {
        self.endpoints.get(id).map(|endpoint| endpoint.key)
    }

    /// Terms that endpoints state in their answers.
    pub const fn gate(&mut self) -> &mut gate::Gate {
        &mut self.gate
    }

    /// Requests per slot at an endpoint, as far as is known here; none if the endpoint is unknown.
    pub fn load_at(&self, id: &id::EndpointId, now: time::Tick) -> Option<f64> {
        self.endpoints.get(id).map(|endpoint| self.load(endpoint, now))
    }

    /// Takes a zone out of service: its endpoints get no new requests.
    pub fn take_zone_out(&mut self, zone: id::ZoneId) {
        self.zones_out.insert(zone, ());
    }

    /// Puts a zone back in service; its endpoints count as cold for `duration`.
    pub fn put_zone_back(&mut self, zone: &id::ZoneId, duration: time::Millis, now: time::Tick) {
        if self.zones_out.remove(zone).is_none() {
            return;
        }
        for endpoint in self.endpoints.values_mut().filter(|endpoint| endpoint.entry.zone == *zone)
        {
            endpoint.warmth.cold_until = endpoint.warmth.cold_until.max(now + duration);
        }
    }

    /// Decides what is out of reach; returns whether that has changed.
    ///
    /// What endpoints out of reach have failed says nothing about their health, so it is forgotten. One that answers
    /// peers may have started again meanwhile, so doubts stay.
    pub fn judge_contacts(&mut self, now: time::Tick) -> bool {
        let is_changed = self.contacts.judge(now);
        if is_changed {
            for endpoint in self.endpoints.values_mut() {
                if self.contacts.is_out(endpoint.key) {
                    endpoint.breaker = outlier::Breaker::default();
                }
            }
        }
        is_changed
    }

    /// Whether an endpoint is out of reach from this daemon, but not from its peers.
    pub fn is_out_of_reach(&self, id: &id::EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| self.contacts.is_out(endpoint.key))
    }

    /// Whether all endpoints of a service are.
    pub fn is_service_out(&self, service: &id::ServiceId) -> bool {
        let mut endpoints =
            self.endpoints.values().filter(|endpoint| endpoint.entry.service == *service);
        self.contacts.is_cut() && endpoints.all(|endpoint| self.contacts.is_out(endpoint.key))
    }

    /// Counts the endpoints by state.
    pub fn counts(&self, now: time::Tick) -> Counts {
        let mut counts = Counts::default();
        for endpoint in self.endpoints.values() {
            let is_healthy =
                endpoint.breaker.allows(now) && self.reach.allows(&endpoint.entry.zone, now);
            let count = if !self.is_in_service(endpoint) {
                &mut counts.out
            } else if !is_healthy {
                &mut counts.ejected
            } else if self.is_cold(&endpoint.entry.id, now) {
                &mut counts.cold
            } else {
                &mut counts.ready
            };
            *count += 1;
        }
        counts
    }

    // Daemons that a service's endpoints are divided between, if this one may send to none of them.
    pub(super) fn senders(&self, service: &id::ServiceId) -> BTreeSet<id::VmId> {
        let mut senders = BTreeSet::new();
        let endpoints = self.endpoints.values();
        for endpoint in endpoints.filter(|endpoint| endpoint.entry.service == *service) {
            if !self.is_in_service(endpoint) {
                continue;
            }
            match self.gate.other_senders(&self.own, endpoint.key) {
                Some(others) => senders.extend(others.iter().cloned()),
                None => return BTreeSet::new(),
            }
        }
        senders
    }

    /// Peers that can send to a service's endpoints where this daemon can't: those that reach them, or that
    /// they are divided between.
    pub fn forwarders(&self, service: &id::ServiceId, now: time::Tick) -> BTreeSet<id::VmId> {
        let reaching: BTreeSet<id::VmId> = self.contacts.reaching(now).cloned().collect();
        if reaching.is_empty() { self.senders(service) } else { reaching }
    }

    /// Whether a request may be sent to an endpoint now, by what it says of itself; it may have been chosen a moment
    /// ago.
    pub fn is_open(&self, id: &id::EndpointId, now: time::Tick) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| self.gate.is_open(endpoint.key, now))
    }

    /// Whether an endpoint is in service, by its registration, the operator's orders and what it says of itself.
    pub fn is_serving(&self, id: &id::EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| self.is_in_service(endpoint))
    }

    /// Whether all endpoints of a service that are in service otherwise have said that they leave.
    pub fn is_service_leaving(&self, service: &id::ServiceId) -> bool {
        let ready =
            |endpoint: &&Endpoint| endpoint.entry.service == *service && self.is_ready(endpoint);
        let mut ready = self.endpoints.values().filter(ready).peekable();
        ready.peek().is_some() && ready.all(|endpoint| self.gate.is_leaving(endpoint.key))
    }
}
