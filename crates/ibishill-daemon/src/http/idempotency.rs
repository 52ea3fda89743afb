//! Idempotency keys: the claim before dispatch, and the reply to later copies of a call.

use bytes::Bytes;
use ibishill_core::{clock, id, outcome, repeat, time};
use ibishill_decide::plan;
use ibishill_peer::frame;
use ibishill_state::claim;

use super::Shared;
use crate::{claims, entry};

const CLAIM_TIMEOUT: time::Millis = time::Millis::from_secs(2);

const RETRY_AFTER_UNDECIDED: time::Millis = time::Millis::from_secs(5);
const RETRY_AFTER_IN_PROGRESS: time::Millis = time::Millis::from_secs(1);

/// A claimed call. Dropped without [`Call::complete`] or [`Call::refuse`], it is recorded as
/// possibly run.
pub(crate) struct Call {
    ticket: claims::Ticket,
    answer: Option<claim::Answer>,
    body: Option<Vec<u8>>,
}

/// The recorded answer of a call, which a later copy of it gets.
pub(crate) struct Replay {
    /// Request that ran.
    pub(crate) request: id::RequestId,
    /// Recorded head of the answer; its body is in `body`.
    pub(crate) answer: claim::Answer,
    /// Body of the answer, complete.
    pub(crate) body: Bytes,
}

/// Reason why a call must not be dispatched.
pub(crate) enum NotDispatched {
    /// A copy has run, and its answer is recorded.
    Replay(Box<Replay>),
    /// There is no answer to replay: a copy runs, may have run or ran without a recorded answer,
    /// the key belongs to a different request, or the claim is undecided.
    Refused(outcome::Refusal),
}

// A repeated idempotent call to a service does no harm, but a repeated chat is billed twice.
fn is_claimed(request: &entry::Request) -> bool {
    request.repeat == repeat::Repeat::Never
        || !matches!(request.selector, plan::Selector::Service(_))
}

/// Claims a call that has an idempotency key and must not run twice.
///
/// # Errors
///
/// Returns the reason if the call must not be dispatched.
pub(crate) async fn claim(
    context: &Shared,
    request: &entry::Request,
    body: &[u8],
) -> Result<Option<Call>, NotDispatched> {
    let Some(key) = request.key.as_ref().filter(|_| is_claimed(request)) else { return Ok(None) };
    let parts = [&request.method, &request.path, &request.content_type].map(|part| part.as_bytes());
    let service = match &request.selector {
        plan::Selector::Service(service) => service.to_string(),
        _ => String::new(),
    };
    let claim = claim::Claim {
        workspace: request.workspace.clone(),
        key: key.to_string(),
        fingerprint: claim::Fingerprint::of(&[
            service.as_bytes(),
            parts[0],
            parts[1],
            parts[2],
            body,
        ]),
        request: request.request.clone(),
        nonce: claim::Nonce(rand::random()),
        at: clock::wall_now(),
    };
    let timeout = CLAIM_TIMEOUT.min(request.remaining);
    match context.claims.claim(claim, timeout).await {
        Ok(claims::Claimed::Won(ticket)) => {
            Ok(Some(Call { ticket, answer: None, body: Some(Vec::new()) }))
        }
        Ok(claims::Claimed::Lost(verdict)) => Err(not_dispatched(verdict)),
        Err(undecided) => Err(NotDispatched::Refused(
            outcome::Refusal::not_run(
                outcome::Reason::ClaimUnavailable,
                format!("the call was not dispatched: {undecided}"),
            )
            .retry_after(RETRY_AFTER_UNDECIDED),
        )),
    }
}

fn not_dispatched(verdict: claim::Verdict) -> NotDispatched {
    let refusal = match verdict {
        claim::Verdict::Recorded(recorded) => return from_recorded(recorded),
        claim::Verdict::Lapsed => copy_unknown("its daemon was lost while the call may have run"),
        claim::Verdict::Reused => outcome::Refusal::not_run(
            outcome::Reason::KeyReused,
            "the idempotency key was used with a different request",
        ),
        // This copy has not run, but the outcome is that of the call under the key: unknown.
        claim::Verdict::InProgress | claim::Verdict::Won => outcome::Refusal::unknown(
            outcome::Reason::InProgress,
            "another copy with this idempotency key runs; this one was not dispatched",
        )
        .retry_after(RETRY_AFTER_IN_PROGRESS),
    };
    NotDispatched::Refused(refusal)
}

fn copy_unknown(cause: &str) -> outcome::Refusal {
    let detail = format!(
        "another copy with this idempotency key may have run ({cause}); this one was not dispatched"
    );
    outcome::Refusal::unknown(outcome::Reason::CopyUnknown, detail)
}

fn from_recorded(recorded: claim::Recorded) -> NotDispatched {
    let request = recorded.request;
    let Some(mut answer) = recorded.answer else {
        return NotDispatched::Refused(copy_unknown(&format!(
            "request {request} got no whole answer"
        )));
    };
    match answer.body.take() {
        Some(body) => {
            NotDispatched::Replay(Box::new(Replay { request, answer, body: Bytes::from(body) }))
        }
        None => {
            let status = answer.status;
            let detail = format!(
                "request {request} with this idempotency key ran with status {status}; \
                 its answer is not kept, and this copy was not dispatched"
            );
            NotDispatched::Refused(outcome::Refusal::ran(outcome::Reason::AlreadyRan, detail))
        }
    }
}

impl Call {
    /// Records the head of the answer.
    pub(crate) fn record_head(&mut self, head: &frame::Head, target: &id::Target) {
        self.answer = Some(claim::Answer {
            target: target.clone(),
            zone: head.zone.clone(),
            status: head.status,
            content: head.content_type.clone(),
            headers: head.headers.clone(),
            body: None,
        });
    }

    /// Records a chunk of the answer's body; a body over the size limit is dropped.
    pub(crate) fn record_chunk(&mut self, chunk: &[u8]) {
        let Some(body) = &mut self.body else { return };
        if body.len() + chunk.len() > claim::MAX_BODY_BYTES {
            self.body = None;
        } else {
            body.extend_from_slice(chunk);
        }
    }

    /// Records that the call ran, with the answer's body if it is UTF-8 within the size limit.
    pub(crate) fn complete(mut self) {
        let body = self.body.take().and_then(|body| String::from_utf8(body).ok());
        let answer = self.answer.take().map(|answer| claim::Answer { body, ..answer });
        let request = self.ticket.claim().request.clone();
        let outcome = outcome::Outcome::Ran;
        let recorded = claim::Recorded { request, outcome, answer };
        self.ticket.set_ending(claim::Ending::Recorded(recorded));
    }

    /// Abandons the claim if the call has not run, so that a copy may run; otherwise the outcome
    /// stays unknown.
    pub(crate) fn refuse(mut self, refusal: &outcome::Refusal) {
        if refusal.outcome == outcome::Outcome::NotRun {
            self.ticket.set_ending(claim::Ending::Abandoned);
        }
    }
}
