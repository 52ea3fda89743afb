//! The weight store, from which engines read what they load, at a limited rate.

use std::sync::Arc;

use futures::future::BoxFuture;
use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};

use crate::failure;

/// A load that is about to be ordered.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Reservation {
    /// The engine's zone; engines of one zone share what the store has sent there.
    pub zone: id::ZoneId,
    /// The engine.
    pub endpoint: id::EndpointId,
    /// The version.
    pub version: id::VersionRef,
}

/// When the load may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Time to wait before asking again, in milliseconds; zero means now.
    pub wait_ms: u64,
}

impl Grant {
    /// The time to wait.
    pub fn wait(self) -> time::Millis {
        time::Millis(self.wait_ms)
    }
}

type Call =
    Arc<dyn Fn(Reservation) -> BoxFuture<'static, Result<Grant, failure::Failure>> + Send + Sync>;

/// The weight store.
#[derive(Clone)]
pub struct Weights {
    reserve: Call,
}

impl Weights {
    /// Makes a weight store of a closure.
    pub fn new<R>(reserve: R) -> Self
    where
        R: Fn(Reservation) -> BoxFuture<'static, Result<Grant, failure::Failure>>
            + Send
            + Sync
            + 'static,
    {
        Self { reserve: Arc::new(reserve) }
    }

    /// Asks for the right to load; asking again for the same load costs nothing more.
    ///
    /// # Errors
    ///
    /// After any failure the load must not start; it may be asked for again.
    pub async fn reserve(&self, ask: Reservation) -> Result<Grant, failure::Failure> {
        (self.reserve)(ask).await
    }
}
