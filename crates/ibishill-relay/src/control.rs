//! Serves other relays: their messages, their requests for chunks, and callers' requests that they pass on.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use ibishill_core::event;
use tokio::net::{TcpListener, TcpStream};
use tokio::time as clock;

use crate::body::{self, Body};
use crate::context::Shared;
use crate::{abort, chunks, gossip, handler, hop};

/// Longest time that a connection is served.
const SERVING_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum size of an encoded message, in bytes.
const MESSAGE_MAX: usize = 8 * 1_024 * 1_024;

/// Requests of peers that run at the same time, at about 30 KB each.
const FORWARDED_MAX: u32 = 512;

/// Delay after a failed accept, since file descriptors may be exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(400);

/// Serves the connections of other relays.
pub(crate) async fn serve(context: Shared, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                event::emit_json(event::Event::PeerRejected, &[event::field("error", &error)]);
                clock::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let context = context.clone();
        tokio::task::spawn_local(serve_peer(context, stream));
    }
}

async fn serve_peer(context: Shared, stream: TcpStream) {
    let connection = Rc::new(Connection::default());
    let service = {
        let connection = connection.clone();
        service::service_fn(move |request| handle(context.clone(), connection.clone(), request))
    };
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut serving = pin::pin!(serving);
    // On failure the peer sees the connection close and counts the exchange as failed.
    let ended = clock::timeout(SERVING_TIMEOUT, serving.as_mut()).await;
    if ended.is_err() && connection.is_forwarding.get() {
        // A request has a deadline, and ends with its caller.
        tokio::select! {
            _ended = serving => {}
            () = connection.abort.requested() => {}
        }
    }
}

/// Counts a request that runs for a peer until dropped.
struct ForwardGuard(Shared);

impl ForwardGuard {
    // None if as many run as may.
    fn begin(context: &Shared) -> Option<Self> {
        let count = context.forwarded.get();
        (count < FORWARDED_MAX).then(|| {
            context.forwarded.set(count + 1);
            context.memory.callers.set(context.memory.callers.get() + 1);
            Self(context.clone())
        })
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.0.forwarded.set(self.0.forwarded.get() - 1);
        self.0.memory.callers.set(self.0.memory.callers.get() - 1);
    }
}

/// State of a connection.
#[derive(Default)]
struct Connection {
    /// Held while a request for chunks is served.
    place: RefCell<Option<chunks::Place>>,
    /// Whether it carries a caller's request.
    is_forwarding: Cell<bool>,
    /// Held while that request runs.
    forward: RefCell<Option<ForwardGuard>>,
    abort: abort::Abort,
}

async fn handle(
    context: Shared,
    connection: Rc<Connection>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if let Some(hop) = request.headers().get(hop::HOP) {
        let Some(hop) = hop.to_str().ok().and_then(|text| text.parse().ok()) else {
            event::emit_json(
                event::Event::PeerRejected,
                &[event::field("error", &format!("{}: {hop:?} is not valid", hop::HOP))],
            );
            return Ok(respond(Err(StatusCode::BAD_REQUEST)));
        };
        connection.is_forwarding.set(true);
        let is_stopping = context.state().is_stopping;
        let guard = ForwardGuard::begin(&context).filter(|_| !is_stopping);
        let is_full = guard.is_none();
        *connection.forward.borrow_mut() = guard;
        let abort = connection.abort.clone();
        // Boxed, so that a stream has no memory for attempts once it has begun.
        let handling = Box::pin(handler::handle_forwarded(context, request, abort, hop, is_full));
        return Ok(handling.await);
    }
    let is_for_chunks = request.uri().path() == chunks::PATH;
    let Ok(body) = Limited::new(request.into_body(), MESSAGE_MAX).collect().await else {
        return Ok(respond(Err(StatusCode::BAD_REQUEST)));
    };
    let body = body.to_bytes();
    if !is_for_chunks {
        return Ok(respond(gossip::answer(&context, &body)));
    }
    let taken = chunks::Place::take(&context);
    let is_full = taken.is_none();
    *connection.place.borrow_mut() = taken;
    let result = if is_full {
        Err(StatusCode::SERVICE_UNAVAILABLE)
    } else {
        chunks::answer(&context, &body)
    };
    Ok(respond(result))
}

fn respond(result: Result<Bytes, StatusCode>) -> Response<Body> {
    let (status, content) = match result {
        Ok(content) => (StatusCode::OK, content),
        Err(status) => (status, Bytes::new()),
    };
    let mut response = Response::new(body::full(content));
    *response.status_mut() = status;
    response
}
