//! The way of a request: route, workspace, service, version, endpoint, answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use ibishill_adapter::head;
use ibishill_core::{event, id, route, time};
use ibishill_decide::{balance, canary, line, routing, sizing};
use tokio::time as clock;
use xxhash_rust::xxh3;

use crate::attempt::{self, Ended, Received, Target};
use crate::body::{self, Body};
use crate::context::Shared;
use crate::stream;

/// Longest time in which a body arrives.
const BODY_WAIT: Duration = Duration::from_secs(10);

/// Time between two looks for room; cold endpoints get room by time alone.
const LOOK: Duration = Duration::from_millis(40);

/// Waiting requests of a service that look for room at once.
const FRONT: usize = 4;

/// Time after which a caller may come back when nothing better is known: about the time in
/// which endpoints that were lost are replaced by what others have room for.
const COME_BACK: time::Millis = time::Millis(500);

/// Longest time for which a request waits for the first rows after a start; they take a few
/// milliseconds if the store or a peer answers.
const INFORM: time::Millis = time::Millis(400);

/// Time between two looks for the first rows.
const INFORM_LOOK: Duration = Duration::from_millis(10);

/// Refusals and failures that the relay itself answers with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Own {
    /// No configuration is known yet.
    Uninformed,
    /// No route answers for the path.
    NoRoute,
    /// The key is missing or unknown.
    Unauthorized,
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive.
    BodyCut,
    /// The route's weights name no service.
    NoService,
    /// No endpoint of the service is in service.
    NoEndpoint,
    /// No endpoint has room in time.
    NoRoom,
    /// The endpoint refused and no further attempt is allowed.
    Refused,
    /// The deadline has passed, and it has not run.
    Expired,
    /// The deadline has passed, and it may have run.
    Late,
    /// It may have run, and no whole answer came.
    Unknown,
}

impl Own {
    const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyCut => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::Uninformed
            | Self::NoService
            | Self::NoEndpoint
            | Self::NoRoom
            | Self::Refused
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    const fn reason(self) -> &'static str {
        match self {
            Self::Uninformed => "no configuration yet",
            Self::NoRoute => "no route",
            Self::Unauthorized => "key missing or unknown",
            Self::TooLarge => "body too large",
            Self::BodyCut => "body not received",
            Self::NoService => "no service by weight",
            Self::NoEndpoint => "no endpoint in service",
            Self::NoRoom => "no endpoint with room in time",
            Self::Refused => "refused by the endpoint",
            Self::Expired => "deadline passed before a send",
            Self::Late => "deadline passed after a send",
            Self::Unknown => "sent, and its fate is unknown",
        }
    }
}

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

/// A request that waits for room; dropping it leaves the line.
struct Waiting {
    context: Shared,
    ticket: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.context.state().line.leave(self.ticket);
    }
}

/// Logs that the caller left, unless it is told that the request has ended.
struct Presence {
    request: String,
    is_done: bool,
}

impl Drop for Presence {
    fn drop(&mut self) {
        if !self.is_done {
            event::emit_json(event::Event::CallerGone, &[event::field("request", &self.request)]);
        }
    }
}

/// Answers a request.
pub(crate) async fn answer(context: Shared, request: Request<Incoming>) -> Response<Body> {
    let since = context.now();
    let facts = head::decode(request.headers());
    let mut presence = Presence { request: facts.id.clone(), is_done: false };
    let answer = match receive(&context, request, facts, since).await {
        Ok(received) => run(&context, received).await,
        Err((request, own)) => decline(&context, &request, own, None),
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
    facts: ibishill_core::call::Facts,
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
    let service = routing::share(&route, key.as_bytes());
    let service = service.ok_or_else(|| fail(Own::NoService))?.clone();
    let body = read_body(incoming, catalog.limits.body).await.map_err(fail)?;
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

/// Where the next attempt goes.
pub(crate) enum Next {
    /// There.
    Send(Target),
    /// Nowhere now.
    Full,
    /// No endpoint may run it.
    Nobody,
}

/// Chooses the next endpoint for a request.
pub(crate) fn choose(
    context: &Shared,
    received: &Received,
    avoid: &[id::EndpointId],
    model: Option<&id::ModelId>,
    resumed: Option<u64>,
) -> Next {
    let now = context.now();
    let mut state = context.state();
    let state = &mut *state;
    let session = received.facts.session.as_ref().unwrap_or(&received.facts.id);
    let session = xxh3::xxh3_64(session.as_bytes());
    let rule = state.cold_rule(&received.service, now);
    let catalog = state.catalog.clone();
    let engine = catalog
        .as_ref()
        .and_then(|catalog| catalog.services.get(&received.service))
        .and_then(|service| service.engine.as_ref());
    let capacity = engine.map_or(0, |engine| engine.capacity);
    let reading = engine.map_or(0.0, |engine| reading(received, engine, model));
    let subject = received.facts.subject();
    let shared_tokens = received.facts.parts.iter().rev().skip(1).map(|part| part.tokens).sum();
    let ask = balance::Ask {
        service: &received.service,
        versions: balance::Versions::Any,
        avoid,
        shared: subject.map(|part| (part, shared_tokens)),
        tokens: received.memory(),
        capacity,
        reading,
        tier: tier(received, model),
        seed: xxh3::xxh3_64(received.facts.id.as_bytes()),
    };
    state.recent.note(session, now);
    let (balance, peers) = (&state.balance, &state.peers);
    let rank = |endpoint: &id::EndpointId| peers.known_rank(endpoint.as_str());
    let choice = match state.canaries.get_mut(&received.service) {
        None => balance.pick(&ask, rule, rank, now),
        Some(canary) => {
            let side = canary.side(session, now);
            let versions = attempt::versions(side, canary);
            let mut choice = balance.pick(&balance::Ask { versions, ..ask }, rule, rank, now);
            let is_open = canary.is_early(now) && choice != balance::Choice::Nobody;
            let may_fall_back = side == canary::Side::Candidate
                && (choice == balance::Choice::Nobody
                    || (is_open && choice == balance::Choice::Full));
            if may_fall_back {
                let versions = attempt::versions(canary::Side::Stable, canary);
                choice = balance.pick(&balance::Ask { versions, ..ask }, rule, rank, now);
                canary.pin(session);
            }
            choice
        }
    };
    match choice {
        balance::Choice::Full => Next::Full,
        balance::Choice::Nobody => Next::Nobody,
        balance::Choice::Send(endpoint) => match state.balance.entry(&endpoint) {
            None => Next::Nobody,
            Some(entry) => Next::Send(Target {
                version: entry.version.clone(),
                endpoint,
                model: model.cloned(),
                resumed,
                reading,
            }),
        },
    }
}

// What a prompt costs to read, in thousands of tokens at the largest model; a model's cost
// tells how fast it is.
fn reading(received: &Received, engine: &route::Engine, model: Option<&id::ModelId>) -> f64 {
    let tokens = received.facts.tokens.unwrap_or_default().input as f64 / 1_000.0;
    let most = engine.models.iter().map(|model| model.cost).fold(0.0, f64::max);
    let found = model.and_then(|name| engine.models.iter().find(|model| model.name == *name));
    let pace = found.map_or(1.0, |model| model.cost / most.max(f64::MIN_POSITIVE));
    tokens * pace.clamp(0.1, 1.0)
}

fn tier(received: &Received, model: Option<&id::ModelId>) -> balance::Tier {
    let sizes = &received.route.sizes;
    match model {
        Some(_) if sizes.len() < 2 => balance::Tier::Any,
        Some(model) if sizes.first() == Some(model) => balance::Tier::Small,
        Some(model) if sizes.last() == Some(model) => balance::Tier::Large,
        _ => balance::Tier::Any,
    }
}

// Waits until an endpoint has room, in the order of the line.
async fn find_room(
    context: &Shared,
    received: &Received,
    avoid: &[id::EndpointId],
    model: Option<&id::ModelId>,
) -> Result<Target, Own> {
    let (service, priority) = (&received.service, received.priority());
    let is_first = !context.state().line.is_ahead(service, priority);
    if is_first {
        match choose(context, received, avoid, model, received.facts.resumed) {
            Next::Send(target) => return Ok(target),
            Next::Nobody if !avoid.is_empty() => return Err(Own::NoEndpoint),
            Next::Nobody | Next::Full => {}
        }
    }
    let now = context.now();
    let patience = line::patience(received.route.target, received.left(now));
    let waiter = line::Waiter {
        ticket: 0,
        priority,
        space: received.space.as_ref().map(|space| space.name.clone()),
        service: service.clone(),
        since: now,
    };
    let ticket = context.state().line.join(waiter);
    let _waiting = Waiting { context: context.clone(), ticket };
    log_waits(context, received, patience);
    let mut own = Own::NoRoom;
    while context.now() < now + patience {
        let woken = clock::timeout(LOOK, context.room.notified()).await;
        drop(woken);
        if place_in_line(context, service, ticket) >= FRONT {
            continue;
        }
        match choose(context, received, avoid, model, received.facts.resumed) {
            Next::Send(target) => {
                context.metrics.waited(context.now().since(now));
                return Ok(target);
            }
            Next::Full => own = Own::NoRoom,
            Next::Nobody => own = Own::NoEndpoint,
        }
    }
    Err(own)
}

fn place_in_line(context: &Shared, service: &id::ServiceId, ticket: u64) -> usize {
    let state = context.state();
    let running = |space: Option<&id::WorkspaceId>| {
        state.running.get(&space.cloned()).copied().unwrap_or_default()
    };
    let order = state.line.order(service, running);
    order.iter().position(|found| *found == ticket).unwrap_or(0)
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
    received.route.sizes.iter().map(model).collect()
}

async fn run(context: &Shared, received: Received) -> Response<Body> {
    let space = received.space.as_ref().map(|space| space.name.clone());
    let running = Running::begin(context, space);
    let until = received.until.since(context.now());
    let deadline = clock::Instant::now() + Duration::from_millis(until.0);
    let mut has_sent = false;
    let request = received.facts.id.clone();
    earn(context, &received);
    let work = attempts(context, received, &mut has_sent);
    let ended = match clock::timeout_at(deadline, work).await {
        Ok(ended) => ended,
        Err(_) => Err(if has_sent { Own::Late } else { Own::Expired }),
    };
    drop(running);
    match ended {
        Ok(answer) => answer,
        Err(own) => decline(context, &request, own, Some(COME_BACK)),
    }
}

fn earn(context: &Shared, received: &Received) {
    let now = context.now();
    let mut state = context.state();
    let bounds = state.place.bounds;
    state.allowances.entry(received.service.clone()).or_default().first(&bounds, now);
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
        let found = find_room(context, &received, &avoid, model).await;
        let target = match found {
            Ok(target) => target,
            Err(own) => return give_up(last, may_have_run, own),
        };
        let may_follow = sends + 1 < received.route.attempts;
        let was_sent = std::mem::replace(has_sent, true);
        let ended = attempt::run(context, &received, &target, may_follow).await;
        avoid.push(target.endpoint.clone());
        match ended {
            Ended::Unsent => {
                *has_sent = was_sent;
                continue;
            }
            Ended::Refused => {
                *has_sent = was_sent;
                sends += 1;
                if sends < received.route.attempts && take(context, &received) {
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
                let may_repeat = received.route.kind.may_repeat();
                if may_repeat && sends < received.route.attempts && take(context, &received) {
                    continue;
                }
                return give_up(last, true, Own::Unknown);
            }
            Ended::Answer(answer) => {
                sends += 1;
                may_have_run = true;
                let may_repeat =
                    answer.status().is_server_error() && received.route.kind.may_repeat();
                if may_repeat && sends < received.route.attempts && take(context, &received) {
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
                    && sends < received.route.attempts
                    && is_weak(context, &received, &opened.reply, &sizes[larger])
                    && take(context, &received)
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
        let taken = state.balance.taken(&received.service, now);
        let strain = state.strains.get(&received.service).copied().unwrap_or_default();
        strain.level(taken, now)
    };
    let threshold = sizing::threshold(larger, received.priority(), tokens, strain);
    reply.confidence.is_some_and(|confidence| confidence < threshold)
}

/// Takes the right to a further attempt at the request's service.
pub(crate) fn take(context: &Shared, received: &Received) -> bool {
    let now = context.now();
    let mut state = context.state();
    let daemons = state.peers.others().count() + 1;
    let bounds = state.place.bounds;
    let allowance = state.allowances.entry(received.service.clone()).or_default();
    allowance.take(&bounds, daemons, now)
}

/// Whether [`take`] would succeed.
pub(crate) fn has_allowance(context: &Shared, received: &Received) -> bool {
    let now = context.now();
    let state = context.state();
    let daemons = state.peers.others().count() + 1;
    let allowance = state.allowances.get(&received.service);
    allowance.is_some_and(|allowance| allowance.has(&state.place.bounds, daemons, now))
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
    *answer.headers_mut() = head::passed(&parts.headers);
    answer
}

fn decline(
    context: &Shared,
    request: &str,
    own: Own,
    after: Option<time::Millis>,
) -> Response<Body> {
    let is_refusal = own.status() == StatusCode::SERVICE_UNAVAILABLE;
    let after = if is_refusal { after.or(Some(COME_BACK)) } else { None };
    let version = context.state().catalog.as_ref().map_or(0, |catalog| catalog.version);
    context.metrics.declined(own.reason());
    event::emit_json(
        event::Event::RequestDeclined,
        &[
            event::field("request", &request),
            event::field("status", &own.status().as_u16()),
            event::field("reason", &own.reason()),
            event::field("after", &after.unwrap_or_default()),
            event::field("configuration", &version),
        ],
    );
    let mut answer = Response::new(body::whole(Bytes::from_static(own.reason().as_bytes())));
    *answer.status_mut() = own.status();
    if let Some(after) = after {
        let secs = format!("{:.2}", after.0 as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&secs) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    if own == Own::BodyCut || own == Own::TooLarge {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

fn log_waits(context: &Shared, received: &Received, patience: time::Millis) {
    let (taken, waiting) = {
        let state = context.state();
        let now = context.now();
        let waiting = state.line.waiting(&received.service);
        (state.balance.taken(&received.service, now), waiting)
    };
    event::emit_json(
        event::Event::RequestWaits,
        &[
            event::field("request", &received.facts.id),
            event::field("service", &received.service),
            event::field("taken", &taken),
            event::field("waiting", &waiting),
            event::field("patience", &patience),
        ],
    );
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
