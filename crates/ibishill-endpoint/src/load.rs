//! What an endpoint reports of its load.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::client;
use crate::failure::Failure;

const TIMEOUT: Duration = Duration::from_millis(500);

/// A load report, read from `/load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that the endpoint holds, running or queued.
    pub running: u32,
    /// Whether it is in a cold start.
    #[serde(default)]
    pub cold: bool,
    /// Identity of the endpoint's process.
    #[serde(default)]
    pub start: u64,
    /// Age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

impl client::Client {
    /// Reads an endpoint's load report.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint gives none.
    pub async fn load(&self, address: SocketAddr) -> Result<Load, Failure> {
        let cut = |error: reqwest::Error| Failure::Cut { detail: error.to_string() };
        let request = self.http.get(format!("http://{address}/load")).timeout(TIMEOUT);
        let answer = request.send().await.and_then(reqwest::Response::error_for_status);
        answer.map_err(cut)?.json().await.map_err(cut)
    }
}
