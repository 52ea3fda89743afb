//! The HTTP client and the check that an answer is whole and belongs to its request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use ibishill_core::{header, id, repeat, time};
use reqwest::header as http;

use crate::call;
use crate::failure::Failure;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const REQUEST_ID: &str = "x-request-id";

/// Client of all endpoints; clones share connections.
#[derive(Debug, Clone)]
pub struct Client {
    pooled: reqwest::Client,
    fresh: reqwest::Client,
}

/// Start of an answer, with the rest to be read.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Length of the body in bytes, if the endpoint told it.
    pub length: Option<u64>,
    /// Further headers that pass to the caller.
    pub headers: Vec<header::Header>,
    pub(crate) request: id::RequestId,
    pub(crate) is_marked: bool,
    body: BoxStream<'static, reqwest::Result<Bytes>>,
    idle: time::Millis,
}

fn builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        // Following a redirect would run the call again, at another address.
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
}

fn unreachable<E>(error: E) -> Failure
where
    E: std::fmt::Display,
{
    Failure::Unreachable { detail: error.to_string() }
}

impl Client {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be set up.
    pub fn new() -> Result<Self, Failure> {
        let pooled = builder().build().map_err(unreachable)?;
        let fresh = builder().pool_max_idle_per_host(0).build().map_err(unreachable)?;
        Ok(Self { pooled, fresh })
    }

    // An endpoint may close a kept connection just as a call leaves on it. A call that
    // may not be repeated therefore gets a connection of its own.
    fn http(&self, repeat: repeat::Repeat) -> &reqwest::Client {
        match repeat {
            repeat::Repeat::Safe => &self.pooled,
            repeat::Repeat::Never => &self.fresh,
        }
    }

    /// Sends a call once and waits for the start of its answer.
    ///
    /// # Errors
    ///
    /// `Unreachable` means that no byte has left; after any other error the call may
    /// have run.
    pub async fn send(&self, address: SocketAddr, call: call::Call) -> Result<Response, Failure> {
        let method = reqwest::Method::from_bytes(call.method.as_bytes()).map_err(unreachable)?;
        let url = format!("http://{address}{}", call.path);
        let mut request = self
            .http(call.repeat)
            .request(method, url)
            .timeout(call.remaining.to_std())
            .header(http::CONTENT_TYPE, call.content_type)
            .header(REQUEST_ID, call.request.as_str())
            .body(call.body);
        for header in call.headers {
            request = request.header(header.name, header.value);
        }
        let answer = request.send().await.map_err(|error| classify(&error))?;
        let is_marked = marked(&answer, &call.request)?;
        // Plain services need not know the correlation id; engines must.
        let is_service = call.kind == call::Kind::Service;
        if !is_marked && !is_service && answer.status().is_client_error() {
            return Err(Failure::RequestIdMissing);
        }
        let content = text(answer.headers(), "content-type");
        Ok(Response {
            status: answer.status().as_u16(),
            content_type: content.unwrap_or("application/octet-stream").to_owned(),
            // Not the length of what follows, which is nothing for HEAD.
            length: text(answer.headers(), "content-length").and_then(|n| n.parse().ok()),
            headers: passed(answer.headers()),
            request: call.request,
            is_marked: is_marked || is_service,
            idle: call.idle_timeout,
            body: answer.bytes_stream().boxed(),
        })
    }

    pub(crate) fn plain(&self) -> &reqwest::Client {
        &self.pooled
    }
}

fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn marked(answer: &reqwest::Response, request: &id::RequestId) -> Result<bool, Failure> {
    let Some(found) = answer.headers().get(REQUEST_ID) else { return Ok(false) };
    if found.as_bytes() != request.as_str().as_bytes() {
        let found = String::from_utf8_lossy(found.as_bytes()).into_owned();
        return Err(Failure::RequestIdMismatch { found });
    }
    Ok(true)
}

fn passed(headers: &http::HeaderMap) -> Vec<header::Header> {
    let passing = headers.iter().filter(|(name, _)| header::is_forwarded(name.as_str()));
    passing
        .filter_map(|(name, value)| Some(header::Header::new(name.as_str(), value.to_str().ok()?)))
        .collect()
}

impl Response {
    /// The next part, or none once the body has ended as HTTP says it must.
    ///
    /// # Errors
    ///
    /// Fails if the answer is cut, late or falls silent.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        let next = tokio::time::timeout(self.idle.to_std(), self.body.next()).await;
        let next = next.map_err(|_| Failure::Incomplete { detail: "silence".into() })?;
        next.transpose().map_err(|error| classify(&error))
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Fails if the answer is cut, late, falls silent or is longer than `most` bytes.
    pub async fn read_to_end(&mut self, most: u64) -> Result<Bytes, Failure> {
        let mut body = Vec::new();
        while let Some(chunk) = self.next().await? {
            body.extend_from_slice(&chunk);
            if body.len() as u64 > most {
                let detail = format!("the answer is longer than {most} bytes");
                return Err(Failure::Incomplete { detail });
            }
        }
        Ok(Bytes::from(body))
    }
}

pub(crate) fn classify(error: &reqwest::Error) -> Failure {
    if error.is_connect() || error.is_builder() {
        return unreachable(error);
    }
    if error.is_timeout() {
        return Failure::TimedOut;
    }
    Failure::Incomplete { detail: error.to_string() }
}
