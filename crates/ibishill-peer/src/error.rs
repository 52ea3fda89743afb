//! Errors of the link.

use snafu::Snafu;

/// Why a call over the link failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum LinkError {
    /// The peer could not be reached: nothing of the request has left.
    #[snafu(display("peer {peer} could not be reached: {detail}"))]
    Unreachable {
        /// The peer's address.
        peer: std::net::SocketAddr,
        /// What was seen.
        detail: String,
    },
    /// The link broke after the request had begun to leave.
    #[snafu(display("the link broke: {detail}"))]
    Broken {
        /// What was seen.
        detail: String,
    },
    /// A frame can't be read.
    #[snafu(display("a frame can't be read: {source}"))]
    Frame {
        /// The codec's error.
        source: postcard::Error,
    },
    /// Certificates or keys can't be used.
    #[snafu(display("certificates can't be used: {detail}"))]
    Tls {
        /// What is wrong.
        detail: String,
    },
}
