//! HTTP calls to endpoints, peers and the store, each on a new connection.
//!
//! A pooled connection may turn out to be closed, unresponsive or about to deliver a late
//! response to another request just when the next request is sent, and it is then unknown
//! whether that request has run. A new connection costs a round trip within the zone, and fails
//! before any byte of the request is sent.

use std::cell::Cell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};
use std::{fmt, io};

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use ibishill_core::time;
use ibishill_decide::reach;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time as clock;

use crate::connection_end::EndChecked;
use crate::head_limit::HeadLimited;

/// Maximum size of a response head, in bytes.
const HEAD_MAX: usize = 64 * 1_024;

/// Buffer of a connection whose response is streamed or a caller's, in bytes; its head must fit.
pub(crate) const ANSWER_BUFFER: usize = 16 * 1_024;

/// Maximum size of all that precedes the end of a response's head, interim responses and a first
/// part of the body included, in bytes.
const HEADS_MAX: usize = 2 * HEAD_MAX;

/// Maximum size of a response body that is not streamed, in bytes.
const BODY_MAX: usize = 8 * 1_024 * 1_024;

/// Statuses of a final response; RFC 9110 has none above, and those below precede a final one.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Time limits of a call. Its duration is not limited as such, since the size of a response and
/// the bandwidth are unknown; a transfer that stalls is ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Until the response's head has arrived, which includes connecting.
    pub(crate) head: Duration,
    /// Between two parts of the response's body.
    pub(crate) pause: Duration,
    /// Until the whole response has arrived.
    pub(crate) total: Duration,
}

impl Limits {
    /// Limits of a call whose response is small.
    pub(crate) const fn small(timeout: Duration) -> Self {
        Self { head: timeout, pause: timeout, total: timeout }
    }
}

/// Progress of a call, also of one that failed.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Part of the response's body that has arrived, in bytes.
    pub(crate) received: Cell<usize>,
    /// When the response's head arrived.
    pub(crate) head: Cell<Option<Instant>>,
}

/// Error of a call that got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The remote side refused or closed the connection, so nothing was sent.
    Connect(String),
    /// A local error prevented the connection attempt, so nothing was sent.
    NotAttempted(String),
    /// No connection within the timeout or the host is unreachable, so nothing was sent.
    TimedOut(time::Millis),
    /// The request may have been received.
    Unknown(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(detail) => write!(f, "no connection: {detail}"),
            Self::NotAttempted(detail) => write!(f, "no connection, local error: {detail}"),
            Self::TimedOut(timeout) => write!(f, "no connection within {timeout}"),
            Self::Unknown(detail) => write!(f, "no answer: {detail}"),
        }
    }
}

/// Open connection; dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Connection {
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection within `timeout`.
///
/// # Errors
///
/// Distinguishes a refused connection, a timeout and a local error.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: time::Millis,
) -> Result<TcpStream, CallError> {
    let wait = Duration::from_millis(timeout.0);
    let stream = match clock::timeout(wait, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(connect_error(&error, timeout)),
        Err(_) => return Err(CallError::TimedOut(timeout)),
    };
    stream.set_nodelay(true).map_err(|error| CallError::Connect(error.to_string()))?;
    Ok(stream)
}

fn connect_error(error: &io::Error, timeout: time::Millis) -> CallError {
    match error.kind() {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::ConnectionReset
        | io::ErrorKind::ConnectionAborted => CallError::Connect(error.to_string()),
        io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable
        | io::ErrorKind::TimedOut => CallError::TimedOut(timeout),
        _ => CallError::NotAttempted(error.to_string()),
    }
}

/// Sends a request and returns its response, with the body still to be read; `buffer` is what the connection
/// reads ahead, in bytes.
///
/// # Errors
///
/// Distinguishes whether the request may have been received; a response whose status does not exist counts as none.
pub(crate) async fn send(
    stream: TcpStream,
    request: Request<Bytes>,
    buffer: usize,
) -> Result<(Response<Incoming>, Connection), CallError> {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(buffer);
    let (stream, limit) = HeadLimited::new(EndChecked::new(stream), HEADS_MAX);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) =
        handshake.map_err(|error| CallError::Connect(error.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        // The caller of this function gets the same error from the response or its body.
        let _ended = connection.await;
    });
    let connection = Connection { task };
    let response = sender.send_request(request.map(Full::new)).await;
    let response = response.map_err(|error| CallError::Unknown(error.to_string()))?;
    let status = response.status().as_u16();
    // The HTTP library passes these on. No request asks for a switch of protocols.
    if !FINAL_STATUSES.contains(&status) {
        return Err(CallError::Unknown(format!("status {status} ends no request")));
    }
    limit.lift();
    Ok((response, connection))
}

/// Sends a request and reads its full response within `limits`, recording its progress.
///
/// # Errors
///
/// Distinguishes whether the request may have been received; after a timeout it may have been.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request<Bytes>,
    limits: Limits,
    progress: &Progress,
) -> Result<Response<Bytes>, CallError> {
    let call = async {
        let head = async {
            let stream = connect(address, reach::CONNECT_TIMEOUT_MAX).await?;
            send(stream, request, HEAD_MAX).await
        };
        let (response, _connection) = within(limits.head, head).await??;
        progress.head.set(Some(Instant::now()));
        let (head, mut body) = response.into_parts();
        let mut content = BytesMut::new();
        while let Some(frame) = within(limits.pause, body.frame()).await? {
            let frame = frame.map_err(|error| CallError::Unknown(error.to_string()))?;
            let data = frame.into_data().unwrap_or_default();
            progress.received.set(progress.received.get() + data.len());
            if progress.received.get() > BODY_MAX {
                return Err(CallError::Unknown(format!("body exceeds {BODY_MAX} bytes")));
            }
            content.extend_from_slice(&data);
        }
        Ok(Response::from_parts(head, content.freeze()))
    };
    within(limits.total, call).await?
}

async fn within<F>(timeout: Duration, work: F) -> Result<F::Output, CallError>
where
    F: Future,
{
    let timed_out = |_| CallError::Unknown(format!("none within {} ms", timeout.as_millis()));
    clock::timeout(timeout, work).await.map_err(timed_out)
}
