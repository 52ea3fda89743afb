//! Further attempts of requests, within the budget that all relays share.

use ibishill_core::time;
use ibishill_decide::quarantine;

use crate::context::Shared;
use crate::request::Received;
use crate::state::State;

/// Counts a request, which adds to the budget of its service; a request that goes through a peer at once
/// is counted there.
pub(crate) fn record_request(context: &Shared, received: &mut Received) {
    let now = context.now();
    let mut state = context.state();
    if received.hop.is_none() && state.balancer.is_service_out(&received.service) {
        return;
    }
    if !received.hop.as_ref().is_some_and(|hop| hop.is_counted) {
        let bounds = state.settings.bounds;
        state.allowances.entry(received.service.clone()).or_default().record_request(&bounds, now);
    }
    received.is_counted = true;
    state.balancer.gate().limits().demands().record_request(now);
}

/// Reason for a further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Retry {
    /// The endpoint reported that it has not run the request.
    Refused,
    /// The request may have run, but got no valid response.
    Unknown,
    /// The endpoint answered with an error.
    Failed,
    /// The model's confidence in its answer is low.
    Weak,
    /// No response within the hang timeout.
    Silent,
    /// The stream broke off.
    Cut,
}

impl Retry {
    // Label in the metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
            Self::Weak => "weak",
            Self::Silent => "silent",
            Self::Cut => "cut",
        }
    }
}

// Whether the request or a segment of its prompt is suspected of ending endpoints, so that it gets one
// attempt only.
fn is_contained(state: &State, received: &Received, now: time::Tick) -> bool {
    state.verdict(&received.refusable(), now) != quarantine::Verdict::Allowed
}

/// Takes a retry from the budget of the request's service; returns whether it was granted. A request
/// that may have ended an endpoint gets none.
pub(crate) fn acquire(context: &Shared, received: &Received, reason: Retry) -> bool {
    let now = context.now();
    let mut state = context.state();
    if reason != Retry::Refused && is_contained(&state, received, now) {
        return false;
    }
    let daemons = state.peers.others().count() + 1;
    let bounds = state.settings.bounds;
    let allowance = state.allowances.entry(received.service.clone()).or_default();
    let is_granted = allowance.try_acquire(&bounds, daemons, now);
    if is_granted {
        context.metrics.record_retry(reason.as_str());
    }
    is_granted
}

/// Whether [`acquire`] would grant a retry.
pub(crate) fn is_available(context: &Shared, received: &Received) -> bool {
    let now = context.now();
    let state = context.state();
    if is_contained(&state, received, now) {
        return false;
    }
    let daemons = state.peers.others().count() + 1;
    let allowance = state.allowances.get(&received.service);
    allowance.is_some_and(|allowance| allowance.is_available(&state.settings.bounds, daemons, now))
}
