//! Priority of a request relative to others of its workspace.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Priority of a request; a more urgent one compares greater.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Work that can wait, such as batch jobs.
    Low,
    /// Default of requests that set no priority.
    #[default]
    Normal,
    /// Interactive work: a person waits for the answer.
    High,
}

/// Error returned when a text is not a valid priority.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a priority is low, normal or high (0, 1 or 2), not {text:?}"))]
pub struct PriorityError {
    /// Rejected text.
    pub text: String,
}

impl Priority {
    /// Numeric priority for engines: 0 for the lowest, 2 for the highest.
    pub const fn number(self) -> u8 {
        self as u8
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        })
    }
}

impl str::FromStr for Priority {
    type Err = PriorityError;

    /// Parses `low`, `normal`, `high` or `0`, `1`, `2`.
    fn from_str(text: &str) -> Result<Self, PriorityError> {
        match text {
            "low" | "0" => Ok(Self::Low),
            "normal" | "1" => Ok(Self::Normal),
            "high" | "2" => Ok(Self::High),
            _ => Err(PriorityError { text: text.to_owned() }),
        }
    }
}
