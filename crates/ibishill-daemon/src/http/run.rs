//! A caller's running request: what it reserves, and how its end is counted once.

use std::sync::Arc;

use ibishill_core::{clock, cost, event, id, outcome, time};
use ibishill_state::billing;

use super::{Shared, auth, reply};
use crate::{context, entry, ledger};

const TOKENS_PER_PRICE: u64 = 1_000;
const RETRY_WHEN_FULL: time::Millis = time::Millis::from_secs(1);

/// A running request; its slots are given back when it is dropped.
pub(crate) struct Run {
    context: Shared,
    caller: auth::Caller,
    slot: Option<ledger::Slot>,
    has_begun: bool,
    has_ended: bool,
    _running: context::Running,
}

impl Run {
    /// Reserves what a request needs before it runs.
    ///
    /// # Errors
    ///
    /// Refuses if the daemon is stopping, not ready or full.
    pub(crate) fn begin(context: &Shared, caller: &auth::Caller) -> Result<Self, outcome::Refusal> {
        let most = context.settings.limits.streams;
        let running = context.life.start(most).ok_or_else(|| {
            let detail = "the daemon runs as many requests as it may";
            outcome::Refusal::not_run(outcome::Reason::Overloaded, detail)
                .retry_after(RETRY_WHEN_FULL)
        })?;
        if context.life.closed() {
            let detail = "the daemon is stopping; another one will answer";
            return Err(outcome::Refusal::not_run(outcome::Reason::Stopping, detail));
        }
        let slot = context.ledger.reserve()?;
        Ok(Self {
            context: Arc::clone(context),
            caller: caller.clone(),
            slot: Some(slot),
            has_begun: false,
            has_ended: false,
            _running: running,
        })
    }

    /// Notes that the answer has begun: from now on the request's end is counted here.
    pub(crate) fn answered(&mut self) {
        self.has_begun = true;
        self.context.metrics.first_byte(reply::seconds_since(self.caller.arrived));
    }

    /// Bills a request that ran.
    pub(crate) fn ran(&mut self, target: &id::Target, usage: cost::Usage) {
        self.has_ended = true;
        self.context.metrics.ended(outcome::Outcome::Ran, None);
        let record = billing::Record {
            request: self.caller.request.clone(),
            workspace: self.caller.workspace.clone(),
            target: target.to_string(),
            usage,
            price: price(&self.context, target, usage),
            at: clock::wall_now(),
        };
        if let Some(slot) = self.slot.take() {
            slot.bill(record);
        }
    }

    /// Counts a request that was given up.
    pub(crate) fn refused(&mut self, refusal: outcome::Refusal, attempts: u32) -> reply::Refused {
        self.has_ended = true;
        let workspace = Some(self.caller.workspace.clone());
        let refused = reply::Refused::new(&self.context, &self.caller.request, workspace, refusal);
        refused.attempts(attempts)
    }

    /// What the answer's headers tell.
    pub(crate) fn facts(&self, answer: &entry::Answer) -> reply::Facts {
        reply::Facts {
            request: self.caller.request.clone(),
            target: answer.target.clone(),
            zone: answer.head.zone.clone(),
            attempts: answer.attempts,
            status: answer.head.status,
            content: answer.head.content.clone(),
            length: None,
            headers: answer.head.headers.clone(),
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
            self.context.metrics.ended(outcome::Outcome::Unknown, None);
        }
    }
}

fn price(context: &context::Context, target: &id::Target, usage: cost::Usage) -> cost::Micros {
    let config = context.cell.get();
    let id::Target::Version(version) = target else { return cost::Micros::default() };
    let Some(version) = config.declared.versions.get(version) else {
        return cost::Micros::default();
    };
    let prompt = version.prompt_price.0.saturating_mul(usage.prompt);
    let output = version.output_price.0.saturating_mul(usage.output);
    cost::Micros(prompt.saturating_add(output).div_ceil(TOKENS_PER_PRICE))
}
