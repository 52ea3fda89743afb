//! Calls over HTTP to endpoints, peers and the store, each on a connection of its own.
//!
//! A kept connection may be closed, silent or hold a late answer to another request just
//! when the next request is sent, whose fate is unknown then. A new one costs a round trip
//! in the zone, and its failure shows before a byte of the request has left.

use std::net::SocketAddr;
use std::time::Duration;
use std::{fmt, io};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use ibishill_core::time;
use ibishill_decide::reach;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time as clock;

/// Largest head of an answer, in bytes.
const HEAD_MAX: usize = 64 * 1_024;

/// Largest answer that is read whole, in bytes.
const BODY_MAX: usize = 8 * 1_024 * 1_024;

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The other side took no connection, so nothing was sent.
    Connect(String),
    /// This process could not try to connect, so nothing was sent.
    NotAttempted(String),
    /// The other side did not answer to the connection, so nothing was sent.
    TimedOut(time::Millis),
    /// The request may have arrived.
    Unknown(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(detail) => write!(f, "no connection: {detail}"),
            Self::NotAttempted(detail) => write!(f, "no connection, on this side: {detail}"),
            Self::TimedOut(timeout) => write!(f, "no connection within {timeout}"),
            Self::Unknown(detail) => write!(f, "no answer: {detail}"),
        }
    }
}

/// A connection; dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct Connection {
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Makes a connection within `limit`.
///
/// # Errors
///
/// Tells whether the other side refused it or was silent, or this process could not try.
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

/// Sends a request and returns the head of its answer.
///
/// # Errors
///
/// Tells whether the request may have arrived.
pub(crate) async fn send(
    stream: TcpStream,
    request: Request<Bytes>,
) -> Result<(Response<Incoming>, Connection), CallError> {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(HEAD_MAX);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) =
        handshake.map_err(|error| CallError::Connect(error.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        // The caller of this function sees the same failure at the answer or its body.
        let _ended = connection.await;
    });
    let connection = Connection { task };
    let answer = sender.send_request(request.map(Full::new)).await;
    let answer = answer.map_err(|error| CallError::Unknown(error.to_string()))?;
    Ok((answer, connection))
}

/// Sends a request and reads its whole answer within `limit`.
///
/// # Errors
///
/// Tells whether the request may have arrived.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<Response<Bytes>, CallError> {
    let whole = async {
        let stream = connect(address, reach::CONNECT_TIMEOUT_MAX).await?;
        let (answer, _connection) = send(stream, request).await?;
        let (head, body) = answer.into_parts();
        Ok(Response::from_parts(head, read_body(body).await?))
    };
    let timed_out = || CallError::Unknown(format!("none within {} ms", timeout.as_millis()));
    clock::timeout(timeout, whole).await.map_err(|_| timed_out())?
}

/// Reads a whole body.
///
/// # Errors
///
/// Fails if it ends early or is too large.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, CallError> {
    let whole = Limited::new(body, BODY_MAX).collect().await;
    whole.map(|whole| whole.to_bytes()).map_err(|error| CallError::Unknown(error.to_string()))
}
