//! Errors of starting a daemon.

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
    /// Insecure settings on an address that is not loopback.
    #[snafu(display("security.insecure needs loopback addresses, but {address} is not one"))]
    InsecureAddress {
        /// Address that is not loopback.
        address: std::net::SocketAddr,
    },
    /// A thread could not be started.
    #[snafu(display("a thread could not be started: {source}"))]
    Thread {
        /// The system's error.
        source: std::io::Error,
    },
    /// The peer link could not be opened.
    #[snafu(display("{source}"))]
    Link {
        /// Error of the link.
        source: ibishill_peer::error::LinkError,
    },
    /// A client could not be set up.
    #[snafu(display("a client could not be set up: {detail}"))]
    Client {
        /// Error of the client or the metrics exporter.
        detail: String,
    },
    /// The listener for callers or operators could not be opened.
    #[snafu(display("address {address} could not be opened: {detail}"))]
    Listen {
        /// Address to listen on.
        address: std::net::SocketAddr,
        /// Error of the listener.
        detail: String,
    },
    /// A file of the settings can't be read.
    #[snafu(display("{path} can't be read: {source}"))]
    File {
        /// Path of the file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A certificate of the settings can't be used.
    #[snafu(display("{path} can't be used with its key: {detail}"))]
    Certificate {
        /// Path of the certificate's file.
        path: String,
        /// Error of the TLS library.
        detail: String,
    },
}
