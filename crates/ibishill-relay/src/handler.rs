//! Handles a caller's request: resolves its route, workspace and service, makes the attempts and
//! returns the response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::{Body as _, Incoming};
use ibishill_adapter::head;
use ibishill_core::{event, id, route, time};
use ibishill_decide::{escalation, routing};
use tokio::time as clock;

use crate::attempt::{self, Outcome};
use crate::body::{self, Body};
use crate::context::Shared;
use crate::local_reply::{self, Reason};
use crate::request::{Hop, Received};
use crate::{abort, fairness, hop, request_key, retry_budget, selection, stream, unread, upload};

/// Time within which a request body must arrive, if the request's deadline is not earlier.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of a whole answer from which on it counts as memory of callers that do not read, in bytes.
const COUNTED_MIN: usize = 4 * 1_024;

/// Longest time that a request waits for the first rows after a start; loading them takes a few
/// milliseconds if the store or a peer responds.
const STARTUP_WAIT: time::Millis = time::Millis(400);

/// Interval of checks for the first rows.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts a request as in flight for its workspace until dropped.
struct RequestGuard {
    context: Shared,
    workspace: Option<id::WorkspaceId>,
}

impl RequestGuard {
    fn begin(context: &Shared, workspace: Option<id::WorkspaceId>) -> Self {
        *context.state().in_flight.entry(workspace.clone()).or_default() += 1;
        Self { context: context.clone(), workspace }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.context.state();
        let count = state.in_flight.entry(self.workspace.clone()).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            state.in_flight.remove(&self.workspace);
        }
    }
}

/// Logs on drop that the caller disconnected, unless `is_done` is set.
struct CallerGuard {
    context: Shared,
    request: Arc<str>,
    arrived: time::Tick,
    is_done: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.is_done {
            self.context.metrics.record_end("left", self.context.now().since(self.arrived));
            event::emit_json(event::Event::CallerGone, &[event::field("request", &self.request)]);
        }
    }
}

/// Handles a request and returns the response for its caller.
pub(crate) async fn handle(
    context: Shared,
    request: Request<Incoming>,
    abort: abort::Abort,
) -> Response<Body> {
    handle_from(context, request, abort, None).await
}

/// Handles a request that a peer passes on, whose endpoints it does not reach, and returns the response
/// for the peer; `is_full` if this relay takes no more.
pub(crate) async fn handle_forwarded(
    context: Shared,
    request: Request<Incoming>,
    abort: abort::Abort,
    hop: Hop,
    is_full: bool,
) -> Response<Body> {
    let mut response = if is_full {
        let id = head::decode_request(request.headers()).id;
        local_reply::respond(&context, &id, Reason::ForwardLimit)
    } else {
        handle_from(context, request, abort, Some(hop)).await
    };
    let is_declined = matches!(
        response.extensions().get(),
        Some(
            Reason::OutOfReach
                | Reason::ForwardLimit
                | Reason::NotReady
                | Reason::CatalogOutdated
                | Reason::NoMemory
        )
    );
    let result = if is_declined { hop::DECLINED } else { hop::DONE };
    response.headers_mut().insert(hop::RESULT, result);
    response
}

async fn handle_from(
    context: Shared,
    request: Request<Incoming>,
    abort: abort::Abort,
    hop: Option<Hop>,
) -> Response<Body> {
    let arrived = context.now();
    let metadata = head::decode_request(request.headers());
    let mut guard = CallerGuard {
        context: context.clone(),
        request: metadata.id.clone(),
        arrived,
        is_done: false,
    };
    let response = match receive(&context, request, metadata, arrived).await {
        Ok(received) => run(&context, Received { hop, abort, ..received }).await,
        Err((request, reason)) => local_reply::respond(&context, &request, reason),
    };
    guard.is_done = true;
    finish(&context, response)
}

fn finish(context: &Shared, mut response: Response<Body>) -> Response<Body> {
    if context.state().is_stopping {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn receive(
    context: &Shared,
    request: Request<Incoming>,
    metadata: ibishill_core::call::Metadata,
    arrived: time::Tick,
) -> Result<Received, (Arc<str>, Reason)> {
    let (mut parts, incoming) = request.into_parts();
    // Only between relays.
    parts.headers.remove(hop::HOP);

    let fail = |reason| (metadata.id.clone(), reason);
    // Reading on would ask a caller for its body that waits for permission to send it.
    let may_discard = !parts.headers.contains_key(header::EXPECT);
    let upload = match upload::begin(context, &parts, &metadata).await {
        Ok(upload) => upload,
        Err(reason) => {
            if may_discard {
                upload::discard(context, incoming);
            }
            return Err(fail(reason));
        }
    };
    let catalog = catalog(context, arrived).await.ok_or_else(|| fail(Reason::NotReady))?;
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let (is_outdated, is_confirmed) = {
        let (state, now) = (context.state(), context.now());
        (state.is_catalog_outdated(now), state.is_catalog_confirmed(now))
    };
    if is_outdated {
        return Err(fail(Reason::CatalogOutdated));
    }
    // A newer configuration may have the route or the key.
    let deny = |reason| fail(if is_confirmed { reason } else { Reason::CatalogUnconfirmed });
    let route = routing::find(&catalog, host, parts.uri.path());
    let route = route.ok_or_else(|| deny(Reason::NoRoute))?.clone();
    let workspace = routing::workspace(&catalog, &route, metadata.key.as_deref());
    let workspace = workspace.map_err(|_| deny(Reason::Unauthorized))?.cloned();
    let key = metadata.session.as_deref().unwrap_or(&metadata.id);
    let service = routing::select_service(&route, key.as_bytes());
    let service = service.ok_or_else(|| fail(Reason::NoService))?.clone();
    let wait = metadata.deadline.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + wait;
    let limit = BODY_TIMEOUT.min(deadline.since(context.now()).to_std());
    let size_max = catalog.limits.body_bytes;
    let arriving = upload::read(context, upload, incoming, size_max, limit, may_discard);
    let (body, memory) = arriving.await.map_err(fail)?;
    let uri = parts
        .uri
        .path_and_query()
        .map_or_else(|| parts.uri.clone(), |path| http::Uri::from(path.clone()));
    let key = request_key::of(&request_key::Parts {
        route: &route.name,
        workspace: workspace.as_ref().map(|workspace| &workspace.name),
        method: &parts.method,
        uri: &uri,
        body: &body,
    });
    Ok(Received {
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        metadata,
        route,
        workspace,
        service,
        key,
        arrived,
        deadline,
        is_counted: false,
        hop: None,
        abort: abort::Abort::default(),
        _memory: memory,
    })
}

async fn catalog(context: &Shared, arrived: time::Tick) -> Option<Rc<route::Catalog>> {
    loop {
        let found = {
            let state = context.state();
            state.catalog.clone().filter(|_| state.is_loaded())
        };
        if found.is_some() || context.now() >= arrived + STARTUP_WAIT {
            return found;
        }
        clock::sleep(STARTUP_POLL_INTERVAL).await;
    }
}

fn engine_models<'a>(catalog: &'a route::Catalog, service: &id::ServiceId) -> &'a [route::Model] {
    let engine = catalog.services.get(service).and_then(|service| service.engine.as_ref());
    engine.map_or(&[], |engine| engine.models.as_slice())
}

// The models that may run the request, smallest first, with their costs; empty if the caller
// leaves no choice.
fn models(context: &Shared, received: &Received) -> Vec<route::Model> {
    if !received.metadata.any_model {
        return Vec::new();
    }
    let Some(catalog) = context.state().catalog.clone() else { return Vec::new() };
    let models = engine_models(&catalog, &received.service);
    let cost = |name: &id::ModelId| models.iter().find(|m| m.name == *name).map_or(0.0, |m| m.cost);
    let model = |name: &id::ModelId| route::Model { name: name.clone(), cost: cost(name) };
    received.route.models.iter().map(model).collect()
}

async fn run(context: &Shared, mut received: Received) -> Response<Body> {
    let workspace = received.workspace.as_ref().map(|workspace| workspace.name.clone());
    let guard = RequestGuard::begin(context, workspace);
    let remaining = received.deadline.since(context.now());
    let deadline = clock::Instant::now() + Duration::from_millis(remaining.0);
    let mut has_sent = false;
    let (request, arrived) = (received.metadata.id.clone(), received.arrived);
    let (service, until) = (received.service.clone(), received.deadline);
    retry_budget::record_request(context, &mut received);
    follow_variant(context, &received);
    let work = attempts(context, received, &mut has_sent);
    let result = tokio::select! {
        result = clock::timeout_at(deadline, work) => result.ok(),
        () = context.ending.notified() => None,
    };
    let result = result.unwrap_or(Err(if has_sent {
        Reason::DeadlineAfterSend
    } else {
        Reason::DeadlineBeforeSend
    }));
    drop(guard);
    match result {
        Ok(response) => {
            // A stream is recorded at its end.
            if response.body().size_hint().exact().is_some() {
                context.metrics.record_end("whole", context.now().since(arrived));
            }
            response
        }
        Err(reason) => {
            let promise = fairness::promise(context, &request, &service, until, reason);
            local_reply::respond_after(context, &request, reason, promise)
        }
    }
}

// Keeps a session on the stable version if the relay that it came through does.
fn follow_variant(context: &Shared, received: &Received) {
    if received.hop.as_ref().is_some_and(|hop| hop.is_stable)
        && let Some(canary) = context.state().canaries.get_mut(&received.service)
    {
        canary.pin(received.session_hash());
    }
}

async fn attempts(
    context: &Shared,
    received: Received,
    has_sent: &mut bool,
) -> Result<Response<Body>, Reason> {
    let models = models(context, &received);
    let mut index = first_model(context, &received, &models);
    let mut tried: Vec<id::EndpointId> = Vec::new();
    let sends_before = received.hop.as_ref().map_or(0, |hop| hop.sends);
    let mut sends = sends_before;
    let mut may_have_run = false;
    let mut last: Option<Response<Bytes>> = None;
    loop {
        let model = models.get(index).map(|model| &model.name);
        let found = selection::choose_or_wait(context, &received, &tried, model).await;
        let way = match found {
            Ok(way) => way,
            // Another peer would not count the attempts made here.
            Err(Reason::OutOfReach) if sends > sends_before => {
                return conclude(context, &received, last, may_have_run, Reason::Refused);
            }
            Err(reason) => return conclude(context, &received, last, may_have_run, reason),
        };
        let sends_until = context.state().sends_until;
        if sends_until.is_some_and(|until| context.now() >= until) {
            return conclude(context, &received, last, may_have_run, Reason::Stopping);
        }
        let has_retry_left = sends + 1 < received.route.max_attempts;
        let was_sent = std::mem::replace(has_sent, true);
        let target = match way {
            selection::Way::Endpoint(target) => target,
            selection::Way::Peer => {
                let last_event = received.metadata.last_event;
                let grant = hop::Grant::all_but_one(&received, sends);
                match hop::run(context, &received, last_event, grant).await {
                    Outcome::ConnectFailed | Outcome::NotAttempted | Outcome::Refused => {
                        *has_sent = was_sent;
                        return conclude(
                            context,
                            &received,
                            last,
                            may_have_run,
                            Reason::OutOfReach,
                        );
                    }
                    Outcome::TimedOut => return Err(Reason::DeadlineAfterSend),
                    Outcome::Unknown | Outcome::Unresponsive => {
                        sends += grant.attempts;
                        may_have_run = true;
                        if grant.can_retry
                            && retry_budget::acquire(
                                context,
                                &received,
                                retry_budget::Retry::Unknown,
                            )
                        {
                            continue;
                        }
                        return conclude(context, &received, last, true, Reason::OutcomeUnknown);
                    }
                    Outcome::Response(response) => {
                        sends += grant.attempts;
                        if may_have_run && promises_not_run(response.status()) {
                            return conclude(
                                context,
                                &received,
                                last,
                                true,
                                Reason::OutcomeUnknown,
                            );
                        }
                        may_have_run = true;
                        if response.status().is_server_error()
                            && grant.can_retry
                            && retry_budget::acquire(
                                context,
                                &received,
                                retry_budget::Retry::Failed,
                            )
                        {
                            last = Some(response);
                            continue;
                        }
                        return Ok(forward(context, &received, response));
                    }
                    Outcome::Stream(start) => {
                        sends += grant.attempts;
                        return Ok(stream::forward(context, received, *start, sends));
                    }
                }
            }
        };
        let outcome = attempt::run(context, &received, &target, has_retry_left).await;
        tried.push(target.endpoint.clone());
        match outcome {
            Outcome::ConnectFailed | Outcome::NotAttempted => {
                *has_sent = was_sent;
                continue;
            }
            Outcome::Refused => {
                *has_sent = was_sent;
                sends += 1;
                if sends < received.route.max_attempts
                    && retry_budget::acquire(context, &received, retry_budget::Retry::Refused)
                {
                    continue;
                }
                return conclude(context, &received, last, may_have_run, Reason::Refused);
            }
            Outcome::TimedOut => return Err(Reason::DeadlineAfterSend),
            Outcome::Unresponsive => {
                sends += 1;
                may_have_run = true;
            }
            Outcome::Unknown => {
                sends += 1;
                may_have_run = true;
                let may_retry = received.route.kind.may_retry();
                if may_retry
                    && sends < received.route.max_attempts
                    && retry_budget::acquire(context, &received, retry_budget::Retry::Unknown)
                {
                    continue;
                }
                return conclude(context, &received, last, true, Reason::OutcomeUnknown);
            }
            Outcome::Response(response) => {
                sends += 1;
                if may_have_run && promises_not_run(response.status()) {
                    return conclude(context, &received, last, true, Reason::OutcomeUnknown);
                }
                may_have_run = true;
                let may_retry =
                    response.status().is_server_error() && received.route.kind.may_retry();
                if may_retry
                    && sends < received.route.max_attempts
                    && retry_budget::acquire(context, &received, retry_budget::Retry::Failed)
                {
                    last = Some(response);
                    continue;
                }
                return Ok(forward(context, &received, response));
            }
            Outcome::Stream(start) => {
                sends += 1;
                may_have_run = true;
                let largest = models.len().saturating_sub(1);
                if index < largest
                    && received.route.kind.may_retry()
                    && sends < received.route.max_attempts
                    && needs_larger_model(context, &received, &start.reply, &models[largest])
                    && begins_in_time(context, &received, &models[largest].name)
                    && retry_budget::acquire(context, &received, retry_budget::Retry::Weak)
                {
                    log_dropped(&received, &start.reply);
                    index = largest;
                    tried.clear();
                    continue;
                }
                return Ok(stream::forward(context, received, *start, sends));
            }
        }
    }
}

// Whether callers take a status for a promise that the request has not run: it is none once another attempt may have.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

// Index of the model that runs first: the smallest one, unless no other may run after it.
fn first_model(context: &Shared, received: &Received, models: &[route::Model]) -> usize {
    if received.route.kind.may_retry() {
        return 0;
    }
    let [_, .., largest] = models else { return 0 };
    let is_large = escalation::begins_large(confidence_threshold(context, received, largest))
        && begins_in_time(context, received, &largest.name);
    if is_large { models.len() - 1 } else { 0 }
}

fn needs_larger_model(
    context: &Shared,
    received: &Received,
    reply: &head::Reply,
    largest: &route::Model,
) -> bool {
    let threshold = confidence_threshold(context, received, largest);
    reply.confidence.is_some_and(|confidence| confidence < threshold)
}

fn confidence_threshold(context: &Shared, received: &Received, largest: &route::Model) -> f64 {
    let tokens = received.metadata.tokens.unwrap_or_default();
    let now = context.now();
    let pressure = {
        let state = context.state();
        let utilization = state.balancer.utilization(&received.service, now);
        let pressure = state.pressures.get(&received.service).copied().unwrap_or_default();
        pressure.level(utilization, now)
    };
    escalation::threshold(largest, received.priority(), tokens, pressure)
}

// Whether the larger model's answer would begin before the deadline; logs if not, and the smaller model's answer is
// delivered then.
fn begins_in_time(context: &Shared, received: &Received, larger: &id::ModelId) -> bool {
    let least = selection::least_expected(context, received, larger);
    let left = received.remaining(context.now());
    let is_in_time = escalation::begins_in_time(least.map(|least| least.expected), left);
    if let Some(least) = least.filter(|_| !is_in_time) {
        selection::log_too_late(context, received, "larger", least);
    }
    is_in_time
}

fn conclude(
    context: &Shared,
    received: &Received,
    last: Option<Response<Bytes>>,
    may_have_run: bool,
    reason: Reason,
) -> Result<Response<Body>, Reason> {
    match last {
        Some(response) => Ok(forward(context, received, response)),
        None if may_have_run => Err(Reason::OutcomeUnknown),
        None => Err(reason),
    }
}

fn forward(context: &Shared, received: &Received, response: Response<Bytes>) -> Response<Body> {
    let (parts, mut bytes) = response.into_parts();
    if bytes.len() >= COUNTED_MIN {
        let answer = unread::Answer::begin(&received.metadata.id, &received.abort);
        bytes = context.unread.add(&answer, bytes);
        let context = context.clone();
        tokio::task::spawn_local(async move { context.unread.drained(&answer).await });
    }
    let mut response = Response::new(body::full(bytes));
    *response.status_mut() = parts.status;
    *response.headers_mut() = head::end_to_end(&parts.headers);
    response
}

fn log_dropped(received: &Received, reply: &head::Reply) {
    event::emit_json(
        event::Event::AnswerDropped,
        &[
            event::field("request", &received.metadata.id),
            event::field("confidence", &reply.confidence.unwrap_or_default()),
        ],
    );
}
