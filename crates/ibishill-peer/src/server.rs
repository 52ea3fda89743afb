//! The accepting side: requests from other daemons.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use ibishill_core::event;
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
    let mut config = tls::server(identity)?;
    config.transport_config(link::transport());
    quinn::Endpoint::server(config, address)
        .map_err(|error| LinkError::Tls { detail: format!("{address}: {error}") })
}

/// Accepts streams until the endpoint is closed; `run` starts each request, `reply`
/// answers each question.
pub async fn accept<R, A>(endpoint: quinn::Endpoint, run: R, reply: A)
where
    A: Fn(frame::Ask) -> frame::Reply + Clone + Send + Sync + 'static,
    R: Fn(frame::Work) -> mpsc::Receiver<frame::Frame> + Clone + Send + Sync + 'static,
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
    A: Fn(frame::Ask) -> frame::Reply + Clone + Send + Sync + 'static,
    R: Fn(frame::Work) -> mpsc::Receiver<frame::Frame> + Clone + Send + Sync + 'static,
{
    while let Ok((send, receive)) = connection.accept_bi().await {
        let (run, reply) = (run.clone(), reply.clone());
        tokio::spawn(answer(send, receive, run, reply));
    }
}

async fn answer<R, A>(send: quinn::SendStream, receive: quinn::RecvStream, run: R, reply: A)
where
    A: Fn(frame::Ask) -> frame::Reply,
    R: Fn(frame::Work) -> mpsc::Receiver<frame::Frame>,
{
    let mut reader: link::Reader = codec::FramedRead::new(receive, link::codec());
    let mut writer: link::Writer = codec::FramedWrite::new(send, link::codec());
    let Some(Ok(first)) = reader.next().await else { return };
    let Ok(open) = postcard::from_bytes::<frame::Open>(&first) else { return };
    let work = match open {
        frame::Open::Work(work) => *work,
        frame::Open::Ask(ask) => {
            let Ok(text) = postcard::to_stdvec(&reply(ask)) else { return };
            if writer.send(Bytes::from(text)).await.is_ok() {
                finish(writer).await;
            }
            return;
        }
    };
    let mut frames = run(work);
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

async fn finish(writer: link::Writer) {
    let mut send = writer.into_inner();
    if send.finish().is_ok() {
        let _stopped = send.stopped().await;
    }
}
