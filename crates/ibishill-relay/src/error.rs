//! Errors that prevent the relay from starting.

use std::net::SocketAddr;

use snafu::Snafu;

/// Error that prevents the relay from starting.
#[derive(Debug, Snafu)]
pub enum RelayError {
    /// The settings can't be read or are not valid.
    #[snafu(display("{path}: {detail}"))]
    Settings {
        /// Settings file, or the environment variable at fault.
        path: String,
        /// Cause, with the line in the file if there is one.
        detail: String,
    },
    /// A listen address can't be bound.
    #[snafu(display("{address}: {source}"))]
    Listen {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The runtime, a signal handler, the log or the metrics can't be set up.
    #[snafu(display("{what}: {detail}"))]
    Setup {
        /// Component that failed.
        what: &'static str,
        /// Cause.
        detail: String,
    },
}
