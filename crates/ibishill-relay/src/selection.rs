//! Selects the endpoint for a request's next attempt, or queues the request until one has a free
//! slot.

use std::time::Duration;

use ibishill_core::{event, id, route, time};
use ibishill_decide::{balance, canary, forecast, quarantine, wait_queue};
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::context::Shared;
use crate::fairness;
use crate::local_reply::Reason;
use crate::request::{Received, Target};
use crate::state::State;

/// Interval of checks for a free slot; slots of cold endpoints become free by time alone.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Number of requests at the head of a service's queue that check for a free slot.
const QUEUE_HEAD: usize = 4;

/// A queued request; dropping it removes it from the queue.
struct QueueEntry {
    context: Shared,
    ticket: u64,
    _wait: fairness::Wait,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.context.state().wait_queue.remove(self.ticket);
    }
}

/// Result of [`choose`].
pub(crate) enum Choice {
    /// Send the request to this target.
    Send(Target),
    /// There are eligible endpoints, but none has a free slot now.
    Full,
    /// No eligible endpoint.
    NoEndpoint,
    /// The eligible endpoints want no requests from this relay until then at the earliest.
    Resting(time::Tick),
    /// By the forecast, the request begins at no engine before its deadline; the least time that is expected.
    TooLate(forecast::Forecast),
    /// The endpoints are out of reach from this relay, but not from its peers.
    OutOfReach,
    /// The request or a segment of its prompt ends endpoints; the time until it is tried again.
    Quarantined(time::Millis),
}

/// Chooses the endpoint for a request's next attempt, other than those `tried`.
///
/// During a roll-out the session's variant decides the versions. A candidate's session falls back
/// to the stable version if no endpoint of the candidate is eligible or, while sessions are pinned,
/// has a free slot.
pub(crate) fn choose(
    context: &Shared,
    received: &Received,
    tried: &[id::EndpointId],
    model: Option<&id::ModelId>,
    last_event: Option<u64>,
) -> Choice {
    let now = context.now();
    let mut state = context.state();
    let state = &mut *state;
    if let quarantine::Verdict::Refused(after) = state.verdict(&received.refusable(), now) {
        return Choice::Quarantined(after);
    }
    let session = received.session_hash();
    let slow_start = state.slow_start(&received.service, now);
    let catalog = state.catalog.clone();
    let engine = catalog
        .as_ref()
        .and_then(|catalog| catalog.services.get(&received.service))
        .and_then(|service| service.engine.as_ref());
    let request = build_request(received, engine, tried, model);
    state.recent_sessions.record(session, now);
    let (balancer, peers) = (&state.balancer, &state.peers);
    let rank = |endpoint: &id::EndpointId| peers.known_rank(endpoint.as_str());
    let mut choice = match state.canaries.get_mut(&received.service) {
        None => balancer.pick(&request, slow_start, rank, now),
        Some(canary) => {
            let variant = canary.assign(session, now);
            let serves =
                |versions: balance::Versions<'_>| balancer.serves(&received.service, versions);
            let versions = canary.versions(variant, serves);
            let daemons = peers.others().count() + 1;
            let uses_subset = variant == canary::Variant::Candidate && canary.uses_subset(daemons);
            let for_variant = balance::Request { versions, uses_subset, ..request };
            let mut choice = balancer.pick(&for_variant, slow_start, rank, now);
            // Whether sessions are pinned now and the variant has an endpoint, free or full.
            let pins_to_variant =
                canary.pins_sessions(now) && choice != balance::Choice::NoEndpoint;
            let may_fall_back = variant == canary::Variant::Candidate
                && (choice == balance::Choice::NoEndpoint
                    || (pins_to_variant && choice == balance::Choice::Full));
            if may_fall_back {
                let versions = canary.versions(canary::Variant::Stable, serves);
                choice =
                    balancer.pick(&balance::Request { versions, ..request }, slow_start, rank, now);
                canary.pin(session);
            }
            choice
        }
    };
    // Only a stream tells when its first event comes.
    let mut forecast = match &choice {
        balance::Choice::Send(endpoint) if received.route.kind.is_stream() => {
            balancer.forecast(endpoint, &request, now)
        }
        _ => None,
    };
    if let Some(chosen) = &forecast {
        let (within, rule) = (received.remaining(now), (slow_start, rank));
        match balancer.check_start(chosen, &request, rule, within, now) {
            balance::Start::TooLate(least) => return Choice::TooLate(least),
            balance::Start::OutOfReach => return Choice::OutOfReach,
            // A roll-out decides which versions a session may go to.
            balance::Start::Other(other) if !state.canaries.contains_key(&received.service) => {
                forecast = balancer.forecast(&other, &request, now);
                choice = balance::Choice::Send(other);
            }
            balance::Start::Other(_) | balance::Start::Chosen => {}
        }
    }
    match choice {
        balance::Choice::Full => Choice::Full,
        balance::Choice::NoEndpoint => Choice::NoEndpoint,
        balance::Choice::OutOfReach => Choice::OutOfReach,
        balance::Choice::Resting(until) => Choice::Resting(until),
        balance::Choice::Send(endpoint) => match state.balancer.entry(&endpoint) {
            None => Choice::NoEndpoint,
            Some(entry) => Choice::Send(Target {
                version: entry.version.clone(),
                endpoint,
                model: model.cloned(),
                last_event,
                prefill: request.prefill,
                forecast,
            }),
        },
    }
}

/// Least time to the first event that is expected of a model's answer at any engine; none if it is not known well enough.
pub(crate) fn least_expected(
    context: &Shared,
    received: &Received,
    model: &id::ModelId,
) -> Option<forecast::Forecast> {
    let now = context.now();
    let state = context.state();
    let engine = engine(&state, received)?;
    let request = build_request(received, Some(engine), &[], Some(model));
    state.balancer.least_expected(&request, now)
}

/// Whether another run of a request, instead of the one at `target`, is known to begin after the deadline; logs it then.
pub(crate) fn is_next_too_late(context: &Shared, received: &Received, target: &Target) -> bool {
    // Elsewhere, the choice would be made for nothing.
    if target.forecast.is_none() {
        return false;
    }
    let tried = std::slice::from_ref(&target.endpoint);
    match choose(context, received, tried, target.model.as_ref(), target.last_event) {
        Choice::TooLate(least) => {
            log_too_late(context, received, "next", least);
            true
        }
        _ => false,
    }
}

fn engine<'a>(state: &'a State, received: &Received) -> Option<&'a route::Engine> {
    state.catalog.as_ref()?.services.get(&received.service)?.engine.as_ref()
}

fn build_request<'a>(
    received: &'a Received,
    engine: Option<&route::Engine>,
    tried: &'a [id::EndpointId],
    model: Option<&'a id::ModelId>,
) -> balance::Request<'a> {
    let capacity = engine.map_or(0, |engine| engine.kv_capacity);
    let prefill = engine.map_or(0.0, |engine| prefill(received, engine, model));
    let prefix = received.metadata.shared_segment();
    let prefix_tokens: u64 =
        received.metadata.segments.iter().rev().skip(1).map(|segment| segment.tokens).sum();
    balance::Request {
        service: &received.service,
        versions: balance::Versions::Any,
        tried,
        prefix: prefix.map(|segment| (segment.0, prefix_tokens)),
        model,
        tokens: received.kv_tokens(),
        capacity,
        prefill,
        saved: prefill * prefix_tokens as f64
            / received.metadata.tokens.unwrap_or_default().input.max(1) as f64,
        tier: received.tier(model),
        uses_subset: false,
        seed: xxh3::xxh3_64(received.metadata.id.as_bytes()),
    }
}

// Prefill cost of the prompt, in thousands of tokens at the largest model; the cost of a model
// stands for its time per token.
fn prefill(received: &Received, engine: &route::Engine, model: Option<&id::ModelId>) -> f64 {
    // Callers declare the tokens themselves; more than fit into an engine are not read.
    let tokens = received.metadata.tokens.unwrap_or_default().input.min(engine.kv_capacity);
    let tokens = tokens as f64 / 1_000.0;
    let max_cost = engine.models.iter().map(|model| model.cost).fold(0.0, f64::max);
    let found = model.and_then(|name| engine.models.iter().find(|model| model.name == *name));
    let relative_cost = found.map_or(1.0, |model| model.cost / max_cost.max(f64::MIN_POSITIVE));
    tokens * relative_cost.clamp(0.1, 1.0)
}

/// Way of a request's next attempt.
pub(crate) enum Way {
    /// Directly to an endpoint.
    Endpoint(Target),
    /// Through a peer.
    Peer,
}

// A request that a peer has passed on goes no further.
fn through_peer(received: &Received) -> Result<Way, Reason> {
    if received.hop.is_some() { Err(Reason::OutOfReach) } else { Ok(Way::Peer) }
}

/// Chooses the way of the next attempt, and waits in the queue for a free slot if there is none.
///
/// # Errors
///
/// Returns why no endpoint was found within the wait limit.
pub(crate) async fn choose_or_wait(
    context: &Shared,
    received: &Received,
    tried: &[id::EndpointId],
    model: Option<&id::ModelId>,
) -> Result<Way, Reason> {
    let (service, priority) = (&received.service, received.priority());
    check_quarantine(context, received)?;
    let now = context.now();
    let wait_limit = wait_queue::wait_limit(received.route.latency_target, received.remaining(now));
    let is_contended = fairness::record_request(context, received, now);
    let is_first = if is_contended {
        fairness::is_first(context, received, now)
    } else {
        !context.state().wait_queue.has_more_urgent(service, priority)
    };
    if is_first {
        match choose(context, received, tried, model, received.metadata.last_event) {
            Choice::Send(target) => return Ok(Way::Endpoint(target)),
            Choice::OutOfReach => return through_peer(received),
            Choice::NoEndpoint
                if !tried.is_empty()
                    || context.state().balancer.is_service_leaving(service)
                    || is_rolled_back_alone(context, service) =>
            {
                return Err(Reason::NoEndpoint);
            }
            Choice::Quarantined(after) => return Err(quarantined(context, received, after)),
            Choice::TooLate(least) => return Err(too_late(context, received, tried, least)),
            Choice::Resting(until) if until > now + wait_limit => {
                return Err(Reason::EndpointsResting(until.since(now)));
            }
            Choice::Full => fairness::record_full(context, service, now),
            Choice::NoEndpoint | Choice::Resting(_) => {}
        }
    }
    let waiter = wait_queue::Waiter {
        ticket: 0,
        priority,
        workspace: received.workspace.as_ref().map(|workspace| workspace.name.clone()),
        service: service.clone(),
        until: if is_contended { now + wait_limit } else { time::Tick(0) },
        since: now,
    };
    let ticket = context.state().wait_queue.push(waiter);
    let _wait = fairness::Wait::begin(context, received, now);
    let _queue_entry = QueueEntry { context: context.clone(), ticket, _wait };
    if is_contended {
        let ahead = queue_position(context, received, ticket);
        fairness::check_wait(context, received, ahead, wait_limit, now)?;
    }
    log_wait(context, received, wait_limit);
    let mut reason = Reason::NoCapacity;
    while context.now() < now + wait_limit {
        let is_freed =
            clock::timeout(POLL_INTERVAL, context.capacity_freed.notified()).await.is_ok();
        check_quarantine(context, received)?;
        let is_next = queue_position(context, received, ticket) < QUEUE_HEAD;
        if !is_next || !fairness::may_try(context, received, is_freed).await {
            continue;
        }
        match choose(context, received, tried, model, received.metadata.last_event) {
            Choice::Send(target) => {
                let started = context.now();
                context.metrics.record_wait(started.since(now));
                context.state().promises.record_start(service, started);
                return Ok(Way::Endpoint(target));
            }
            Choice::OutOfReach => return through_peer(received),
            Choice::Full => {
                fairness::record_full(context, service, context.now());
                reason = Reason::NoCapacity;
            }
            Choice::Resting(until) if until > now + wait_limit => {
                return Err(Reason::EndpointsResting(until.since(context.now())));
            }
            Choice::Resting(_) => reason = Reason::NoCapacity,
            Choice::TooLate(least) => return Err(too_late(context, received, tried, least)),
            Choice::NoEndpoint => reason = Reason::NoEndpoint,
            Choice::Quarantined(after) => return Err(quarantined(context, received, after)),
        }
    }
    Err(reason)
}

fn too_late(
    context: &Shared,
    received: &Received,
    tried: &[id::EndpointId],
    least: forecast::Forecast,
) -> Reason {
    if tried.is_empty() {
        context.metrics.record_refused_early();
    }
    log_too_late(context, received, if tried.is_empty() { "first" } else { "next" }, least);
    Reason::StartTooLate
}

/// Logs that a run of a request is not started, as it would begin after the deadline.
pub(crate) fn log_too_late(
    context: &Shared,
    received: &Received,
    run: &'static str,
    least: forecast::Forecast,
) {
    event::emit_json(
        event::Event::StartTooLate,
        &[
            event::field("request", &received.metadata.id),
            event::field("service", &received.service),
            event::field("run", &run),
            event::field("expected", &least.expected),
            event::field("uncertainty", &least.uncertainty),
            event::field("left", &received.remaining(context.now())),
        ],
    );
}

// Whether all endpoints of the service are of versions that were rolled back.
fn is_rolled_back_alone(context: &Shared, service: &id::ServiceId) -> bool {
    let state = context.state();
    let Some(canary) = state.canaries.get(service) else { return false };
    let mut entries = state.balancer.entries().filter(|entry| entry.service == *service);
    canary.has_withdrawn() && !entries.any(|entry| canary.allows(&entry.version))
}

fn quarantined(context: &Shared, received: &Received, after: time::Millis) -> Reason {
    let whole = context.state().verdict(&[received.whole()], context.now());
    match whole {
        quarantine::Verdict::Refused(_) => Reason::RequestQuarantined(after),
        _ => Reason::SegmentQuarantined(after),
    }
}

// Fails if the request or a segment of its prompt is refused, whether or not there is a free slot.
fn check_quarantine(context: &Shared, received: &Received) -> Result<(), Reason> {
    let verdict = context.state().verdict(&received.refusable(), context.now());
    match verdict {
        quarantine::Verdict::Refused(after) => Err(quarantined(context, received, after)),
        quarantine::Verdict::Allowed | quarantine::Verdict::Contained => Ok(()),
    }
}

fn queue_position(context: &Shared, received: &Received, ticket: u64) -> usize {
    let service = &received.service;
    let order = if fairness::is_contended(context, service) {
        let state = context.state();
        state.wait_queue.order(service, |workspace| state.fair_share.rank(service, workspace))
    } else {
        let state = context.state();
        let in_flight = |workspace: Option<&id::WorkspaceId>| {
            state.in_flight.get(&workspace.cloned()).copied().unwrap_or_default()
        };
        state.wait_queue.order(service, in_flight)
    };
    order.iter().position(|found| *found == ticket).unwrap_or(0)
}

fn log_wait(context: &Shared, received: &Received, wait_limit: time::Millis) {
    let (share, fair) = fairness::share(context, received);
    let (utilization, waiting) = {
        let state = context.state();
        let now = context.now();
        let waiting = state.wait_queue.waiting(&received.service);
        (state.balancer.utilization(&received.service, now), waiting)
    };
    event::emit_json(
        event::Event::RequestWaits,
        &[
            event::field("request", &received.metadata.id),
            event::field("service", &received.service),
            event::field("taken", &utilization),
            event::field("waiting", &waiting),
            event::field("patience", &wait_limit),
            event::field("share", &share),
            event::field("fair", &fair),
        ],
    );
}
