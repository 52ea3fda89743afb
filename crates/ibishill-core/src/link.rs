//! Bandwidth of network links.

use std::fmt;
use std::num;
use std::str;

use serde::{Deserialize, Serialize};

/// Bandwidth of a link, in kilobits per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bandwidth(pub u32);

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}kbit/s", self.0)
    }
}

impl str::FromStr for Bandwidth {
    type Err = num::ParseIntError;

    /// Parses a number of kilobits per second, with or without the unit.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.strip_suffix("kbit/s").unwrap_or(text).parse()?))
    }
}
