//! The HTTP client and the check that an answer is whole and belongs to its request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use ibishill_core::time;

use crate::call;
use crate::failure::Failure;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const REQUEST_ID: &str = "x-request-id";

/// Client of all endpoints; clones share connections.
#[derive(Debug, Clone)]
pub struct Client {
    pub(crate) http: reqwest::Client,
}

/// Start of an answer, with the rest to be read.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: String,
    body: BoxStream<'static, reqwest::Result<Bytes>>,
    idle: time::Millis,
}

impl Client {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be set up.
    pub fn new() -> Result<Self, Failure> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            // A reused connection may be closed by the endpoint after bytes have left,
            // so the client never retries by itself.
            .retry(reqwest::retry::never())
            .build()
            .map_err(|error| Failure::Unreachable { detail: error.to_string() })?;
        Ok(Self { http })
    }

    /// Sends a call and waits for the start of its answer.
    ///
    /// # Errors
    ///
    /// `Unreachable` means that no byte has left; after any other error the call may
    /// have run.
    pub async fn send(&self, address: SocketAddr, call: call::Call) -> Result<Answer, Failure> {
        let method = reqwest::Method::from_bytes(call.method.as_bytes())
            .map_err(|error| Failure::Unreachable { detail: error.to_string() })?;
        let url = format!("http://{address}{}", call.path);
        let request = self
            .http
            .request(method, url)
            .timeout(call.left.to_std())
            .header(reqwest::header::CONTENT_TYPE, call.content)
            .header(REQUEST_ID, call.request.as_str())
            .body(call.body);
        let answer = request.send().await.map_err(|error| classify(&error))?;
        let headers = answer.headers();
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        if let Some(found) = text(REQUEST_ID).filter(|found| *found != call.request.as_str()) {
            return Err(Failure::Crossed { found: found.to_owned() });
        }
        let content = text("content-type").unwrap_or("application/octet-stream").to_owned();
        Ok(Answer {
            status: answer.status().as_u16(),
            content,
            idle: call.idle,
            body: answer.bytes_stream().boxed(),
        })
    }
}

impl Answer {
    /// The next part, or none once the body has ended as HTTP says it must.
    ///
    /// # Errors
    ///
    /// Fails if the answer is cut or falls silent.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        let next = tokio::time::timeout(self.idle.to_std(), self.body.next()).await;
        let next = next.map_err(|_| Failure::Cut { detail: "silence".into() })?;
        next.transpose().map_err(|error| Failure::Cut { detail: error.to_string() })
    }
}

fn classify(error: &reqwest::Error) -> Failure {
    if error.is_connect() || error.is_builder() {
        return Failure::Unreachable { detail: error.to_string() };
    }
    Failure::Cut { detail: error.to_string() }
}
