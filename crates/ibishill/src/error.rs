//! Errors of commands, with the exit code and a hint of what to do.

use ibishill_config::finding;
use ibishill_operator::client;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    /// The command line is wrong.
    #[snafu(display("{detail}"))]
    Usage { detail: String },
    /// A file can't be read or written.
    #[snafu(display("{path}: {source}"))]
    File { path: String, source: std::io::Error },
    /// Documents have findings.
    #[snafu(display("{source}"))]
    Findings { source: finding::Findings },
    /// The daemon refused or was not reached.
    #[snafu(display("{source}"))]
    Call { source: client::ClientError },
    /// The daemon could not start.
    #[snafu(display("{source}"))]
    Start { source: ibishill_daemon::error::StartError },
    /// Something else went wrong.
    #[snafu(display("{detail}"))]
    Other { detail: String },
    /// The awaited state was not reached in time.
    #[snafu(display("{detail}"))]
    Timeout { detail: String },
}

impl CommandError {
    /// The process's exit code; docs/OPERATORS.md lists them.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::Findings { .. } => 3,
            Self::Call { source: client::ClientError::Refused { status } } => match status.code() {
                tonic::Code::Aborted => 4,
                tonic::Code::Unknown => 5,
                tonic::Code::InvalidArgument => 3,
                _ => 1,
            },
            Self::Timeout { .. } => 6,
            Self::Call { .. } | Self::File { .. } | Self::Start { .. } | Self::Other { .. } => 1,
        }
    }

    /// What to do about it.
    pub(crate) fn hint(&self) -> Option<&'static str> {
        match self {
            Self::Usage { .. } => Some("see 'ibishill --help'"),
            Self::Call { source: client::ClientError::Unreachable { .. } } => {
                Some("name a daemon's operators' address with --daemon")
            }
            Self::Call { source: client::ClientError::Refused { status } } => match status.code() {
                tonic::Code::Aborted => Some("read the newer state with 'ibishill diff'"),
                tonic::Code::Unknown => Some("repeat the command with the same --change-id"),
                _ => None,
            },
            _ => None,
        }
    }
}

impl From<client::ClientError> for CommandError {
    fn from(source: client::ClientError) -> Self {
        Self::Call { source }
    }
}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage { detail: error.to_string() }
    }
}

impl From<finding::Findings> for CommandError {
    fn from(source: finding::Findings) -> Self {
        Self::Findings { source }
    }
}
