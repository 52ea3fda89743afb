//! Serves other relays: their messages and their requests for chunks.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use ibishill_core::event;
use tokio::net::TcpListener;
use tokio::time as clock;

use crate::context::Shared;
use crate::{chunks, gossip};

/// Longest time that a connection is served.
const SERVING_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum size of an encoded message, in bytes.
const MESSAGE_MAX: usize = 8 * 1_024 * 1_024;

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
        tokio::task::spawn_local(async move {
            let place = Rc::new(RefCell::new(None));
            let service =
                service::service_fn(move |request| handle(context.clone(), place.clone(), request));
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // On failure the peer sees the connection close and counts the exchange as failed.
            let _ended = clock::timeout(SERVING_TIMEOUT, serving).await;
        });
    }
}

async fn handle(
    context: Shared,
    place: Rc<RefCell<Option<chunks::Place>>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
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
    *place.borrow_mut() = taken;
    let result = if is_full {
        Err(StatusCode::SERVICE_UNAVAILABLE)
    } else {
        chunks::answer(&context, &body)
    };
    Ok(respond(result))
}

fn respond(result: Result<Bytes, StatusCode>) -> Response<Full<Bytes>> {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body),
        Err(status) => (status, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
