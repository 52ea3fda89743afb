//! Which encoding each peer reads. A peer of an earlier build rejects numbered parts; every build reads the
//! fixed layout.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ibishill_core::time;

use crate::wire::Format;

/// Time for which a peer that has rejected numbered parts gets the fixed layout; then it is tried again, since
/// its build may have been replaced.
const REJECTED_TTL: time::Millis = time::Millis(5_000);

/// Time after the last message in parts from a peer for which its datagrams are in parts. They can't be
/// rejected, so they need proof.
const PROVEN_TTL: time::Millis = time::Millis(5_000);

/// Time after a report that said so for which a peer is told of single requests; reports come more rarely in
/// large deployments.
const HEARS_STARTS_TTL: time::Millis = time::Millis(30_000);

/// Peers and what their messages have shown.
#[derive(Debug, Default)]
pub(crate) struct PeerFormats {
    hears_starts: BTreeMap<SocketAddr, time::Tick>,
    rejected: BTreeMap<SocketAddr, time::Tick>,
    proven: BTreeMap<SocketAddr, time::Tick>,
}

impl PeerFormats {
    /// Encoding of a message to a peer, which may reject it.
    pub(crate) fn of_message(&self, peer: SocketAddr, now: time::Tick) -> Format {
        let rejected = self.rejected.get(&peer);
        let is_rejected = rejected.is_some_and(|at| now.since(*at) < REJECTED_TTL);
        if is_rejected { Format::Layout } else { Format::Parts }
    }

    /// Encoding of a datagram to a peer.
    pub(crate) fn of_datagram(&self, peer: SocketAddr, now: time::Tick) -> Format {
        let proven = self.proven.get(&peer);
        let is_proven = proven.is_some_and(|at| now.since(*at) < PROVEN_TTL);
        if is_proven { Format::Parts } else { Format::Layout }
    }

    /// Records that a peer has sent a message in this encoding.
    pub(crate) fn record(&mut self, peer: SocketAddr, format: Format, now: time::Tick) {
        if format == Format::Parts {
            self.rejected.remove(&peer);
            self.proven.insert(peer, now);
        }
    }

    /// Records whether a peer's report says that it reads datagrams of single requests.
    pub(crate) fn record_starts(&mut self, peer: SocketAddr, hears_starts: bool, now: time::Tick) {
        if hears_starts {
            self.hears_starts.insert(peer, now);
        } else {
            self.hears_starts.remove(&peer);
        }
    }

    /// Whether a peer reads datagrams of single requests.
    pub(crate) fn hears_starts(&self, peer: SocketAddr, now: time::Tick) -> bool {
        self.hears_starts.get(&peer).is_some_and(|at| now.since(*at) < HEARS_STARTS_TTL)
    }

    /// Records that a peer has rejected a message in parts.
    pub(crate) fn reject(&mut self, peer: SocketAddr, now: time::Tick) {
        self.proven.remove(&peer);
        self.rejected.insert(peer, now);
    }

    /// Forgets what is too old to count.
    pub(crate) fn expire(&mut self, now: time::Tick) {
        self.hears_starts.retain(|_, at| now.since(*at) < HEARS_STARTS_TTL);
        self.rejected.retain(|_, at| now.since(*at) < REJECTED_TTL);
        self.proven.retain(|_, at| now.since(*at) < PROVEN_TTL);
    }
}
