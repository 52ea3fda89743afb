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
const ROUND: Duration = Duration::from_millis(250);

/// Peers that are told in a round.
const FANOUT: usize = 2;

/// Longest time for an exchange.
const LIMIT: Duration = Duration::from_millis(400);

/// Largest message, in bytes.
const MESSAGE_MAX: usize = 8 * 1_024 * 1_024;

/// What one relay tells another.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    members: Vec<peers::Member>,
    /// Version of each table that the sender has, and the age of its confirmation.
    have: Vec<(u64, Option<u64>)>,
    /// News of tables that the receiver lacks.
    news: Vec<(usize, replica::Delta)>,
    canaries: Vec<canary::News>,
}

/// Tells peers, in rounds and whenever there is news.
pub(crate) async fn run(context: Shared) {
    let mut round = 0_u64;
    loop {
        let is_news = clock::timeout(ROUND, context.news.notified()).await.is_ok();
        round += 1;
        let targets = targets(&context, round, is_news);
        let told = targets.into_iter().map(|address| tell(&context, address));
        futures::future::join_all(told).await;
    }
}

fn targets(context: &Shared, round: u64, is_news: bool) -> Vec<SocketAddr> {
    let now = context.now();
    let mut state = context.state();
    let is_ready = state.is_informed() && !state.is_stopping;
    state.peers.beat(is_ready);
    let own = state.peers.own().address;
    let alive = state.peers.alive(now);
    let mut addresses: Vec<SocketAddr> =
        alive.iter().skip(1).map(|member| member.address).collect();
    let shuffle = |address: &SocketAddr| {
        xxh3::xxh3_64_with_seed(
            address.to_string().as_bytes(),
            round ^ own.port() as u64 ^ hash(own),
        )
    };
    addresses.sort_by_key(shuffle);
    addresses.truncate(if is_news { FANOUT + 1 } else { FANOUT });
    // Daemons that are silent, and seeds, are asked now and then: a cut may have healed.
    let known: Vec<SocketAddr> = state.peers.others().map(|member| member.address).collect();
    let mut rest: Vec<SocketAddr> = state.place.seeds.iter().copied().chain(known).collect();
    rest.retain(|address| *address != own && !addresses.contains(address));
    rest.sort_by_key(shuffle);
    rest.dedup();
    let spare = if addresses.is_empty() { FANOUT } else { usize::from(round % 4 == 0) };
    addresses.extend(rest.into_iter().take(spare));
    addresses
}

fn hash(address: SocketAddr) -> u64 {
    xxh3::xxh3_64(address.to_string().as_bytes())
}

async fn tell(context: &Shared, address: SocketAddr) {
    let mut news = Vec::new();
    // A second message brings what the answer shows to be lacking.
    for _ in 0..2 {
        let Some(answer) = exchange(context, address, news).await else { return };
        let have = answer.have.clone();
        hear(context, answer);
        news = lacking(context, &have);
        if news.is_empty() {
            return;
        }
    }
}

async fn exchange(
    context: &Shared,
    address: SocketAddr,
    news: Vec<(usize, replica::Delta)>,
) -> Option<Message> {
    let message = message(context, news);
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
    let answer = upstream::exchange(address, request, LIMIT).await.ok()?;
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

fn message(context: &Shared, news: Vec<(usize, replica::Delta)>) -> Message {
    let now = context.now();
    let state = context.state();
    let members = state.peers.alive(now).into_iter().cloned().collect();
    let have = |kind: &Kind| {
        let copy = state.copy(*kind);
        (copy.table.version(), copy.confirmed.map(|at| now.since(at).0))
    };
    let running = state.canaries.values();
    let canaries = running.map(|canary| canary.news(now)).collect();
    Message { members, have: Kind::ALL.iter().map(have).collect(), news, canaries }
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
        if state.peers.hear(member, now) {
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
    for (kind, (version, age)) in Kind::ALL.into_iter().zip(message.have) {
        // A peer's confirmation counts only for the rows that it speaks of.
        let is_same = state.copy(kind).table.version() == version;
        if let Some(age) = age.filter(|_| is_same && version > 0) {
            state.confirm(kind, time::Tick(now.0.saturating_sub(age)));
        }
    }
    let mut heard = BTreeMap::new();
    for news in message.canaries {
        heard.insert(news.service.clone(), news);
    }
    for (service, news) in heard {
        if let Some(canary) = state.canaries.get_mut(&service) {
            canary.hear(news, &own, now);
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
    let have = heard.have.clone();
    hear(&context, heard);
    let answer = message(&context, lacking(&context, &have));
    match postcard::to_stdvec(&answer) {
        Ok(bytes) => Ok(Response::new(Full::new(Bytes::from(bytes)))),
        Err(_) => bad(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
