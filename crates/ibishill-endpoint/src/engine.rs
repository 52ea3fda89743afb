//! Control calls to an engine: health, load, cache events, orders, and cancelling and resuming
//! requests.

use std::net::SocketAddr;

use bytes::Bytes;
use ibishill_core::{id, repeat, time};
use serde::de;

use crate::failure::Failure;
use crate::{call, client, wire};

const STATUS_CONFLICT: u16 = 409;

/// Client for one engine, with a timeout for each call.
#[derive(Debug, Clone)]
pub struct Engine {
    client: client::Client,
    address: SocketAddr,
    timeout: time::Millis,
}

impl Engine {
    /// Creates a client for the engine at `address`.
    pub fn new(client: &client::Client, address: SocketAddr, timeout: time::Millis) -> Self {
        Self { client: client.clone(), address, timeout }
    }

    /// Returns whether the engine reports that it is healthy.
    ///
    /// # Errors
    ///
    /// Fails if the engine doesn't respond in time.
    pub async fn health(&self) -> Result<bool, Failure> {
        let response = self.send(self.get("/health")).await?;
        Ok(response.status().is_success())
    }

    /// Returns the engine's load; its figures may be outdated by [`wire::Report::age_ms`].
    ///
    /// # Errors
    ///
    /// Fails if the engine gives no valid response in time.
    pub async fn load_report(&self) -> Result<wire::Report, Failure> {
        self.fetch(self.get("/v1/load")).await
    }

    /// Returns the cache events that were published since the last call.
    ///
    /// # Errors
    ///
    /// Fails if the engine gives no valid response in time; the events are then lost.
    pub async fn cache_events(&self) -> Result<Vec<wire::CacheEvent>, Failure> {
        self.fetch(self.get("/v1/cache/events")).await
    }

    /// Returns the versions that are ready and the role, which show whether an order took effect.
    ///
    /// # Errors
    ///
    /// Fails if the engine gives no valid response in time.
    pub async fn loaded(&self) -> Result<wire::Loaded, Failure> {
        self.fetch(self.get("/v1/loaded")).await
    }

    /// Sends an order, without retries.
    ///
    /// # Errors
    ///
    /// [`Failure::Fenced`] and [`Failure::Unreachable`] mean that the order had no effect; after
    /// any other error it may have taken effect, which [`Engine::loaded`] tells.
    pub async fn order(&self, order: &wire::Order) -> Result<(), Failure> {
        let response = self.send(self.post("/v1/orders").json(order)).await?;
        if response.status().as_u16() == STATUS_CONFLICT {
            let refused: wire::Refused =
                response.json().await.map_err(|error| client::classify(&error))?;
            return Err(Failure::Fenced { highest: refused.highest });
        }
        check_status(&response)
    }

    /// Cancels a request; returns whether the engine knew it.
    ///
    /// # Errors
    ///
    /// Fails if the engine gives no valid response in time.
    pub async fn cancel(&self, request: &id::RequestId) -> Result<bool, Failure> {
        self.fetch(self.post(&format!("/v1/requests/{request}/cancel"))).await
    }

    /// Resumes the response to a resumable request at token `from_token`.
    ///
    /// # Errors
    ///
    /// Fails if the engine doesn't respond in time or its response doesn't name the request.
    pub async fn resume(
        &self,
        request: &id::RequestId,
        version: &id::VersionRef,
        from_token: u64,
    ) -> Result<client::Response, Failure> {
        let call = call::Call {
            request: request.clone(),
            kind: call::Kind::Engine,
            repeat: repeat::Repeat::Safe,
            method: "GET".into(),
            path: format!("/v1/requests/{request}/events?from={from_token}&model={version}"),
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
        self.client.pooled().get(url).timeout(self.timeout.to_std())
    }

    fn post(&self, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.address);
        self.client.pooled().post(url).timeout(self.timeout.to_std())
    }

    async fn send(&self, request: reqwest::RequestBuilder) -> Result<reqwest::Response, Failure> {
        request.send().await.map_err(|error| client::classify(&error))
    }

    async fn fetch<T>(&self, request: reqwest::RequestBuilder) -> Result<T, Failure>
    where
        T: de::DeserializeOwned,
    {
        let response = self.send(request).await?;
        check_status(&response)?;
        response.json().await.map_err(|error| client::classify(&error))
    }
}

fn check_status(response: &reqwest::Response) -> Result<(), Failure> {
    if response.status().is_success() {
        return Ok(());
    }
    Err(Failure::Incomplete {
        detail: format!("the engine responded with status {}", response.status()),
    })
}
