//! Refuses a request that would begin after its deadline at every engine, and looks for another engine first.
//!
//! Designed for surges in which prompts queue inside the engines: a request that can't begin in time waits for nothing
//! there, and the engine reads part of its prompt for nobody. A refusal is a last resort: it takes recent first events
//! of the same service and model, and an engine with nothing to wait for always counts as in time.

use ibishill_core::{id, time};

use crate::forecast;

use super::cold::admits;
use super::endpoint::Endpoint;
use super::{Balancer, Request, SlowStart};

/// Where a request for which an engine was chosen can begin in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// At the chosen engine, or that it can't is not certain.
    Chosen,
    /// At this engine, and not at the chosen one.
    Other(id::EndpointId),
    /// At none; the least time that is expected at any.
    TooLate(forecast::Forecast),
    /// At none that this daemon reaches; peers may reach others.
    OutOfReach,
}

impl Balancer {
    /// Whether a request begins within this time at the engine chosen by [`Self::pick`], or at another one.
    ///
    /// Looks at the other engines only if the chosen one is late.
    pub fn check_start<R>(
        &self,
        chosen: &forecast::Made,
        request: &Request<'_>,
        (cold, rank): (SlowStart, R),
        within: time::Millis,
        now: time::Tick,
    ) -> Start
    where
        R: Fn(&id::EndpointId) -> usize,
    {
        if is_in_time(chosen, within) || !self.forecasts.has_evidence(chosen.class, now) {
            return Start::Chosen;
        }
        let mut may_begin = false;
        let mut other: Option<(forecast::Forecast, &Endpoint)> = None;
        let mut least = chosen.forecast;
        let is_candidate = |endpoint: &&Endpoint| self.is_candidate(endpoint, request, now);
        for endpoint in self.endpoints.values().filter(is_candidate) {
            let made = self.make(endpoint, request, chosen.class, now);
            if made.forecast.expected < least.expected {
                least = made.forecast;
            }
            if !is_in_time(&made, within) {
                continue;
            }
            may_begin = true;
            // A prompt that is moved to where it is read just as its caller leaves takes the time of others.
            let is_open = made.forecast.expected <= within
                && admits(endpoint, cold, &rank, now)
                && self.gate.admits(endpoint.key, endpoint.running, now)
                && self.has_capacity(endpoint, request, now);
            let is_earlier =
                other.is_none_or(|(forecast, _)| made.forecast.expected < forecast.expected);
            if is_open && is_earlier {
                other = Some((made.forecast, endpoint));
            }
        }
        match other {
            Some((_, endpoint)) => Start::Other(endpoint.entry.id.clone()),
            None if may_begin => Start::Chosen,
            None if self.has_unreached(request) => Start::OutOfReach,
            None => Start::TooLate(least),
        }
    }

    /// Least time to the first event that is expected of a request at any engine; none without evidence, or where
    /// engines are not chosen by the forecast.
    pub fn least_expected(
        &self,
        request: &Request<'_>,
        now: time::Tick,
    ) -> Option<forecast::Forecast> {
        let class = forecast::Class::of(request.service, request.model);
        let is_placed = request.capacity > 0 && self.tiers.borrow().has(request.service, now);
        if !is_placed || !self.forecasts.has_evidence(class, now) {
            return None;
        }
        let is_candidate = |found: &&Endpoint| self.is_candidate(found, request, now);
        let candidates = self.endpoints.values().filter(is_candidate);
        let forecasts = candidates.map(|found| self.make(found, request, class, now).forecast);
        forecasts.min_by_key(|forecast| forecast.expected)
    }

    // Whether an endpoint that might take a request is out of this daemon's reach.
    fn has_unreached(&self, request: &Request<'_>) -> bool {
        self.endpoints.values().any(|endpoint| {
            endpoint.entry.service == *request.service
                && request.versions.allows(&endpoint.entry.version)
                && self.is_in_service(endpoint)
                && self.contacts.is_out(endpoint.key)
                && !request.tried.contains(&endpoint.entry.id)
        })
    }

    // Whether a request may be sent to an endpoint as soon as it has room.
    fn is_candidate(&self, endpoint: &Endpoint, request: &Request<'_>, now: time::Tick) -> bool {
        endpoint.entry.service == *request.service
            && request.versions.allows(&endpoint.entry.version)
            && self.is_in_service(endpoint)
            && !self.contacts.is_out(endpoint.key)
            && !request.tried.contains(&endpoint.entry.id)
            && endpoint.breaker.allows(now)
            && self.reach.allows(&endpoint.entry.zone, now)
    }
}

fn is_in_time(made: &forecast::Made, within: time::Millis) -> bool {
    made.load.is_idle() || made.forecast.earliest() <= within
}
