//! The weight store, from which engines load model weights at a limited rate.

use std::sync::Arc;

use futures::future::BoxFuture;
use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};

use crate::failure;

/// A load that needs permission before it is ordered from an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Reservation {
    /// The engine's zone; engines in one zone share the weights that were sent there.
    pub zone: id::ZoneId,
    /// The engine that is to load the version.
    pub endpoint: id::EndpointId,
    /// The version to load.
    pub version: id::VersionRef,
}

/// Answer to a reservation: when the load may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Delay before the reservation is requested again, in milliseconds; zero means that
    /// the load may start now.
    pub wait_ms: u64,
}

impl Grant {
    /// The delay as a duration.
    pub fn wait(self) -> time::Millis {
        time::Millis(self.wait_ms)
    }
}

type Call =
    Arc<dyn Fn(Reservation) -> BoxFuture<'static, Result<Grant, failure::Failure>> + Send + Sync>;

/// Client of the weight store.
#[derive(Clone)]
pub struct Weights {
    reserve: Call,
}

impl Weights {
    /// Creates a client from a closure.
    pub fn new<R>(reserve: R) -> Self
    where
        R: Fn(Reservation) -> BoxFuture<'static, Result<Grant, failure::Failure>>
            + Send
            + Sync
            + 'static,
    {
        Self { reserve: Arc::new(reserve) }
    }

    /// Requests permission to load. Repeating the request for the same load is not charged
    /// again.
    ///
    /// # Errors
    ///
    /// After any failure the load must not start; the request can be retried.
    pub async fn reserve(&self, reservation: Reservation) -> Result<Grant, failure::Failure> {
        (self.reserve)(reservation).await
    }
}
