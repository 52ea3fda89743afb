//! A caller's running request: what it reserves, and how its end is counted once.

use std::sync::Arc;

use ibishill_core::{clock, cost, event, id, outcome, time};
use ibishill_decide::plan;
use ibishill_peer::frame;
use ibishill_state::billing;

use super::{Shared, auth, once, pin, reply};
use crate::entry::cascade;
use crate::{context, entry, ledger};

const TOKENS_PER_PRICE: u64 = 1_000;
const RETRY_WHEN_FULL: time::Millis = time::Millis::from_secs(1);

/// A running request; its slots are given back when it is dropped.
pub(crate) struct Run {
    context: Shared,
    caller: auth::Caller,
    wanted: Option<plan::Selector>,
    earlier: Vec<cascade::EarlierRun>,
    slot: Option<ledger::Slot>,
    once: Option<Box<once::Once>>,
    has_begun: bool,
    has_ended: bool,
    _running: context::RequestGuard,
}

impl Run {
    /// Reserves what a request needs before it runs.
    ///
    /// # Errors
    ///
    /// Refuses if the daemon is stopping, not ready or full.
    pub(crate) fn begin(context: &Shared, caller: &auth::Caller) -> Result<Self, outcome::Refusal> {
        let most = context.settings.limits.streams;
        let running = context.lifecycle.start_request(most).ok_or_else(|| {
            let detail = "the daemon runs as many requests as it may";
            outcome::Refusal::not_run(outcome::Reason::Overloaded, detail)
                .retry_after(RETRY_WHEN_FULL)
        })?;
        if context.lifecycle.is_closed() {
            let detail = "the daemon is stopping; another one will answer";
            return Err(outcome::Refusal::not_run(outcome::Reason::Stopping, detail));
        }
        let slot = context.ledger.reserve()?;
        Ok(Self {
            context: Arc::clone(context),
            caller: caller.clone(),
            wanted: None,
            earlier: Vec::new(),
            slot: Some(slot),
            once: None,
            has_begun: false,
            has_ended: false,
            _running: running,
        })
    }

    /// Claims a call that must not run twice, if it is one.
    ///
    /// # Errors
    ///
    /// The call must not be dispatched: a copy of it has run, runs or may have run, or
    /// that is not known.
    pub(crate) async fn claim(
        &mut self,
        asked: &entry::Request,
        body: &[u8],
    ) -> Result<(), once::Stop> {
        self.once = once::claim(&self.context, asked, body).await?.map(Box::new);
        Ok(())
    }

    /// Answers a copy with the answer of the call that ran, or refuses it.
    pub(crate) fn stop(mut self, stop: once::Stop) -> Result<reply::Reply, reply::Refused> {
        let replay = match stop {
            once::Stop::Refused(refusal) => return Err(self.refused(refusal, 0)),
            once::Stop::Replay(replay) => replay,
        };
        self.has_ended = true;
        self.context.metrics.record_end(outcome::Outcome::Ran, None);
        let request = self.caller.request.clone();
        let facts = reply::Facts {
            request,
            target: replay.answer.target,
            zone: replay.answer.zone,
            attempts: 0,
            status: replay.answer.status,
            content: replay.answer.content,
            length: None,
            headers: replay.answer.headers,
            session: None,
            replayed: Some(replay.request),
        };
        Ok(reply::Reply::Whole(facts, reply::Held::new(replay.body, self)))
    }

    /// Notes a part of the answer.
    pub(crate) fn heard(&mut self, chunk: &[u8]) {
        if let Some(once) = &mut self.once {
            once.heard(chunk);
        }
    }

    /// Notes that the answer has begun: from now on the request's end is counted here.
    pub(crate) fn answered(&mut self, head: &frame::Head, target: &id::Target) {
        if let Some(once) = &mut self.once {
            once.answered(head, target);
        }
        self.has_begun = true;
        self.context.metrics.record_first_byte(reply::seconds_since(self.caller.arrived));
    }

    /// Notes what the caller asked for, which decides on the session's pin.
    pub(crate) fn wants(&mut self, wanted: &plan::Selector) {
        self.wanted = Some(wanted.clone());
    }

    /// Notes earlier runs, which are billed with the last one.
    pub(crate) fn spent(&mut self, earlier: Vec<cascade::EarlierRun>) {
        self.earlier = earlier;
    }

    /// Bills a request that ran.
    pub(crate) fn ran(&mut self, target: &id::Target, usage: cost::Usage) {
        self.has_ended = true;
        if let Some(once) = self.once.take() {
            once.ran();
        }
        self.context.metrics.record_end(outcome::Outcome::Ran, None);
        let last = billing::Run {
            target: target.to_string(),
            usage,
            price: price(&self.context, target, usage),
        };
        let earlier = self.earlier.iter().map(|spent| part(&self.context, spent)).collect();
        self.bill(last, earlier);
    }

    // Records a request that may or may not have run, at no price.
    fn unknown(&mut self) {
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

    /// Counts a request that was given up.
    pub(crate) fn refused(&mut self, refusal: outcome::Refusal, attempts: u32) -> reply::Refused {
        self.has_ended = true;
        if let Some(once) = self.once.take() {
            once.refused(&refusal);
        }
        // A refused copy is not billed: what is unknown is the call that its key names.
        let is_copy =
            matches!(refusal.reason, outcome::Reason::InProgress | outcome::Reason::CopyUnknown);
        if refusal.outcome == outcome::Outcome::Unknown && !is_copy {
            self.unknown();
        }
        let workspace = Some(self.caller.workspace.clone());
        let refused = reply::Refused::new(&self.context, &self.caller.request, workspace, refusal);
        refused.attempts(attempts)
    }

    /// What the answer's headers tell.
    pub(crate) fn facts(
        &self,
        head: &frame::Head,
        target: &id::Target,
        attempts: u32,
    ) -> reply::Facts {
        let pin = |wanted| pin::pin(&self.context.sessions.get(), &self.caller, wanted, target);
        reply::Facts {
            request: self.caller.request.clone(),
            target: target.clone(),
            zone: head.zone.clone(),
            attempts,
            status: head.status,
            content: head.content_type.clone(),
            session: self.wanted.as_ref().and_then(pin),
            length: None,
            headers: head.headers.clone(),
            replayed: None,
        }
    }

    /// The daemon's context.
    pub(crate) fn context(&self) -> &Shared {
        &self.context
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.has_begun && !self.has_ended {
            let fields = [event::field("request", &self.caller.request)];
            event::emit(event::Event::CallerLeft, &fields);
            self.context.metrics.record_end(outcome::Outcome::Unknown, None);
            self.unknown();
        }
    }
}

fn part(context: &context::Context, spent: &cascade::EarlierRun) -> billing::Run {
    billing::Run {
        target: spent.target.to_string(),
        usage: spent.usage,
        price: price(context, &spent.target, spent.usage),
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
