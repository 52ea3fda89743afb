//! Hashes of API keys and operator tokens, which can be compared in constant time.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};
use sha2::Digest;
use snafu::Snafu;
use subtle::ConstantTimeEq;

/// SHA-256 hash of an API key or token, written as 64 hexadecimal digits.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

/// Error returned when a text is not 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a key hash has 64 hexadecimal digits; make one with 'ibishill key-hash'"))]
pub struct HashError;

impl KeyHash {
    /// Computes the hash of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    /// Whether both hashes are equal, compared in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(***)")
    }
}

impl str::FromStr for KeyHash {
    type Err = HashError;

    fn from_str(text: &str) -> Result<Self, HashError> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(HashError);
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = str::from_utf8(pair).map_err(|_| HashError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| HashError)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = HashError;

    fn try_from(text: String) -> Result<Self, HashError> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}
