//! Errors at the start of a daemon.

use snafu::Snafu;

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// No credential is configured.
    #[snafu(display(
        "no operator token is configured; set security.tokens, or security.insecure with loopback addresses"
    ))]
    NoCredential,
    /// Insecure settings on an address that others can reach.
    #[snafu(display("security.insecure needs loopback addresses, but {address} is none"))]
    InsecureAddress {
        /// The address.
        address: std::net::SocketAddr,
    },
    /// A thread could not be started.
    #[snafu(display("a thread could not be started: {source}"))]
    Thread {
        /// The system's error.
        source: std::io::Error,
    },
    /// The link could not be opened.
    #[snafu(display("{source}"))]
    Link {
        /// The link's error.
        source: ibishill_peer::error::LinkError,
    },
    /// A client could not be set up.
    #[snafu(display("a client could not be set up: {detail}"))]
    Client {
        /// What was seen.
        detail: String,
    },
    /// The callers' or operators' side could not be opened.
    #[snafu(display("address {address} could not be opened: {detail}"))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What was seen.
        detail: String,
    },
    /// A file of the settings can't be read.
    #[snafu(display("{path} can't be read: {source}"))]
    File {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A certificate of the settings can't be used.
    #[snafu(display("{path} can't be used with its key: {detail}"))]
    Certificate {
        /// The certificate's file.
        path: String,
        /// What was seen.
        detail: String,
    },
}
