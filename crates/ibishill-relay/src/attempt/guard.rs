//! What an attempt holds while it runs: its place at the endpoint, its exposure, and the forecast of its first event.

use ibishill_core::{fleet, id, time};
use ibishill_decide::{balance, endpoint_key, exposure, forecast};

use crate::context::Shared;
use crate::fairness;
use crate::request::{Received, Target};

/// Counts an attempt as in flight at its endpoint until dropped.
pub(crate) struct AttemptGuard {
    pub(super) context: Shared,
    pub(super) endpoint: id::EndpointId,
    work: balance::Work,
    is_answering: bool,
    // Whether the prompt is sent.
    is_sent: bool,
    exposure: Option<exposure::Ticket>,
    is_trial: bool,
    slot: fairness::Slot,
    since: time::Tick,
    // Until the first event.
    forecast: Option<forecast::Made>,
}

impl AttemptGuard {
    pub(super) fn begin(context: &Shared, received: &Received, target: &Target) -> Self {
        let (now, endpoint) = (context.now(), &target.endpoint);
        let (tokens, tier) = (received.kv_tokens(), received.tier(target.model.as_ref()));
        let work = balance::Work { tokens, prefill: target.prefill, tier };
        let mut state = context.state();
        let slow_start = state.slow_start(&received.service, now);
        let rank = state.cold_rank(endpoint);
        state.balancer.begin(endpoint, work, slow_start, rank, now);
        if let Some(prefix) = received.metadata.shared_segment() {
            state.balancer.record_prefix(endpoint, prefix.0, now);
        }
        let is_trial = state.quarantine.record_send(&received.refusable(), now);
        drop(state);
        let slot = fairness::Slot::take(context, received, now);
        if is_trial {
            context.evidence_added.notify_one();
        }
        context.record_reading(endpoint, work.prefill);
        Self {
            context: context.clone(),
            endpoint: endpoint.clone(),
            work,
            is_answering: false,
            slot,
            is_sent: false,
            exposure: None,
            is_trial,
            since: now,
            forecast: target.forecast,
        }
    }

    /// Records that the first event has arrived.
    pub(crate) fn record_first_event(&mut self) {
        if let Some(made) = self.forecast.take() {
            let now = self.context.now();
            let took = now.since(self.since);
            let mut state = self.context.state();
            if state.balancer.entry(&self.endpoint).is_some() {
                let error = state.balancer.forecasts().record_start(&made, took, now);
                self.context.metrics.record_forecast_error(error);
            }
        }
    }

    // The prompt is about to be sent.
    pub(super) fn begin_exposure(
        &mut self,
        received: &Received,
        registration: &fleet::Registration,
    ) {
        self.is_sent = true;
        let now = self.context.now();
        let mut state = self.context.state();
        let is_compared = exposure::is_compared(state.peers.alive_count(now));
        if let Some(prompt) = received.prompt().filter(|_| is_compared || self.is_trial) {
            let key = endpoint_key::EndpointKey::of(registration);
            self.exposure = Some(state.exposures.begin(prompt, key, self.is_trial, now));
        }
    }

    // The endpoint has not run the prompt.
    pub(super) fn withdraw_exposure(&mut self) {
        self.is_sent = false;
        if let Some(ticket) = self.exposure.take() {
            self.context.state().exposures.withdraw(ticket);
        }
    }

    // The response has started, so the prefill is complete.
    pub(super) fn mark_answering(&mut self) {
        if !std::mem::replace(&mut self.is_answering, true) {
            self.context.state().balancer.record_response_start(&self.endpoint, self.work);
            self.context.record_reading(&self.endpoint, self.work.prefill);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.slot.leave(&self.context, self.is_answering);
        let was_answering = self.is_answering;
        self.mark_answering();
        let now = self.context.now();
        let mut state = self.context.state();
        state.balancer.end(&self.endpoint, self.work, now);
        // A prompt that was not sent tells nothing, nor does an answer that has begun and is dropped before its first event.
        let is_waiting =
            self.is_sent && !was_answering && state.balancer.entry(&self.endpoint).is_some();
        if let Some(made) = self.forecast.filter(|_| is_waiting) {
            let waited = now.since(self.since);
            state.balancer.forecasts().record_unstarted(&made, waited, now);
        }
        let is_forgotten = self.exposure.is_some_and(|ticket| state.exposures.finish(ticket, now));
        drop(state);
        if is_forgotten {
            self.context.forgotten.record(now);
        }
        self.context.capacity_freed.notify_waiters();
    }
}
