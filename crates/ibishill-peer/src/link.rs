//! Calling side of the link: pooled connections to peers, shared by all requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use ibishill_core::{id, view};
use snafu::ResultExt;
use tokio_util::codec;

use crate::error::{self, LinkError};
use crate::{frame, server, tls};

/// Maximum length of a frame in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
const IDLE_TIMEOUT_MS: u32 = 5_000;

pub(crate) type Reader = codec::FramedRead<quinn::RecvStream, codec::LengthDelimitedCodec>;
pub(crate) type Writer = codec::FramedWrite<quinn::SendStream, codec::LengthDelimitedCodec>;

pub(crate) fn codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Transport settings of a connection; only the calling side sends keep-alives.
pub(crate) fn transport(keep_alive: Option<Duration>) -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.keep_alive_interval(keep_alive);
    transport.max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.max_concurrent_bidi_streams(quinn::VarInt::from_u32(8_192));
    Arc::new(transport)
}

fn client_config(identity: &tls::Identity) -> Result<quinn::ClientConfig, LinkError> {
    let mut client = tls::client_config(identity)?;
    client.transport_config(transport(Some(KEEP_ALIVE_INTERVAL)));
    Ok(client)
}

/// Pool of connections to peers; clones share it.
#[derive(Clone)]
pub struct Link {
    endpoint: quinn::Endpoint,
    caller: frame::Caller,
    client_config: Arc<RwLock<quinn::ClientConfig>>,
    connections: Arc<Mutex<BTreeMap<SocketAddr, quinn::Connection>>>,
}

/// Request in progress, which yields the frames of its response.
pub struct Call {
    reader: Reader,
    // Dropping it closes the sending side, which tells the owner that the call is cancelled.
    _writer: Writer,
}

impl Link {
    /// Creates a link over `endpoint` with the identity of the daemon `caller`.
    ///
    /// # Errors
    ///
    /// Fails if a certificate or key is invalid.
    pub fn new(
        endpoint: quinn::Endpoint,
        identity: &tls::Identity,
        caller: frame::Caller,
    ) -> Result<Self, LinkError> {
        let client_config = Arc::new(RwLock::new(client_config(identity)?));
        Ok(Self { endpoint, caller, client_config, connections: Arc::default() })
    }

    /// Replaces the identity for new connections, incoming and outgoing; calls in progress
    /// continue on their old connections.
    ///
    /// # Errors
    ///
    /// Fails if a certificate or key is invalid; the old identity then stays in use.
    pub fn replace_identity(&self, identity: &tls::Identity) -> Result<(), LinkError> {
        tls::check(identity, &self.caller)?;
        let (client, server) = (client_config(identity)?, server::config(identity)?);
        self.endpoint.set_server_config(Some(server));
        *self.client_config.write().unwrap_or_else(PoisonError::into_inner) = client;
        // A stream keeps its connection open until it ends.
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).clear();
        Ok(())
    }

    /// UDP bytes sent and received on the connections that this side opened and still pools.
    pub fn traffic_bytes(&self) -> u64 {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let stats = connections.values().map(|connection| connection.stats());
        stats.map(|stats| stats.udp_tx.bytes + stats.udp_rx.bytes).sum()
    }

    fn existing(&self, peer: SocketAddr) -> Option<quinn::Connection> {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.get(&peer).filter(|connection| connection.close_reason().is_none()).cloned()
    }

    async fn connect(
        &self,
        zone: &id::ZoneId,
        member: &view::Member,
    ) -> Result<quinn::Connection, LinkError> {
        let peer = member.peers;
        if let Some(connection) = self.existing(peer) {
            return Ok(connection);
        }
        let name = tls::subject(&member.vm, zone);
        let unreachable = |detail: String| LinkError::Unreachable { peer, detail };
        let client = self.client_config.read().unwrap_or_else(PoisonError::into_inner).clone();
        let connecting = self.endpoint.connect_with(client, peer, &name);
        let connecting = connecting.map_err(|error| unreachable(error.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable("timeout".into()))?
            .map_err(|error| unreachable(error.to_string()))?;
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.insert(peer, connection.clone());
        Ok(connection)
    }

    /// Sends `request` to the daemon `member` in `zone`.
    ///
    /// # Errors
    ///
    /// [`LinkError::Unreachable`] means that nothing of the request was sent; after any other
    /// error it may have run.
    pub async fn call(
        &self,
        zone: &id::ZoneId,
        member: &view::Member,
        request: &frame::Request,
    ) -> Result<Call, LinkError> {
        self.open_stream(zone, member, frame::Message::Request(Box::new(request.clone()))).await
    }

    /// Sends `query` to the daemon `member` in `zone` and waits up to one second for the reply.
    ///
    /// # Errors
    ///
    /// Fails if no valid reply arrives in time; the peer may still have processed the query.
    pub async fn query(
        &self,
        zone: &id::ZoneId,
        member: &view::Member,
        query: frame::Query,
    ) -> Result<frame::Reply, LinkError> {
        let exchange = async {
            let mut call = self.open_stream(zone, member, frame::Message::Query(query)).await?;
            match call.reader.next().await {
                Some(Ok(bytes)) => postcard::from_bytes(&bytes).context(error::FrameSnafu),
                Some(Err(error)) => Err(LinkError::Broken { detail: error.to_string() }),
                None => Err(LinkError::Broken { detail: "no reply".into() }),
            }
        };
        let reply = tokio::time::timeout(QUERY_TIMEOUT, exchange).await;
        reply.unwrap_or_else(|_| Err(LinkError::Broken { detail: "timeout".into() }))
    }

    async fn open_stream(
        &self,
        zone: &id::ZoneId,
        member: &view::Member,
        message: frame::Message,
    ) -> Result<Call, LinkError> {
        let connection = self.connect(zone, member).await?;
        let opened = connection.open_bi().await;
        let (send, receive) = opened.map_err(|error| LinkError::Unreachable {
            peer: member.peers,
            detail: error.to_string(),
        })?;
        let mut writer = codec::FramedWrite::new(send, codec());
        let preamble = frame::Preamble { caller: self.caller.clone(), message };
        let bytes = postcard::to_stdvec(&preamble).context(error::FrameSnafu)?;
        let sent = writer.send(Bytes::from(bytes)).await;
        sent.map_err(|error| LinkError::Broken { detail: error.to_string() })?;
        let reader = codec::FramedRead::new(receive, codec());
        Ok(Call { reader, _writer: writer })
    }
}

impl Call {
    /// Returns the next frame, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// After an error, the request may have run.
    pub async fn next(&mut self) -> Result<Option<frame::Frame>, LinkError> {
        match self.reader.next().await {
            None => Ok(None),
            Some(Ok(bytes)) => postcard::from_bytes(&bytes).map(Some).context(error::FrameSnafu),
            Some(Err(error)) => Err(LinkError::Broken { detail: error.to_string() }),
        }
    }
}
