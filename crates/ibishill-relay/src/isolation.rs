//! Finds out whether endpoints that don't answer have ended, or are out of reach from this relay only:
//! peers are asked whether they have had answers since.
//!
//! Nothing is sent as long as all endpoints answer. Those out of reach are probed one at a time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ibishill_adapter::{head, store};
use ibishill_core::{event, fleet, id, time};
use ibishill_decide::{contact, endpoint_key, peers, reach};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::context::Shared;
use crate::state::State;
use crate::{cold_check, packet, upstream};

/// Interval of the checks for endpoints that owe an answer.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Peers asked at once in the relay's own zone, and as many elsewhere; a whole zone may be cut off.
const ASKED: usize = 4;

/// Of these, peers that have confirmed answers lately. The others are asked in turn, so that a relay's requests
/// spread over more peers than it asks at once.
const ASKED_AGAIN: usize = 2;

/// Timeout of a check: with the silence before it, the time after which an endpoint is suspected.
const CHECK_TIMEOUT: time::Millis = time::Millis(300);

/// Timeout of a probe.
const PROBE_TIMEOUT: time::Millis = time::Millis(400);

#[derive(Serialize, Deserialize)]
struct Message {
    /// The sender.
    vm: id::VmId,
    /// Endpoints that it asks or tells about, and how long ago they failed or answered.
    endpoints: Vec<contact::Aged>,
}

/// Asks peers about endpoints that don't answer, and logs what turns out to be out of reach.
pub(crate) async fn run(context: Shared, socket: Rc<UdpSocket>) {
    let mut round = 0;
    loop {
        // A probe that was answered is followed by the next one at once.
        let waiting = clock::timeout(POLL_INTERVAL, context.probe_answered.notified());
        let _woken = waiting.await;
        judge(&context);
        let now = context.now();
        let probe = context.state().balancer.contacts().take_probe(now);
        if let Some(probe) = probe {
            tokio::task::spawn_local(run_probe(context.clone(), probe));
        }
        let check = context.state().balancer.contacts().take_check(now);
        if let Some(check) = check {
            tokio::task::spawn_local(run_check(context.clone(), check));
        }
        let endpoints = context.state().balancer.contacts().questions(now);
        if endpoints.is_empty() {
            continue;
        }
        round += 1;
        let peers = asked(&mut context.state(), round, now);
        let message = Message { vm: context.vm(), endpoints };
        send(&socket, packet::Kind::Question, &message, &peers).await;
    }
}

// Addresses of the peers to ask, in an order of this relay's own.
fn asked(state: &mut State, round: u64, now: time::Tick) -> Vec<SocketAddr> {
    let reaching: Vec<id::VmId> = state.balancer.contacts().reaching(now).cloned().collect();
    let own = state.peers.own();
    let seed = xxh3::xxh3_64_with_seed(own.vm.as_str().as_bytes(), round);
    let mut peers: Vec<_> = state.peers.alive(now).into_iter().skip(1).collect();
    peers.sort_by_key(|peer| xxh3::xxh3_64_with_seed(peer.vm.as_str().as_bytes(), seed));
    let (near, far): (Vec<_>, Vec<_>) = peers.into_iter().partition(|peer| peer.zone == own.zone);
    let choose = |peers: Vec<&peers::Member>| {
        let (again, new): (Vec<_>, Vec<_>) =
            peers.into_iter().partition(|peer| reaching.contains(&peer.vm));
        let again_count = ASKED_AGAIN.max(ASKED.saturating_sub(new.len())).min(again.len());
        let (again, late) = again.split_at(again_count);
        let order = again.iter().chain(&new).chain(late);
        order.take(ASKED).map(|peer| peer.address).collect::<Vec<_>>()
    };
    [choose(near), choose(far)].concat()
}

async fn send(socket: &UdpSocket, kind: packet::Kind, message: &Message, peers: &[SocketAddr]) {
    match packet::encode(kind, message) {
        Ok(bytes) => {
            for peer in peers {
                // A lost question is repeated in the next round.
                let _sent = socket.send_to(&bytes, peer).await;
            }
        }
        Err(error) => {
            event::emit_json(event::Event::PeerRejected, &[event::field("error", &error)]);
        }
    }
}

/// Answers a peer's question.
///
/// # Errors
///
/// Fails if the question can't be decoded.
pub(crate) async fn answer(
    context: &Shared,
    socket: &UdpSocket,
    payload: &[u8],
) -> Result<(), postcard::Error> {
    let question: Message = postcard::from_bytes(payload)?;
    let now = context.now();
    let (endpoints, peer) = {
        let mut state = context.state();
        let peer = state.peers.address(&question.vm);
        (state.balancer.contacts().answers(&question.endpoints, now), peer)
    };
    if let Some(peer) = peer.filter(|_| !endpoints.is_empty()) {
        let message = Message { vm: context.vm(), endpoints };
        send(socket, packet::Kind::Answer, &message, &[peer]).await;
    }
    Ok(())
}

/// Records a peer's answer.
///
/// # Errors
///
/// Fails if the answer can't be decoded.
pub(crate) fn receive(context: &Shared, payload: &[u8]) -> Result<(), postcard::Error> {
    let answer: Message = postcard::from_bytes(payload)?;
    let now = context.now();
    context.state().balancer.contacts().record_evidence(&answer.vm, &answer.endpoints, now);
    judge(context);
    Ok(())
}

fn judge(context: &Shared) {
    let now = context.now();
    let is_changed = {
        let mut state = context.state();
        let is_changed = state.balancer.judge_contacts(now);
        state.log_doubts(now);
        is_changed
    };
    if is_changed {
        announce(context);
    }
}

// Sends a health check to an endpoint that is out of reach; any answer of its own ends that.
async fn run_probe(context: Shared, key: endpoint_key::EndpointKey) {
    let (registration, path, hold) = {
        let mut state = context.state();
        let (found, now) = (state.entry_of(key).cloned(), context.now());
        let Some(registration) = found.filter(|found| state.balancer.is_open(&found.id, now))
        else {
            return;
        };
        let catalog = state.catalog.as_ref();
        let service = catalog.and_then(|catalog| catalog.services.get(&registration.service));
        let path = service.map_or_else(String::new, |service| service.health_path.clone());
        state.balancer.reach().begin(&registration.zone, context.now());
        let hold = state.balancer.contacts().hold(key);
        (registration, path, hold)
    };
    let has_check = !path.is_empty();
    let asked = context.now();
    let is_reached = if has_check {
        let health = check(&registration, path).await;
        if let Some(health) = &health {
            // What is reached again may have started again meanwhile.
            cold_check::record_health(&context, health, asked);
        }
        health.is_some()
    } else {
        keeps_connection(registration.address, PROBE_TIMEOUT, hold).await
    };
    if is_reached {
        let now = context.now();
        let none = time::Millis(0);
        let contact = reach::Contact::Answered;
        let mut state = context.state();
        let reach = state.balancer.reach();
        reach.record(&registration.zone, &registration.id, contact, (none, none), now);
        let is_changed = !has_check && state.balancer.contacts().record_kept(key, now);
        drop(state);
        if has_check {
            record_answer(&context, &registration.id);
        } else if is_changed {
            announce(&context);
        }
        context.probe_answered.notify_one();
    } else {
        record_failure(&context, &registration.id);
    }
}

// Finds out whether the path to an endpoint that owes an answer is whole: any response shows that. An engine
// is asked for its load, as a health check waits for a slot there.
async fn run_check(context: Shared, key: endpoint_key::EndpointKey) {
    let (registration, path, hold) = {
        let mut state = context.state();
        let Some(registration) = state.entry_of(key).cloned() else { return };
        let catalog = state.catalog.as_ref();
        let service = catalog.and_then(|catalog| catalog.services.get(&registration.service));
        let path = service.map_or_else(String::new, |service| match service.engine {
            Some(_) => head::LOAD_PATH.to_owned(),
            None => service.health_path.clone(),
        });
        let hold = state.balancer.contacts().hold(key);
        (registration, path, hold)
    };
    let is_answered = if path.is_empty() {
        keeps_connection(registration.address, CHECK_TIMEOUT, hold).await
    } else {
        let request = store::get(&registration.address.to_string(), path);
        let limits = upstream::Limits::small(CHECK_TIMEOUT.to_std());
        let progress = upstream::Progress::default();
        let response = upstream::exchange(registration.address, request, limits, &progress).await;
        response.is_ok()
    };
    let mut state = context.state();
    if is_answered {
        state.balancer.contacts().record_path(key);
    } else {
        state.balancer.contacts().record_unanswered(key);
    }
}

// What an endpoint answers to a health check; none if another one does, which may have its address by now.
async fn check(registration: &fleet::Registration, path: String) -> Option<head::Health> {
    let request = store::get(&registration.address.to_string(), path);
    let limits = upstream::Limits::small(PROBE_TIMEOUT.to_std());
    let progress = upstream::Progress::default();
    let response = upstream::exchange(registration.address, request, limits, &progress).await;
    let health = response.ok().and_then(|response| head::decode_health(response.headers()));
    health.filter(|health| health.endpoint == registration.id)
}

// Whether a connection is accepted and stays open: a server waits for the request, or greets.
async fn keeps_connection(address: SocketAddr, timeout: time::Millis, hold: time::Millis) -> bool {
    let Ok(stream) = upstream::connect(address, timeout).await else { return false };
    let greeting = clock::timeout(hold.to_std(), stream.peek(&mut [0])).await;
    !matches!(greeting, Ok(Ok(0) | Err(_)))
}

/// Waits until an endpoint is out of reach from this relay, but not from its peers.
pub(crate) async fn out_of_reach(context: &Shared, endpoint: &id::EndpointId) {
    while !context.state().balancer.is_out_of_reach(endpoint) {
        context.reach_changed.notified().await;
    }
}

/// Records an answer of an endpoint, or a part of one.
pub(crate) fn record_answer(context: &Shared, endpoint: &id::EndpointId) {
    let now = context.now();
    let is_changed = {
        let mut state = context.state();
        let key = state.balancer.key(endpoint);
        key.is_some_and(|key| state.balancer.contacts().record_answer(key, now))
    };
    if is_changed {
        announce(context);
    }
}

/// Records that another endpoint has answered at an endpoint's address.
pub(crate) fn record_replaced(context: &Shared, endpoint: &id::EndpointId) {
    let mut state = context.state();
    if let Some(key) = state.balancer.key(endpoint) {
        state.balancer.contacts().record_path(key);
    }
}

/// Records a failed connection to an endpoint, or one that ended without a whole answer.
pub(crate) fn record_failure(context: &Shared, endpoint: &id::EndpointId) {
    let now = context.now();
    let mut state = context.state();
    if let Some(key) = state.balancer.key(endpoint) {
        state.balancer.contacts().record_failure(key, now);
    }
}

// Logs what is out of reach, and wakes requests that wait for endpoints that are.
fn announce(context: &Shared) {
    context.reach_changed.notify_waiters();
    context.evidence_added.notify_one();
    context.capacity_freed.notify_waiters();
    let now = context.now();
    let mut state = context.state();
    let is_isolated = state.balancer.contacts().is_isolated();
    state.peers.set_isolated(is_isolated, now);
    state.divide(now);
    let contacts = state.balancer.contacts();
    let (is_isolated, out) = (contacts.is_isolated(), contacts.out().count());
    let peers: Vec<String> = contacts.reaching(now).map(ToString::to_string).collect();
    event::emit_json(
        event::Event::EndpointsOutOfReach,
        &[
            event::field("endpoints", &out),
            event::field("is_all", &is_isolated),
            event::field("peers", &peers.join(",")),
        ],
    );
}
