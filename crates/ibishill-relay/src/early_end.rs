//! Detects endpoints that end while requests are there or just after, as opposed to connections that are cut, and has
//! the requests' keys judged by it.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use ibishill_core::{call, event, fleet, id, time};
use ibishill_decide::{endpoint_key, exposure, quarantine};
use tokio::time as clock;

use crate::attempt::Outcome;
use crate::context::Shared;
use crate::request::{Received, Target};
use crate::state::State;
use crate::upstream::{self, CallError};

/// Time from the head of an answer within which its end counts as early.
const BEGIN_WINDOW: time::Millis = time::Millis(150);

/// The same for an answer without any event, as a full engine takes longer to send the first one.
const FIRST_EVENT_WINDOW: time::Millis = time::Millis(400);

/// Delay of the check, within which a process that has crashed stops listening.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// Timeout of the check.
const CHECK_TIMEOUT: time::Millis = time::Millis(300);

/// Timeout of the check before a request is sent again.
const FIRST_CHECK_TIMEOUT: time::Millis = time::Millis(40);

/// Interval of the checks which endpoints go on.
const SURVIVAL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of concurrent checks.
const CHECKS_MAX: u32 = 64;

/// Beginning of an endpoint's streamed answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Beginning {
    began: time::Tick,
    events: u64,
    is_recorded: bool,
}

impl Beginning {
    /// The head of the answer has arrived at `began`.
    pub(crate) const fn at(began: time::Tick) -> Self {
        Self { began, events: 0, is_recorded: false }
    }

    /// Arrival of the answer's head.
    pub(crate) const fn began(&self) -> time::Tick {
        self.began
    }

    /// Number of complete events.
    pub(crate) const fn events(&self) -> u64 {
        self.events
    }

    /// Records a complete event.
    pub(crate) const fn record_event(&mut self) {
        self.events += 1;
    }

    /// Whether it has yet to be recorded that the answer has gone on; true once.
    pub(crate) const fn take_survival(&mut self) -> bool {
        self.events > 0 && !std::mem::replace(&mut self.is_recorded, true)
    }

    /// Whether an end at `now` is early.
    pub(crate) fn is_early(&self, now: time::Tick) -> bool {
        let window = if self.events == 0 { FIRST_EVENT_WINDOW } else { BEGIN_WINDOW };
        now.since(self.began) < window
    }
}

/// Ids of a prompt's shared segments, for the log.
pub(crate) fn segment_list(metadata: &call::Metadata) -> String {
    let ids: Vec<String> = metadata.shared_segments().iter().map(ToString::to_string).collect();
    ids.join(",")
}

/// Counts a running check until dropped.
struct CheckGuard(Shared);

impl CheckGuard {
    fn begin(context: &Shared) -> Option<Self> {
        if context.end_checks.get() >= CHECKS_MAX {
            return None;
        }
        context.end_checks.set(context.end_checks.get() + 1);
        Some(Self(context.clone()))
    }
}

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.0.end_checks.set(self.0.end_checks.get() - 1);
    }
}

/// Checks in the background whether an endpoint, whose answer has ended early, has ended itself:
/// it refuses connections then.
pub(crate) fn check(context: &Shared, received: &Received, endpoint: &id::EndpointId) {
    let lost = Lost::new(received, received.suspects(), context.now());
    check_later(context, lost, endpoint);
}

fn check_later(context: &Shared, lost: Lost, endpoint: &id::EndpointId) {
    let Some(registration) = context.state().balancer.entry(endpoint).cloned() else { return };
    let Some(guard) = CheckGuard::begin(context) else { return };
    let context = context.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        clock::sleep(CHECK_DELAY).await;
        if refuses(&registration, CHECK_TIMEOUT).await {
            lost.record_end(&context, &registration);
        }
    });
}

/// Records what the outcome of an attempt says of the request; returns whether it was lost by a request
/// that was suspected before.
///
/// A request that is lost before any answer is checked at once, before it may be sent again: an endpoint
/// that has crashed refuses connections as soon as its own have ended, and may be back soon. A queue of
/// prompts may share that end, so it does not count against segments.
pub(crate) async fn record_outcome(
    context: &Shared,
    received: &Received,
    target: &Target,
    outcome: &Outcome,
) -> bool {
    let now = context.now();
    // The keys of a long prompt are not held while its endpoint is checked.
    let is_known =
        context.state().verdict(&received.refusable(), now) != quarantine::Verdict::Allowed;
    match outcome {
        Outcome::ConnectFailed | Outcome::NotAttempted => {
            context.state().quarantine.withdraw_trial(&received.refusable(), now);
            false
        }
        Outcome::Response(response) => {
            // An endpoint answers so at the deadline, whether or not the request has begun to run.
            let has_run = received.is_plain() && response.status() != StatusCode::GATEWAY_TIMEOUT;
            if has_run || response.status().is_success() {
                context.state().record_going_on(&received.suspects(), now, now);
            }
            false
        }
        Outcome::Unknown => {
            check_now(context, received, target).await;
            is_known
        }
        Outcome::TimedOut | Outcome::Unresponsive if received.is_plain() => {
            check(context, received, &target.endpoint);
            is_known
        }
        _ => false,
    }
}

// Checks whether the endpoint that has lost a request refuses connections; once more later if not.
async fn check_now(context: &Shared, received: &Received, target: &Target) {
    let entry = context.state().balancer.entry(&target.endpoint).cloned();
    let Some(registration) = entry else { return };
    let lost = Lost::new(received, vec![received.whole()], context.now());
    if refuses(&registration, FIRST_CHECK_TIMEOUT).await {
        lost.record_end(context, &registration);
    } else {
        check_later(context, lost, &target.endpoint);
    }
}

/// Checks whether an endpoint whose response has broken off refuses connections, and once more later if not:
/// it has ended then, and this counts against the prompts that were there.
pub(crate) async fn check_exposures(
    context: &Shared,
    received: &Received,
    endpoint: &id::EndpointId,
) {
    let Some(registration) = context.state().balancer.entry(endpoint).cloned() else { return };
    if received.is_plain() {
        return;
    }
    if refuses(&registration, FIRST_CHECK_TIMEOUT).await {
        record_refused(context, &registration);
    } else {
        check_later(context, Lost::new(received, Vec::new(), context.now()), endpoint);
    }
}

/// Records that an endpoint refuses connections: it has ended, and this counts against the prompts that were there.
pub(crate) fn record_refused(context: &Shared, registration: &fleet::Registration) {
    let (key, now) = (endpoint_key::EndpointKey::of(registration), context.now());
    let mut state = context.state();
    let is_end_expected = state.is_end_expected(registration);
    state.exposures.expect_end(key, is_end_expected);
    let is_expected = state.balancer.is_out_of_reach(&registration.id)
        || !state.balancer.is_open(&registration.id, now);
    if is_expected || !state.exposures.has_unresolved(key) {
        return;
    }
    let prompts = state.exposures.record_end(key, now);
    if prompts > 0 {
        context.metrics.record_exposed_ends();
        event::emit_json(
            event::Event::EndpointLost,
            &[event::field("endpoint", &registration.id), event::field("prompts", &prompts)],
        );
        context.evidence_added.notify_one();
    }
    judge(&mut state, now);
}

/// Finds out, after endpoints have ended, which others go on after prompts were there.
pub(crate) async fn check_survivals(context: Shared) {
    loop {
        clock::sleep(SURVIVAL_INTERVAL).await;
        let due = {
            let (mut state, now) = (context.state(), context.now());
            let due = state.exposures.due(now).into_iter();
            let due = due.filter_map(|key| Some((key, state.entry_of(key)?.clone())));
            let due: Vec<_> = due.take(CHECKS_MAX as usize).collect();
            for (key, _) in &due {
                state.exposures.record_check(*key, now);
            }
            due
        };
        let checks = due.into_iter().map(async |(key, registration)| {
            let at = context.now();
            match upstream::connect(registration.address, CHECK_TIMEOUT).await {
                Ok(_) => {
                    let now = context.now();
                    // The registration of another process may have come meanwhile.
                    let mut state = context.state();
                    if state.entry_of(key).is_some() {
                        state.record_alive(key, at, now);
                    }
                }
                Err(CallError::Connect(_)) => record_refused(&context, &registration),
                Err(_) => {}
            }
        });
        futures::future::join_all(checks).await;
    }
}

async fn refuses(registration: &fleet::Registration, timeout: time::Millis) -> bool {
    let result = upstream::connect(registration.address, timeout).await;
    matches!(result, Err(CallError::Connect(_)))
}

/// A request whose answer has not arrived, or has broken off.
struct Lost {
    request: Arc<str>,
    keys: Vec<call::SuspectKey>,
    at: time::Tick,
}

impl Lost {
    fn new(received: &Received, keys: Vec<call::SuspectKey>, at: time::Tick) -> Self {
        Self { request: received.metadata.id.clone(), keys, at }
    }

    // The endpoint that the request was sent to has ended.
    fn record_end(&self, context: &Shared, registration: &fleet::Registration) {
        // It refuses connections of this relay only.
        if context.state().balancer.is_out_of_reach(&registration.id) {
            return;
        }
        record_refused(context, registration);
        if self.keys.is_empty() {
            return;
        }
        context.metrics.record_early_end();
        let keys: Vec<String> = self.keys.iter().map(ToString::to_string).collect();
        event::emit_json(
            event::Event::EndpointEnded,
            &[
                event::field("endpoint", &registration.id),
                event::field("request", &self.request),
                event::field("keys", &keys.join(",")),
            ],
        );
        let key = endpoint_key::EndpointKey::of(registration);
        let mut state = context.state();
        if state.quarantine.record_end(&self.keys, key, self.at) {
            context.evidence_added.notify_one();
        }
        judge(&mut state, context.now());
    }
}

/// Refuses or releases what the evidence so far blames or clears, and logs it.
pub(crate) fn judge(state: &mut State, now: time::Tick) {
    let contacts = &*state.balancer.contacts();
    state.quarantine.void_ends(|key, at| contacts.has_answered_since(key, at), now);
    if state.exposures.is_due(now) {
        state.exposures.void_ends(|key, at| contacts.has_answered_since(key, at));
    }
    // What a trial has released is forgotten before the ends are judged again.
    let mut changes = state.quarantine.judge(now);
    for change in &changes {
        if let (call::SuspectKey::Segment(segment), false) = (change.key, change.is_refused) {
            state.exposures.forget(segment);
        }
    }
    let quarantine = &state.quarantine;
    let is_refused = |segment| quarantine.is_refused(call::SuspectKey::Segment(segment));
    let blamed = if exposure::is_compared(state.peers.alive_count(now)) {
        state.exposures.judge(is_refused, now)
    } else {
        Vec::new()
    };
    for blame in blamed {
        let key = call::SuspectKey::Segment(blame.segment);
        state.quarantine.refuse(key, &blame.ends, now);
    }
    changes.extend(state.quarantine.judge(now));
    for change in changes {
        event::emit_json(
            event::Event::QuarantineChanged,
            &[
                event::field("key", &change.key),
                event::field("is_refused", &change.is_refused),
                event::field("ends", &change.ends),
            ],
        );
    }
}
