//! Accepts callers' connections and answers readiness checks.

use std::convert::Infallible;
use std::pin;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use ibishill_core::{event, route, time};
use tokio::net::{TcpListener, TcpStream};
use tokio::time as clock;

use crate::context::Shared;
use crate::{body, connections, handler, head_timer};

/// Limits that apply before a configuration is loaded.
const DEFAULT_LIMITS: route::Limits = route::Limits {
    header_bytes: 16 * 1_024,
    body_bytes: 1_024 * 1_024,
    header_timeout: time::Millis(3_000),
    idle_timeout: time::Millis(15_000),
};

/// Smallest buffer for a request head that hyper allows, in bytes.
const HEAD_BUFFER_MIN: usize = 8 * 1_024;

/// Delay after a failed accept, since file descriptors may be exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Timeout of a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves callers until shutdown; later connections are refused, so that their callers go to
/// another relay before they have sent anything.
pub(crate) async fn callers(context: Shared, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = context.shutdown.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // Otherwise it is closed at once, so that its caller goes to another relay.
                if let Some(connection) = connections::Connection::accept(&context) {
                    tokio::task::spawn_local(serve_caller(context.clone(), stream, connection));
                }
            }
            Err(error) => record_accept_error(&error).await,
        }
    }
}

async fn record_accept_error(error: &std::io::Error) {
    event::emit_json(event::Event::ConnectionFailed, &[event::field("error", error)]);
    clock::sleep(ACCEPT_BACKOFF).await;
}

async fn serve_caller(context: Shared, stream: TcpStream, connection: connections::Connection) {
    if let Err(error) = stream.set_nodelay(true) {
        event::emit_json(event::Event::CallerGone, &[event::field("error", &error)]);
        return;
    }
    let limits = context.state().catalog.as_ref().map_or(DEFAULT_LIMITS, |catalog| catalog.limits);
    let abort = connection.abort.clone();
    // A limit of 0 would refuse each head that comes in two packets.
    let head_timeout = match limits.header_timeout {
        time::Millis(0) => limits.idle_timeout.to_std(),
        timeout => timeout.to_std(),
    };
    let timer = head_timer::HeadTimer::new(&connection.activity);
    let stream = head_timer::Timed::new(stream, timer.clone());
    let service = {
        let (context, abort, timer) = (context.clone(), abort.clone(), timer.clone());
        let activity = connection.activity.clone();
        service::service_fn(move |request| {
            timer.complete();
            let (context, abort, active) = (context.clone(), abort.clone(), activity.begin());
            async move {
                // Boxed, so that a connection without a request, or with a stream, has no memory for attempts: 9 KB.
                let response = Box::pin(handler::handle(context, request, abort)).await;
                Ok::<_, Infallible>(response.map(|body| body::active(body, active)))
            }
        })
    };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // Its timer starts when the connection becomes idle, so the limit is the idle timeout.
        .header_read_timeout(limits.idle_timeout.to_std())
        .max_buf_size(limits.header_bytes.max(HEAD_BUFFER_MIN));
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    let mut serving = pin::pin!(serving);
    tokio::select! {
        // A disconnect is logged when the request's future is dropped.
        _ended = serving.as_mut() => return,
        () = abort.requested() => return,
        () = timer.expired(head_timeout) => return,
        () = context.shutdown.notified() => {}
    }
    serving.as_mut().graceful_shutdown();
    tokio::select! {
        _ended = serving => {}
        () = abort.requested() => {}
        () = timer.expired(head_timeout) => {}
    }
}

/// Answers readiness checks.
pub(crate) async fn readiness(context: Shared, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    let service = service::service_fn(move |_| {
                        let context = context.clone();
                        async move { Ok::<_, Infallible>(readiness_response(&context)) }
                    });
                    let serving = http1::Builder::new()
                        .keep_alive(false)
                        .serve_connection(TokioIo::new(stream), service);
                    // A client whose check fails sees the connection close and retries.
                    let _ended = clock::timeout(READINESS_TIMEOUT, serving).await;
                });
            }
            Err(error) => record_accept_error(&error).await,
        }
    }
}

fn readiness_response(context: &Shared) -> Response<Full<Bytes>> {
    let is_ready = context.state().is_ready(context.now());
    let mut response = Response::new(Full::default());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
