//! What an engine is asked beside generations: health, load, cache events, orders,
//! cancelling and resuming.

use std::net::SocketAddr;

use bytes::Bytes;
use ibishill_core::{id, repeat, time};
use serde::de;

use crate::failure::Failure;
use crate::{call, client, wire};

const STATUS_CONFLICT: u16 = 409;

/// One engine and how long it may take to answer a question.
#[derive(Debug, Clone)]
pub struct Engine {
    client: client::Client,
    address: SocketAddr,
    timeout: time::Millis,
}

impl Engine {
    /// Makes the client of the engine at `address`.
    pub fn new(client: &client::Client, address: SocketAddr, timeout: time::Millis) -> Self {
        Self { client: client.clone(), address, timeout }
    }

    /// Whether the engine says that it is healthy.
    ///
    /// # Errors
    ///
    /// Fails if it gives no answer in time.
    pub async fn health(&self) -> Result<bool, Failure> {
        let answer = self.send(self.get("/health")).await?;
        Ok(answer.status().is_success())
    }

    /// The engine's load, as of a while ago.
    ///
    /// # Errors
    ///
    /// Fails if it gives no valid answer in time.
    pub async fn load_report(&self) -> Result<wire::Report, Failure> {
        self.read(self.get("/v1/load")).await
    }

    /// Cache events that were published since the last call.
    ///
    /// # Errors
    ///
    /// Fails if it gives no valid answer in time; the events are then lost.
    pub async fn cache_events(&self) -> Result<Vec<wire::CacheEvent>, Failure> {
        self.read(self.get("/v1/cache/events")).await
    }

    /// Versions that are ready, and the role; it tells whether an order took effect.
    ///
    /// # Errors
    ///
    /// Fails if it gives no valid answer in time.
    pub async fn loaded(&self) -> Result<wire::Loaded, Failure> {
        self.read(self.get("/v1/loaded")).await
    }

    /// Gives an order, once.
    ///
    /// # Errors
    ///
    /// `Fenced` and `Unreachable` mean that nothing was done; after any other error
    /// the order may have taken effect, which [`Engine::loaded`] tells.
    pub async fn order(&self, order: &wire::Order) -> Result<(), Failure> {
        let answer = self.send(self.post("/v1/orders").json(order)).await?;
        if answer.status().as_u16() == STATUS_CONFLICT {
            let refused: wire::Refused =
                answer.json().await.map_err(|error| client::classify(&error))?;
            return Err(Failure::Fenced { highest: refused.highest });
        }
        check(&answer)
    }

    /// Cancels a request; returns whether the engine knew it.
    ///
    /// # Errors
    ///
    /// Fails if it gives no valid answer in time.
    pub async fn cancel(&self, request: &id::RequestId) -> Result<bool, Failure> {
        self.read(self.post(&format!("/v1/requests/{request}/cancel"))).await
    }

    /// Follows the answer of a resumable request again, from the token `from` on.
    ///
    /// # Errors
    ///
    /// Fails if the engine gives no answer that names the request.
    pub async fn resume(
        &self,
        request: &id::RequestId,
        version: &id::VersionRef,
        from: u64,
    ) -> Result<client::Response, Failure> {
        let call = call::Call {
            request: request.clone(),
            kind: call::Kind::Engine,
            repeat: repeat::Repeat::Safe,
            method: "GET".into(),
            path: format!("/v1/requests/{request}/events?from={from}&model={version}"),
            content_type: "application/json".into(),
            headers: Vec::new(),
            body: Bytes::new(),
            remaining: self.timeout,
            idle_timeout: self.timeout,
        };
        self.client.send(self.address, call).await
    }

    fn get(&self, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.address);
        self.client.plain().get(url).timeout(self.timeout.to_std())
    }

    fn post(&self, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.address);
        self.client.plain().post(url).timeout(self.timeout.to_std())
    }

    async fn send(&self, request: reqwest::RequestBuilder) -> Result<reqwest::Response, Failure> {
        request.send().await.map_err(|error| client::classify(&error))
    }

    async fn read<T>(&self, request: reqwest::RequestBuilder) -> Result<T, Failure>
    where
        T: de::DeserializeOwned,
    {
        let answer = self.send(request).await?;
        check(&answer)?;
        answer.json().await.map_err(|error| client::classify(&error))
    }
}

fn check(answer: &reqwest::Response) -> Result<(), Failure> {
    if answer.status().is_success() {
        return Ok(());
    }
    Err(Failure::Incomplete {
        detail: format!("the engine answered with status {}", answer.status()),
    })
}
