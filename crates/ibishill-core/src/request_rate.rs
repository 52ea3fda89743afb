//! Rates of requests.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Error returned when a text is not a valid rate.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a rate; write requests per second, such as 2.5"))]
pub struct RateError {
    /// Rejected text.
    text: String,
}

/// A rate in requests per second, finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl str::FromStr for RequestRate {
    type Err = RateError;

    /// Parses a decimal number of requests per second, with or without the unit.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim().strip_suffix("/s").unwrap_or(text.trim()).parse::<f64>();
        number
            .ok()
            .and_then(|number| Self::try_from(number).ok())
            .ok_or_else(|| RateError { text: text.to_owned() })
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(number: f64) -> Result<Self, Self::Error> {
        let is_valid = number.is_finite() && number >= 0.0;
        if is_valid { Ok(Self(number)) } else { Err(RateError { text: number.to_string() }) }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}
