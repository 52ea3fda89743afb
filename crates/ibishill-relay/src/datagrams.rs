//! Receives datagrams of other relays.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time as clock;

use crate::context::Shared;
use crate::wire::Format;
use crate::{isolation, load_reports, packet, peer_log, starts, wire};

/// Receives datagrams and passes each on by its kind.
pub(crate) async fn run(context: Shared, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; packet::SIZE_MAX];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                if let Err(error) = receive(&context, &socket, &buffer[..length], from).await {
                    peer_log::reject(from, &error);
                }
            }
            // An ICMP error from a peer that is down is reported here.
            Err(_) => clock::sleep(Duration::from_millis(1)).await,
        }
    }
}

async fn receive(
    context: &Shared,
    socket: &UdpSocket,
    bytes: &[u8],
    from: SocketAddr,
) -> Result<(), String> {
    let report = match packet::split(bytes) {
        Some((packet::Kind::Report, payload)) => wire::decode_report(payload, Format::Layout)?,
        Some((packet::Kind::Parts, payload)) => wire::decode_report(payload, Format::Parts)?,
        Some((packet::Kind::Question, payload)) => {
            let answered = isolation::answer(context, socket, payload).await;
            return answered.map_err(|error| error.to_string());
        }
        Some((packet::Kind::Answer, payload)) => {
            return isolation::receive(context, payload).map_err(|error| error.to_string());
        }
        Some((packet::Kind::Start, payload)) => {
            return starts::receive(context, payload).map_err(|error| error.to_string());
        }
        None => wire::decode_unmarked_report(bytes)?,
    };
    report.skipped.iter().for_each(|part| peer_log::reject(from, part));
    load_reports::receive(context, report.message, report.format);
    Ok(())
}
