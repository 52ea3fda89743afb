//! What relays tell each other: who lives, which rows are newest, and how roll-outs go.
//!
//! Every message carries the versions that its sender knows; the answer holds what the
//! sender lacks. News spread in a few rounds, also to daemons that the store turns away.

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
use crate::state::Kind;
use crate::upstream;

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(400);

/// Peers that are told in a round.
const FANOUT: usize = 1;

/// Peers that are told of news at once; with three, nearly all daemons hear of it before the
/// next round.
const NEWS_FANOUT: usize = 3;

/// Rounds of which one goes to any zone; the others stay in the zone, where bytes are free.
const FAR_ROUNDS: u64 = 3;

/// Rounds of which one also asks a daemon that is silent, as a cut may have healed.
const SILENT_ROUNDS: u64 = 5;

/// Heartbeats of others in a message.
const BEATS: usize = 6;

/// Members that a daemon is told which knows fewer than its peer.
const MEMBERS_MAX: usize = 1_024;

/// Daemons that judge a roll-out, so that one may fail.
pub(crate) const DECIDERS: usize = 2;

/// Longest time for an exchange.
const LIMIT: Duration = Duration::from_millis(400);

/// Largest message, in bytes.
const MESSAGE_MAX: usize = 8 * 1_024 * 1_024;

/// What one relay tells another.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    members: Vec<peers::Member>,
    /// Daemons that the sender knows.
    known: usize,
    /// Version of each table that the sender has, and the age of its confirmation.
    have: Vec<(u64, Option<u64>)>,
    /// News of tables that the receiver lacks.
    news: Vec<(usize, replica::Delta)>,
    canaries: Vec<canary::Snapshot>,
}

/// Tells peers, in rounds and whenever there is news.
pub(crate) async fn run(context: Shared) {
    let mut round = 0_u64;
    loop {
        let is_news = clock::timeout(ROUND, context.news.notified()).await.is_ok();
        round += 1;
        let targets = targets(&context, round, is_news);
        let told = targets.into_iter().map(|target| tell(&context, target, round));
        let heard = futures::future::join_all(told).await;
        let mut state = context.state();
        let is_alone = !heard.is_empty() && heard.iter().all(|heard| !heard);
        state.alone = if is_alone { state.alone + 1 } else { 0 };
    }
}

/// A peer to talk to.
#[derive(Debug, Clone, Copy)]
struct Target {
    address: SocketAddr,
    /// Whether it judges a roll-out.
    decides: bool,
}

fn targets(context: &Shared, round: u64, is_news: bool) -> Vec<Target> {
    let now = context.now();
    let mut state = context.state();
    let is_ready = state.is_informed() && !state.is_stopping;
    state.peers.heartbeat(is_ready);
    let own = state.peers.own().clone();
    let seed = round ^ hash(own.address);
    let shuffle = |address: &SocketAddr| xxh3::xxh3_64_with_seed(&[], seed ^ hash(*address));
    let alive: Vec<&peers::Member> = state.peers.alive(now).into_iter().skip(1).collect();
    let is_near = !is_news && !round.is_multiple_of(FAR_ROUNDS);
    let mut near: Vec<SocketAddr> = alive
        .iter()
        .filter(|member| !is_near || member.zone == own.zone)
        .map(|member| member.address)
        .collect();
    if near.is_empty() {
        near = alive.iter().map(|member| member.address).collect();
    }
    near.sort_by_key(shuffle);
    near.truncate(if is_news { NEWS_FANOUT } else { FANOUT });
    let known = state.peers.others().map(|member| member.address);
    let mut rest: Vec<SocketAddr> = state.place.seeds.iter().copied().chain(known).collect();
    let live: Vec<SocketAddr> = alive.iter().map(|member| member.address).collect();
    rest.retain(|address| *address != own.address && !live.contains(address));
    rest.sort_by_key(shuffle);
    rest.dedup();
    let spare = if near.is_empty() {
        NEWS_FANOUT
    } else {
        usize::from(round.is_multiple_of(SILENT_ROUNDS))
    };
    near.extend(rest.into_iter().take(spare));
    let deciders = deciders(&state, now);
    let mut targets: Vec<Target> = near
        .into_iter()
        .map(|address| Target { address, decides: deciders.contains(&address) })
        .collect();
    for address in deciders {
        let is_told = targets.iter().any(|target| target.address == address);
        if !is_told && address != own.address {
            targets.push(Target { address, decides: true });
        }
    }
    targets
}

// The daemons that judge roll-outs that run.
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

// Returns whether the peer has answered.
async fn tell(context: &Shared, target: Target, round: u64) -> bool {
    let mut news = Vec::new();
    // A second message brings what the answer shows to be lacking.
    for _ in 0..2 {
        let Some(answer) = exchange(context, target, news, round).await else { return false };
        let have = answer.have.clone();
        hear(context, answer);
        news = lacking(context, &have);
        if news.is_empty() {
            break;
        }
    }
    true
}

async fn exchange(
    context: &Shared,
    target: Target,
    news: Vec<(usize, replica::Delta)>,
    round: u64,
) -> Option<Message> {
    let address = target.address;
    let message = message(context, news, target.decides, round, None);
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
    // Silence of a peer shows in its heartbeats, so a failed exchange needs no line.
    let answer = upstream::exchange(address, request, LIMIT).await;
    context.metrics.exchanged(answer.is_ok());
    let answer = answer.ok()?;
    decode(answer.body(), address)
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

// `asker` is the number of daemons that the receiver knows, if it has told it.
fn message(
    context: &Shared,
    news: Vec<(usize, replica::Delta)>,
    decides: bool,
    round: u64,
    asker: Option<usize>,
) -> Message {
    let now = context.now();
    let state = context.state();
    let known = state.peers.others().count() + 1;
    let count = if asker.is_some_and(|asker| asker < known) { MEMBERS_MAX } else { BEATS };
    let own = &state.place.vm;
    let canaries =
        state.canaries.values().map(|canary| canary.snapshot(own, decides, now)).collect();
    Message {
        members: state.peers.sample(count, round, now),
        known,
        have: state.have(now),
        news,
        canaries,
    }
}

fn lacking(context: &Shared, have: &[(u64, Option<u64>)]) -> Vec<(usize, replica::Delta)> {
    let state = context.state();
    let tables = Kind::ALL.into_iter().zip(have).enumerate();
    tables
        .filter_map(|(at, (kind, (version, _)))| {
            Some((at, state.copy(kind).table.since(*version)?))
        })
        .collect()
}

fn hear(context: &Shared, message: Message) {
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
    let mut is_news = false;
    for (at, delta) in message.news {
        if let Some(kind) = Kind::ALL.get(at) {
            is_news |= state.merge(*kind, delta, now);
        }
    }
    state.hear_ages(&message.have, now);
    let mut heard = BTreeMap::new();
    for news in message.canaries {
        heard.insert(news.service.clone(), news);
    }
    for (service, news) in heard {
        if let Some(canary) = state.canaries.get_mut(&service) {
            canary.merge(news, &own, now);
        }
    }
    drop(state);
    if is_news {
        context.news.notify_one();
    }
}

/// Answers peers.
pub(crate) async fn serve(context: Shared, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                event::emit_json(event::Event::PeerRejected, &[event::field("error", &error)]);
                clock::sleep(LIMIT).await;
                continue;
            }
        };
        let context = context.clone();
        tokio::task::spawn_local(async move {
            let answer = service::service_fn(move |request| reply(context.clone(), request));
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
            // The peer sees a connection that ends, and counts the exchange as failed.
            let _ended = clock::timeout(LIMIT * 2, serving).await;
        });
    }
}

async fn reply(
    context: Shared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let bad = |status| {
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = status;
        Ok(answer)
    };
    let Ok(body) = Limited::new(request.into_body(), MESSAGE_MAX).collect().await else {
        return bad(StatusCode::BAD_REQUEST);
    };
    let own = context.state().place.peer;
    let Some(heard) = decode(&body.to_bytes(), own) else {
        return bad(StatusCode::BAD_REQUEST);
    };
    let (have, asker) = (heard.have.clone(), heard.known);
    hear(&context, heard);
    let round = context.now().0;
    let answer = message(&context, lacking(&context, &have), false, round, Some(asker));
    match postcard::to_stdvec(&answer) {
        Ok(bytes) => Ok(Response::new(Full::new(Bytes::from(bytes)))),
        Err(_) => bad(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
