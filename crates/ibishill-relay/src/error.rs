//! Why the relay can't start.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why the relay can't start.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The settings can't be read.
    #[snafu(display("{path}: {detail}"))]
    Settings {
        /// The file, or the variable that should name it.
        path: String,
        /// What is wrong, with its place.
        detail: String,
    },
    /// An address can't be listened on.
    #[snafu(display("{address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The runtime, a signal handler or the log can't be set up.
    #[snafu(display("{what}: {detail}"))]
    Setup {
        /// What can't be set up.
        what: &'static str,
        /// Why.
        detail: String,
    },
}
