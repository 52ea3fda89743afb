//! A single attempt to run a request at an endpoint.

mod guard;

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use ibishill_adapter::head;
use ibishill_core::{event, fleet, id, route, time};
use ibishill_decide::balance::{self, doubt};
use ibishill_decide::{canary, gate, outlier, reach};
use tokio::net::TcpStream;
use tokio::time as clock;

pub(crate) use guard::AttemptGuard;

use crate::context::Shared;
use crate::request::{Destination, Received, Target};
use crate::state::State;
use crate::upstream::{self, CallError};
use crate::{cold_check, early_end, isolation, retry_budget, rollout, rollout_log, selection};

/// A streamed response whose head has arrived.
pub(crate) struct StreamStart {
    pub(crate) head: Response<()>,
    pub(crate) reply: head::Reply,
    pub(crate) body: Incoming,
    /// Whether the body has neither a length nor chunks and ends with the connection.
    pub(crate) is_until_close: bool,
    pub(crate) connection: upstream::Connection,
    /// Holds the place at the endpoint; none if a peer does.
    pub(crate) guard: Option<AttemptGuard>,
    pub(crate) destination: Destination,
}

impl Outcome {
    /// Text for the log: the status, or how the attempt ended.
    pub(crate) fn label(&self) -> String {
        match self {
            Self::Response(response) => response.status().as_u16().to_string(),
            Self::Stream(start) => {
                let confidence = start.reply.confidence;
                confidence.map_or("stream".into(), |confidence| format!("stream {confidence:.2}"))
            }
            _ => self.name().to_owned(),
        }
    }

    /// Label in the metrics.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::ConnectFailed => "unsent",
            Self::NotAttempted => "untried",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::TimedOut => "late",
            Self::Unresponsive => "hung",
            Self::Response(_) => "answer",
            Self::Stream(_) => "stream",
        }
    }
}

/// Outcome of an attempt.
pub(crate) enum Outcome {
    /// The connection failed, or the endpoint was removed meanwhile; nothing was sent.
    ConnectFailed,
    /// A local error prevented the connection attempt, which says nothing about the endpoint.
    NotAttempted,
    /// The endpoint reported that it has not run the request.
    Refused,
    /// The request may have run, but got no valid response.
    Unknown,
    /// No response before the request's deadline.
    TimedOut,
    /// No response within the hang timeout; a retry is already acquired.
    Unresponsive,
    /// The endpoint's full response.
    Response(Response<Bytes>),
    /// A streamed response whose head has arrived.
    Stream(Box<StreamStart>),
}

/// Time without a response after which an idempotent request is retried elsewhere, in percent of
/// the route's latency target; a plain service normally responds in a fraction of the target.
const HANG_TIMEOUT_PERCENT: u64 = 300;

/// The same for streams; callers leave after four times the target.
const STREAM_HANG_TIMEOUT_PERCENT: u64 = 200;

/// Time without a response after which a request that may be repeated is retried elsewhere.
pub(crate) fn hang_timeout(route: &route::Route) -> time::Millis {
    let percent =
        if route.kind.is_stream() { STREAM_HANG_TIMEOUT_PERCENT } else { HANG_TIMEOUT_PERCENT };
    time::Millis(route.latency_target.0 * percent / 100)
}

/// Sends the request to the target, and records and logs the outcome.
///
/// `can_retry` tells whether another attempt is allowed after this one.
pub(crate) async fn run(
    context: &Shared,
    received: &Received,
    target: &Target,
    can_retry: bool,
) -> Outcome {
    let Some(registration) = context.state().balancer.entry(&target.endpoint).cloned() else {
        return Outcome::ConnectFailed;
    };
    let guard = AttemptGuard::begin(context, received, target);
    let started = context.now();
    let remaining = received.remaining(started);
    log_sent(received, target, started, remaining);
    let request = build_request(received, target, remaining);
    let hang_timeout = hang_timeout(&received.route);
    let has_head = Cell::new(false);
    let mut work = std::pin::pin!(send(received, target, &registration, request, guard, &has_head));
    let may_end_early = can_retry && received.route.kind.may_retry();
    let early = if may_end_early {
        let limit = Duration::from_millis(hang_timeout.0.min(remaining.0));
        tokio::select! {
            found = clock::timeout(limit, work.as_mut()) => found.ok(),
            () = isolation::out_of_reach(context, &target.endpoint) => None,
        }
    } else {
        None
    };
    // An unresponsive endpoint ends the attempt early only if a retry is granted. One that has answered is not
    // unresponsive while the answer waits for memory.
    let is_hung = may_end_early
        && early.is_none()
        && !has_head.get()
        && received.remaining(context.now()).0 > 0
        && !selection::is_next_too_late(context, received, target)
        && retry_budget::acquire(context, received, retry_budget::Retry::Silent);
    let (outcome, detail) = match early {
        Some(found) => found,
        None if is_hung => {
            let waited = context.now().since(started);
            (Outcome::Unresponsive, format!("no answer within {waited}"))
        }
        None => {
            let remaining = received.remaining(context.now());
            match clock::timeout(Duration::from_millis(remaining.0), work.as_mut()).await {
                Ok(found) => found,
                Err(_) => (Outcome::TimedOut, format!("no answer within {remaining}")),
            }
        }
    };
    let is_suspect = early_end::record_outcome(context, received, target, &outcome).await;
    record(context, received, target, &outcome, started, is_suspect);
    log_ended(context, received, target, &outcome, &detail, started);
    outcome
}

fn build_request(received: &Received, target: &Target, remaining: time::Millis) -> Request<Bytes> {
    let is_engine = received.metadata.tokens.is_some();
    let dispatch = head::Dispatch {
        endpoint: &target.endpoint,
        workspace: received.workspace.as_ref().map(|workspace| &workspace.name),
        remaining,
        model: target.model.as_ref(),
        priority: is_engine.then(|| received.priority()),
        last_event: target.last_event,
    };
    let mut request = Request::new(received.body.clone());
    *request.method_mut() = received.method.clone();
    *request.uri_mut() = received.uri.clone();
    *request.headers_mut() = head::forward(&received.headers, &dispatch);
    request
}

async fn send(
    received: &Received,
    target: &Target,
    registration: &fleet::Registration,
    request: Request<Bytes>,
    mut guard: AttemptGuard,
    has_head: &Cell<bool>,
) -> (Outcome, String) {
    let stream = match connect(&guard.context, registration).await {
        Ok(stream) => stream,
        Err(error @ CallError::NotAttempted(_)) => {
            return (Outcome::NotAttempted, error.to_string());
        }
        Err(error) => return (Outcome::ConnectFailed, error.to_string()),
    };
    // What the endpoint says of itself may have arrived while the connection was opened.
    let now = guard.context.now();
    if !guard.context.state().balancer.is_open(&registration.id, now) {
        return (Outcome::NotAttempted, "the endpoint takes no requests now".into());
    }
    if !may_send(&mut guard.context.state(), &received.service, &registration.version, now) {
        return (Outcome::NotAttempted, "the version was rolled back".into());
    }
    let sent = guard.context.now();
    guard.begin_exposure(received, registration);
    let (response, connection) =
        match upstream::send(stream, request, upstream::ANSWER_BUFFER).await {
            Ok(answered) => answered,
            Err(error) => {
                isolation::record_failure(&guard.context, &registration.id);
                cold_check::doubt(&guard.context, registration, doubt::Cause::Cut);
                let detail = error.to_string();
                return match error {
                    CallError::Unknown(_) => (Outcome::Unknown, detail),
                    _ => {
                        guard.withdraw_exposure();
                        (Outcome::ConnectFailed, detail)
                    }
                };
            }
        };
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        isolation::record_replaced(&guard.context, &registration.id);
    } else {
        isolation::record_answer(&guard.context, &registration.id);
    }
    guard.mark_answering();
    let (parts, body) = response.into_parts();
    let reply = head::decode_reply(parts.status, &parts.headers, &received.metadata.id);
    if !reply.matches_request {
        return (Outcome::Unknown, "the answer belongs to another request".into());
    }
    record_terms(&guard.context, registration, &reply, parts.status, sent);
    if reply.not_run && !is_own_refusal(&reply, parts.status, received) {
        let detail = format!("{} without the request's id", parts.status);
        return (Outcome::Unknown, detail);
    }
    if reply.not_run {
        guard.withdraw_exposure();
        // An endpoint that asks for rest says nothing about its load.
        if reply.terms.rest.is_some() {
            return (Outcome::Refused, parts.status.to_string());
        }
        guard.context.state().balancer.record_refusal(&guard.endpoint, guard.context.now());
        return (Outcome::Refused, parts.status.to_string());
    }
    if reply.is_encoded || !reply.has_signature {
        return (Outcome::Unknown, "the answer is not signed".into());
    }
    let is_until_close = is_until_close(&parts.headers);
    let head = Response::from_parts(parts, ());
    if is_streamed(received, head.status()) {
        let destination = Destination::Endpoint(target.clone());
        let guard = Some(guard);
        let start =
            StreamStart { head, reply, body, is_until_close, connection, guard, destination };
        return (Outcome::Stream(Box::new(start)), String::new());
    }
    let context = guard.context.clone();
    let buffers = context.answers.clone();
    has_head.set(true);
    match buffers.read(body, &context.unread).await {
        Ok(bytes) => (Outcome::Response(head.map(|()| bytes)), String::new()),
        Err(error) => {
            isolation::record_failure(&guard.context, &registration.id);
            cold_check::doubt(&guard.context, registration, doubt::Cause::Cut);
            (Outcome::Unknown, error.to_string())
        }
    }
}

// Whether a version of a service may get a request now; each way to an endpoint ends here. Logs the first
// request to a version that is rolled out.
fn may_send(
    state: &mut State,
    service: &id::ServiceId,
    version: &id::VersionId,
    now: time::Tick,
) -> bool {
    let Some(canary) = state.canaries.get_mut(service) else { return true };
    if canary.allows(version) && canary.record_send(version) {
        rollout_log::log(event::Event::VersionSent, canary, "sent", "own", now);
    }
    canary.allows(version)
}

// Whether a refusal is of this request: it tells the id, and is no success. An endpoint that is not the one
// meant, or gets no id, has none to tell.
fn is_own_refusal(reply: &head::Reply, status: StatusCode, received: &Received) -> bool {
    let has_no_id = received.metadata.id.is_empty() || status == StatusCode::MISDIRECTED_REQUEST;
    !status.is_success() && (reply.echoes_request || has_no_id)
}

/// Whether an answer is forwarded event by event. One that has no body by its method or status has no events that
/// could be missing, so it is whole with its head.
pub(crate) fn is_streamed(received: &Received, status: StatusCode) -> bool {
    let has_body = received.method != Method::HEAD && status != StatusCode::NO_CONTENT;
    received.route.kind.is_stream() && status.is_success() && has_body
}

/// Whether an answer has neither a length nor chunks, so that its body ends with the connection.
pub(crate) fn is_until_close(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

// Records the terms that an answer states. One of another endpoint at the same address says nothing.
fn record_terms(
    context: &Shared,
    registration: &fleet::Registration,
    reply: &head::Reply,
    status: StatusCode,
    sent: time::Tick,
) {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let is_complete = reply.has_signature && !reply.not_run && status.is_success();
    let statement = gate::Statement { terms: reply.terms, is_complete, sent };
    if context.state().record_terms(registration, statement, context.now()) {
        context.evidence_added.notify_one();
    }
}

// Opens a connection, and records whether the endpoint's zone is reachable.
async fn connect(
    context: &Shared,
    registration: &fleet::Registration,
) -> Result<TcpStream, CallError> {
    let started = context.now();
    let timeout = context.state().balancer.reach().connect_timeout(&registration.zone);
    let result = upstream::connect(registration.address, timeout).await;
    let now = context.now();
    let took = now.since(started);
    let mut state = context.state();
    let reach = state.balancer.reach();
    let contact = match &result {
        Ok(_) | Err(CallError::Connect(_)) => reach::Contact::Answered,
        Err(CallError::TimedOut(_)) => reach::Contact::TimedOut,
        Err(CallError::NotAttempted(_) | CallError::Unknown(_)) => reach::Contact::NotAttempted,
    };
    let is_failure = match contact {
        reach::Contact::TimedOut => !reach::is_own_delay(timeout, took),
        _ => matches!(result, Err(CallError::Connect(_))),
    };
    let has_changed =
        reach.record(&registration.zone, &registration.id, contact, (timeout, took), now);
    drop(state);
    if is_failure {
        isolation::record_failure(context, &registration.id);
    }
    if matches!(result, Err(CallError::Connect(_))) {
        cold_check::doubt(context, registration, doubt::Cause::Refused);
        early_end::record_refused(context, registration);
    }
    if has_changed {
        event::emit_json(
            event::Event::ZoneReach,
            &[
                event::field("zone", &registration.zone),
                event::field("is_reached", &(contact == reach::Contact::Answered)),
                event::field("endpoint", &registration.id),
                event::field("limit", &timeout),
            ],
        );
    }
    result
}

fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

// Records what the attempt shows about the endpoint and, during a roll-out, about its version;
// `is_suspect` if the request was suspected before of ending endpoints.
fn record(
    context: &Shared,
    received: &Received,
    target: &Target,
    outcome: &Outcome,
    started: time::Tick,
    is_suspect: bool,
) {
    let now = context.now();
    let attempt = match outcome {
        Outcome::ConnectFailed => outlier::Attempt::Unreachable,
        Outcome::Unknown | Outcome::TimedOut | Outcome::Unresponsive => outlier::Attempt::Failed,
        Outcome::Response(response) if is_failure(response.status()) => outlier::Attempt::Failed,
        Outcome::NotAttempted | Outcome::Refused | Outcome::Response(_) | Outcome::Stream(_) => {
            outlier::Attempt::Good
        }
    };
    let load = match outcome {
        Outcome::Response(response) => {
            head::decode_reply(response.status(), response.headers(), "").load
        }
        Outcome::Stream(start) => start.reply.load,
        _ => None,
    };
    let work = load.and_then(|load| load.work);
    let load = load.map(|load| balance::Load { running: load.running, waiting: load.waiting });
    let mut state = context.state();
    if let Some(percent) = work {
        let factor = f64::from(percent) / 100.0;
        state.balancer.record_work(&target.endpoint, factor, now);
    }
    let slow_start = state.slow_start(&received.service, now);
    let took = now.since(started);
    context.metrics.record_attempt(outcome.name(), received.route.kind.is_stream(), took);
    if received.route.kind.is_stream()
        && !matches!(outcome, Outcome::ConnectFailed | Outcome::NotAttempted | Outcome::Refused)
    {
        let pressure = state.pressures.entry(received.service.clone()).or_default();
        pressure.record(took, received.route.latency_target, now);
    }
    // A refusal or a local error says nothing about the endpoint's health.
    if !matches!(outcome, Outcome::Refused | Outcome::NotAttempted) {
        let span = (started, now);
        state.balancer.record_attempt(&target.endpoint, attempt, load, slow_start, span);
        state.log_doubts(now);
        let answer = match (attempt, outcome) {
            (outlier::Attempt::Unreachable, _) => None,
            (outlier::Attempt::Good, _) => Some(canary::Outcome::Answered(took)),
            (outlier::Attempt::Failed, Outcome::Response(_)) => Some(canary::Outcome::Failed),
            (outlier::Attempt::Failed, _) => Some(canary::Outcome::Lost),
        };
        // What a suspect has lost says nothing of the version, nor does what is out of reach.
        let is_excused = (is_suspect || state.balancer.is_out_of_reach(&target.endpoint))
            && answer == Some(canary::Outcome::Lost);
        if let Some(answer) = answer.filter(|_| !is_excused) {
            record_for_rollout(&mut state, context, received, target, answer);
        }
    }
}

/// Counts an answer, or the want of one, for the roll-out of the service, if there is one.
pub(crate) fn record_for_rollout(
    state: &mut crate::state::State,
    context: &Shared,
    received: &Received,
    target: &Target,
    outcome: canary::Outcome,
) {
    let now = context.now();
    let is_cold = state.balancer.is_cold(&target.endpoint, now);
    let Some(canary) = state.canaries.get_mut(&received.service) else { return };
    let outcome = match outcome {
        canary::Outcome::Answered(_) if is_cold => canary::Outcome::Cold,
        _ => outcome,
    };
    let own = (&state.settings.vm, context.start);
    canary.record_answer(own, &received.route.name, &target.version, outcome, now);
    if matches!(outcome, canary::Outcome::Failed | canary::Outcome::Lost) {
        // Evaluated at once, since a busy service sends many requests before the next poll.
        rollout::judge(state, &received.service, now);
    }
}

/// Counts the pace of a stream for the roll-out of the service, if there is one.
pub(crate) fn record_pace(
    context: &Shared,
    received: &Received,
    target: &Target,
    pace: time::Millis,
) {
    let now = context.now();
    let mut state = context.state();
    if state.balancer.is_cold(&target.endpoint, now) {
        return;
    }
    let own = (state.settings.vm.clone(), context.start);
    if let Some(canary) = state.canaries.get_mut(&received.service) {
        let route = &received.route.name;
        canary.record_pace((&own.0, own.1), route, &target.version, pace, now);
    }
}

fn log_sent(received: &Received, target: &Target, now: time::Tick, remaining: time::Millis) {
    let model = target.model.as_ref().map_or("-", id::ModelId::as_str);
    let waited = now.since(received.arrived);
    let session = received.metadata.session.as_deref().unwrap_or("-");
    let segments = early_end::segment_list(&received.metadata);
    let forecast = target.forecast.map(|made| made.forecast);
    let mut fields = vec![
        event::field("request", &received.metadata.id),
        event::field("route", &received.route.name),
        event::field("endpoint", &target.endpoint),
        event::field("version", &target.version),
        event::field("model", &model),
        event::field("waited", &waited),
        event::field("left", &remaining),
        event::field("session", &session),
        event::field("segments", &segments),
        event::field("key", &received.key),
    ];
    if let Some(forecast) = &forecast {
        fields.push(event::field("forecast", &forecast.expected));
        fields.push(event::field("uncertainty", &forecast.uncertainty));
    }
    event::emit_json(event::Event::RequestSent, &fields);
}

fn log_ended(
    context: &Shared,
    received: &Received,
    target: &Target,
    outcome: &Outcome,
    detail: &str,
    started: time::Tick,
) {
    let took = context.now().since(started);
    event::emit_json(
        event::Event::AttemptEnded,
        &[
            event::field("request", &received.metadata.id),
            event::field("endpoint", &target.endpoint),
            event::field("outcome", &outcome.label()),
            event::field("took", &took),
            event::field("detail", &detail),
        ],
    );
}
