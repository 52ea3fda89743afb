//! Receives datagrams of other relays.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ibishill_core::event;
use tokio::net::UdpSocket;
use tokio::time as clock;

use crate::context::Shared;
use crate::{isolation, load_reports, packet};

/// Receives datagrams and passes each on by its kind.
pub(crate) async fn run(context: Shared, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; packet::SIZE_MAX];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                if let Err(error) = receive(&context, &socket, &buffer[..length]).await {
                    reject(from, &error);
                }
            }
            // An ICMP error from a peer that is down is reported here.
            Err(_) => clock::sleep(Duration::from_millis(1)).await,
        }
    }
}

async fn receive(context: &Shared, socket: &UdpSocket, bytes: &[u8]) -> Result<(), String> {
    let (kind, payload) = packet::split(bytes).ok_or("unknown kind of datagram")?;
    let received = match kind {
        packet::Kind::Report => load_reports::receive(context, payload),
        packet::Kind::Question => isolation::answer(context, socket, payload).await,
        packet::Kind::Answer => isolation::receive(context, payload),
    };
    received.map_err(|error| error.to_string())
}

fn reject(from: SocketAddr, error: &str) {
    event::emit_json(
        event::Event::PeerRejected,
        &[event::field("peer", &from), event::field("error", &error)],
    );
}
