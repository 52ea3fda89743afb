//! Outcome of a request attempt, and refusals.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id;

/// Whether a request has run at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request can have reached an endpoint, so a retry is safe.
    NotRun,
    /// The endpoint answered in full.
    Ran,
    /// The request may have run: it was sent to an endpoint, but no complete answer arrived.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

/// Reason why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The caller's key belongs to no workspace.
    Unauthorized,
    /// The request is malformed.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// The headers are larger than the limit.
    HeadersTooLarge,
    /// The workspace may not use the requested model, version or service.
    NotAllowed,
    /// No such model, version or service is declared.
    NotFound,
    /// The version was withdrawn.
    Withdrawn,
    /// No endpoint that is in service runs the target.
    NoEndpoint,
    /// All endpoints of the target are at their concurrency limit.
    Overloaded,
    /// The deadline would pass before an answer.
    Deadline,
    /// The daemon is shutting down.
    Stopping,
    /// The daemon holds no valid lease or configuration.
    NotReady,
    /// The daemon that owns the endpoint could not be reached.
    PeerLost,
    /// The endpoint failed or broke off its answer.
    EndpointFailed,
    /// The platform could not record the claim of an idempotency key.
    ClaimUnavailable,
    /// Another copy with the same idempotency key is running.
    InProgress,
    /// The idempotency key was used with a different request.
    KeyReused,
    /// Another copy with the same idempotency key ran, and its answer is not stored.
    AlreadyRan,
    /// Another copy with the same idempotency key may have run.
    CopyUnknown,
    /// The retry budget is exhausted.
    RetryBudget,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unauthorized => "unauthorized",
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::HeadersTooLarge => "headers-too-large",
            Self::NotAllowed => "not-allowed",
            Self::NotFound => "not-found",
            Self::Withdrawn => "withdrawn",
            Self::NoEndpoint => "no-endpoint",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::Stopping => "stopping",
            Self::NotReady => "not-ready",
            Self::PeerLost => "peer-lost",
            Self::EndpointFailed => "endpoint-failed",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::InProgress => "in-progress",
            Self::KeyReused => "key-reused",
            Self::AlreadyRan => "already-ran",
            Self::CopyUnknown => "copy-unknown",
            Self::RetryBudget => "retry-budget",
        })
    }
}

/// Refusal or failure of a request, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Why the request was refused or failed.
    pub reason: Reason,
    /// Delay after which a retry may succeed; absent if none is advised.
    pub retry_after: Option<crate::time::Millis>,
    /// Explanation for the caller, in one sentence.
    pub detail: String,
    /// The endpoint that the request was sent to, if any.
    pub endpoint: Option<id::EndpointId>,
}

impl Refusal {
    /// Creates a refusal of a request that has not run.
    pub fn not_run<D>(reason: Reason, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
            detail: detail.into(),
            endpoint: None,
        }
    }

    /// Creates a refusal of a request of which another copy has run.
    pub fn ran<D>(reason: Reason, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self {
            outcome: Outcome::Ran,
            reason,
            retry_after: None,
            detail: detail.into(),
            endpoint: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown<D>(reason: Reason, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
            detail: detail.into(),
            endpoint: None,
        }
    }

    /// Sets the endpoint that the request was sent to.
    pub fn at(mut self, endpoint: id::EndpointId) -> Self {
        self.endpoint = Some(endpoint);
        self
    }

    /// Sets the delay after which a retry may succeed.
    pub fn retry_after(mut self, after: crate::time::Millis) -> Self {
        self.retry_after = Some(after);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.outcome, self.detail)
    }
}
