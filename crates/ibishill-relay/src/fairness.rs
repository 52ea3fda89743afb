//! Fairness among workspaces in this relay: who waits behind whom while a service is short of capacity, and when
//! refused callers may return. The decisions are in [`ibishill_decide::fair_share`] and [`ibishill_decide::promise`].
//!
//! All of it takes effect only for services to which more than one workspace sends requests.

use ibishill_core::{event, fleet, id, time};
use ibishill_decide::{balance, fair_share, promise};
use xxhash_rust::xxh3;

use crate::context::Shared;
use crate::local_reply::Reason;
use crate::request::Received;
use crate::state::State;

/// Time for which a lack of slots counts as lasting; waiting requests check for one every 40 ms.
const FULL_RECENT: time::Millis = time::Millis(100);

/// Interval at which it is logged that a workspace yields.
const LOG_INTERVAL: time::Millis = time::Millis::from_secs(10);

fn workspace(received: &Received) -> Option<&id::WorkspaceId> {
    received.workspace.as_ref().map(|workspace| &workspace.name)
}

/// A slot that a request holds at an endpoint, for the use of its workspace.
pub(crate) struct Slot {
    service: id::ServiceId,
    workspace: Option<id::WorkspaceId>,
    since: time::Tick,
}

impl Slot {
    /// Counts a request as holding a slot until [`Self::leave`].
    pub(crate) fn take(context: &Shared, received: &Received, now: time::Tick) -> Self {
        let workspace = workspace(received).cloned();
        if let Some(name) = &workspace {
            context.state().fair_share.begin(&received.service, name, now);
        }
        Self { service: received.service.clone(), workspace, since: now }
    }

    /// Records that the slot is free; the time is typical for the service only if the request was answered.
    pub(crate) fn leave(&self, context: &Shared, is_answered: bool) {
        let now = context.now();
        let mut state = context.state();
        if let Some(name) = &self.workspace {
            state.fair_share.end(&self.service, name, now);
        }
        if is_answered {
            state.promises.record_hold(&self.service, now.since(self.since));
        }
    }
}

/// Counts a request as waiting until dropped.
pub(crate) struct Wait {
    context: Shared,
    service: id::ServiceId,
    workspace: Option<id::WorkspaceId>,
}

impl Wait {
    pub(crate) fn begin(context: &Shared, received: &Received, now: time::Tick) -> Self {
        let (service, workspace) = (received.service.clone(), workspace(received).cloned());
        let mut state = context.state();
        if let Some(name) = &workspace {
            state.fair_share.begin_wait(&service, name, now);
        }
        state.promises.record_queue(&service, true, now);
        drop(state);
        Self { context: context.clone(), service, workspace }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        let now = self.context.now();
        let mut state = self.context.state();
        if let Some(name) = &self.workspace {
            state.fair_share.end_wait(&self.service, name, now);
        }
        let is_waiting = state.wait_queue.waiting(&self.service) > 0;
        state.promises.record_queue(&self.service, is_waiting, now);
    }
}

/// Records a request of a workspace; returns whether several workspaces send requests to its service.
pub(crate) fn record_request(context: &Shared, received: &Received, now: time::Tick) -> bool {
    let Some(name) = workspace(received) else { return false };
    context.state().fair_share.record_request(&received.service, name, now);
    is_contended(context, &received.service)
}

/// Whether several workspaces send requests to a service; brings their shares up to date if so.
pub(crate) fn is_contended(context: &Shared, service: &id::ServiceId) -> bool {
    let now = context.now();
    let mut state = context.state();
    let State { fair_share, balancer, .. } = &mut *state;
    let is_contended = fair_share.is_contended(service, now);
    if is_contended {
        fair_share.refresh(service, || balancer.utilization(service, now), now);
    }
    is_contended
}

/// Whether a new request may take a free slot before all that wait. Those of the same rank go first while no endpoint
/// has a free slot for them; otherwise they wait for something else.
pub(crate) fn is_first(context: &Shared, received: &Received, now: time::Tick) -> bool {
    let (service, priority) = (&received.service, received.priority());
    let state = context.state();
    let rank = |workspace: Option<&id::WorkspaceId>| state.fair_share.rank(service, workspace);
    let own = rank(workspace(received));
    let is_full = state.fair_share.was_full(service, FULL_RECENT, now);
    own < fair_share::YIELDING
        && !state.wait_queue.has_earlier(service, priority, own, is_full, rank)
}

/// Records that no endpoint of a service has a free slot, if the configuration has several workspaces: peers are told
/// of the use then, as the requests of each workspace may come through other relays.
pub(crate) fn record_full(context: &Shared, service: &id::ServiceId, now: time::Tick) {
    let mut state = context.state();
    if state.catalog.as_ref().is_none_or(|catalog| catalog.workspaces.len() < 2) {
        return;
    }
    let utilization = state.balancer.utilization(service, now);
    state.fair_share.record_full(service, utilization, now);
}

/// Whether a request at the head of the queue may try to get a slot, which has just become free if `is_freed`.
///
/// One behind those of a lower rank or a more urgent priority lets them try first: all are woken at the same time, in
/// any order. They may wait for something else than a slot, so it does not wait until they have left.
pub(crate) async fn may_try(context: &Shared, received: &Received, is_freed: bool) -> bool {
    if workspace(received).is_none() || !is_contended(context, &received.service) {
        return true;
    }
    if yields(context, received) {
        return false;
    }
    let has_earlier = {
        let state = context.state();
        let (service, priority) = (&received.service, received.priority());
        let rank = |workspace: Option<&id::WorkspaceId>| state.fair_share.rank(service, workspace);
        let own = rank(workspace(received));
        state.wait_queue.has_earlier(service, priority, own, false, rank)
    };
    if has_earlier && is_freed {
        tokio::task::yield_now().await;
    }
    !has_earlier || is_freed
}

/// Whether a request yields to those of other workspaces.
pub(crate) fn yields(context: &Shared, received: &Received) -> bool {
    let state = context.state();
    state.fair_share.rank(&received.service, workspace(received)) >= fair_share::YIELDING
        && state.fair_share.is_contended(&received.service, context.now())
}

/// Share of the slots that the request's workspace holds, and its fair share; 0 while no workspace lacks slots.
pub(crate) fn share(context: &Shared, received: &Received) -> (f64, f64) {
    let state = context.state();
    let standing =
        workspace(received).and_then(|name| state.fair_share.standing(&received.service, name));
    standing.map_or((0.0, 0.0), |standing| (standing.share, standing.fair))
}

/// Counts a request that begins to wait with `ahead` others before it.
///
/// # Errors
///
/// Fails if it can't start within the wait limit.
pub(crate) fn check_wait(
    context: &Shared,
    received: &Received,
    ahead: usize,
    wait_limit: time::Millis,
    now: time::Tick,
) -> Result<(), Reason> {
    let service = &received.service;
    if yields(context, received) {
        context.metrics.record_yield();
        log_yield(context, received, now);
    }
    let mut state = context.state();
    if state.promises.can_start(service, ahead, wait_limit, now) {
        return Ok(());
    }
    if let Some(name) = workspace(received) {
        state.fair_share.record_refused(service, name, wait_limit, now);
    }
    context.metrics.record_refused_early();
    Err(Reason::NoCapacity)
}

/// Time at which capacity is expected for the caller of a request that is refused for want of it; none for the
/// default.
pub(crate) fn promise(
    context: &Shared,
    request: &str,
    service: &id::ServiceId,
    deadline: time::Tick,
    reason: Reason,
) -> Option<time::Millis> {
    let is_shared = || is_contended(context, service);
    let is_promised = match reason {
        Reason::StartTooLate => true,
        Reason::NoCapacity | Reason::Refused => is_shared(),
        _ => false,
    };
    if !is_promised {
        return None;
    }
    let now = context.now();
    let mut state = context.state();
    // Cut off from all peers, it goes by those that were known last.
    let alive = match state.peers.alive_count(now) {
        1 => state.peers.others().count() + 1,
        alive => alive,
    };
    let slots = slots(&state.balancer, service);
    let vm = xxh3::xxh3_64(state.settings.vm.as_str().as_bytes());
    let refusal = promise::Refusal {
        left: deadline.since(now),
        waiting: state.wait_queue.waiting(service),
        running: state.balancer.utilization(service, now) * slots,
        alive,
        seed: xxh3::xxh3_64_with_seed(request.as_bytes(), vm),
    };
    let promise = state.promises.promise(service, refusal, now)?;
    context.metrics.record_promise(promise);
    Some(promise)
}

fn slots(balancer: &balance::Balancer, service: &id::ServiceId) -> f64 {
    let is_counted = |entry: &&fleet::Registration| {
        entry.service == *service && entry.readiness == fleet::Readiness::Ready
    };
    let entries = balancer.entries().filter(is_counted);
    entries.map(|entry| f64::from(entry.slots)).sum()
}

fn log_yield(context: &Shared, received: &Received, now: time::Tick) {
    let (service, Some(name)) = (&received.service, workspace(received)) else { return };
    let mut state = context.state();
    let Some(standing) = state.fair_share.standing(service, name) else { return };
    let key = (service.clone(), name.clone());
    state.yielding.retain(|_, at| now.since(*at) < LOG_INTERVAL);
    if state.yielding.contains_key(&key) {
        return;
    }
    state.yielding.insert(key, now);
    event::emit_json(
        event::Event::WorkspaceYields,
        &[
            event::field("service", service),
            event::field("workspace", name),
            event::field("share", &standing.share),
            event::field("fair", &standing.fair),
        ],
    );
}
