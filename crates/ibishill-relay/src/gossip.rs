//! Gossip between relays: liveness, table rows and the counts of roll-outs.
//!
//! Every message carries the table versions of its sender, and the reply contains the deltas that
//! the sender lacks; large values are fetched in chunks by [`chunks`]. Updates spread in a few
//! rounds, also to daemons that can't reach the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use ibishill_core::{clock as wall, event, time};
use ibishill_decide::{canary, peers};
use ibishill_state::{confirmation, transfer};
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::context::Shared;
use crate::state::{Merged, Table};
use crate::wire::Format;
use crate::{peer_log, rollout_log, upstream, wire};

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

/// Longest wait for the exchanges of an update before the next one starts.
const UPDATE_WAIT: Duration = Duration::from_millis(100);

/// Heartbeats of other daemons in a message.
const HEARTBEATS_PER_MESSAGE: usize = 6;

/// Maximum number of heartbeats in a reply to a daemon that knows fewer members than the sender.
const MEMBERS_MAX: usize = 1_024;

/// Maximum number of limits and of prompt segments that a message tells of.
const NEWS_MAX: (usize, usize) = (64, 64);

/// Maximum number of cold endpoints that a peer is told of which has just started, 7 bytes each.
const COLD_MAX: usize = 512;

/// Daemons that decide on a roll-out; two, so that one may fail.
pub(crate) const DECIDERS: usize = 2;

/// Timeout of a peer that does not respond.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limits of an exchange. A table of thousands of rows takes longer than a response.
const EXCHANGE_LIMITS: upstream::Limits = upstream::Limits {
    head: EXCHANGE_TIMEOUT,
    pause: EXCHANGE_TIMEOUT,
    total: Duration::from_millis(2_000),
};

/// Size from which on a message takes noticeable time on a narrow link, in bytes.
const LARGE_MESSAGE: usize = 16 * 1_024;

/// Exchanges messages with peers, in periodic rounds and at once after an update.
pub(crate) async fn run(context: Shared) {
    let mut round = 0_u64;
    // At the start at once: a relay that knows no peers would use what is divided between them.
    let mut interval = Duration::ZERO;
    loop {
        let is_notified = clock::timeout(interval, context.rows_changed.notified()).await.is_ok();
        interval = ROUND_INTERVAL;
        round += 1;
        let targets = targets(&context, round, is_notified);
        let exchanges = targets.into_iter().map(|target| {
            let context = context.clone();
            tokio::task::spawn_local(async move { sync(&context, target, round).await })
        });
        let exchanges = futures::future::join_all(exchanges);
        if is_notified {
            // A peer that does not respond must not hold up the next update.
            let _unfinished = clock::timeout(UPDATE_WAIT, exchanges).await;
            continue;
        }
        let results = exchanges.await;
        let is_silent = |result: &Result<bool, _>| !matches!(result, Ok(true));
        let is_alone = !results.is_empty() && results.iter().all(is_silent);
        let mut state = context.state();
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

fn targets(context: &Shared, round: u64, is_notified: bool) -> Vec<Target> {
    let now = context.now();
    let mut state = context.state();
    let is_update = std::mem::take(&mut state.is_update_due);
    let ahead = state.ahead.take();
    let is_ready = state.is_ready(now);
    state.peers.heartbeat(is_ready);
    let own = state.peers.own().clone();
    let seed = round ^ hash(own.address);
    let shuffle = |address: &SocketAddr| xxh3::xxh3_64_with_seed(&[], seed ^ hash(*address));
    let alive: Vec<&peers::Member> = state.peers.alive(now).into_iter().skip(1).collect();
    let stays_in_zone = !is_notified && !round.is_multiple_of(CROSS_ZONE_ROUNDS);
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
    if let Some(ahead) = ahead {
        if !is_update {
            chosen.clear();
        }
        if !chosen.contains(&ahead) {
            chosen.push(ahead);
        }
    }
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
        usize::from(!is_notified && round.is_multiple_of(PROBE_ROUNDS))
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
        record(context, response);
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
    deltas: Vec<(usize, transfer::Delta)>,
    round: u64,
) -> Option<wire::Gossip> {
    let address = target.address;
    let message = build_message(context, deltas, target, round, None);
    let format = context.peer_formats.borrow().of_message(address, context.now());
    let mut response = post(context, &message, address, format).await?;
    if format == Format::Parts && response.status() == StatusCode::BAD_REQUEST {
        context.peer_formats.borrow_mut().reject(address, context.now());
        response = post(context, &message, address, Format::Layout).await?;
    }
    let decoded = decode(response.body(), address)?;
    context.peer_formats.borrow_mut().record(address, decoded.format, context.now());
    Some(decoded.message)
}

async fn post(
    context: &Shared,
    message: &wire::Gossip,
    address: SocketAddr,
    format: Format,
) -> Option<Response<Bytes>> {
    let body = match wire::encode_gossip(message, format) {
        Ok(body) => body,
        Err(error) => {
            peer_log::reject(address, &error);
            return None;
        }
    };
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let sent = request.body().len();
    let progress = upstream::Progress::default();
    let response = upstream::exchange(address, request, EXCHANGE_LIMITS, &progress).await;
    let received = progress.received.get();
    context.metrics.record_exchange(response.is_ok(), received);
    match response {
        Ok(response) => Some(response),
        Err(error) => {
            // A dead peer shows by its missing heartbeats; only a slow transfer is logged.
            if received > 0 || sent >= LARGE_MESSAGE {
                event::emit_json(
                    event::Event::ExchangeFailed,
                    &[
                        event::field("peer", &address),
                        event::field("sent", &sent),
                        event::field("received", &received),
                        event::field("detail", &error),
                    ],
                );
            }
            None
        }
    }
}

// Logs what can't be read.
fn decode(body: &[u8], peer: SocketAddr) -> Option<wire::Decoded<wire::Gossip>> {
    match wire::decode_gossip(body) {
        Ok(decoded) => {
            decoded.skipped.iter().for_each(|part| peer_log::reject(peer, part));
            Some(decoded)
        }
        Err(error) => {
            peer_log::reject(peer, &error);
            None
        }
    }
}

// `receiver_known` is the number of daemons that the receiver knows, if it is known.
fn build_message(
    context: &Shared,
    deltas: Vec<(usize, transfer::Delta)>,
    Target { address, is_decider }: Target,
    round: u64,
    receiver_known: Option<usize>,
) -> wire::Gossip {
    let now = context.now();
    let mut state = context.state();
    let known = state.peers.others().count() + 1;
    let count = if receiver_known.is_some_and(|count| count < known) {
        MEMBERS_MAX
    } else {
        HEARTBEATS_PER_MESSAGE
    };
    let is_new = state.peers.has_started_lately(address, wall::wall_now());
    let own = &state.settings.vm;
    let canaries =
        state.canaries.values().map(|canary| canary.snapshot(own, is_decider, now)).collect();
    let mut news = state.news(NEWS_MAX, true, now);
    if is_new {
        news.cold = state.balancer.told_cold(COLD_MAX, true, now);
    }
    wire::Gossip {
        address: state.settings.advertised,
        build: wire::BUILD.to_owned(),
        members: state.peers.sample(count, round, now),
        known,
        versions: state.table_versions(now),
        deltas,
        canaries,
        configuration: state.announcement(now),
        news,
    }
}

fn missing_deltas(
    context: &Shared,
    versions: &[confirmation::Told],
) -> Vec<(usize, transfer::Delta)> {
    let state = context.state();
    let tables = Table::ALL.into_iter().zip(versions).enumerate();
    tables.filter_map(|(at, (table, told))| Some((at, state.delta(table, told.version)?))).collect()
}

fn record(context: &Shared, message: wire::Gossip) {
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
    state.record_announcement(&message.configuration, now);
    let mut merged = Merged::default();
    for (at, delta) in message.deltas {
        if let Some(table) = Table::ALL.get(at) {
            merged = merged.and(state.accept(*table, delta, message.address, now));
        }
    }
    // After the rows: news names endpoints that only these tell of.
    state.merge_news(message.news, now);
    state.record_confirmations(&message.versions, now);
    let mut snapshots = BTreeMap::new();
    for snapshot in message.canaries {
        snapshots.insert(snapshot.service.clone(), snapshot);
    }
    let mut is_progress = false;
    for (service, snapshot) in snapshots {
        let Some(canary) = state.canaries.get_mut(&service) else { continue };
        let is_news = canary.merge_earlier(&snapshot) | canary.merge(snapshot, &own, now);
        if is_news {
            let progress = format!("{:?}", canary.progress());
            let source = format!("{} {}", message.address, message.build);
            rollout_log::log(event::Event::RolloutHeard, canary, &progress, &source, now);
            is_progress = true;
        }
    }
    if is_progress {
        state.expect_ends();
    }
    drop(state);
    finish_merge(context, merged);
}

/// Starts what follows from a merge: passing on changed rows, and fetching missing chunks.
pub(crate) fn finish_merge(context: &Shared, merged: Merged) {
    if let Some(delay) = merged.delay {
        context.metrics.record_catalog(delay);
    }
    if merged.is_changed {
        context.rows_changed.notify_one();
    }
    if merged.is_pending {
        context.chunks_wanted.notify_one();
    }
}

/// Answers a peer's message.
///
/// # Errors
///
/// Fails if a message can't be decoded or encoded.
pub(crate) fn answer(context: &Shared, body: &[u8]) -> Result<Bytes, StatusCode> {
    let own_address = context.state().settings.peer;
    let wire::Decoded { message: received, format, .. } =
        decode(body, own_address).ok_or(StatusCode::BAD_REQUEST)?;
    context.peer_formats.borrow_mut().record(received.address, format, context.now());
    let (versions, receiver_known) = (received.versions.clone(), received.known);
    let receiver = Target { address: received.address, is_decider: false };
    record(context, received);
    let round = context.now().0;
    let deltas = missing_deltas(context, &versions);
    let response = build_message(context, deltas, receiver, round, Some(receiver_known));
    wire::encode_gossip(&response, format).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
