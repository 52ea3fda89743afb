//! A caller's request, and where its attempts go.

use std::{fmt, str};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use ibishill_core::{call, id, route, time};
use ibishill_decide::{balance, exposure, forecast};
use xxhash_rust::xxh3;

use crate::{abort, memory};

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
    /// Whether it is counted for the retry budget, here or at the relay that it came through.
    pub(crate) is_counted: bool,
    /// What the relay that it came through says; none if it came from its caller.
    pub(crate) hop: Option<Hop>,
    /// Connection that it came on.
    pub(crate) abort: abort::Abort,
    /// Counts its head until it is dropped.
    pub(crate) _memory: memory::Head,
}

/// What a relay says of a request that it passes on to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Hop {
    /// VM of the relay.
    pub(crate) vm: id::VmId,
    /// Attempts that it has made.
    pub(crate) sends: u32,
    /// Whether it has counted the request for the retry budget.
    pub(crate) is_counted: bool,
    /// Whether the session stays with the stable version.
    pub(crate) is_stable: bool,
}

impl fmt::Display for Hop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { vm, sends, is_counted, is_stable } = self;
        write!(f, "{vm} {sends} {is_counted} {is_stable}")
    }
}

impl str::FromStr for Hop {
    type Err = HopError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(' ');
        let mut next = || fields.next().ok_or(HopError);
        Ok(Self {
            vm: next()?.parse().map_err(|_| HopError)?,
            sends: next()?.parse::<u16>().map_err(|_| HopError)?.into(),
            is_counted: next()?.parse().map_err(|_| HopError)?,
            is_stable: next()?.parse().map_err(|_| HopError)?,
        })
    }
}

/// Error returned when a text does not describe a [`Hop`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HopError;

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

    /// What it may be refused for: all segments of its prompt, and the whole.
    pub(crate) fn refusable(&self) -> Vec<call::SuspectKey> {
        let segments = self.metadata.segments.iter();
        let segments = segments.map(|segment| call::SuspectKey::Segment(segment.id));
        segments.chain([self.whole()]).collect()
    }

    /// Its prompt, as it is sent to endpoints; none for a plain service.
    pub(crate) fn prompt(&self) -> Option<exposure::Prompt> {
        let hash = |text: &str| xxh3::xxh3_64(text.as_bytes()) as u32;
        (!self.is_plain()).then(|| exposure::Prompt {
            request: hash(&self.metadata.id),
            service: hash(self.service.as_str()),
            segments: self.metadata.segments.iter().map(|segment| segment.id).collect(),
        })
    }

    /// Hash of its session, or of the request itself outside of one.
    pub(crate) fn session_hash(&self) -> u64 {
        xxh3::xxh3_64(self.metadata.session.as_deref().unwrap_or(&self.metadata.id).as_bytes())
    }

    /// Engines that a model prefers, of those that the route leaves to choose from.
    pub(crate) fn tier(&self, model: Option<&id::ModelId>) -> balance::Tier {
        let models = &self.route.models;
        match model {
            Some(_) if models.len() < 2 => balance::Tier::Any,
            Some(model) if models.first() == Some(model) => balance::Tier::Small,
            Some(model) if models.last() == Some(model) => balance::Tier::Large,
            _ => balance::Tier::Any,
        }
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
    /// Forecast of the time to its first event; none where engines are not chosen by it.
    pub(crate) forecast: Option<forecast::Made>,
}

/// Where an attempt went.
#[derive(Debug, Clone)]
pub(crate) enum Destination {
    /// Directly to an endpoint.
    Endpoint(Target),
    /// Through a relay on another VM, which reaches endpoints that this one does not.
    Peer(id::VmId),
}

impl Destination {
    /// The endpoint, if it is known.
    pub(crate) const fn target(&self) -> Option<&Target> {
        match self {
            Self::Endpoint(target) => Some(target),
            Self::Peer(_) => None,
        }
    }
}

impl fmt::Display for Destination {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(target) => target.endpoint.fmt(f),
            Self::Peer(vm) => write!(f, "peer {vm}"),
        }
    }
}
