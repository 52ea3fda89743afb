//! Gossip between relays: liveness, table rows and the counts of roll-outs.
//!
//! Every message carries the table versions of its sender, and the reply contains the deltas that
//! the sender lacks. Updates spread in a few rounds, also to daemons that can't reach the store.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use ibishill_core::{event, time};
use ibishill_decide::{canary, peers};
use ibishill_state::replica;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::context::Shared;
use crate::state::Table;
use crate::upstream;

const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// Peers contacted in a periodic round.
const FANOUT: usize = 1;

/// Peers contacted at once after an update; with three, nearly all daemons get it before the next
/// periodic round.
const UPDATE_FANOUT: usize = 3;

/// One in this many rounds may go to any zone; the others stay in the zone, where traffic is free.
const CROSS_ZONE_ROUNDS: u64 = 3;

/// One in this many rounds also contacts an unresponsive daemon, since a network partition may have
/// healed.
const PROBE_ROUNDS: u64 = 5;

/// Heartbeats of other daemons in a message.
const HEARTBEATS_PER_MESSAGE: usize = 6;

/// Maximum number of heartbeats in a reply to a daemon that knows fewer members than the sender.
const MEMBERS_MAX: usize = 1_024;

/// Daemons that decide on a roll-out; two, so that one may fail.
pub(crate) const DECIDERS: usize = 2;

/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a message, in bytes.
const MESSAGE_MAX: usize = 8 * 1_024 * 1_024;

/// Size from which on a message takes noticeable time on a narrow link, in bytes.
const LARGE_MESSAGE: usize = 16 * 1_024;

/// Message between relays, encoded with postcard.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    members: Vec<peers::Member>,
    /// Number of daemons that the sender knows, including itself.
    known: usize,
    /// By table, the sender's version and the milliseconds since its confirmation; `None` if it
    /// was never confirmed.
    #[serde(rename = "have")]
    versions: Vec<(u64, Option<u64>)>,
    /// Deltas that the receiver lacks, with the index of their table in `Table::ALL`.
    #[serde(rename = "news")]
    deltas: Vec<(usize, replica::Delta)>,
    canaries: Vec<canary::Snapshot>,
    /// Version of the sender's configuration; 0 before the first.
    configuration: u64,
}

/// Exchanges messages with peers, in periodic rounds and at once after an update.
pub(crate) async fn run(context: Shared) {
    let mut round = 0_u64;
    loop {
        let is_update =
            clock::timeout(ROUND_INTERVAL, context.rows_changed.notified()).await.is_ok();
        round += 1;
        let targets = targets(&context, round, is_update);
        let exchanges = targets.into_iter().map(|target| sync(&context, target, round));
        let results = futures::future::join_all(exchanges).await;
        let mut state = context.state();
        let is_alone = !results.is_empty() && results.iter().all(|is_answered| !is_answered);
        state.silent_rounds = if is_alone { state.silent_rounds + 1 } else { 0 };
    }
}

/// A peer to contact in a round.
#[derive(Debug, Clone, Copy)]
struct Target {
    address: SocketAddr,
    /// Whether it decides on a running roll-out.
    is_decider: bool,
}

fn targets(context: &Shared, round: u64, is_update: bool) -> Vec<Target> {
    let now = context.now();
    let mut state = context.state();
    let is_ready = state.is_loaded() && !state.is_stopping;
    state.peers.heartbeat(is_ready);
    let own = state.peers.own().clone();
    let seed = round ^ hash(own.address);
    let shuffle = |address: &SocketAddr| xxh3::xxh3_64_with_seed(&[], seed ^ hash(*address));
    let alive: Vec<&peers::Member> = state.peers.alive(now).into_iter().skip(1).collect();
    let stays_in_zone = !is_update && !round.is_multiple_of(CROSS_ZONE_ROUNDS);
    let mut chosen: Vec<SocketAddr> = alive
        .iter()
        .filter(|member| !stays_in_zone || member.zone == own.zone)
        .map(|member| member.address)
        .collect();
    if chosen.is_empty() {
        chosen = alive.iter().map(|member| member.address).collect();
    }
    chosen.sort_by_key(shuffle);
    chosen.truncate(if is_update { UPDATE_FANOUT } else { FANOUT });
    let known = state.peers.others().map(|member| member.address);
    let mut unresponsive: Vec<SocketAddr> =
        state.settings.seeds.iter().copied().chain(known).collect();
    let alive_addresses: Vec<SocketAddr> = alive.iter().map(|member| member.address).collect();
    unresponsive.retain(|address| *address != own.address && !alive_addresses.contains(address));
    unresponsive.sort_by_key(shuffle);
    unresponsive.dedup();
    let probes = if chosen.is_empty() {
        UPDATE_FANOUT
    } else {
        usize::from(round.is_multiple_of(PROBE_ROUNDS))
    };
    chosen.extend(unresponsive.into_iter().take(probes));
    let deciders = deciders(&state, now);
    let mut targets: Vec<Target> = chosen
        .into_iter()
        .map(|address| Target { address, is_decider: deciders.contains(&address) })
        .collect();
    for address in deciders {
        let is_included = targets.iter().any(|target| target.address == address);
        if !is_included && address != own.address {
            targets.push(Target { address, is_decider: true });
        }
    }
    targets
}

// Addresses of the daemons that decide on running roll-outs.
fn deciders(state: &crate::state::State, now: time::Tick) -> Vec<SocketAddr> {
    let is_running =
        |canary: &&canary::Canary| canary.progress() == ibishill_core::fleet::Progress::Running;
    let services = state.canaries.values().filter(is_running).map(|canary| &canary.order().service);
    let mut found: Vec<SocketAddr> = services
        .flat_map(|service| state.peers.assigned(service.as_str(), DECIDERS, now))
        .map(|member| member.address)
        .collect();
    found.sort_unstable();
    found.dedup();
    found
}

fn hash(address: SocketAddr) -> u64 {
    xxh3::xxh3_64(address.to_string().as_bytes())
}

// Exchanges up to two messages with a peer, so that both get the deltas that they lack; returns
// whether the peer responded.
async fn sync(context: &Shared, target: Target, round: u64) -> bool {
    let mut deltas = Vec::new();
    // A second message carries the deltas that the peer lacks according to its reply.
    for _ in 0..2 {
        let Some(response) = exchange(context, target, deltas, round).await else { return false };
        let versions = response.versions.clone();
        record(context, response, &target.address);
        deltas = missing_deltas(context, &versions);
        if deltas.is_empty() {
            break;
        }
    }
    true
}

async fn exchange(
    context: &Shared,
    target: Target,
    deltas: Vec<(usize, replica::Delta)>,
    round: u64,
) -> Option<Message> {
    let address = target.address;
    let message = message(context, deltas, target.is_decider, round, None);
    let body = match postcard::to_stdvec(&message) {
        Ok(body) => body,
        Err(error) => {
            event::emit_json(
                event::Event::PeerRejected,
                &[event::field("peer", &address), event::field("error", &error)],
            );
            return None;
        }
    };
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let sent = request.body().len();
    let received = upstream::Received::default();
    let response = upstream::exchange(address, request, EXCHANGE_TIMEOUT, &received).await;
    context.metrics.record_exchange(response.is_ok(), received.get());
    match response {
        Ok(response) => decode(response.body(), address),
        Err(error) => {
            // A dead peer shows by its missing heartbeats; only a slow transfer is logged.
            if received.get() > 0 || sent >= LARGE_MESSAGE {
                event::emit_json(
                    event::Event::ExchangeFailed,
                    &[
                        event::field("peer", &address),
                        event::field("sent", &sent),
                        event::field("received", &received.get()),
                        event::field("detail", &error),
                    ],
                );
            }
            None
        }
    }
}

fn decode(body: &[u8], address: SocketAddr) -> Option<Message> {
    match postcard::from_bytes(body) {
        Ok(message) => Some(message),
        Err(error) => {
            event::emit_json(
                event::Event::PeerRejected,
                &[event::field("peer", &address), event::field("error", &error)],
            );
            None
        }
    }
}

// `receiver_known` is the number of daemons that the receiver knows, if it is known.
fn message(
    context: &Shared,
    deltas: Vec<(usize, replica::Delta)>,
    is_decider: bool,
    round: u64,
    receiver_known: Option<usize>,
) -> Message {
    let now = context.now();
    let state = context.state();
    let known = state.peers.others().count() + 1;
    let count = if receiver_known.is_some_and(|count| count < known) {
        MEMBERS_MAX
    } else {
        HEARTBEATS_PER_MESSAGE
    };
    let own = &state.settings.vm;
    let canaries =
        state.canaries.values().map(|canary| canary.snapshot(own, is_decider, now)).collect();
    Message {
        members: state.peers.sample(count, round, now),
        known,
        versions: state.table_versions(now),
        deltas,
        canaries,
        configuration: state.catalog_version(),
    }
}

fn missing_deltas(
    context: &Shared,
    versions: &[(u64, Option<u64>)],
) -> Vec<(usize, replica::Delta)> {
    let state = context.state();
    let tables = Table::ALL.into_iter().zip(versions).enumerate();
    tables
        .filter_map(|(at, (table, (version, _)))| {
            Some((at, state.replica(table).table.since(*version)?))
        })
        .collect()
}

fn record(context: &Shared, message: Message, from: &(dyn std::fmt::Display + Sync)) {
    let now = context.now();
    let own = context.vm();
    let mut state = context.state();
    for member in message.members {
        let (vm, address) = (member.vm.clone(), member.address);
        if state.peers.record(member, now) {
            event::emit_json(
                event::Event::PeerKnown,
                &[event::field("vm", &vm), event::field("address", &address)],
            );
        }
    }
    state.record_announcement(message.configuration, now);
    let mut is_changed = false;
    let mut delay = None;
    for (at, delta) in message.deltas {
        if let Some(table) = Table::ALL.get(at) {
            let merged = state.merge(*table, delta, from, now);
            is_changed |= merged.is_changed;
            delay = delay.or(merged.delay);
        }
    }
    state.record_confirmations(&message.versions, now);
    let mut snapshots = BTreeMap::new();
    for snapshot in message.canaries {
        snapshots.insert(snapshot.service.clone(), snapshot);
    }
    for (service, snapshot) in snapshots {
        if let Some(canary) = state.canaries.get_mut(&service) {
            canary.merge(snapshot, &own, now);
        }
    }
    drop(state);
    if let Some(delay) = delay {
        context.metrics.record_catalog(delay);
    }
    if is_changed {
        context.rows_changed.notify_one();
    }
}

/// Serves the messages of peers.
pub(crate) async fn serve(context: Shared, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                event::emit_json(event::Event::PeerRejected, &[event::field("error", &error)]);
                clock::sleep(EXCHANGE_TIMEOUT).await;
                continue;
            }
        };
        let context = context.clone();
        tokio::task::spawn_local(async move {
            let service = service::service_fn(move |request| handle(context.clone(), request));
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // On failure the peer sees the connection close and counts the exchange as failed.
            let _ended = clock::timeout(EXCHANGE_TIMEOUT * 2, serving).await;
        });
    }
}

async fn handle(
    context: Shared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let bad = |status| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        Ok(response)
    };
    let Ok(body) = Limited::new(request.into_body(), MESSAGE_MAX).collect().await else {
        return bad(StatusCode::BAD_REQUEST);
    };
    let own_address = context.state().settings.peer;
    let Some(received) = decode(&body.to_bytes(), own_address) else {
        return bad(StatusCode::BAD_REQUEST);
    };
    let (versions, receiver_known) = (received.versions.clone(), received.known);
    record(&context, received, &"a peer's message");
    let round = context.now().0;
    let response =
        message(&context, missing_deltas(&context, &versions), false, round, Some(receiver_known));
    match postcard::to_stdvec(&response) {
        Ok(bytes) => Ok(Response::new(Full::new(Bytes::from(bytes)))),
        Err(_) => bad(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
