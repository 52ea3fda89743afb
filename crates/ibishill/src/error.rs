//! Errors of commands, each with its exit code and a hint.

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
    /// A file, standard input or a signal handler failed with an I/O error.
    #[snafu(display("{path}: {source}"))]
    File { path: String, source: std::io::Error },
    /// Checked files have findings.
    #[snafu(display("{source}"))]
    Findings { source: finding::Findings },
    /// A read-only call was refused, or the daemon could not be reached.
    #[snafu(display("{source}"))]
    Call { source: client::ClientError },
    /// A change was refused, or its outcome is unknown; `id` is the change's.
    #[snafu(display("{source}"))]
    Change { id: String, source: client::ClientError },
    /// The daemon could not start.
    #[snafu(display("{source}"))]
    Start { source: ibishill_daemon::error::StartError },
    /// The relay could not start.
    #[snafu(display("{source}"))]
    Relay { source: ibishill_relay::error::RelayError },
    /// Any other failure.
    #[snafu(display("{detail}"))]
    Other { detail: String },
    /// `ibishill wait` timed out.
    #[snafu(display("{detail}"))]
    Timeout { detail: String },
}

impl CommandError {
    /// Creates a usage error with the default hint.
    pub(crate) fn usage<S>(detail: S) -> Self
    where
        S: Into<String>,
    {
        Self::Usage { detail: detail.into(), hint: None }
    }

    /// Returns the process's exit code; docs/OPERATORS.md lists them.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::Findings { .. } => 3,
            Self::Change { source, .. } | Self::Call { source } => client_exit_code(source),
            Self::Timeout { .. } => 6,
            Self::File { .. } | Self::Start { .. } | Self::Relay { .. } | Self::Other { .. } => 1,
        }
    }

    /// Returns what the user can do about the error.
    pub(crate) fn hint(&self) -> Option<String> {
        match self {
            Self::Usage { hint, .. } => {
                Some(hint.clone().unwrap_or_else(|| "see 'ibishill --help'".into()))
            }
            Self::Change { id, source } if client_exit_code(source) == OUTCOME_UNKNOWN => {
                Some(format!("repeat the command with --change-id {id}"))
            }
            Self::Change { source, .. } | Self::Call { source } => client_hint(source),
            _ => None,
        }
    }
}

const OUTCOME_UNKNOWN: u8 = 5;

fn client_exit_code(error: &client::ClientError) -> u8 {
    let client::ClientError::Status { status } = error else { return 1 };
    match status.code() {
        tonic::Code::InvalidArgument => 3,
        tonic::Code::Aborted => 4,
        tonic::Code::Unknown
        | tonic::Code::Unavailable
        | tonic::Code::Cancelled
        | tonic::Code::DeadlineExceeded => OUTCOME_UNKNOWN,
        tonic::Code::Unauthenticated | tonic::Code::PermissionDenied => 7,
        _ => 1,
    }
}

fn client_hint(error: &client::ClientError) -> Option<String> {
    let status = match error {
        client::ClientError::Unreachable { .. } => {
            return Some("pass the URL of a daemon's operator API with --daemon".into());
        }
        client::ClientError::Status { status } => status,
        _ => return None,
    };
    let conflict = generated::Conflict::decode(status.details()).ok()?;
    let winner = conflict.winner.filter(|_| status.code() == tonic::Code::Aborted)?;
    Some(format!(
        "conflicts with '{}' by {}: {}; check 'ibishill diff', then retry with --expect {}",
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
