//! The rating service, which scores the quality of a model's answer.

use std::sync::Arc;

use futures::future::BoxFuture;
use ibishill_core::id;
use serde::{Deserialize, Serialize};

use crate::failure;

/// A request to rate one answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The request that was answered.
    pub request: id::RequestId,
    /// The workspace that sent the request.
    pub workspace: id::WorkspaceId,
    /// The model version that answered.
    pub version: id::VersionRef,
    /// The caller's messages, encoded as JSON.
    pub prompt: String,
    /// The text of the answer.
    pub answer: String,
}

/// The quality of one answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// Quality from 0 (worst) to 1 (best).
    pub score: f64,
    /// Whether the answer is good enough.
    pub accepted: bool,
}

type Call =
    Arc<dyn Fn(Request) -> BoxFuture<'static, Result<Rating, failure::Failure>> + Send + Sync>;

/// Client of the rating service.
#[derive(Clone)]
pub struct Ratings {
    rate: Call,
}

impl Ratings {
    /// Creates a client from a closure.
    pub fn new<R>(rate: R) -> Self
    where
        R: Fn(Request) -> BoxFuture<'static, Result<Rating, failure::Failure>>
            + Send
            + Sync
            + 'static,
    {
        Self { rate: Arc::new(rate) }
    }

    /// Rates one answer.
    ///
    /// # Errors
    ///
    /// After any failure the answer is unrated.
    pub async fn rate(&self, request: Request) -> Result<Rating, failure::Failure> {
        (self.rate)(request).await
    }
}
