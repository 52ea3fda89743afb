//! The accepting side: requests from other daemons.

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

/// Opens the socket of the link.
///
/// # Errors
///
/// Fails if the address can't be bound or a certificate can't be used.
pub fn bind(address: SocketAddr, identity: &tls::Identity) -> Result<quinn::Endpoint, LinkError> {
    quinn::Endpoint::server(config(identity)?, address)
        .map_err(|error| LinkError::Tls { detail: format!("{address}: {error}") })
}

pub(crate) fn config(identity: &tls::Identity) -> Result<quinn::ServerConfig, LinkError> {
    let mut config = tls::server_config(identity)?;
    config.transport_config(link::transport(None));
    Ok(config)
}

// The caller of a connection once its certificate was checked, none if it was rejected.
type Checked = Arc<OnceLock<Option<frame::Caller>>>;

fn rejected(error: &LinkError) {
    event::emit(event::Event::PeerRejected, &[event::field("error", error)]);
}

fn check(connection: &quinn::Connection, caller: &frame::Caller) -> Option<frame::Caller> {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    match tls::check_subject(&chain.unwrap_or_default(), caller) {
        Ok(()) => Some(caller.clone()),
        Err(error) => {
            rejected(&error);
            None
        }
    }
}

// Whether `caller` is who the connection's certificate names.
fn is_caller(
    connection: &quinn::Connection,
    checked: &OnceLock<Option<frame::Caller>>,
    caller: &frame::Caller,
) -> bool {
    match checked.get_or_init(|| check(connection, caller)) {
        None => false,
        Some(known) if known == caller => true,
        Some(known) => {
            let detail = format!("{} calls itself {}", known.vm, caller.vm);
            rejected(&LinkError::Tls { detail });
            false
        }
    }
}

/// Accepts streams until the endpoint is closed; `run` starts each request, `reply`
/// answers each question.
pub async fn accept<R, A>(endpoint: quinn::Endpoint, run: R, reply: A)
where
    A: Fn(frame::Caller, frame::Query) -> frame::Reply + Clone + Send + Sync + 'static,
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
                Ok(connection) => serve(connection, run, reply).await,
                Err(error) => {
                    let fields = [event::field("error", &error)];
                    event::emit(event::Event::PeerRejected, &fields);
                }
            }
        });
    }
}

async fn serve<R, A>(connection: quinn::Connection, run: R, reply: A)
where
    A: Fn(frame::Caller, frame::Query) -> frame::Reply + Clone + Send + Sync + 'static,
    R: Fn(frame::Caller, frame::Request) -> mpsc::Receiver<frame::Frame>
        + Clone
        + Send
        + Sync
        + 'static,
{
    let checked = Checked::default();
    while let Ok((send, receive)) = connection.accept_bi().await {
        let (run, reply) = (run.clone(), reply.clone());
        let (connection, checked) = (connection.clone(), Arc::clone(&checked));
        let is_caller = move |caller: &frame::Caller| is_caller(&connection, &checked, caller);
        tokio::spawn(answer(send, receive, is_caller, run, reply));
    }
}

async fn answer<C, R, A>(
    send: quinn::SendStream,
    receive: quinn::RecvStream,
    is_caller: C,
    run: R,
    reply: A,
) where
    C: Fn(&frame::Caller) -> bool,
    A: Fn(frame::Caller, frame::Query) -> frame::Reply,
    R: Fn(frame::Caller, frame::Request) -> mpsc::Receiver<frame::Frame>,
{
    let mut reader: link::Reader = codec::FramedRead::new(receive, link::codec());
    let mut writer: link::Writer = codec::FramedWrite::new(send, link::codec());
    let Some(Ok(first)) = reader.next().await else { return };
    let Ok(first) = postcard::from_bytes::<frame::Preamble>(&first) else { return };
    let caller = first.caller;
    if !is_caller(&caller) {
        return refuse(writer, &first.message).await;
    }
    let work = match first.message {
        frame::Message::Request(work) => *work,
        frame::Message::Query(ask) => {
            let Ok(text) = postcard::to_stdvec(&reply(caller, ask)) else { return };
            if writer.send(Bytes::from(text)).await.is_ok() {
                finish(writer).await;
            }
            return;
        }
    };
    let mut frames = run(caller, work);
    loop {
        // The caller has left when its side of the stream ends.
        let next = tokio::select! {
            biased;
            frame = frames.recv() => frame,
            _ = reader.next() => return,
        };
        let Some(next) = next else { break };
        let Ok(text) = postcard::to_stdvec(&next) else { return };
        if writer.send(Bytes::from(text)).await.is_err() {
            return;
        }
    }
    finish(writer).await;
}

// A request learns that it has not run; a question gets no reply.
async fn refuse(mut writer: link::Writer, open: &frame::Message) {
    if let frame::Message::Query(_) = open {
        return;
    }
    let detail = "the certificate names another daemon than the caller";
    let refusal = outcome::Refusal::not_run(outcome::Reason::PeerLost, detail);
    let Ok(text) = postcard::to_stdvec(&frame::Frame::Failed(refusal)) else { return };
    if writer.send(Bytes::from(text)).await.is_ok() {
        finish(writer).await;
    }
}

async fn finish(writer: link::Writer) {
    let mut send = writer.into_inner();
    if send.finish().is_ok() {
        let _stopped = send.stopped().await;
    }
}
