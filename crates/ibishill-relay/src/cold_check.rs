//! Health checks of endpoints while the store does not confirm their registrations.
//!
//! An endpoint may turn cold at any moment, and says so in its registration. While the store is away,
//! its answer to a health check is the only notice; relays share the checks and tell each other what
//! they find.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use ibishill_adapter::{head, store};
use ibishill_core::{event, fleet, id, time};
use ibishill_decide::{gate, readers};
use tokio::time as clock;

use crate::context::Shared;
use crate::state::{State, Table};
use crate::upstream;

/// Interval of the checks of one endpoint by one relay.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Relays that check an endpoint: one of them may just have died.
const CHECKERS: usize = 2;

/// Time without a confirmation, beyond that of a feed's poll, from which on registrations are late.
const CONFIRMATION_MARGIN: time::Millis = time::Millis(300);

/// Timeout of a check; a full endpoint answers late.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Checks endpoints for as long as their registrations are late.
pub(crate) async fn run(context: Shared) {
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        let checks = due_checks(&context.state(), context.now());
        for check in checks {
            tokio::task::spawn_local(run_check(context.clone(), check));
        }
    }
}

struct Check {
    endpoint: id::EndpointId,
    address: SocketAddr,
    path: String,
}

fn due_checks(state: &State, now: time::Tick) -> Vec<Check> {
    let poll = readers::feed_timeout(state.settings.bounds.apply);
    let age = state.table_age(Table::Endpoints, now);
    let is_late = age.is_none_or(|age| age.saturating_sub(CONFIRMATION_MARGIN) > poll);
    let Some(catalog) = state.catalog.clone().filter(|_| is_late && !state.is_stopping) else {
        return Vec::new();
    };
    let (balancer, peers) = (&state.balancer, &state.peers);
    let check = |entry: &fleet::Registration| {
        let service = catalog.services.get(&entry.service)?;
        let is_limited = service.cold_rate > 0.0 && !service.health_path.is_empty();
        let is_due = is_limited
            && balancer.is_open(&entry.id, now)
            && !balancer.is_checked_cold(&entry.id, now)
            && peers.rank(entry.id.as_str(), now) < CHECKERS;
        is_due.then(|| Check {
            endpoint: entry.id.clone(),
            address: entry.address,
            path: service.health_path.clone(),
        })
    };
    balancer.entries().filter_map(check).collect()
}

async fn run_check(context: Shared, check: Check) {
    let request = store::get(&check.address.to_string(), check.path);
    let limits = upstream::Limits::small(TIMEOUT);
    let progress = upstream::Progress::default();
    // An endpoint that does not answer is found by the requests that it does not answer.
    let Ok(response) = upstream::exchange(check.address, request, limits, &progress).await else {
        return;
    };
    let health = head::decode_health(response.headers());
    let Some(health) = health.filter(|health| health.endpoint == check.endpoint) else { return };
    record_terms(&context, &check.endpoint, &response);
    let (cold, now) = (health.cold_remaining, context.now());
    if cold.0 == 0 || !context.state().balancer.record_health(&check.endpoint, cold, now) {
        return;
    }
    event::emit_json(
        event::Event::EndpointCold,
        &[event::field("endpoint", &check.endpoint), event::field("remaining", &cold)],
    );
    context.evidence_added.notify_one();
}

/// Records the terms that an endpoint states in its answer to a health check.
pub(crate) fn record_terms(
    context: &Shared,
    endpoint: &id::EndpointId,
    response: &Response<Bytes>,
) {
    let now = context.now();
    let mut state = context.state();
    let Some(registration) = state.balancer.entry(endpoint).cloned() else { return };
    let reply = head::decode_reply(response.status(), response.headers(), "");
    let statement = gate::Statement { terms: reply.terms, is_complete: false, sent: now };
    if state.record_terms(&registration, statement, now) {
        context.evidence_added.notify_one();
    }
}
