//! The calling side: connections to peers, kept and shared by all requests.

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

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);
const KEEP_ALIVE: Duration = Duration::from_millis(1_000);
const IDLE_TIMEOUT_MS: u32 = 5_000;

pub(crate) type Reader = codec::FramedRead<quinn::RecvStream, codec::LengthDelimitedCodec>;
pub(crate) type Writer = codec::FramedWrite<quinn::SendStream, codec::LengthDelimitedCodec>;

pub(crate) fn codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Settings of a connection; only the side that calls keeps it alive.
pub(crate) fn transport(keep_alive: Option<Duration>) -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.keep_alive_interval(keep_alive);
    transport.max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.max_concurrent_bidi_streams(quinn::VarInt::from_u32(8_192));
    Arc::new(transport)
}

fn client(identity: &tls::Identity) -> Result<quinn::ClientConfig, LinkError> {
    let mut client = tls::client_config(identity)?;
    client.transport_config(transport(Some(KEEP_ALIVE)));
    Ok(client)
}

/// Connections to peers; clones share them.
#[derive(Clone)]
pub struct Link {
    endpoint: quinn::Endpoint,
    caller: frame::Caller,
    client: Arc<RwLock<quinn::ClientConfig>>,
    open: Arc<Mutex<BTreeMap<SocketAddr, quinn::Connection>>>,
}

/// A running call: the frames of its answer.
pub struct Call {
    reader: Reader,
    // Kept open so that the owner sees a cancelled call when it is dropped.
    _writer: Writer,
}

impl Link {
    /// Makes a link over `endpoint` with the identity of the daemon `caller`.
    ///
    /// # Errors
    ///
    /// Fails if a certificate or key can't be used.
    pub fn new(
        endpoint: quinn::Endpoint,
        identity: &tls::Identity,
        caller: frame::Caller,
    ) -> Result<Self, LinkError> {
        let client = Arc::new(RwLock::new(client(identity)?));
        Ok(Self { endpoint, caller, client, open: Arc::default() })
    }

    /// Uses another identity for new connections of both sides; running calls go on.
    ///
    /// # Errors
    ///
    /// Fails if a certificate or key can't be used; the old identity is kept then.
    pub fn replace_identity(&self, identity: &tls::Identity) -> Result<(), LinkError> {
        tls::check(identity, &self.caller)?;
        let (client, server) = (client(identity)?, server::config(identity)?);
        self.endpoint.set_server_config(Some(server));
        *self.client.write().unwrap_or_else(PoisonError::into_inner) = client;
        // Streams keep their connection open until they end.
        self.open.lock().unwrap_or_else(PoisonError::into_inner).clear();
        Ok(())
    }

    /// Bytes of UDP that the connections opened by this side have sent and received.
    pub fn traffic_bytes(&self) -> u64 {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let each = open.values().map(|connection| connection.stats());
        each.map(|stats| stats.udp_tx.bytes + stats.udp_rx.bytes).sum()
    }

    fn known(&self, peer: SocketAddr) -> Option<quinn::Connection> {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.get(&peer).filter(|connection| connection.close_reason().is_none()).cloned()
    }

    async fn connect(
        &self,
        zone: &id::ZoneId,
        member: &view::Member,
    ) -> Result<quinn::Connection, LinkError> {
        let peer = member.peers;
        if let Some(connection) = self.known(peer) {
            return Ok(connection);
        }
        let name = tls::subject(&member.vm, zone);
        let unreachable = |detail: String| LinkError::Unreachable { peer, detail };
        let client = self.client.read().unwrap_or_else(PoisonError::into_inner).clone();
        let connecting = self.endpoint.connect_with(client, peer, &name);
        let connecting = connecting.map_err(|error| unreachable(error.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable("timeout".into()))?
            .map_err(|error| unreachable(error.to_string()))?;
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.insert(peer, connection.clone());
        Ok(connection)
    }

    /// Hands `work` to the daemon `member` in `zone`.
    ///
    /// # Errors
    ///
    /// `Unreachable` means that nothing of the request has left; after any other
    /// error it may have run.
    pub async fn call(
        &self,
        zone: &id::ZoneId,
        member: &view::Member,
        work: &frame::Request,
    ) -> Result<Call, LinkError> {
        self.open(zone, member, frame::Message::Request(Box::new(work.clone()))).await
    }

    /// Asks the daemon `member` in `zone`.
    ///
    /// # Errors
    ///
    /// Any error means that nothing was learnt.
    pub async fn query(
        &self,
        zone: &id::ZoneId,
        member: &view::Member,
        ask: frame::Query,
    ) -> Result<frame::Reply, LinkError> {
        let asked = async {
            let mut call = self.open(zone, member, frame::Message::Query(ask)).await?;
            match call.reader.next().await {
                Some(Ok(bytes)) => postcard::from_bytes(&bytes).context(error::FrameSnafu),
                Some(Err(error)) => Err(LinkError::Broken { detail: error.to_string() }),
                None => Err(LinkError::Broken { detail: "no reply".into() }),
            }
        };
        let waited = tokio::time::timeout(ASK_TIMEOUT, asked).await;
        waited.unwrap_or_else(|_| Err(LinkError::Broken { detail: "timeout".into() }))
    }

    async fn open(
        &self,
        zone: &id::ZoneId,
        member: &view::Member,
        open: frame::Message,
    ) -> Result<Call, LinkError> {
        let connection = self.connect(zone, member).await?;
        let opened = connection.open_bi().await;
        let (send, receive) = opened.map_err(|error| LinkError::Unreachable {
            peer: member.peers,
            detail: error.to_string(),
        })?;
        let mut writer = codec::FramedWrite::new(send, codec());
        let first = frame::Preamble { caller: self.caller.clone(), message: open };
        let text = postcard::to_stdvec(&first).context(error::FrameSnafu)?;
        let sent = writer.send(Bytes::from(text)).await;
        sent.map_err(|error| LinkError::Broken { detail: error.to_string() })?;
        let reader = codec::FramedRead::new(receive, codec());
        Ok(Call { reader, _writer: writer })
    }
}

impl Call {
    /// The next frame, or none at the end of the stream.
    ///
    /// # Errors
    ///
    /// Any error means that the request may have run.
    pub async fn next(&mut self) -> Result<Option<frame::Frame>, LinkError> {
        match self.reader.next().await {
            None => Ok(None),
            Some(Ok(bytes)) => postcard::from_bytes(&bytes).map(Some).context(error::FrameSnafu),
            Some(Err(error)) => Err(LinkError::Broken { detail: error.to_string() }),
        }
    }
}
