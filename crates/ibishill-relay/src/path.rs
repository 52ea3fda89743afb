//! The way of a request: route, workspace, service, attempts, answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use ibishill_adapter::head;
use ibishill_core::{event, id, route, time};
use ibishill_decide::{escalation, routing};
use tokio::time as clock;

use crate::attempt::{self, Ended, Received};
use crate::body::{self, Body};
use crate::context::Shared;
use crate::own::{self, Own};
use crate::{room, stream};

/// Longest time in which a body arrives.
const BODY_WAIT: Duration = Duration::from_secs(10);

/// Longest time for which a request waits for the first rows after a start; they take a few
/// milliseconds if the store or a peer answers.
const INFORM: time::Millis = time::Millis(400);

/// Time between two looks for the first rows.
const INFORM_LOOK: Duration = Duration::from_millis(10);

/// Counts a request as under way for its workspace; dropping it ends that.
struct Running {
    context: Shared,
    space: Option<id::WorkspaceId>,
}

impl Running {
    fn begin(context: &Shared, space: Option<id::WorkspaceId>) -> Self {
        *context.state().running.entry(space.clone()).or_default() += 1;
        Self { context: context.clone(), space }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.context.state();
        let count = state.running.entry(self.space.clone()).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            state.running.remove(&self.space);
        }
    }
}

/// Logs that the caller left, unless it is told that the request has ended.
struct Presence {
    context: Shared,
    request: String,
    since: time::Tick,
    is_done: bool,
}

impl Drop for Presence {
    fn drop(&mut self) {
        if !self.is_done {
            self.context.metrics.ended("left", self.context.now().since(self.since));
            event::emit_json(event::Event::CallerGone, &[event::field("request", &self.request)]);
        }
    }
}

/// Answers a request.
pub(crate) async fn answer(context: Shared, request: Request<Incoming>) -> Response<Body> {
    let since = context.now();
    let facts = head::decode_request(request.headers());
    let mut presence =
        Presence { context: context.clone(), request: facts.id.clone(), since, is_done: false };
    let answer = match receive(&context, request, facts, since).await {
        Ok(received) => run(&context, received).await,
        Err((request, why)) => own::decline(&context, &request, why, None),
    };
    presence.is_done = true;
    finish(&context, answer)
}

fn finish(context: &Shared, mut answer: Response<Body>) -> Response<Body> {
    if context.state().is_stopping {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

async fn receive(
    context: &Shared,
    request: Request<Incoming>,
    facts: ibishill_core::call::Metadata,
    since: time::Tick,
) -> Result<Received, (String, Own)> {
    let (parts, incoming) = request.into_parts();

    let fail = |own| (facts.id.clone(), own);
    let catalog = catalog(context, since).await.ok_or_else(|| fail(Own::Uninformed))?;
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = routing::find(&catalog, host, parts.uri.path());
    let route = route.ok_or_else(|| fail(Own::NoRoute))?.clone();
    let space = routing::workspace(&catalog, &route, facts.key.as_deref());
    let space = space.map_err(|_| fail(Own::Unauthorized))?.cloned();
    let key = facts.session.as_deref().unwrap_or(&facts.id);
    let service = routing::select_service(&route, key.as_bytes());
    let service = service.ok_or_else(|| fail(Own::NoService))?.clone();
    let body = read_body(incoming, catalog.limits.body_bytes).await.map_err(fail)?;
    let wait = facts.deadline.unwrap_or(route.timeout).min(route.timeout);
    let uri = parts
        .uri
        .path_and_query()
        .map_or_else(|| parts.uri.clone(), |path| http::Uri::from(path.clone()));
    Ok(Received {
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        facts,
        route,
        space,
        service,
        since,
        until: since + wait,
    })
}

async fn catalog(context: &Shared, since: time::Tick) -> Option<Rc<route::Catalog>> {
    loop {
        let found = {
            let state = context.state();
            state.catalog.clone().filter(|_| state.is_informed())
        };
        if found.is_some() || context.now() >= since + INFORM {
            return found;
        }
        clock::sleep(INFORM_LOOK).await;
    }
}

async fn read_body(incoming: Incoming, limit: usize) -> Result<Bytes, Own> {
    let whole = Limited::new(incoming, limit).collect();
    match clock::timeout(BODY_WAIT, whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Own::TooLarge),
        Ok(Err(_)) | Err(_) => Err(Own::BodyCut),
    }
}

fn engine_models<'a>(catalog: &'a route::Catalog, service: &id::ServiceId) -> &'a [route::Model] {
    let engine = catalog.services.get(service).and_then(|service| service.engine.as_ref());
    engine.map_or(&[], |engine| engine.models.as_slice())
}

// The models that may answer, smallest first, with what is needed to choose.
fn sizes(context: &Shared, received: &Received) -> Vec<route::Model> {
    if !received.facts.any_model {
        return Vec::new();
    }
    let Some(catalog) = context.state().catalog.clone() else { return Vec::new() };
    let models = engine_models(&catalog, &received.service);
    let cost = |name: &id::ModelId| models.iter().find(|m| m.name == *name).map_or(0.0, |m| m.cost);
    let model = |name: &id::ModelId| route::Model { name: name.clone(), cost: cost(name) };
    received.route.models.iter().map(model).collect()
}

async fn run(context: &Shared, received: Received) -> Response<Body> {
    let space = received.space.as_ref().map(|space| space.name.clone());
    let running = Running::begin(context, space);
    let until = received.until.since(context.now());
    let deadline = clock::Instant::now() + Duration::from_millis(until.0);
    let mut has_sent = false;
    let (request, since) = (received.facts.id.clone(), received.since);
    earn(context, &received);
    let work = attempts(context, received, &mut has_sent);
    let ended = match clock::timeout_at(deadline, work).await {
        Ok(ended) => ended,
        Err(_) => Err(if has_sent { Own::Late } else { Own::Expired }),
    };
    drop(running);
    match ended {
        Ok(answer) => {
            // A stream is counted where it ends.
            if answer.body().size_hint().exact().is_some() {
                context.metrics.ended("whole", context.now().since(since));
            }
            answer
        }
        Err(why) => own::decline(context, &request, why, Some(own::COME_BACK)),
    }
}

fn earn(context: &Shared, received: &Received) {
    let now = context.now();
    let mut state = context.state();
    let bounds = state.place.bounds;
    state.allowances.entry(received.service.clone()).or_default().record_request(&bounds, now);
}

async fn attempts(
    context: &Shared,
    received: Received,
    has_sent: &mut bool,
) -> Result<Response<Body>, Own> {
    let sizes = sizes(context, &received);
    let mut size = 0;
    let mut avoid: Vec<id::EndpointId> = Vec::new();
    let mut sends = 0;
    let mut may_have_run = false;
    let mut last: Option<Response<Bytes>> = None;
    loop {
        let model = sizes.get(size).map(|model| &model.name);
        let found = room::find_room(context, &received, &avoid, model).await;
        let target = match found {
            Ok(target) => target,
            Err(own) => return give_up(last, may_have_run, own),
        };
        let may_follow = sends + 1 < received.route.max_attempts;
        let was_sent = std::mem::replace(has_sent, true);
        let ended = attempt::run(context, &received, &target, may_follow).await;
        avoid.push(target.endpoint.clone());
        match ended {
            Ended::Unsent | Ended::Untried => {
                *has_sent = was_sent;
                continue;
            }
            Ended::Refused => {
                *has_sent = was_sent;
                sends += 1;
                if sends < received.route.max_attempts && take(context, &received, "refused") {
                    continue;
                }
                return give_up(last, may_have_run, Own::Refused);
            }
            Ended::Late => return Err(Own::Late),
            Ended::Hung => {
                sends += 1;
                may_have_run = true;
            }
            Ended::Unknown => {
                sends += 1;
                may_have_run = true;
                let may_repeat = received.route.kind.may_retry();
                if may_repeat
                    && sends < received.route.max_attempts
                    && take(context, &received, "unknown")
                {
                    continue;
                }
                return give_up(last, true, Own::Unknown);
            }
            Ended::Answer(answer) => {
                sends += 1;
                may_have_run = true;
                let may_repeat =
                    answer.status().is_server_error() && received.route.kind.may_retry();
                if may_repeat
                    && sends < received.route.max_attempts
                    && take(context, &received, "failed")
                {
                    last = Some(answer);
                    continue;
                }
                return Ok(pass(answer));
            }
            Ended::Stream(opened) => {
                sends += 1;
                may_have_run = true;
                let larger = sizes.len().saturating_sub(1);
                if size < larger
                    && sends < received.route.max_attempts
                    && is_weak(context, &received, &opened.reply, &sizes[larger])
                    && take(context, &received, "weak")
                {
                    log_dropped(&received, &opened.reply);
                    size = larger;
                    avoid.clear();
                    continue;
                }
                return Ok(stream::relay(context, received, target, *opened, sends));
            }
        }
    }
}

fn is_weak(
    context: &Shared,
    received: &Received,
    reply: &head::Reply,
    larger: &route::Model,
) -> bool {
    let tokens = received.facts.tokens.unwrap_or_default();
    let now = context.now();
    let strain = {
        let state = context.state();
        let taken = state.balance.utilization(&received.service, now);
        let strain = state.strains.get(&received.service).copied().unwrap_or_default();
        strain.level(taken, now)
    };
    let threshold = escalation::threshold(larger, received.priority(), tokens, strain);
    reply.confidence.is_some_and(|confidence| confidence < threshold)
}

/// Takes the right to a further attempt at the request's service; `why` is for the metrics.
pub(crate) fn take(context: &Shared, received: &Received, why: &'static str) -> bool {
    let now = context.now();
    let mut state = context.state();
    let daemons = state.peers.others().count() + 1;
    let bounds = state.place.bounds;
    let allowance = state.allowances.entry(received.service.clone()).or_default();
    let is_granted = allowance.try_acquire(&bounds, daemons, now);
    if is_granted {
        context.metrics.repeated(why);
    }
    is_granted
}

/// Whether [`take`] would succeed.
pub(crate) fn has_allowance(context: &Shared, received: &Received) -> bool {
    let now = context.now();
    let state = context.state();
    let daemons = state.peers.others().count() + 1;
    let allowance = state.allowances.get(&received.service);
    allowance.is_some_and(|allowance| allowance.is_available(&state.place.bounds, daemons, now))
}

fn give_up(
    last: Option<Response<Bytes>>,
    may_have_run: bool,
    own: Own,
) -> Result<Response<Body>, Own> {
    match last {
        Some(answer) => Ok(pass(answer)),
        None if may_have_run => Err(Own::Unknown),
        None => Err(own),
    }
}

fn pass(answer: Response<Bytes>) -> Response<Body> {
    let (parts, bytes) = answer.into_parts();
    let mut answer = Response::new(body::whole(bytes));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = head::end_to_end(&parts.headers);
    answer
}

fn log_dropped(received: &Received, reply: &head::Reply) {
    event::emit_json(
        event::Event::AnswerDropped,
        &[
            event::field("request", &received.facts.id),
            event::field("confidence", &reply.confidence.unwrap_or_default()),
        ],
    );
}
