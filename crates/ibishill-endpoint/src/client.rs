//! HTTP client that checks that a response is complete and belongs to its request.

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
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Client for all endpoints; clones share connections.
#[derive(Debug, Clone)]
pub struct Client {
    pooled: reqwest::Client,
    unpooled: reqwest::Client,
}

/// Response whose head was received and whose body is still to be read.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Length of the body in bytes, if the endpoint declared it.
    pub length: Option<u64>,
    /// Other headers, forwarded to the caller.
    pub headers: Vec<header::Header>,
    pub(crate) request: id::RequestId,
    // Whether a header named the request; always set for plain services.
    pub(crate) is_identified: bool,
    body: BoxStream<'static, reqwest::Result<Bytes>>,
    idle_timeout: time::Millis,
}

fn builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        // Following a redirect would run the call again at another address.
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
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be initialized.
    pub fn new() -> Result<Self, Failure> {
        let pooled = builder().build().map_err(unreachable)?;
        let unpooled = builder().pool_max_idle_per_host(0).build().map_err(unreachable)?;
        Ok(Self { pooled, unpooled })
    }

    // An endpoint may close an idle connection just as a call is sent on it. A call that must not
    // be sent again therefore uses a new connection.
    fn client_for(&self, repeat: repeat::Repeat) -> &reqwest::Client {
        match repeat {
            repeat::Repeat::Safe => &self.pooled,
            repeat::Repeat::Never => &self.unpooled,
        }
    }

    /// Sends a call once and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`Failure::Unreachable`] means that nothing was sent; after any other error the call may
    /// have run.
    pub async fn send(&self, address: SocketAddr, call: call::Call) -> Result<Response, Failure> {
        let method = reqwest::Method::from_bytes(call.method.as_bytes()).map_err(unreachable)?;
        let url = format!("http://{address}{}", call.path);
        let mut request = self
            .client_for(call.repeat)
            .request(method, url)
            .timeout(call.remaining.to_std())
            .header(http::CONTENT_TYPE, call.content_type)
            .header(REQUEST_ID_HEADER, call.request.as_str())
            .body(call.body);
        for header in call.headers {
            request = request.header(header.name, header.value);
        }
        let response = request.send().await.map_err(|error| classify(&error))?;
        let is_identified = check_request_id(&response, &call.request)?;
        // Plain services need not support the request id; engines must.
        let is_service = call.kind == call::Kind::Service;
        if !is_identified && !is_service && response.status().is_client_error() {
            return Err(Failure::RequestIdMissing);
        }
        let content_type = header_text(response.headers(), "content-type");
        Ok(Response {
            status: response.status().as_u16(),
            content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
            // Read from the header, because the response to HEAD has a length but no body.
            length: header_text(response.headers(), "content-length").and_then(|n| n.parse().ok()),
            headers: forwarded_headers(response.headers()),
            request: call.request,
            is_identified: is_identified || is_service,
            idle_timeout: call.idle_timeout,
            body: response.bytes_stream().boxed(),
        })
    }

    pub(crate) fn pooled(&self) -> &reqwest::Client {
        &self.pooled
    }
}

fn header_text<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn check_request_id(
    response: &reqwest::Response,
    request: &id::RequestId,
) -> Result<bool, Failure> {
    let Some(found) = response.headers().get(REQUEST_ID_HEADER) else { return Ok(false) };
    if found.as_bytes() != request.as_str().as_bytes() {
        let found = String::from_utf8_lossy(found.as_bytes()).into_owned();
        return Err(Failure::RequestIdMismatch { found });
    }
    Ok(true)
}

fn forwarded_headers(headers: &http::HeaderMap) -> Vec<header::Header> {
    let forwarded = headers.iter().filter(|(name, _)| header::is_forwarded(name.as_str()));
    forwarded
        .filter_map(|(name, value)| Some(header::Header::new(name.as_str(), value.to_str().ok()?)))
        .collect()
}

impl Response {
    /// Returns the next part of the body, or `None` once the body is complete.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost, the deadline passes or the idle timeout expires.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        let next = tokio::time::timeout(self.idle_timeout.to_std(), self.body.next()).await;
        let next = next.map_err(|_| Failure::Incomplete { detail: "silence".into() })?;
        next.transpose().map_err(|error| classify(&error))
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Fails as [`Response::next`] does, or if the rest is longer than `max_bytes` bytes.
    pub async fn read_to_end(&mut self, max_bytes: u64) -> Result<Bytes, Failure> {
        let mut body = Vec::new();
        while let Some(chunk) = self.next().await? {
            body.extend_from_slice(&chunk);
            if body.len() as u64 > max_bytes {
                let detail = format!("the response is longer than {max_bytes} bytes");
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
