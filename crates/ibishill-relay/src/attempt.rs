//! One attempt of a request at one endpoint.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use ibishill_adapter::head;
use ibishill_core::{call, event, fleet, id, route, time};
use ibishill_decide::{balance, canary, outlier, reach};
use tokio::net::TcpStream;
use tokio::time as clock;

use crate::context::Shared;
use crate::upstream::{self, CallError};
use crate::{duty, path};

/// A request as it was read from the caller.
pub(crate) struct Received {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) facts: call::Metadata,
    pub(crate) route: route::Route,
    pub(crate) space: Option<route::Workspace>,
    pub(crate) service: id::ServiceId,
    /// When it was read.
    pub(crate) since: time::Tick,
    /// When its caller, or its route's timeout, gives it up.
    pub(crate) until: time::Tick,
}

impl Received {
    /// Rank, 0 for the most urgent.
    pub(crate) fn priority(&self) -> u8 {
        let of_space = self.space.as_ref().and_then(|space| space.priority);
        of_space.unwrap_or(self.route.priority)
    }

    /// Tokens that it takes of an engine's memory.
    pub(crate) fn memory(&self) -> u64 {
        self.facts.tokens.map_or(0, |tokens| tokens.input + tokens.expected_output)
    }

    pub(crate) fn left(&self, now: time::Tick) -> time::Millis {
        self.until.since(now)
    }
}

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) endpoint: id::EndpointId,
    pub(crate) version: id::VersionId,
    pub(crate) model: Option<id::ModelId>,
    /// Id of the last event that the caller has.
    pub(crate) resumed: Option<u64>,
    /// What its prompt costs to read, in thousands of tokens at the largest model.
    pub(crate) reading: f64,
}

/// Counts an attempt as under way at its endpoint; dropping it ends that.
pub(crate) struct Slot {
    context: Shared,
    endpoint: id::EndpointId,
    work: balance::Work,
    is_open: bool,
}

impl Slot {
    fn take(context: &Shared, received: &Received, target: &Target) -> Self {
        let (now, endpoint) = (context.now(), &target.endpoint);
        let work = balance::Work { tokens: received.memory(), prefill: target.reading };
        let mut state = context.state();
        let rule = state.cold_rule(&received.service, now);
        let rank = state.cold_rank(endpoint);
        state.balance.begin(endpoint, work, rule, rank, now);
        drop(state);
        Self { context: context.clone(), endpoint: endpoint.clone(), work, is_open: false }
    }

    // The answer has begun, so the prompt is read.
    fn open(&mut self) {
        if !std::mem::replace(&mut self.is_open, true) {
            self.context.state().balance.answer_begun(&self.endpoint, self.work);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.open();
        self.context.state().balance.end(&self.endpoint, self.work);
        self.context.room.notify_waiters();
    }
}

/// The start of a streamed answer.
pub(crate) struct Opened {
    pub(crate) head: Response<()>,
    pub(crate) reply: head::Reply,
    pub(crate) body: Incoming,
    pub(crate) connection: upstream::Connection,
    pub(crate) slot: Slot,
}

impl Ended {
    const fn name(&self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Untried => "untried",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Late => "late",
            Self::Hung => "hung",
            Self::Answer(_) => "answer",
            Self::Stream(_) => "stream",
        }
    }
}

/// How an attempt ended.
pub(crate) enum Ended {
    /// The endpoint took no connection, so nothing was sent.
    Unsent,
    /// This process could not try to connect, which tells nothing of the endpoint.
    Untried,
    /// The endpoint says that it has not run the request.
    Refused,
    /// It may have run.
    Unknown,
    /// It gave no answer until the request's time was over.
    Late,
    /// It fell silent, and the right to another attempt is taken.
    Hung,
    /// The endpoint's whole answer.
    Answer(Response<Bytes>),
    /// The start of a streamed answer.
    Stream(Box<Opened>),
}

/// Time after which a request that may be repeated is tried elsewhere, in percent of the time
/// to the answer that callers expect: a plain service answers in a fraction of it.
const HANG_PLAIN: u64 = 300;

/// The same for streams: callers leave after four times that.
const HANG_STREAM: u64 = 200;

fn hang(route: &route::Route) -> time::Millis {
    let percent = if route.kind.is_stream() { HANG_STREAM } else { HANG_PLAIN };
    time::Millis(route.latency_target.0 * percent / 100)
}

/// Makes an attempt.
pub(crate) async fn run(
    context: &Shared,
    received: &Received,
    target: &Target,
    may_follow: bool,
) -> Ended {
    let Some(entry) = context.state().balance.entry(&target.endpoint).cloned() else {
        return Ended::Unsent;
    };
    let slot = Slot::take(context, received, target);
    let begun = context.now();
    let left = received.left(begun);
    log_sent(received, target, begun, left);
    let request = request(received, target, left);
    let hang = hang(&received.route);
    let mut work = std::pin::pin!(open(received, &entry, request, slot));
    let is_short = may_follow && received.route.kind.may_retry() && hang < left;
    let early = if is_short {
        clock::timeout(Duration::from_millis(hang.0), work.as_mut()).await.ok()
    } else {
        None
    };
    // Silence ends an attempt early only if another one may follow it.
    let is_hung = is_short && early.is_none() && path::take(context, received, "silent");
    let (ended, detail) = match early {
        Some(found) => found,
        None if is_hung => (Ended::Hung, format!("no answer within {hang}")),
        None => {
            let left = received.left(context.now());
            match clock::timeout(Duration::from_millis(left.0), work.as_mut()).await {
                Ok(found) => found,
                Err(_) => (Ended::Late, format!("no answer within {left}")),
            }
        }
    };
    note(context, received, target, &ended, begun);
    log_ended(context, received, target, &ended, &detail, begun);
    ended
}

fn request(received: &Received, target: &Target, left: time::Millis) -> Request<Bytes> {
    let is_engine = received.facts.tokens.is_some();
    let dispatch = head::Dispatch {
        endpoint: &target.endpoint,
        workspace: received.space.as_ref().map(|space| &space.name),
        remaining: left,
        model: target.model.as_ref(),
        priority: is_engine.then(|| received.priority()),
        last_event: target.resumed,
    };
    let mut request = Request::new(received.body.clone());
    *request.method_mut() = received.method.clone();
    *request.uri_mut() = received.uri.clone();
    *request.headers_mut() = head::forward(&received.headers, &dispatch);
    request
}

async fn open(
    received: &Received,
    entry: &fleet::Registration,
    request: Request<Bytes>,
    mut slot: Slot,
) -> (Ended, String) {
    let stream = match connect(&slot.context, entry).await {
        Ok(stream) => stream,
        Err(error @ CallError::Untried(_)) => return (Ended::Untried, error.to_string()),
        Err(error) => return (Ended::Unsent, error.to_string()),
    };
    let (answer, connection) = match upstream::call(stream, request).await {
        Ok(opened) => opened,
        Err(CallError::Unknown(detail)) => return (Ended::Unknown, detail),
        Err(error) => return (Ended::Unsent, error.to_string()),
    };
    slot.open();
    let (parts, body) = answer.into_parts();
    let reply = head::decode_reply(parts.status, &parts.headers, &received.facts.id);
    if !reply.matches_request {
        return (Ended::Unknown, "the answer belongs to another request".into());
    }
    if reply.not_run {
        slot.context.state().balance.record_refusal(&slot.endpoint, slot.context.now());
        return (Ended::Refused, parts.status.to_string());
    }
    if reply.is_encoded || !reply.is_signed {
        return (Ended::Unknown, "the answer is not signed".into());
    }
    let head = Response::from_parts(parts, ());
    if received.route.kind.is_stream() && head.status().is_success() {
        let opened = Opened { head, reply, body, connection, slot };
        return (Ended::Stream(Box::new(opened)), String::new());
    }
    match upstream::read(body).await {
        Ok(bytes) => (Ended::Answer(head.map(|()| bytes)), String::new()),
        Err(error) => (Ended::Unknown, error.to_string()),
    }
}

// Makes a connection, and notes what that tells of the endpoint's zone.
async fn connect(context: &Shared, entry: &fleet::Registration) -> Result<TcpStream, CallError> {
    let begun = context.now();
    let limit = context.state().balance.reach().connect_timeout(&entry.zone);
    let made = upstream::connect(entry.address, limit).await;
    let now = context.now();
    let took = now.since(begun);
    let mut state = context.state();
    let reach = state.balance.reach();
    let contact = match &made {
        Ok(_) | Err(CallError::Connect(_)) => reach::Contact::Answered,
        Err(CallError::Silent(_)) => reach::Contact::TimedOut,
        Err(CallError::Untried(_) | CallError::Unknown(_)) => reach::Contact::NotAttempted,
    };
    let has_changed = reach.record(&entry.zone, &entry.id, contact, (limit, took), now);
    if has_changed {
        event::emit_json(
            event::Event::ZoneReach,
            &[
                event::field("zone", &entry.zone),
                event::field("is_reached", &(contact == reach::Contact::Answered)),
                event::field("endpoint", &entry.id),
                event::field("limit", &limit),
            ],
        );
    }
    made
}

fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

// What the attempt tells of its endpoint and, in a roll-out, of its version.
fn note(context: &Shared, received: &Received, target: &Target, ended: &Ended, begun: time::Tick) {
    let now = context.now();
    let attempt = match ended {
        Ended::Unsent => outlier::Attempt::Unreachable,
        Ended::Unknown | Ended::Late | Ended::Hung => outlier::Attempt::Failed,
        Ended::Answer(answer) if is_failure(answer.status()) => outlier::Attempt::Failed,
        Ended::Untried | Ended::Refused | Ended::Answer(_) | Ended::Stream(_) => {
            outlier::Attempt::Good
        }
    };
    let load = match ended {
        Ended::Answer(answer) => head::decode_reply(answer.status(), answer.headers(), "").load,
        Ended::Stream(opened) => opened.reply.load,
        _ => None,
    };
    let load = load.map(|load| balance::Load { running: load.running, waiting: load.waiting });
    let mut state = context.state();
    let rule = state.cold_rule(&received.service, now);
    let took = now.since(begun);
    context.metrics.attempted(ended.name(), received.route.kind.is_stream(), took);
    if received.route.kind.is_stream()
        && !matches!(ended, Ended::Unsent | Ended::Untried | Ended::Refused)
    {
        let strain = state.strains.entry(received.service.clone()).or_default();
        strain.record(took, received.route.latency_target, now);
    }
    // A refusal tells nothing of an endpoint's health.
    if !matches!(ended, Ended::Refused | Ended::Untried) {
        state.balance.record_attempt(&target.endpoint, attempt, load, rule, now);
        if attempt != outlier::Attempt::Unreachable {
            count(&mut state, context, received, target, attempt, took);
        }
    }
}

/// Counts an answer, or a failure, of a version that takes part in a roll-out.
pub(crate) fn count(
    state: &mut crate::state::State,
    context: &Shared,
    received: &Received,
    target: &Target,
    attempt: outlier::Attempt,
    first: time::Millis,
) {
    let now = context.now();
    let is_cold = state.balance.is_cold(&target.endpoint, now);
    let Some(canary) = state.canaries.get_mut(&received.service) else { return };
    let outcome = match attempt {
        outlier::Attempt::Good if is_cold => canary::Outcome::Cold,
        outlier::Attempt::Good => canary::Outcome::Answered(first),
        _ => canary::Outcome::Failed,
    };
    let own = (&state.place.vm, context.start);
    canary.record_answer(own, &received.route.name, &target.version, outcome, now);
    if outcome == canary::Outcome::Failed {
        // At once, as a busy service sends many requests before the next look.
        duty::judge(state, &received.service, now);
    }
}

/// The side of a roll-out that a version is on.
pub(crate) fn versions(side: canary::Variant, canary: &canary::Canary) -> balance::Versions<'_> {
    match side {
        canary::Variant::Stable => balance::Versions::Except(&canary.order().to),
        canary::Variant::Candidate => balance::Versions::Only(&canary.order().to),
    }
}

fn log_sent(received: &Received, target: &Target, now: time::Tick, left: time::Millis) {
    let model = target.model.as_ref().map_or("-", id::ModelId::as_str);
    event::emit_json(
        event::Event::RequestSent,
        &[
            event::field("request", &received.facts.id),
            event::field("route", &received.route.name),
            event::field("endpoint", &target.endpoint),
            event::field("version", &target.version),
            event::field("model", &model),
            event::field("waited", &now.since(received.since)),
            event::field("left", &left),
            event::field("session", &received.facts.session.as_deref().unwrap_or("-")),
        ],
    );
}

fn log_ended(
    context: &Shared,
    received: &Received,
    target: &Target,
    ended: &Ended,
    detail: &str,
    begun: time::Tick,
) {
    let outcome = match ended {
        Ended::Answer(answer) => answer.status().as_u16().to_string(),
        Ended::Stream(opened) => {
            let confidence = opened.reply.confidence;
            confidence.map_or("stream".into(), |confidence| format!("stream {confidence:.2}"))
        }
        _ => ended.name().to_owned(),
    };
    let took = context.now().since(begun);
    event::emit_json(
        event::Event::AttemptEnded,
        &[
            event::field("request", &received.facts.id),
            event::field("endpoint", &target.endpoint),
            event::field("outcome", &outcome),
            event::field("took", &took),
            event::field("detail", &detail),
        ],
    );
}
