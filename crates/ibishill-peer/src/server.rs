//! Accepting side of the link: requests and queries from other daemons.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use ibishill_core::{event, outcome};
use rustls::pki_types::CertificateDer;
use tokio::sync::mpsc;
use tokio_util::codec;

use crate::error::LinkError;
use crate::link;
use crate::{frame, tls};

/// Binds the socket of the link.
///
/// # Errors
///
/// Fails if the address can't be bound, or a certificate or key is invalid.
pub fn bind(address: SocketAddr, identity: &tls::Identity) -> Result<quinn::Endpoint, LinkError> {
    quinn::Endpoint::server(config(identity)?, address)
        .map_err(|error| LinkError::Tls { detail: format!("{address}: {error}") })
}

pub(crate) fn config(identity: &tls::Identity) -> Result<quinn::ServerConfig, LinkError> {
    let mut config = tls::server_config(identity)?;
    config.transport_config(link::transport(None));
    Ok(config)
}

// Caller that the first stream of a connection named; `None` if its certificate was rejected.
type VerifiedCaller = Arc<OnceLock<Option<frame::Caller>>>;

fn emit_rejected(error: &LinkError) {
    event::emit(event::Event::PeerRejected, &[event::field("error", error)]);
}

fn verify_caller(connection: &quinn::Connection, caller: &frame::Caller) -> Option<frame::Caller> {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    match tls::check_subject(&chain.unwrap_or_default(), caller) {
        Ok(()) => Some(caller.clone()),
        Err(error) => {
            emit_rejected(&error);
            None
        }
    }
}

// Whether the certificate of the connection names `caller`.
fn is_caller(
    connection: &quinn::Connection,
    verified: &OnceLock<Option<frame::Caller>>,
    caller: &frame::Caller,
) -> bool {
    match verified.get_or_init(|| verify_caller(connection, caller)) {
        None => false,
        Some(found) if found == caller => true,
        Some(found) => {
            let detail =
                format!("certificate of {} used by a caller named {}", found.vm, caller.vm);
            emit_rejected(&LinkError::Tls { detail });
            false
        }
    }
}

/// Accepts streams until the endpoint is closed; `run` starts each request, `reply`
/// answers each query.
pub async fn accept<R, Q>(endpoint: quinn::Endpoint, run: R, reply: Q)
where
    Q: Fn(frame::Caller, frame::Query) -> frame::Reply + Clone + Send + Sync + 'static,
    R: Fn(frame::Caller, frame::Request) -> mpsc::Receiver<frame::Frame>
        + Clone
        + Send
        + Sync
        + 'static,
{
    while let Some(incoming) = endpoint.accept().await {
        let (run, reply) = (run.clone(), reply.clone());
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve_connection(connection, run, reply).await,
                Err(error) => {
                    let fields = [event::field("error", &error)];
                    event::emit(event::Event::PeerRejected, &fields);
                }
            }
        });
    }
}

async fn serve_connection<R, Q>(connection: quinn::Connection, run: R, reply: Q)
where
    Q: Fn(frame::Caller, frame::Query) -> frame::Reply + Clone + Send + Sync + 'static,
    R: Fn(frame::Caller, frame::Request) -> mpsc::Receiver<frame::Frame>
        + Clone
        + Send
        + Sync
        + 'static,
{
    let verified = VerifiedCaller::default();
    while let Ok((send, receive)) = connection.accept_bi().await {
        let (run, reply) = (run.clone(), reply.clone());
        let (connection, verified) = (connection.clone(), Arc::clone(&verified));
        let is_caller = move |caller: &frame::Caller| is_caller(&connection, &verified, caller);
        tokio::spawn(serve_stream(send, receive, is_caller, run, reply));
    }
}

async fn serve_stream<C, R, Q>(
    send: quinn::SendStream,
    receive: quinn::RecvStream,
    is_caller: C,
    run: R,
    reply: Q,
) where
    C: Fn(&frame::Caller) -> bool,
    Q: Fn(frame::Caller, frame::Query) -> frame::Reply,
    R: Fn(frame::Caller, frame::Request) -> mpsc::Receiver<frame::Frame>,
{
    let mut reader: link::Reader = codec::FramedRead::new(receive, link::codec());
    let mut writer: link::Writer = codec::FramedWrite::new(send, link::codec());
    let Some(Ok(bytes)) = reader.next().await else { return };
    let Ok(preamble) = postcard::from_bytes::<frame::Preamble>(&bytes) else { return };
    let caller = preamble.caller;
    if !is_caller(&caller) {
        return refuse(writer, &preamble.message).await;
    }
    let request = match preamble.message {
        frame::Message::Request(request) => *request,
        frame::Message::Query(query) => {
            let Ok(bytes) = postcard::to_stdvec(&reply(caller, query)) else { return };
            if writer.send(Bytes::from(bytes)).await.is_ok() {
                finish(writer).await;
            }
            return;
        }
    };
    let mut frames = run(caller, request);
    loop {
        // The caller has cancelled the request when its side of the stream ends.
        let frame = tokio::select! {
            biased;
            frame = frames.recv() => frame,
            _ = reader.next() => return,
        };
        let Some(frame) = frame else { break };
        let Ok(bytes) = postcard::to_stdvec(&frame) else { return };
        if writer.send(Bytes::from(bytes)).await.is_err() {
            return;
        }
    }
    finish(writer).await;
}

// Tells the caller of a request that it has not run; a query gets no reply.
async fn refuse(mut writer: link::Writer, message: &frame::Message) {
    if let frame::Message::Query(_) = message {
        return;
    }
    let detail = "the certificate does not name the calling daemon";
    let refusal = outcome::Refusal::not_run(outcome::Reason::PeerLost, detail);
    let Ok(bytes) = postcard::to_stdvec(&frame::Frame::Failed(refusal)) else { return };
    if writer.send(Bytes::from(bytes)).await.is_ok() {
        finish(writer).await;
    }
}

async fn finish(writer: link::Writer) {
    let mut send = writer.into_inner();
    if send.finish().is_ok() {
        let _stopped = send.stopped().await;
    }
}
