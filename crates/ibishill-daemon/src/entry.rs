//! The entry daemon's side of a request: plan, hand over, try the next owner only
//! while nothing can have run.

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

/// A caller's request, checked and read.
#[derive(Debug, Clone)]
pub struct Request {
    /// The request.
    pub request: id::RequestId,
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// What the caller asked for.
    pub selector: plan::Selector,
    /// The caller's session.
    pub session: Option<id::SessionId>,
    /// The version that the session is pinned to.
    pub pinned: Option<id::VersionRef>,
    /// Time left until the deadline.
    pub remaining: time::Millis,
    /// Whether the call may be sent twice.
    pub repeat: repeat::Repeat,
    /// HTTP method.
    pub method: String,
    /// Path with query at the endpoint.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Further headers that pass to the endpoint.
    pub headers: Vec<header::Header>,
    /// Key that marks copies of the same request.
    pub key: Option<id::IdempotencyKey>,
    /// Priority among other requests.
    pub priority: priority::Priority,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Whether the caller wants the usage event of a stream.
    pub show_usage: bool,
}

impl Request {
    /// The request as the plan sees it.
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
    /// Start of the answer.
    pub head: frame::Head,
    /// What runs.
    pub target: id::Target,
    /// How many owners were asked.
    pub attempts: u32,
    source: Source,
    bytes: u64,
    counters: rollouts::Counters,
    first: time::Millis,
}

/// What comes after an answer's start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Part of the answer.
    Chunk(Bytes),
    /// The answer is whole.
    End(cost::Usage),
    /// The answer is cut.
    Failed(outcome::Refusal),
}

/// A request that was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// What is known.
    pub refusal: outcome::Refusal,
    /// How many owners were asked.
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

/// Runs a request; `body` makes the endpoint's body once the target is known.
///
/// # Errors
///
/// The request was given up before its answer began.
pub async fn start<B>(
    context: &Arc<context::Context>,
    asked: &Request,
    body: B,
) -> Result<Answer, Failure>
where
    B: Fn(&id::Target) -> Bytes,
{
    let begun = clock::boot_now();
    let planned = context.router.plan(asked.plan_request()).await;
    let plan = planned.map_err(|refusal| Failure { refusal, attempts: 0 })?;
    let mut work = work(context, asked, &plan, body(&plan.target));
    let mut course = Course::default();
    for next in &plan.attempts {
        if course.closed.contains(&next.route.owner.vm) {
            continue;
        }
        work.remaining = asked.remaining.saturating_sub(clock::boot_now().since(begun));
        if work.remaining == time::Millis(0) {
            let detail = "the deadline passed before the request was dispatched";
            course.note(outcome::Refusal::not_run(outcome::Reason::Deadline, detail));
            break;
        }
        if !course.may_go_on(context, asked).await {
            break;
        }
        work.waits = next.waits;
        work.tried.clone_from(&course.tried);
        course.attempts += 1;
        match attempt(context, &next.route, &work).await {
            Ok((head, source)) => {
                hear(context, &next.route, &plan.target, spill::Feedback::Capacity(head.capacity));
                return Ok(Answer {
                    head,
                    target: plan.target,
                    attempts: course.attempts,
                    source,
                    bytes: 0,
                    counters: context.rollouts.clone(),
                    first: clock::boot_now().since(begun),
                });
            }
            Err(refusal) => {
                if refusal.reason == outcome::Reason::EndpointFailed {
                    context.rollouts.record_failure(&plan.target);
                }
                learn(context, &next.route, &plan.target, &refusal);
                course.failed(&next.route, refusal);
            }
        }
    }
    Err(course.give_up())
}

// What the attempts at one request have come to.
#[derive(Default)]
struct Course {
    attempts: u32,
    tried: BTreeSet<id::EndpointId>,
    // Owners that need not be asked again.
    closed: BTreeSet<id::VmId>,
    // The zone of the last attempt that reached for an endpoint.
    reached: Option<id::ZoneId>,
    last: Option<outcome::Refusal>,
}

impl Course {
    fn note(&mut self, refusal: outcome::Refusal) {
        // What may have run stays unknown, whatever comes after.
        let known = |last: &outcome::Refusal| last.outcome == outcome::Outcome::NotRun;
        if self.last.as_ref().is_none_or(known) {
            self.last = Some(refusal);
        }
    }

    fn failed(&mut self, route: &plan::Route, refusal: outcome::Refusal) {
        match &refusal.endpoint {
            Some(endpoint) => {
                self.tried.insert(endpoint.clone());
                self.reached = Some(route.zone.clone());
            }
            None if refusal.outcome == outcome::Outcome::Unknown => {
                self.reached = Some(route.zone.clone());
                self.closed.insert(route.owner.vm.clone());
            }
            None if refusal.reason == outcome::Reason::Overloaded => {}
            // All of them may be ejected, which does not hold for a request that waits.
            None if refusal.reason == outcome::Reason::NoEndpoint => {}
            None => {
                self.closed.insert(route.owner.vm.clone());
            }
        }
        self.note(refusal);
    }

    // Only what reached for an endpoint makes the next attempt a retry.
    async fn may_go_on(&mut self, context: &context::Context, asked: &Request) -> bool {
        let Some(last) = &self.last else { return true };
        if !retry::is_safe(last.outcome, asked.repeat) {
            return false;
        }
        let Some(zone) = self.reached.take() else { return true };
        context.router.try_acquire_retry(asked.workspace.clone(), zone).await
    }

    fn give_up(self) -> Failure {
        let refusal = self.last.unwrap_or_else(|| {
            outcome::Refusal::not_run(outcome::Reason::NoEndpoint, "no owner to ask")
        });
        Failure { refusal, attempts: self.attempts }
    }
}

fn hear(
    context: &context::Context,
    route: &plan::Route,
    target: &id::Target,
    news: spill::Feedback,
) {
    context.router.record_feedback(route.owner.vm.clone(), target.clone(), news);
}

fn learn(
    context: &context::Context,
    route: &plan::Route,
    target: &id::Target,
    refusal: &outcome::Refusal,
) {
    match (refusal.reason, refusal.retry_after) {
        (outcome::Reason::PeerLost, _) => {
            hear(context, route, target, spill::Feedback::Unreachable)
        }
        (_, Some(after)) => hear(context, route, target, spill::Feedback::Full(after)),
        (_, None) => {}
    }
}

fn work(
    context: &context::Context,
    asked: &Request,
    plan: &router::Planned,
    body: Bytes,
) -> frame::Request {
    frame::Request {
        request: asked.request.clone(),
        workspace: asked.workspace.clone(),
        target: plan.target.clone(),
        config: context.config.get().version.0,
        remaining: asked.remaining,
        tried: BTreeSet::new(),
        waits: true,
        repeat: asked.repeat,
        method: asked.method.clone(),
        path: asked.path.clone(),
        content_type: asked.content_type.clone(),
        headers: asked.headers.clone(),
        prefix: prefix(&body),
        priority: asked.priority,
        stream: asked.stream,
        show_usage: asked.show_usage,
        body,
    }
}

// The key of a chat request's messages; a plain service's body has none.
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
        Source::Peer(Box::new(call.map_err(|error| lost(&error))?))
    };
    match source.next().await {
        Ok(Some(frame::Frame::Head(head))) => Ok((head, source)),
        Ok(Some(frame::Frame::Failed(refusal))) => Err(refusal),
        Ok(_) => Err(broken("the owner's answer has no start")),
        Err(error) => Err(lost(&error)),
    }
}

fn broken(detail: &str) -> outcome::Refusal {
    outcome::Refusal::unknown(outcome::Reason::PeerLost, detail)
}

fn lost(error: &LinkError) -> outcome::Refusal {
    event::emit(event::Event::PeerUnreachable, &[event::field("error", error)]);
    match error {
        LinkError::Unreachable { .. } | LinkError::Tls { .. } => {
            outcome::Refusal::not_run(outcome::Reason::PeerLost, error.to_string())
        }
        LinkError::Broken { .. } | LinkError::Frame { .. } => broken(&error.to_string()),
    }
}

impl Answer {
    /// What comes next; after an end or a failure nothing does.
    pub async fn next(&mut self) -> Next {
        match self.source.next().await {
            Ok(Some(frame::Frame::Chunk(chunk))) => {
                self.bytes += chunk.len() as u64;
                Next::Chunk(chunk)
            }
            Ok(Some(frame::Frame::End(end))) if end.bytes != self.bytes => {
                Next::Failed(broken("the owner's answer lacks bytes"))
            }
            Ok(Some(frame::Frame::End(end))) => {
                self.counters.record_answer(&self.target, self.first);
                Next::End(end.usage)
            }
            Ok(Some(frame::Frame::Failed(refusal))) => {
                if refusal.reason == outcome::Reason::EndpointFailed {
                    self.counters.record_failure(&self.target);
                }
                Next::Failed(as_unknown(refusal))
            }
            Ok(Some(frame::Frame::Head(_)) | None) => {
                Next::Failed(broken("the owner's answer was cut"))
            }
            Err(error) => Next::Failed(as_unknown(lost(&error))),
        }
    }
}

// Once an answer has begun, the request has left for an endpoint.
fn as_unknown(mut refusal: outcome::Refusal) -> outcome::Refusal {
    refusal.outcome = outcome::Outcome::Unknown;
    refusal
}
