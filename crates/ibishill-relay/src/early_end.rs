//! Detects endpoints that end just after they have begun an answer, as opposed to a connection that
//! was cut, and has the segments of the prompt judged by it.

use std::time::Duration;

use ibishill_core::{call, event, id, time};
use ibishill_decide::endpoint_key;
use tokio::time as clock;

use crate::attempt::Received;
use crate::context::Shared;
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
    let Some(registration) = context.state().balancer.entry(endpoint).cloned() else { return };
    let Some(guard) = CheckGuard::begin(context) else { return };
    let (context, request) = (context.clone(), received.metadata.id.clone());
    let ended = context.now();
    let (segments, list) = (received.metadata.shared_segments(), segment_list(&received.metadata));
    tokio::task::spawn_local(async move {
        let _guard = guard;
        clock::sleep(CHECK_DELAY).await;
        let result = upstream::connect(registration.address, CHECK_TIMEOUT).await;
        if matches!(result, Err(CallError::Connect(_))) {
            context.metrics.record_early_end();
            event::emit_json(
                event::Event::EndpointEnded,
                &[
                    event::field("endpoint", &registration.id),
                    event::field("request", &request),
                    event::field("segments", &list),
                ],
            );
            let key = endpoint_key::EndpointKey::of(&registration);
            let mut state = context.state();
            if state.quarantine.record_end(&segments, key, ended) {
                context.evidence_added.notify_one();
            }
            judge(&mut state, context.now());
        }
    });
}

/// Refuses or releases segments by the evidence so far, and logs it.
pub(crate) fn judge(state: &mut State, now: time::Tick) {
    for change in state.quarantine.judge(now) {
        event::emit_json(
            event::Event::SegmentJudged,
            &[
                event::field("segment", &change.segment),
                event::field("is_refused", &change.is_refused),
                event::field("ends", &change.ends),
            ],
        );
    }
}
