//! The rating service: it tells whether an answer is good enough.

use std::sync::Arc;

use futures::future::BoxFuture;
use ibishill_core::id;
use serde::{Deserialize, Serialize};

use crate::failure;

/// An answer to rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The request.
    pub request: id::RequestId,
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// The version that answered.
    pub version: id::VersionRef,
    /// The caller's messages, as JSON.
    pub prompt: String,
    /// The answer's text.
    pub answer: String,
}

/// A rating.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// Quality from 0 to 1.
    pub score: f64,
    /// Whether the answer is good enough.
    pub accepted: bool,
}

type Call =
    Arc<dyn Fn(Request) -> BoxFuture<'static, Result<Rating, failure::Failure>> + Send + Sync>;

/// The rating service.
#[derive(Clone)]
pub struct Ratings {
    rate: Call,
}

impl Ratings {
    /// Makes a rating service of a closure.
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
    /// Any failure means that the answer stays unrated.
    pub async fn rate(&self, question: Request) -> Result<Rating, failure::Failure> {
        (self.rate)(question).await
    }
}
