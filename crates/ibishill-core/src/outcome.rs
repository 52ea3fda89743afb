//! What is known of a request once an attempt has ended.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id;

/// Whether a request has run at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request can have reached an endpoint.
    NotRun,
    /// The endpoint answered in full.
    Ran,
    /// The request may have run: it left for an endpoint and no whole answer came back.
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

/// Why a request was refused or has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The caller's key names no workspace.
    Unauthorized,
    /// The request is malformed.
    BadRequest,
    /// The body is larger than the limit.
    TooLarge,
    /// The headers are larger than the limit.
    HeadersTooLarge,
    /// The workspace may not use what was asked for.
    NotAllowed,
    /// No such model, version or service is declared.
    NotFound,
    /// The version was withdrawn.
    Withdrawn,
    /// No endpoint in service can run the target.
    NoEndpoint,
    /// All endpoints of the target are at their limit.
    Overloaded,
    /// The deadline would pass before an answer.
    Deadline,
    /// The daemon is shutting down.
    Stopping,
    /// The daemon holds no valid lease or configuration.
    NotReady,
    /// The owner of the endpoint could not be reached.
    PeerLost,
    /// The endpoint failed or cut its answer.
    EndpointFailed,
    /// The platform could not record a claim.
    ClaimUnavailable,
    /// Another copy with the same idempotency key is running.
    InProgress,
    /// The idempotency key was used with a different request.
    KeyReused,
    /// Another copy with the same idempotency key ran, and its answer is not kept.
    AlreadyRan,
    /// Another copy with the same idempotency key may have run.
    CopyUnknown,
    /// The retry budget is spent.
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

/// A request that was given up, with what is known and when to come back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Why it was given up.
    pub reason: Reason,
    /// When a new try makes sense, in milliseconds from now.
    pub retry_after: Option<crate::time::Millis>,
    /// One sentence for the caller.
    pub detail: String,
    /// The endpoint that was tried, if one was.
    pub endpoint: Option<id::EndpointId>,
}

impl Refusal {
    /// Makes a refusal of a request that has not run.
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

    /// Makes a refusal of a request that a copy of it has run.
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

    /// Makes a refusal of a request that may have run.
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

    /// Sets the endpoint that was tried.
    pub fn at(mut self, endpoint: id::EndpointId) -> Self {
        self.endpoint = Some(endpoint);
        self
    }

    /// Sets when a new try makes sense.
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
