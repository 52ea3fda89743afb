//! Secrets that are redacted in logs and debug output.

use std::fmt;

use serde::Deserialize;

/// A secret text; `Debug` and `Display` print a placeholder.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    pub fn new<S>(text: S) -> Self
    where
        S: Into<String>,
    {
        Self(text.into())
    }

    /// Returns the secret in clear text, which must not be logged.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(***)")
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}
