//! Points in time and durations in milliseconds. They are plain numbers, so that decision code
//! takes the time as an input and reads no clock.

use std::fmt;
use std::num;
use std::ops;
use std::str;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A duration in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Subtracts `other`, saturating at zero.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Creates a duration from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// Returns whole seconds, rounded up, as the header `Retry-After` requires.
    pub const fn ceil_secs(self) -> u64 {
        self.0.div_ceil(1_000)
    }

    /// Converts to the standard library's type.
    pub const fn to_std(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl str::FromStr for Millis {
    type Err = num::ParseIntError;

    /// Parses `1500`, `1500ms` or `2s`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Some(number) = text.strip_suffix("ms") {
            return Ok(Self(number.parse()?));
        }
        match text.strip_suffix('s') {
            Some(number) => Ok(Self::from_secs(number.parse()?)),
            None => Ok(Self(text.parse()?)),
        }
    }
}

/// A point in time, in milliseconds since the epoch of the clock that it was read from.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tick(pub u64);

impl Tick {
    /// Duration from `earlier` to `self`, zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Millis> for Tick {
    type Output = Self;

    fn add(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Tick {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{}", self.0)
    }
}
