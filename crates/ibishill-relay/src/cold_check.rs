//! Checks of endpoints that may have started again, or turned cold, without a notice in the store.
//!
//! An endpoint may turn cold at any moment, and start again under its id, and says so in its registration, which may
//! be late. Its answers to checks tell the same: relays check those that a connection has ended at, and all while the
//! store is away. They share these checks, and tell each other what they find.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use ibishill_adapter::{head, store};
use ibishill_core::{event, fleet, id, route, time};
use ibishill_decide::balance::doubt;
use ibishill_decide::{endpoint_key, gate, readers};
use tokio::time as clock;

use crate::context::Shared;
use crate::state::{State, Table};
use crate::upstream;

/// Interval of the checks of one endpoint by one relay.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Interval of the checks of an endpoint in doubt by a relay that is none of its [`CHECKERS`].
const OTHER_INTERVAL: time::Millis = time::Millis(1_200);

/// Least time between two checks of an endpoint whose connections end, which are many at once.
const CUT_INTERVAL: time::Millis = time::Millis(50);

/// Relays that check an endpoint: one of them may just have died.
const CHECKERS: usize = 2;

/// Endpoints in doubt that are checked at once at most.
const DOUBTED_MAX: usize = 64;

/// Times in a row that an endpoint is checked whose connections go on ending.
const ROUNDS_MAX: usize = 3;

/// Time without a confirmation, beyond that of a feed's poll, from which on registrations are late.
const CONFIRMATION_MARGIN: time::Millis = time::Millis(300);

/// Time before the end of a cold start from which on an endpoint is checked again: it may have started once more.
const AGAIN_LEAD: time::Millis = time::Millis(900);

/// Timeout of a check; a full endpoint answers late.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Checks endpoints in doubt, and all for as long as their registrations are late.
pub(crate) async fn run(context: Shared) {
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        let now = context.now();
        let (late, doubted) = {
            let mut state = context.state();
            (late_checks(&state, now), doubt_checks(&mut state, now))
        };
        for check in late {
            let context = context.clone();
            tokio::task::spawn_local(async move { check_health(&context, &check).await });
        }
        for check in doubted {
            tokio::task::spawn_local(settle(context.clone(), check));
        }
    }
}

struct Check {
    endpoint: id::EndpointId,
    key: endpoint_key::EndpointKey,
    address: SocketAddr,
    path: String,
    /// Whether it tells its start time.
    is_engine: bool,
}

impl Check {
    // None if the endpoint's cold starts are not limited, or it has no health check.
    fn of(entry: &fleet::Registration, catalog: &route::Catalog) -> Option<Self> {
        let service = catalog.services.get(&entry.service)?;
        let is_limited = service.cold_rate > 0.0 && !service.health_path.is_empty();
        is_limited.then(|| Self {
            endpoint: entry.id.clone(),
            key: endpoint_key::EndpointKey::of(entry),
            address: entry.address,
            path: service.health_path.clone(),
            is_engine: service.engine.is_some(),
        })
    }
}

// Endpoints that may turn cold without a notice.
fn late_checks(state: &State, now: time::Tick) -> Vec<Check> {
    let poll = readers::feed_timeout(state.settings.bounds.apply);
    let age = state.table_age(Table::Endpoints, now);
    let is_late = age.is_none_or(|age| age.saturating_sub(CONFIRMATION_MARGIN) > poll);
    let Some(catalog) = state.catalog.clone().filter(|_| is_late && !state.is_stopping) else {
        return Vec::new();
    };
    let (balancer, peers) = (&state.balancer, &state.peers);
    let check = |entry: &fleet::Registration| {
        let check = Check::of(entry, &catalog)?;
        let is_due = balancer.is_open(&entry.id, now)
            && !balancer.is_checked_cold(&entry.id, now + AGAIN_LEAD)
            && peers.rank(entry.id.as_str(), now) < CHECKERS;
        is_due.then_some(check)
    };
    balancer.entries().filter_map(check).collect()
}

fn doubt_checks(state: &mut State, now: time::Tick) -> Vec<Check> {
    let Some(catalog) = state.catalog.clone().filter(|_| !state.is_stopping) else {
        return Vec::new();
    };
    let (balancer, peers) = (&mut state.balancer, &state.peers);
    let doubted = balancer
        .doubted()
        .filter(|entry| !balancer.is_out_of_reach(&entry.id) && balancer.is_open(&entry.id, now));
    let doubted: Vec<Check> = doubted.filter_map(|entry| Check::of(entry, &catalog)).collect();
    let mut due = Vec::new();
    for check in doubted {
        let is_checker = peers.rank(check.endpoint.as_str(), now) < CHECKERS;
        let interval = if is_checker { time::Millis(0) } else { OTHER_INTERVAL };
        if due.len() < DOUBTED_MAX && balancer.take_doubt_check(&check.endpoint, interval, now) {
            due.push(check);
        }
    }
    due
}

/// Records a sign that an endpoint may have ended, and started again since, if its cold starts are limited.
pub(crate) fn doubt(context: &Shared, entry: &fleet::Registration, cause: doubt::Cause) {
    let now = context.now();
    let mut state = context.state();
    let is_current = state.balancer.key(&entry.id) == Some(endpoint_key::EndpointKey::of(entry));
    let found = state.catalog.as_ref().and_then(|catalog| Check::of(entry, catalog));
    let Some(check) = found.filter(|_| is_current) else { return };
    let cold = state.slow_start(&entry.service, now);
    let is_news = state.balancer.doubt(&entry.id, cause, cold, now);
    state.log_doubts(now);
    // One that has refused a check is checked by the periodic ones.
    let is_due = cause != doubt::Cause::Gone
        && !state.balancer.is_out_of_reach(&entry.id)
        && state.balancer.take_doubt_check(&entry.id, CUT_INTERVAL, now);
    drop(state);
    if is_news {
        context.evidence_added.notify_one();
    }
    if is_due {
        tokio::task::spawn_local(settle(context.clone(), check));
    }
}

// Finds out whether an endpoint in doubt has started again; again if a sign has come meanwhile.
async fn settle(context: Shared, check: Check) {
    for _ in 0..ROUNDS_MAX {
        let start = fetch_start(&context, &check).await;
        let is_same = start.is_some_and(|(started, asked)| {
            let mut state = context.state();
            let is_same = state.balancer.key(&check.endpoint) == Some(check.key)
                && state.balancer.record_start(&check.endpoint, started, asked);
            state.log_doubts(context.now());
            is_same
        });
        // Another endpoint may have the address; only its health check names it.
        if !is_same && !check_health(&context, &check).await {
            return;
        }
        let mut state = context.state();
        if let Some((started, _)) = start.filter(|_| !is_same) {
            state.balancer.replace_start(&check.endpoint, started);
        }
        if !state.balancer.is_doubted(&check.endpoint) {
            return;
        }
    }
}

async fn get(context: &Shared, check: &Check, path: &str) -> Option<Response<Bytes>> {
    let request = store::get(&check.address.to_string(), path.to_owned());
    let progress = upstream::Progress::default();
    let limits = upstream::Limits::small(TIMEOUT);
    let response = upstream::exchange(check.address, request, limits, &progress).await;
    if matches!(response, Err(upstream::CallError::Connect(_))) {
        let entry = context.state().entry_of(check.key).cloned();
        if let Some(entry) = entry {
            doubt(context, &entry, doubt::Cause::Gone);
        }
    }
    // An endpoint that does not answer is found by the requests that it does not answer.
    response.ok()
}

// Asks an engine for its start time, which needs no slot; returns it and when it was asked.
async fn fetch_start(context: &Shared, check: &Check) -> Option<(u64, time::Tick)> {
    if !check.is_engine {
        return None;
    }
    let asked = context.now();
    let report = get(context, check, head::LOAD_PATH).await?;
    Some((head::decode_started(report.body())?, asked))
}

// Asks an endpoint whether it is cold; returns whether it has answered.
async fn check_health(context: &Shared, check: &Check) -> bool {
    let asked = context.now();
    let Some(response) = get(context, check, &check.path).await else { return false };
    let health = head::decode_health(response.headers());
    let Some(health) = health.filter(|health| health.endpoint == check.endpoint) else {
        return false;
    };
    if context.state().balancer.key(&check.endpoint) != Some(check.key) {
        return false;
    }
    record_terms(context, &check.endpoint, &response);
    record_health(context, &health, asked);
    true
}

/// Records what an endpoint has told of itself in a health check that was sent at `asked`.
pub(crate) fn record_health(context: &Shared, health: &head::Health, asked: time::Tick) {
    let now = context.now();
    let mut state = context.state();
    let cold = health.cold_remaining;
    let is_news = state.balancer.record_health(&health.endpoint, cold, (asked, now));
    state.log_doubts(now);
    drop(state);
    if is_news {
        event::emit_json(
            event::Event::EndpointCold,
            &[event::field("endpoint", &health.endpoint), event::field("remaining", &cold)],
        );
        context.evidence_added.notify_one();
    }
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
