//! A caller's running request: the slots that it reserves, and its outcome, which is recorded once.

use std::sync::Arc;

use ibishill_core::{clock, cost, event, id, outcome, time};
use ibishill_decide::plan;
use ibishill_peer::frame;
use ibishill_state::billing;

use super::{Shared, auth, idempotency, pin, reply};
use crate::entry::cascade;
use crate::{context, entry, ledger};

const TOKENS_PER_PRICE: u64 = 1_000;
const RETRY_AFTER_FULL: time::Millis = time::Millis::from_secs(1);

/// A running request, which releases its slots when it is dropped.
pub(crate) struct Request {
    context: Shared,
    caller: auth::Caller,
    selector: Option<plan::Selector>,
    earlier: Vec<cascade::EarlierRun>,
    slot: Option<ledger::Slot>,
    claimed: Option<Box<idempotency::Call>>,
    has_begun: bool,
    has_ended: bool,
    _guard: context::RequestGuard,
}

impl Request {
    /// Reserves the request slot and the slot in the billing ledger.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the daemon is stopping, not ready or at its limit of requests.
    pub(crate) fn begin(context: &Shared, caller: &auth::Caller) -> Result<Self, outcome::Refusal> {
        let max_streams = context.settings.limits.streams;
        let guard = context.lifecycle.start_request(max_streams).ok_or_else(|| {
            let detail = "the daemon runs as many requests as it may";
            outcome::Refusal::not_run(outcome::Reason::Overloaded, detail)
                .retry_after(RETRY_AFTER_FULL)
        })?;
        if context.lifecycle.is_closed() {
            let detail = "the daemon is stopping; another one will answer";
            return Err(outcome::Refusal::not_run(outcome::Reason::Stopping, detail));
        }
        let slot = context.ledger.reserve()?;
        Ok(Self {
            context: Arc::clone(context),
            caller: caller.clone(),
            selector: None,
            earlier: Vec::new(),
            slot: Some(slot),
            claimed: None,
            has_begun: false,
            has_ended: false,
            _guard: guard,
        })
    }

    /// Claims the call if it has an idempotency key and must not run twice.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call must not be dispatched: a copy has run, runs or may have
    /// run, the key belongs to a different request, or the claim is undecided.
    pub(crate) async fn claim(
        &mut self,
        request: &entry::Request,
        body: &[u8],
    ) -> Result<(), idempotency::NotDispatched> {
        self.claimed = idempotency::claim(&self.context, request, body).await?.map(Box::new);
        Ok(())
    }

    /// Ends a request that is not dispatched: replays the recorded answer or refuses it.
    pub(crate) fn reject(
        mut self,
        reason: idempotency::NotDispatched,
    ) -> Result<reply::Reply, reply::Refused> {
        let replay = match reason {
            idempotency::NotDispatched::Refused(refusal) => return Err(self.refuse(refusal, 0)),
            idempotency::NotDispatched::Replay(replay) => replay,
        };
        self.has_ended = true;
        self.context.metrics.record_end(outcome::Outcome::Ran, None);
        let request = self.caller.request.clone();
        let metadata = reply::Metadata {
            request,
            target: replay.answer.target,
            zone: replay.answer.zone,
            attempts: 0,
            status: replay.answer.status,
            content_type: replay.answer.content,
            content_length: None,
            headers: replay.answer.headers,
            pin: None,
            replay_of: Some(replay.request),
        };
        Ok(reply::Reply::Buffered(metadata, reply::Body::new(replay.body, self)))
    }

    /// Records a chunk of the answer's body.
    pub(crate) fn record_chunk(&mut self, chunk: &[u8]) {
        if let Some(claimed) = &mut self.claimed {
            claimed.record_chunk(chunk);
        }
    }

    /// Records the head of the answer. From then on, a drop without an end is recorded as an
    /// outcome `unknown`.
    pub(crate) fn record_head(&mut self, head: &frame::Head, target: &id::Target) {
        if let Some(claimed) = &mut self.claimed {
            claimed.record_head(head, target);
        }
        self.has_begun = true;
        self.context.metrics.record_first_byte(reply::seconds_since(self.caller.arrived));
    }

    /// Sets the request's selector, which decides whether its answer changes the session's pin.
    pub(crate) fn set_selector(&mut self, selector: &plan::Selector) {
        self.selector = Some(selector.clone());
    }

    /// Sets the earlier runs of a cascade, which are billed with the last one.
    pub(crate) fn set_earlier(&mut self, earlier: Vec<cascade::EarlierRun>) {
        self.earlier = earlier;
    }

    /// Records and bills a request that ran.
    pub(crate) fn complete(&mut self, target: &id::Target, usage: cost::Usage) {
        self.has_ended = true;
        if let Some(claimed) = self.claimed.take() {
            claimed.complete();
        }
        self.context.metrics.record_end(outcome::Outcome::Ran, None);
        let last = billing::Run {
            target: target.to_string(),
            usage,
            price: price(&self.context, target, usage),
        };
        let earlier = self.earlier.iter().map(|run| billing_run(&self.context, run)).collect();
        self.bill(last, earlier);
    }

    // Bills a request of unknown outcome, at no price.
    fn bill_unknown(&mut self) {
        let last = billing::Run {
            target: billing::UNKNOWN_TARGET.into(),
            usage: cost::Usage::default(),
            price: cost::Micros::default(),
        };
        self.bill(last, Vec::new());
    }

    fn bill(&mut self, last: billing::Run, earlier: Vec<billing::Run>) {
        let Some(slot) = self.slot.take() else { return };
        slot.bill(billing::Record {
            request: self.caller.request.clone(),
            workspace: self.caller.workspace.clone(),
            target: last.target,
            usage: last.usage,
            price: last.price,
            at: clock::wall_now(),
            earlier,
        });
    }

    /// Records the refusal of a request; one of unknown outcome is billed at no price.
    pub(crate) fn refuse(&mut self, refusal: outcome::Refusal, attempts: u32) -> reply::Refused {
        self.has_ended = true;
        if let Some(claimed) = self.claimed.take() {
            claimed.refuse(&refusal);
        }
        // A refused copy is not billed: the unknown outcome is that of the call under the same key.
        let is_refused_copy =
            matches!(refusal.reason, outcome::Reason::InProgress | outcome::Reason::CopyUnknown);
        if refusal.outcome == outcome::Outcome::Unknown && !is_refused_copy {
            self.bill_unknown();
        }
        let workspace = Some(self.caller.workspace.clone());
        let refused = reply::Refused::new(&self.context, &self.caller.request, workspace, refusal);
        refused.with_attempts(attempts)
    }

    /// Returns status and headers for the response.
    pub(crate) fn metadata(
        &self,
        head: &frame::Head,
        target: &id::Target,
        attempts: u32,
    ) -> reply::Metadata {
        let pin =
            |selector| pin::issue(&self.context.session_keys.get(), &self.caller, selector, target);
        reply::Metadata {
            request: self.caller.request.clone(),
            target: target.clone(),
            zone: head.zone.clone(),
            attempts,
            status: head.status,
            content_type: head.content_type.clone(),
            pin: self.selector.as_ref().and_then(pin),
            content_length: None,
            headers: head.headers.clone(),
            replay_of: None,
        }
    }

    pub(crate) fn context(&self) -> &Shared {
        &self.context
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        if self.has_begun && !self.has_ended {
            let fields = [event::field("request", &self.caller.request)];
            event::emit(event::Event::CallerLeft, &fields);
            self.context.metrics.record_end(outcome::Outcome::Unknown, None);
            self.bill_unknown();
        }
    }
}

fn billing_run(context: &context::Context, earlier: &cascade::EarlierRun) -> billing::Run {
    billing::Run {
        target: earlier.target.to_string(),
        usage: earlier.usage,
        price: price(context, &earlier.target, earlier.usage),
    }
}

fn price(context: &context::Context, target: &id::Target, usage: cost::Usage) -> cost::Micros {
    let config = context.config.get();
    let id::Target::Version(version) = target else { return cost::Micros::default() };
    let Some(version) = config.declared.versions.get(version) else {
        return cost::Micros::default();
    };
    let prompt = version.prompt_price.0.saturating_mul(usage.prompt);
    let output = version.output_price.0.saturating_mul(usage.output);
    cost::Micros(prompt.saturating_add(output).div_ceil(TOKENS_PER_PRICE))
}
