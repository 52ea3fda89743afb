//! Where a request goes next: an endpoint with room, or a wait for one.

use std::time::Duration;

use ibishill_core::{event, id, route, time};
use ibishill_decide::{balance, canary, wait_queue};
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::attempt::{self, Received, Target};
use crate::context::Shared;
use crate::own::Own;

/// Time between two looks for room; cold endpoints get room by time alone.
const LOOK: Duration = Duration::from_millis(40);

/// Waiting requests of a service that look for room at once.
const FRONT: usize = 4;

/// A request that waits for room; dropping it leaves the line.
struct Waiting {
    context: Shared,
    ticket: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.context.state().line.remove(self.ticket);
    }
}

/// Where the next attempt goes.
pub(crate) enum Next {
    /// There.
    Send(Target),
    /// Nowhere now.
    Full,
    /// No endpoint may run it.
    Nobody,
}

/// Chooses the next endpoint for a request.
pub(crate) fn choose(
    context: &Shared,
    received: &Received,
    avoid: &[id::EndpointId],
    model: Option<&id::ModelId>,
    resumed: Option<u64>,
) -> Next {
    let now = context.now();
    let mut state = context.state();
    let state = &mut *state;
    let session = received.facts.session.as_ref().unwrap_or(&received.facts.id);
    let session = xxh3::xxh3_64(session.as_bytes());
    let rule = state.cold_rule(&received.service, now);
    let catalog = state.catalog.clone();
    let engine = catalog
        .as_ref()
        .and_then(|catalog| catalog.services.get(&received.service))
        .and_then(|service| service.engine.as_ref());
    let capacity = engine.map_or(0, |engine| engine.kv_capacity);
    let reading = engine.map_or(0.0, |engine| reading(received, engine, model));
    let subject = received.facts.shared_segment();
    let shared_tokens = received.facts.segments.iter().rev().skip(1).map(|part| part.tokens).sum();
    let ask = balance::Request {
        service: &received.service,
        versions: balance::Versions::Any,
        tried: avoid,
        prefix: subject.map(|part| (part, shared_tokens)),
        tokens: received.memory(),
        capacity,
        prefill: reading,
        tier: tier(received, model),
        uses_subset: false,
        seed: xxh3::xxh3_64(received.facts.id.as_bytes()),
    };
    state.recent.record(session, now);
    let (balance, peers) = (&state.balance, &state.peers);
    let rank = |endpoint: &id::EndpointId| peers.known_rank(endpoint.as_str());
    let choice = match state.canaries.get_mut(&received.service) {
        None => balance.pick(&ask, rule, rank, now),
        Some(canary) => {
            let side = canary.assign(session, now);
            let versions = attempt::versions(side, canary);
            let daemons = peers.others().count() + 1;
            let is_trial = side == canary::Variant::Candidate && canary.uses_subset(daemons);
            let trial = balance::Request { versions, uses_subset: is_trial, ..ask };
            let mut choice = balance.pick(&trial, rule, rank, now);
            let is_open = canary.pins_sessions(now) && choice != balance::Choice::NoEndpoint;
            let may_fall_back = side == canary::Variant::Candidate
                && (choice == balance::Choice::NoEndpoint
                    || (is_open && choice == balance::Choice::Full));
            if may_fall_back {
                let versions = attempt::versions(canary::Variant::Stable, canary);
                choice = balance.pick(&balance::Request { versions, ..ask }, rule, rank, now);
                canary.pin(session);
            }
            choice
        }
    };
    match choice {
        balance::Choice::Full => Next::Full,
        balance::Choice::NoEndpoint => Next::Nobody,
        balance::Choice::Send(endpoint) => match state.balance.entry(&endpoint) {
            None => Next::Nobody,
            Some(entry) => Next::Send(Target {
                version: entry.version.clone(),
                endpoint,
                model: model.cloned(),
                resumed,
                reading,
            }),
        },
    }
}

// What a prompt costs to read, in thousands of tokens at the largest model; a model's cost
// tells how fast it is.
fn reading(received: &Received, engine: &route::Engine, model: Option<&id::ModelId>) -> f64 {
    let tokens = received.facts.tokens.unwrap_or_default().input as f64 / 1_000.0;
    let most = engine.models.iter().map(|model| model.cost).fold(0.0, f64::max);
    let found = model.and_then(|name| engine.models.iter().find(|model| model.name == *name));
    let pace = found.map_or(1.0, |model| model.cost / most.max(f64::MIN_POSITIVE));
    tokens * pace.clamp(0.1, 1.0)
}

fn tier(received: &Received, model: Option<&id::ModelId>) -> balance::Tier {
    let sizes = &received.route.models;
    match model {
        Some(_) if sizes.len() < 2 => balance::Tier::Any,
        Some(model) if sizes.first() == Some(model) => balance::Tier::Small,
        Some(model) if sizes.last() == Some(model) => balance::Tier::Large,
        _ => balance::Tier::Any,
    }
}

/// Waits until an endpoint has room, in the order of the line.
///
/// # Errors
///
/// Tells why there is none in time.
pub(crate) async fn find_room(
    context: &Shared,
    received: &Received,
    avoid: &[id::EndpointId],
    model: Option<&id::ModelId>,
) -> Result<Target, Own> {
    let (service, priority) = (&received.service, received.priority());
    let is_first = !context.state().line.has_more_urgent(service, priority);
    if is_first {
        match choose(context, received, avoid, model, received.facts.last_event) {
            Next::Send(target) => return Ok(target),
            Next::Nobody if !avoid.is_empty() => return Err(Own::NoEndpoint),
            Next::Nobody | Next::Full => {}
        }
    }
    let now = context.now();
    let patience = wait_queue::wait_limit(received.route.latency_target, received.left(now));
    let waiter = wait_queue::Waiter {
        ticket: 0,
        priority,
        workspace: received.space.as_ref().map(|space| space.name.clone()),
        service: service.clone(),
        since: now,
    };
    let ticket = context.state().line.push(waiter);
    let _waiting = Waiting { context: context.clone(), ticket };
    log_waits(context, received, patience);
    let mut own = Own::NoRoom;
    while context.now() < now + patience {
        let woken = clock::timeout(LOOK, context.room.notified()).await;
        drop(woken);
        if place_in_line(context, service, ticket) >= FRONT {
            continue;
        }
        match choose(context, received, avoid, model, received.facts.last_event) {
            Next::Send(target) => {
                context.metrics.waited(context.now().since(now));
                return Ok(target);
            }
            Next::Full => own = Own::NoRoom,
            Next::Nobody => own = Own::NoEndpoint,
        }
    }
    Err(own)
}

fn place_in_line(context: &Shared, service: &id::ServiceId, ticket: u64) -> usize {
    let state = context.state();
    let running = |space: Option<&id::WorkspaceId>| {
        state.running.get(&space.cloned()).copied().unwrap_or_default()
    };
    let order = state.line.order(service, running);
    order.iter().position(|found| *found == ticket).unwrap_or(0)
}

fn log_waits(context: &Shared, received: &Received, patience: time::Millis) {
    let (taken, waiting) = {
        let state = context.state();
        let now = context.now();
        let waiting = state.line.waiting(&received.service);
        (state.balance.utilization(&received.service, now), waiting)
    };
    event::emit_json(
        event::Event::RequestWaits,
        &[
            event::field("request", &received.facts.id),
            event::field("service", &received.service),
            event::field("taken", &taken),
            event::field("waiting", &waiting),
            event::field("patience", &patience),
        ],
    );
}
