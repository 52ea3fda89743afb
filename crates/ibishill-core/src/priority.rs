//! How urgent a request is compared with others of its workspace.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Priority of a request; a higher one sorts later.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Work that can wait, such as batches.
    Low,
    /// Everything that names no priority.
    #[default]
    Normal,
    /// Somebody waits for the answer.
    High,
}

/// Why a text is no priority.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a priority is low, normal or high (0, 1 or 2), not {text:?}"))]
pub struct PriorityError {
    /// The text as given.
    pub text: String,
}

impl Priority {
    /// The priority as engines take it: 0 for the lowest, 2 for the highest.
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
