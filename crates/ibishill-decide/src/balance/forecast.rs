//! Forecasts what a request's prefill waits for and costs at an engine, in time instead of requests.
//!
//! Designed for uneven demand on engines with large batches: there, another running request hardly slows the
//! others, but a long prompt delays all of them until it is read. So engines are compared by the prompts that
//! they have yet to read, and a cached prefix counts as the time that it saves, against a longer wait or
//! another zone.
//!
//! The unit is the time in which the largest model reads 1,000 tokens. What is learnt of a single engine's first events
//! does not count here: daemons that know the same fast engines would have them read several long prompts at a time.

use ibishill_core::{id, time};

use crate::forecast;

use super::endpoint::Endpoint;
use super::placement::request_hash;
use super::{Balancer, Request};

/// Weight of a request's own prefill: it is waited for by the request, and by those in the same batch.
const OWN_WEIGHT: f64 = 2.0;

/// Weight of the prefill that delays the streams which run in the same batch, for a full one.
const DELAY_WEIGHT: f64 = 1.0;

/// Cost of another zone: bandwidth of the VM's link, and a round trip.
const OTHER_ZONE: f64 = 3.0;

/// Cost of an engine that the request's model does not prefer: batches of one model take shorter steps, and each
/// engine caches more prompts of its model.
const OTHER_MODEL: f64 = 6.0;

/// Cost of an engine whose slots are all in use by running requests, whose contexts lengthen each step.
const RUNNING: f64 = 3.0;

/// Utilization of an engine's slots from which on requests of other daemons may fill it before this one arrives.
const CROWDED: f64 = 0.75;

/// Cost of a full engine, on which a request waits until another one ends.
const FULL: f64 = 10.0;

/// Range of the random difference between engines, so that daemons which know the same spread.
const JITTER: f64 = 0.5;

/// What is known of an engine for one request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Outlook {
    /// Prompts that are still to be read.
    pub(super) backlog: f64,
    /// Requests per slot.
    pub(super) load: f64,
    /// Prefill of the request there, without what is cached.
    pub(super) prefill: f64,
    pub(super) is_own_zone: bool,
    pub(super) is_preferred: bool,
    /// Random number from 0 to 1 of the request at this engine.
    pub(super) random: f64,
    /// Time that work takes there now, as a multiple of the usual one.
    pub(super) work: f64,
}

impl Outlook {
    /// Cost of the engine for the request and those beside it; the lowest wins.
    pub(super) fn cost(&self) -> f64 {
        let when = |is: bool, cost: f64| if is { cost } else { 0.0 };
        let crowd = ((self.load - CROWDED) / (1.0 - CROWDED)).max(0.0);
        let wait = self.backlog + (OWN_WEIGHT + DELAY_WEIGHT * self.load) * self.prefill;
        let other = RUNNING * self.load
            + FULL * crowd
            + when(!self.is_own_zone, OTHER_ZONE)
            + when(!self.is_preferred, OTHER_MODEL)
            + JITTER * self.random;
        wait * self.work + other
    }
}

impl Balancer {
    /// Forecast for a request at an endpoint; none unless its service is placed by its zones' engines.
    pub fn forecast(
        &self,
        id: &id::EndpointId,
        request: &Request<'_>,
        now: time::Tick,
    ) -> Option<forecast::Made> {
        if request.capacity == 0 || !self.tiers.borrow().has(request.service, now) {
            return None;
        }
        let endpoint = self.endpoints.get(id)?;
        let class = forecast::Class::of(request.service, request.model);
        Some(self.make(endpoint, request, class, now))
    }

    pub(super) fn make(
        &self,
        endpoint: &Endpoint,
        request: &Request<'_>,
        class: forecast::Class,
        now: time::Tick,
    ) -> forecast::Made {
        let load = forecast::Load {
            backlog: endpoint.prefill + self.reports.total(endpoint.report_key, now).1,
            prefill: self.prefill_left(endpoint, request, false, now),
            waiting: endpoint.waiting(now),
            age: self.age(endpoint, now),
            work: endpoint.work_factor(now),
        };
        let forecast = self.forecasts.forecast(endpoint.report_key, class, &load, now);
        forecast::Made { endpoint: endpoint.report_key, class, load, forecast }
    }

    // Prefill of a request at an engine, without what is likely to be cached there.
    fn prefill_left(
        &self,
        endpoint: &Endpoint,
        request: &Request<'_>,
        is_home: bool,
        now: time::Tick,
    ) -> f64 {
        let Some((prefix, _)) = request.prefix else { return request.prefill };
        let own = endpoint.tokens as f64 / request.capacity.max(1) as f64;
        let used = own.max(self.load(endpoint, now));
        let cached = self.prefixes.cached(prefix, endpoint.report_key, is_home, used, now);
        (request.prefill - request.saved * cached).max(0.0)
    }

    /// Records that a request with this prefix is sent to an endpoint.
    pub fn record_prefix(&mut self, id: &id::EndpointId, prefix: u64, now: time::Tick) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        if self.tiers.borrow().has(&endpoint.entry.service, now) {
            self.prefixes.record(prefix, endpoint.report_key, now);
        }
    }

    // Age of what is known of others' requests at an endpoint.
    fn age(&self, endpoint: &Endpoint, now: time::Tick) -> time::Millis {
        let observed = endpoint.observed.map(|observed| observed.at);
        let heard = observed.max(self.reports.heard(endpoint.report_key));
        now.since(heard.unwrap_or_default())
    }

    /// What has been learnt of the time to the first event.
    pub const fn forecasts(&mut self) -> &mut forecast::Forecasts {
        &mut self.forecasts
    }

    /// Records what an engine says of the time that work takes there, as a multiple of the usual one.
    pub fn record_work(&mut self, id: &id::EndpointId, factor: f64, now: time::Tick) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.work = Some((factor, now));
        }
    }

    /// Forecast cost of an engine of a zone whose engines suffice for its demand; the lowest wins.
    pub(super) fn cost(
        &self,
        endpoint: &Endpoint,
        request: &Request<'_>,
        prefix_endpoint: Option<u32>,
        is_preferred: bool,
        now: time::Tick,
    ) -> f64 {
        let (others, backlog) = self.others_load(endpoint, now);
        let is_home = prefix_endpoint == Some(endpoint.report_key);
        let outlook = Outlook {
            backlog: endpoint.prefill + backlog,
            load: (f64::from(endpoint.running) + others) / f64::from(endpoint.entry.slots.max(1)),
            prefill: self.prefill_left(endpoint, request, is_home, now),
            is_own_zone: endpoint.entry.zone == self.zone,
            is_preferred,
            random: request_hash(endpoint, request) as f64 / u64::MAX as f64,
            work: endpoint.work_factor(now),
        };
        outlook.cost()
    }
}
