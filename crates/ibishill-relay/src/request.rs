//! A caller's request, and what its attempts send.

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use ibishill_core::{call, id, route, time};

/// A request received from a caller, with its resolved route and service.
pub(crate) struct Received {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) metadata: call::Metadata,
    pub(crate) route: route::Route,
    pub(crate) workspace: Option<route::Workspace>,
    pub(crate) service: id::ServiceId,
    /// Identifies the whole request.
    pub(crate) key: call::RequestKey,
    /// Arrival of the request head.
    pub(crate) arrived: time::Tick,
    /// Earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: time::Tick,
}

impl Received {
    /// Priority, 0 for the most urgent; the workspace's overrides the route's.
    pub(crate) fn priority(&self) -> u8 {
        let of_workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        of_workspace.unwrap_or(self.route.priority)
    }

    /// KV-cache tokens that it occupies at an engine; 0 for a plain service.
    pub(crate) fn kv_tokens(&self) -> u64 {
        self.metadata.tokens.map_or(0, |tokens| tokens.input + tokens.expected_output)
    }

    /// Whether it is for a plain service, not a prompt to a model.
    pub(crate) fn is_plain(&self) -> bool {
        self.metadata.tokens.is_none()
    }

    /// The whole request, as it may be quarantined.
    pub(crate) fn whole(&self) -> call::SuspectKey {
        if self.is_plain() {
            call::SuspectKey::Request(self.key)
        } else {
            call::SuspectKey::Prompt(self.key)
        }
    }

    /// All that may be quarantined of it: the segments of its prompt that others share, and the whole.
    pub(crate) fn suspects(&self) -> Vec<call::SuspectKey> {
        let segments = self.metadata.shared_segments().into_iter();
        segments.map(call::SuspectKey::Segment).chain([self.whole()]).collect()
    }

    /// Time until the deadline; 0 once it has passed.
    pub(crate) fn remaining(&self, now: time::Tick) -> time::Millis {
        self.deadline.since(now)
    }
}

/// Endpoint selected for an attempt, and what the attempt sends there.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) endpoint: id::EndpointId,
    pub(crate) version: id::VersionId,
    pub(crate) model: Option<id::ModelId>,
    /// Id of the last event that the caller has received, to resume a stream.
    pub(crate) last_event: Option<u64>,
    /// Prefill cost of the prompt, in thousands of tokens at the largest model.
    pub(crate) prefill: f64,
}
