//! Prices and token counts.

use std::fmt;
use std::iter;
use std::num;
use std::ops;
use std::str;

use serde::{Deserialize, Serialize};

/// A price in millionths of the deployment's currency unit.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

impl str::FromStr for Micros {
    type Err = num::ParseIntError;

    /// Parses an integer number of millionths.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.parse()?))
    }
}

impl ops::Add for Micros {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl iter::Sum for Micros {
    fn sum<I>(items: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        items.fold(Self::default(), ops::Add::add)
    }
}

/// Tokens consumed by one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: u64,
    /// Generated tokens.
    pub output: u64,
}
