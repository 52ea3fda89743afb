//! Errors of commands, with the exit code and a hint of what to do.

use ibishill_config::finding;
use ibishill_operator::{client, generated};
use prost::Message;
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    /// The command line is wrong.
    #[snafu(display("{detail}"))]
    Usage { detail: String, hint: Option<String> },
    /// A file can't be read or written.
    #[snafu(display("{path}: {source}"))]
    File { path: String, source: std::io::Error },
    /// Documents have findings.
    #[snafu(display("{source}"))]
    Findings { source: finding::Findings },
    /// The daemon refused or was not reached.
    #[snafu(display("{source}"))]
    Call { source: client::ClientError },
    /// The daemon refused an order or did not tell what became of it.
    #[snafu(display("{source}"))]
    Order { id: String, source: client::ClientError },
    /// The daemon could not start.
    #[snafu(display("{source}"))]
    Start { source: ibishill_daemon::error::StartError },
    /// The relay could not start.
    #[snafu(display("{source}"))]
    Relay { source: ibishill_relay::error::RelayError },
    /// Something else went wrong.
    #[snafu(display("{detail}"))]
    Other { detail: String },
    /// The awaited state was not reached in time.
    #[snafu(display("{detail}"))]
    Timeout { detail: String },
}

impl CommandError {
    /// A mistake in the command line.
    pub(crate) fn usage<S>(detail: S) -> Self
    where
        S: Into<String>,
    {
        Self::Usage { detail: detail.into(), hint: None }
    }

    /// The process's exit code; docs/OPERATORS.md lists them.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::Findings { .. } => 3,
            Self::Order { source, .. } | Self::Call { source } => call_code(source),
            Self::Timeout { .. } => 6,
            Self::File { .. } | Self::Start { .. } | Self::Relay { .. } | Self::Other { .. } => 1,
        }
    }

    /// What to do about it.
    pub(crate) fn hint(&self) -> Option<String> {
        match self {
            Self::Usage { hint, .. } => {
                Some(hint.clone().unwrap_or_else(|| "see 'ibishill --help'".into()))
            }
            Self::Order { id, source } if call_code(source) == UNKNOWN => {
                Some(format!("repeat the command with --change-id {id}"))
            }
            Self::Order { source, .. } | Self::Call { source } => call_hint(source),
            _ => None,
        }
    }
}

const UNKNOWN: u8 = 5;

fn call_code(error: &client::ClientError) -> u8 {
    let client::ClientError::Status { status } = error else { return 1 };
    match status.code() {
        tonic::Code::InvalidArgument => 3,
        tonic::Code::Aborted => 4,
        tonic::Code::Unknown
        | tonic::Code::Unavailable
        | tonic::Code::Cancelled
        | tonic::Code::DeadlineExceeded => UNKNOWN,
        tonic::Code::Unauthenticated | tonic::Code::PermissionDenied => 7,
        _ => 1,
    }
}

fn call_hint(error: &client::ClientError) -> Option<String> {
    let status = match error {
        client::ClientError::Unreachable { .. } => {
            return Some("name a daemon's operators' address with --daemon".into());
        }
        client::ClientError::Status { status } => status,
        _ => return None,
    };
    let conflict = generated::Conflict::decode(status.details()).ok()?;
    let winner = conflict.winner.filter(|_| status.code() == tonic::Code::Aborted)?;
    Some(format!(
        "'{}' of {} came first: {}; look at 'ibishill diff' and order again with --expect {}",
        winner.action,
        winner.author,
        winner.steps.join(", "),
        winner.version
    ))
}

impl From<client::ClientError> for CommandError {
    fn from(source: client::ClientError) -> Self {
        Self::Call { source }
    }
}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        Self::usage(error.to_string())
    }
}

impl From<finding::Findings> for CommandError {
    fn from(source: finding::Findings) -> Self {
        Self::Findings { source }
    }
}
