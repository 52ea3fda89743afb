//! Entry daemon's side of a request: plan it, forward it to an owner, and try the next
//! owner only while the request can't have run.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use ibishill_core::prefix::PrefixKey;
use ibishill_core::{clock, cost, event, header, id, outcome, priority, repeat, time};
use ibishill_decide::{plan, prefix, retry, spill};
use ibishill_peer::{error::LinkError, frame, link};
use tokio::sync::mpsc;

use crate::{context, rollouts, router, run};

pub mod cascade;

/// A caller's request after parsing and authorization.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id of the request.
    pub request: id::RequestId,
    /// Workspace of the caller's key.
    pub workspace: id::WorkspaceId,
    /// Version, model or service that the caller selected.
    pub selector: plan::Selector,
    /// Session named by the caller.
    pub session: Option<id::SessionId>,
    /// Version that the session is pinned to.
    pub pinned: Option<id::VersionRef>,
    /// Time left until the deadline.
    pub remaining: time::Millis,
    /// Whether the call may run more than once.
    pub repeat: repeat::Repeat,
    /// HTTP method.
    pub method: String,
    /// Path and query at the endpoint.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Further headers to forward to the endpoint.
    pub headers: Vec<header::Header>,
    /// Idempotency key of the caller.
    pub key: Option<id::IdempotencyKey>,
    /// Priority in admission queues.
    pub priority: priority::Priority,
    /// Whether the caller asked for a streamed answer.
    pub stream: bool,
    /// Whether the caller asked for the usage event of a stream.
    pub show_usage: bool,
}

impl Request {
    /// Input of the planner for this request.
    pub fn plan_request(&self) -> plan::Request {
        plan::Request {
            request: self.request.clone(),
            workspace: self.workspace.clone(),
            selector: self.selector.clone(),
            session: self.session.clone(),
            pinned: self.pinned.clone(),
        }
    }
}

/// An answer that has begun.
pub struct Answer {
    /// Status and headers.
    pub head: frame::Head,
    /// Model version or service that answers.
    pub target: id::Target,
    /// Number of owners tried.
    pub attempts: u32,
    source: Source,
    bytes: u64,
    counters: rollouts::Counters,
    first_byte: time::Millis,
}

/// Part of an answer after its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Bytes of the body.
    Chunk(Bytes),
    /// End of a complete answer.
    End(cost::Usage),
    /// The answer was cut off.
    Failed(outcome::Refusal),
}

/// A request that got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Refusal for the caller.
    pub refusal: outcome::Refusal,
    /// Number of owners tried.
    pub attempts: u32,
}

enum Source {
    Local(mpsc::Receiver<frame::Frame>),
    Peer(Box<link::Call>),
}

impl Source {
    async fn next(&mut self) -> Result<Option<frame::Frame>, LinkError> {
        match self {
            Self::Local(frames) => Ok(frames.recv().await),
            Self::Peer(call) => call.next().await,
        }
    }
}

/// Runs a request and returns once its answer begins; `body` builds the endpoint's body for
/// the planned target.
///
/// # Errors
///
/// Fails if no owner began an answer.
pub async fn start<B>(
    context: &Arc<context::Context>,
    request: &Request,
    body: B,
) -> Result<Answer, Failure>
where
    B: Fn(&id::Target) -> Bytes,
{
    let start = clock::boot_now();
    let planned = context.router.plan(request.plan_request()).await;
    let plan = planned.map_err(|refusal| Failure { refusal, attempts: 0 })?;
    let mut work = build_work(context, request, &plan, body(&plan.target));
    let mut state = Attempts::default();
    for next in &plan.attempts {
        if state.excluded.contains(&next.route.owner.vm) {
            continue;
        }
        work.remaining = request.remaining.saturating_sub(clock::boot_now().since(start));
        if work.remaining == time::Millis(0) {
            let detail = "the deadline passed before the request was dispatched";
            state.set_last(outcome::Refusal::not_run(outcome::Reason::Deadline, detail));
            break;
        }
        if !state.may_attempt(context, request).await {
            break;
        }
        work.waits = next.waits;
        work.tried.clone_from(&state.tried);
        state.count += 1;
        match attempt(context, &next.route, &work).await {
            Ok((head, source)) => {
                record_feedback(
                    context,
                    &next.route,
                    &plan.target,
                    spill::Feedback::Capacity(head.capacity),
                );
                return Ok(Answer {
                    head,
                    target: plan.target,
                    attempts: state.count,
                    source,
                    bytes: 0,
                    counters: context.rollouts.clone(),
                    first_byte: clock::boot_now().since(start),
                });
            }
            Err(refusal) => {
                if refusal.reason == outcome::Reason::EndpointFailed {
                    context.rollouts.record_failure(&plan.target);
                }
                record_refusal(context, &next.route, &plan.target, &refusal);
                state.record_failure(&next.route, refusal);
            }
        }
    }
    Err(state.into_failure())
}

// Results of the attempts at one request.
#[derive(Default)]
struct Attempts {
    count: u32,
    tried: BTreeSet<id::EndpointId>,
    // Owners that are not tried again.
    excluded: BTreeSet<id::VmId>,
    // Zone of the last attempt that may have reached an endpoint.
    contacted_zone: Option<id::ZoneId>,
    last: Option<outcome::Refusal>,
}

impl Attempts {
    fn set_last(&mut self, refusal: outcome::Refusal) {
        // An unknown outcome is kept: no later attempt can tell whether the request ran.
        let not_run = |last: &outcome::Refusal| last.outcome == outcome::Outcome::NotRun;
        if self.last.as_ref().is_none_or(not_run) {
            self.last = Some(refusal);
        }
    }

    fn record_failure(&mut self, route: &plan::Route, refusal: outcome::Refusal) {
        match &refusal.endpoint {
            Some(endpoint) => {
                self.tried.insert(endpoint.clone());
                self.contacted_zone = Some(route.zone.clone());
            }
            None if refusal.outcome == outcome::Outcome::Unknown => {
                self.contacted_zone = Some(route.zone.clone());
                self.excluded.insert(route.owner.vm.clone());
            }
            None if refusal.reason == outcome::Reason::Overloaded => {}
            // All of the owner's endpoints may be ejected; an attempt that may wait there can
            // still succeed.
            None if refusal.reason == outcome::Reason::NoEndpoint => {}
            None => {
                self.excluded.insert(route.owner.vm.clone());
            }
        }
        self.set_last(refusal);
    }

    // An attempt counts against the retry budget only if an earlier one may have reached an
    // endpoint.
    async fn may_attempt(&mut self, context: &context::Context, request: &Request) -> bool {
        let Some(last) = &self.last else { return true };
        if !retry::is_safe(last.outcome, request.repeat) {
            return false;
        }
        let Some(zone) = self.contacted_zone.take() else { return true };
        context.router.try_acquire_retry(request.workspace.clone(), zone).await
    }

    fn into_failure(self) -> Failure {
        let refusal = self.last.unwrap_or_else(|| {
            outcome::Refusal::not_run(outcome::Reason::NoEndpoint, "no owner is available")
        });
        Failure { refusal, attempts: self.count }
    }
}

fn record_feedback(
    context: &context::Context,
    route: &plan::Route,
    target: &id::Target,
    feedback: spill::Feedback,
) {
    context.router.record_feedback(route.owner.vm.clone(), target.clone(), feedback);
}

fn record_refusal(
    context: &context::Context,
    route: &plan::Route,
    target: &id::Target,
    refusal: &outcome::Refusal,
) {
    match (refusal.reason, refusal.retry_after) {
        (outcome::Reason::PeerLost, _) => {
            record_feedback(context, route, target, spill::Feedback::Unreachable)
        }
        (_, Some(after)) => record_feedback(context, route, target, spill::Feedback::Full(after)),
        (_, None) => {}
    }
}

fn build_work(
    context: &context::Context,
    request: &Request,
    plan: &router::Planned,
    body: Bytes,
) -> frame::Request {
    frame::Request {
        request: request.request.clone(),
        workspace: request.workspace.clone(),
        target: plan.target.clone(),
        config: context.config.get().version.0,
        remaining: request.remaining,
        tried: BTreeSet::new(),
        waits: true,
        repeat: request.repeat,
        method: request.method.clone(),
        path: request.path.clone(),
        content_type: request.content_type.clone(),
        headers: request.headers.clone(),
        prefix: prefix(&body),
        priority: request.priority,
        stream: request.stream,
        show_usage: request.show_usage,
        body,
    }
}

// Prefix key of a chat request's messages; none for the body of a plain service.
fn prefix(body: &[u8]) -> Option<PrefixKey> {
    const MESSAGES: &[u8] = b"\"messages\"";
    let at = body.windows(MESSAGES.len()).position(|window| window == MESSAGES)?;
    Some(prefix::key(&body[at..]))
}

async fn attempt(
    context: &Arc<context::Context>,
    route: &plan::Route,
    work: &frame::Request,
) -> Result<(frame::Head, Source), outcome::Refusal> {
    let mut source = if route.owner.vm == context.location.vm {
        Source::Local(run::run(context, work.clone()))
    } else {
        let call = context.link.call(&route.zone, &route.owner, work).await;
        Source::Peer(Box::new(call.map_err(|error| link_failure(&error))?))
    };
    match source.next().await {
        Ok(Some(frame::Frame::Head(head))) => Ok((head, source)),
        Ok(Some(frame::Frame::Failed(refusal))) => Err(refusal),
        Ok(_) => Err(peer_lost("the owner's answer has no head")),
        Err(error) => Err(link_failure(&error)),
    }
}

fn peer_lost(detail: &str) -> outcome::Refusal {
    outcome::Refusal::unknown(outcome::Reason::PeerLost, detail)
}

fn link_failure(error: &LinkError) -> outcome::Refusal {
    event::emit(event::Event::PeerUnreachable, &[event::field("error", error)]);
    match error {
        LinkError::Unreachable { .. } | LinkError::Tls { .. } => {
            outcome::Refusal::not_run(outcome::Reason::PeerLost, error.to_string())
        }
        LinkError::Broken { .. } | LinkError::Frame { .. } => peer_lost(&error.to_string()),
    }
}

impl Answer {
    /// Waits for the next part; none follows an end or a failure.
    pub async fn next(&mut self) -> Next {
        match self.source.next().await {
            Ok(Some(frame::Frame::Chunk(chunk))) => {
                self.bytes += chunk.len() as u64;
                Next::Chunk(chunk)
            }
            Ok(Some(frame::Frame::End(end))) if end.bytes != self.bytes => {
                Next::Failed(peer_lost("the owner's answer does not have its announced length"))
            }
            Ok(Some(frame::Frame::End(end))) => {
                self.counters.record_answer(&self.target, self.first_byte);
                Next::End(end.usage)
            }
            Ok(Some(frame::Frame::Failed(refusal))) => {
                if refusal.reason == outcome::Reason::EndpointFailed {
                    self.counters.record_failure(&self.target);
                }
                Next::Failed(as_unknown(refusal))
            }
            Ok(Some(frame::Frame::Head(_)) | None) => {
                Next::Failed(peer_lost("the owner's answer ended early"))
            }
            Err(error) => Next::Failed(as_unknown(link_failure(&error))),
        }
    }
}

// Once an answer has begun, the request has reached an endpoint and may have run.
fn as_unknown(mut refusal: outcome::Refusal) -> outcome::Refusal {
    refusal.outcome = outcome::Outcome::Unknown;
    refusal
}
