//! Errors of the link between daemons.

use snafu::Snafu;

/// Why a call over the link failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LinkError {
    /// The peer could not be reached; nothing of the request was sent.
    #[snafu(display("peer {peer} could not be reached: {detail}"))]
    Unreachable {
        /// Address of the peer.
        peer: std::net::SocketAddr,
        /// Cause of the failure.
        detail: String,
    },
    /// The connection failed after part of the request may have been sent.
    #[snafu(display("connection to the peer failed: {detail}"))]
    Broken {
        /// Cause of the failure.
        detail: String,
    },
    /// A frame can't be encoded or decoded.
    #[snafu(display("invalid frame: {source}"))]
    Frame {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// A certificate or key is invalid or doesn't match, or the link's socket can't be set up.
    #[snafu(display("TLS error: {detail}"))]
    Tls {
        /// Cause of the failure.
        detail: String,
    },
}
