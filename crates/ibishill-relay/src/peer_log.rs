//! Log lines of messages between relays.

use std::net::SocketAddr;

use ibishill_core::event;

/// Logs that a message of a peer, or a part of one, can't be used.
pub(crate) fn reject(peer: SocketAddr, error: &str) {
    event::emit_json(
        event::Event::PeerRejected,
        &[event::field("peer", &peer), event::field("error", &error)],
    );
}
