//! Calls that run at most once: the claim before dispatch, and what a later copy is told.

use bytes::Bytes;
use ibishill_core::{clock, id, outcome, repeat, time};
use ibishill_decide::plan;
use ibishill_peer::frame;
use ibishill_state::claim;

use super::Shared;
use crate::{claims, entry};

/// Longest wait for the verdict on a claim.
const CLAIM_LIMIT: time::Millis = time::Millis::from_secs(2);

const RETRY_UNDECIDED: time::Millis = time::Millis::from_secs(5);
const RETRY_IN_PROGRESS: time::Millis = time::Millis::from_secs(1);

/// A claimed call; dropped without an end, it may have run.
pub(crate) struct Once {
    ticket: claims::Ticket,
    answer: Option<claim::Answer>,
    heard: Option<Vec<u8>>,
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
pub(crate) enum Stop {
    /// A copy of it has run; its answer is kept.
    Replay(Box<Replay>),
    /// What is known instead.
    Refused(outcome::Refusal),
}

// A repeated read does no harm, but a repeated chat is billed twice.
fn is_claimed(asked: &entry::Request) -> bool {
    asked.repeat == repeat::Repeat::Never || !matches!(asked.selector, plan::Selector::Service(_))
}

/// Claims a call that has an idempotency key and must not run twice.
///
/// # Errors
///
/// The call must not be dispatched.
pub(crate) async fn claim(
    context: &Shared,
    asked: &entry::Request,
    body: &[u8],
) -> Result<Option<Once>, Stop> {
    let Some(key) = asked.key.as_ref().filter(|_| is_claimed(asked)) else { return Ok(None) };
    let parts = [&asked.method, &asked.path, &asked.content_type].map(|part| part.as_bytes());
    let service = match &asked.selector {
        plan::Selector::Service(service) => service.to_string(),
        _ => String::new(),
    };
    let claim = claim::Claim {
        workspace: asked.workspace.clone(),
        key: key.to_string(),
        fingerprint: claim::Fingerprint::of(&[
            service.as_bytes(),
            parts[0],
            parts[1],
            parts[2],
            body,
        ]),
        request: asked.request.clone(),
        nonce: claim::Nonce(rand::random()),
        at: clock::wall_now(),
    };
    let within = CLAIM_LIMIT.min(asked.remaining);
    match context.claims.claim(claim, within).await {
        Ok(claims::Claimed::Won(ticket)) => {
            Ok(Some(Once { ticket, answer: None, heard: Some(Vec::new()) }))
        }
        Ok(claims::Claimed::Lost(verdict)) => Err(told(verdict)),
        Err(undecided) => Err(Stop::Refused(
            outcome::Refusal::not_run(
                outcome::Reason::ClaimUnavailable,
                format!("the call was not dispatched: {undecided}"),
            )
            .retry_after(RETRY_UNDECIDED),
        )),
    }
}

fn told(verdict: claim::Verdict) -> Stop {
    let refusal = match verdict {
        claim::Verdict::Recorded(recorded) => return recorded_stop(recorded),
        claim::Verdict::Lapsed => unknown("its daemon was lost while the call may have run"),
        claim::Verdict::Reused => outcome::Refusal::not_run(
            outcome::Reason::KeyReused,
            "the idempotency key was used with a different request",
        ),
        // This copy has not run; of the call that the key names, more can't be said.
        claim::Verdict::InProgress | claim::Verdict::Won => outcome::Refusal::unknown(
            outcome::Reason::InProgress,
            "another copy with this idempotency key runs; this one was not dispatched",
        )
        .retry_after(RETRY_IN_PROGRESS),
    };
    Stop::Refused(refusal)
}

fn unknown(why: &str) -> outcome::Refusal {
    let detail = format!(
        "another copy with this idempotency key may have run ({why}); this one was not dispatched"
    );
    outcome::Refusal::unknown(outcome::Reason::CopyUnknown, detail)
}

fn recorded_stop(recorded: claim::Recorded) -> Stop {
    let request = recorded.request;
    let Some(mut answer) = recorded.answer else {
        return Stop::Refused(unknown(&format!("request {request} got no whole answer")));
    };
    match answer.body.take() {
        Some(body) => Stop::Replay(Box::new(Replay { request, answer, body: Bytes::from(body) })),
        None => {
            let status = answer.status;
            let detail = format!(
                "request {request} with this idempotency key ran with status {status}; \
                 its answer is not kept, and this copy was not dispatched"
            );
            Stop::Refused(outcome::Refusal::ran(outcome::Reason::AlreadyRan, detail))
        }
    }
}

impl Once {
    /// Notes how the answer begins.
    pub(crate) fn answered(&mut self, head: &frame::Head, target: &id::Target) {
        self.answer = Some(claim::Answer {
            target: target.clone(),
            zone: head.zone.clone(),
            status: head.status,
            content: head.content_type.clone(),
            headers: head.headers.clone(),
            body: None,
        });
    }

    /// Notes a part of the answer.
    pub(crate) fn heard(&mut self, chunk: &[u8]) {
        let Some(heard) = &mut self.heard else { return };
        if heard.len() + chunk.len() > claim::MAX_BODY_BYTES {
            self.heard = None;
        } else {
            heard.extend_from_slice(chunk);
        }
    }

    /// Records that the call ran, with its answer if that is small text.
    pub(crate) fn ran(mut self) {
        let body = self.heard.take().and_then(|heard| String::from_utf8(heard).ok());
        let answer = self.answer.take().map(|answer| claim::Answer { body, ..answer });
        let request = self.ticket.claim().request.clone();
        let outcome = outcome::Outcome::Ran;
        let recorded = claim::Recorded { request, outcome, answer };
        self.ticket.set_ending(claim::Ending::Recorded(recorded));
    }

    /// Records how a call was given up: one that has not run may be sent again.
    pub(crate) fn refused(mut self, refusal: &outcome::Refusal) {
        if refusal.outcome == outcome::Outcome::NotRun {
            self.ticket.set_ending(claim::Ending::Abandoned);
        }
    }
}
