//! Sends a request through a peer that reaches endpoints which this relay does not.
//!
//! The peer decides as if the request came from its own caller, with its own share of what endpoints take,
//! and never passes it on again. The request goes to the peer's address for other relays, which callers
//! don't reach.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use ibishill_adapter::head;
use ibishill_core::{event, id, time};
use ibishill_decide::{canary, peers, reach};
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::attempt::{self, Outcome, StreamStart};
use crate::context::Shared;
use crate::request::{Destination, Hop, Received};
use crate::upstream::{self, CallError};

/// Header of a request that comes from another relay; its value is a [`Hop`].
pub(crate) const HOP: HeaderName = HeaderName::from_static("relay-hop");

/// Header of the answer to such a request.
pub(crate) const RESULT: HeaderName = HeaderName::from_static("relay-hop-result");

/// Value of [`RESULT`]: the peer has not tried, and another one may.
pub(crate) const DECLINED: HeaderValue = HeaderValue::from_static("declined");

/// Value of [`RESULT`]: the answer is the caller's.
pub(crate) const DONE: HeaderValue = HeaderValue::from_static("done");

/// Peers that are tried for one request.
const TRIED_MAX: usize = 3;

/// Time for which a peer may be silent, as a multiple of that for an endpoint: it retries itself.
pub(crate) const PATIENCE: u32 = 2;

/// Attempts that a peer may make for a request.
///
/// How many it has made is unknown if it does not answer, so all of them count as made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Grant {
    /// Number of attempts.
    pub(crate) attempts: u32,
    /// Whether this relay may go on if the peer is silent.
    pub(crate) can_retry: bool,
}

impl Grant {
    /// Grants what is left after `sends` attempts, but one for this relay if the request may be repeated.
    pub(crate) fn all_but_one(received: &Received, sends: u32) -> Self {
        let left = received.route.max_attempts.saturating_sub(sends).max(1);
        let kept = u32::from(left > 1 && received.route.kind.may_retry());
        Self { attempts: left - kept, can_retry: kept > 0 }
    }

    /// Grants one attempt after `sends` attempts.
    pub(crate) fn one(received: &Received, sends: u32) -> Self {
        let can_retry = received.route.kind.may_retry() && sends + 1 < received.route.max_attempts;
        Self { attempts: 1, can_retry }
    }
}

/// Sends the request through a peer, and records and logs the outcome.
///
/// [`Outcome::ConnectFailed`] means that no peer has tried.
pub(crate) async fn run(
    context: &Shared,
    received: &Received,
    last_event: Option<u64>,
    grant: Grant,
) -> Outcome {
    for peer in candidates(context, received) {
        let started = context.now();
        let remaining = received.remaining(started);
        log_sent(received, &peer.vm, remaining);
        let request = build_request(context, received, last_event, grant, remaining);
        let work = send(context, received, &peer, request);
        let limit = timeout(received, grant).min(remaining.to_std());
        let (outcome, detail) = match clock::timeout(limit, work).await {
            Ok(found) => found,
            Err(_) if received.remaining(context.now()).0 == 0 => {
                (Outcome::TimedOut, format!("no answer within {remaining}"))
            }
            Err(_) => (Outcome::Unresponsive, format!("no answer within {} ms", limit.as_millis())),
        };
        if matches!(outcome, Outcome::ConnectFailed | Outcome::Refused | Outcome::Unknown) {
            let now = context.now();
            context.state().balancer.contacts().record_declined(&peer.vm, now);
        }
        log_ended(context, received, &peer.vm, &outcome, &detail, started);
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::NotAttempted | Outcome::Refused) {
            return outcome;
        }
    }
    Outcome::ConnectFailed
}

// Time for the head of the answer.
fn timeout(received: &Received, grant: Grant) -> Duration {
    if grant.can_retry {
        attempt::hang_timeout(&received.route).to_std() * PATIENCE
    } else {
        Duration::MAX
    }
}

// Peers that can send where this relay can't, in an order that spreads requests. Requests stay in the region
// that their callers have connected to.
fn candidates(context: &Shared, received: &Received) -> Vec<peers::Member> {
    let now = context.now();
    let mut state = context.state();
    let forwarders = state.balancer.forwarders(&received.service, now);
    let alive = state.peers.alive(now).into_iter().skip(1);
    let is_candidate = |peer: &&peers::Member| {
        forwarders.contains(&peer.vm) && state.settings.is_in_own_region(&peer.zone)
    };
    let mut found: Vec<peers::Member> = alive.filter(is_candidate).cloned().collect();
    let seed = xxh3::xxh3_64(received.metadata.id.as_bytes());
    let contacts = state.balancer.contacts();
    found.sort_by_key(|peer| {
        let hash = xxh3::xxh3_64_with_seed(peer.vm.as_str().as_bytes(), seed);
        (contacts.has_declined(&peer.vm, now), hash)
    });
    found.truncate(TRIED_MAX);
    found
}

fn build_request(
    context: &Shared,
    received: &Received,
    last_event: Option<u64>,
    grant: Grant,
    remaining: time::Millis,
) -> Request<Bytes> {
    let now = context.now();
    let hop = {
        let mut state = context.state();
        let canary = state.canaries.get_mut(&received.service);
        let session = received.session_hash();
        let variant = canary.map(|canary| canary.assign(session, now));
        Hop {
            vm: state.settings.vm.clone(),
            sends: received.route.max_attempts.saturating_sub(grant.attempts),
            is_counted: received.is_counted,
            is_stable: variant == Some(canary::Variant::Stable),
        }
    };
    let mut request = Request::new(received.body.clone());
    *request.method_mut() = received.method.clone();
    *request.uri_mut() = received.uri.clone();
    *request.headers_mut() = head::forward_to_relay(&received.headers, remaining, last_event);
    if let Ok(hop) = HeaderValue::from_str(&hop.to_string()) {
        request.headers_mut().insert(HOP, hop);
    }
    request
}

async fn send(
    context: &Shared,
    received: &Received,
    peer: &peers::Member,
    request: Request<Bytes>,
) -> (Outcome, String) {
    let stream = match upstream::connect(peer.address, reach::CONNECT_TIMEOUT_MAX).await {
        Ok(stream) => stream,
        Err(error @ CallError::NotAttempted(_)) => {
            return (Outcome::NotAttempted, error.to_string());
        }
        Err(error) => return (Outcome::ConnectFailed, error.to_string()),
    };
    let (response, connection) =
        match upstream::send(stream, request, upstream::ANSWER_BUFFER).await {
            Ok(answered) => answered,
            Err(error @ CallError::Unknown(_)) => return (Outcome::Unknown, error.to_string()),
            Err(error) => return (Outcome::ConnectFailed, error.to_string()),
        };
    let (mut parts, body) = response.into_parts();
    match parts.headers.remove(RESULT) {
        Some(result) if result == DONE => {}
        Some(_) => return (Outcome::Refused, "the peer does not reach endpoints either".into()),
        // Builds up to 92cc6db take the request for a message that they can't read.
        None if parts.status == StatusCode::BAD_REQUEST => {
            return (Outcome::Refused, "the peer's build takes no requests".into());
        }
        None => return (Outcome::Unknown, "the peer can't pass requests on".into()),
    }
    let is_until_close = attempt::is_until_close(&parts.headers);
    let reply = head::decode_reply(parts.status, &parts.headers, &received.metadata.id);
    let head = Response::from_parts(parts, ());
    if attempt::is_streamed(received, head.status()) {
        let destination = Destination::Peer(peer.vm.clone());
        let guard = None;
        let start =
            StreamStart { head, reply, body, is_until_close, connection, guard, destination };
        return (Outcome::Stream(Box::new(start)), String::new());
    }
    match context.answers.read(body, &context.unread).await {
        Ok(bytes) => (Outcome::Response(head.map(|()| bytes)), String::new()),
        Err(error) => (Outcome::Unknown, error.to_string()),
    }
}

fn log_sent(received: &Received, peer: &id::VmId, remaining: time::Millis) {
    event::emit_json(
        event::Event::RequestForwarded,
        &[
            event::field("request", &received.metadata.id),
            event::field("route", &received.route.name),
            event::field("peer", peer),
            event::field("left", &remaining),
        ],
    );
}

fn log_ended(
    context: &Shared,
    received: &Received,
    peer: &id::VmId,
    outcome: &Outcome,
    detail: &str,
    started: time::Tick,
) {
    let took = context.now().since(started);
    context.metrics.record_hop(outcome.name());
    event::emit_json(
        event::Event::AttemptEnded,
        &[
            event::field("request", &received.metadata.id),
            event::field("peer", peer),
            event::field("outcome", &outcome.label()),
            event::field("took", &took),
            event::field("detail", &detail),
        ],
    );
}
