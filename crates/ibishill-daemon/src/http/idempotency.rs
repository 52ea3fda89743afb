//! Calls that run at most once: the claim before dispatch, and what a later copy is told.

use bytes::Bytes;
use ibishill_core::{clock, id, outcome, repeat, time};
use ibishill_decide::plan;
use ibishill_peer::frame;
use ibishill_state::claim;

use super::Shared;
use crate::{claims, entry};

/// Longest wait for the verdict on a claim.
const CLAIM_TIMEOUT: time::Millis = time::Millis::from_secs(2);

const RETRY_AFTER_UNDECIDED: time::Millis = time::Millis::from_secs(5);
const RETRY_AFTER_IN_PROGRESS: time::Millis = time::Millis::from_secs(1);

/// A claimed call; dropped without an end, it may have run.
pub(crate) struct Call {
    ticket: claims::Ticket,
    answer: Option<claim::Answer>,
    body: Option<Vec<u8>>,
}

/// The answer of a call that ran, for a later copy of it.
pub(crate) struct Replay {
    /// The request that ran.
    pub(crate) request: id::RequestId,
    /// What is kept of its answer.
    pub(crate) answer: claim::Answer,
    /// The whole body.
    pub(crate) body: Bytes,
}

/// Why a call is not dispatched.
pub(crate) enum NotDispatched {
    /// A copy of it has run; its answer is kept.
    Replay(Box<Replay>),
    /// What is known instead.
    Refused(outcome::Refusal),
}

// A repeated read does no harm, but a repeated chat is billed twice.
fn is_claimed(request: &entry::Request) -> bool {
    request.repeat == repeat::Repeat::Never
        || !matches!(request.selector, plan::Selector::Service(_))
}

/// Claims a call that has an idempotency key and must not run twice.
///
/// # Errors
///
/// The call must not be dispatched.
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
        // This copy has not run; of the call that the key names, more can't be said.
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
    /// Notes how the answer begins.
    pub(crate) fn record_head(&mut self, head: &frame::Head, target: &id::Target) {
        self.answer = Some(claim::Answer {
            target: target.clone(),
            zone: head.zone.clone(),
            status: head.status,
            content: head.content.clone(),
            headers: head.headers.clone(),
            body: None,
        });
    }

    /// Notes a part of the answer.
    pub(crate) fn record_chunk(&mut self, chunk: &[u8]) {
        let Some(body) = &mut self.body else { return };
        if body.len() + chunk.len() > claim::MAX_BODY_BYTES {
            self.body = None;
        } else {
            body.extend_from_slice(chunk);
        }
    }

    /// Records that the call ran, with its answer if that is small text.
    pub(crate) fn complete(mut self) {
        let body = self.body.take().and_then(|body| String::from_utf8(body).ok());
        let answer = self.answer.take().map(|answer| claim::Answer { body, ..answer });
        let request = self.ticket.claim().request.clone();
        let outcome = outcome::Outcome::Ran;
        let recorded = claim::Recorded { request, outcome, answer };
        self.ticket.set_ending(claim::Ending::Recorded(recorded));
    }

    /// Records how a call was given up: one that has not run may be sent again.
    pub(crate) fn refuse(mut self, refusal: &outcome::Refusal) {
        if refusal.outcome == outcome::Outcome::NotRun {
            self.ticket.set_ending(claim::Ending::Abandoned);
        }
    }
}
