//! HTTP headers that are forwarded between callers and endpoints.

use serde::{Deserialize, Serialize};

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value, as text.
    pub value: String,
}

// Hop-by-hop headers, credentials, and headers that the daemon sets itself.
const NOT_FORWARDED: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "content-type",
    "cookie",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "set-cookie",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

const RESERVED_PREFIX: &str = "x-ibishill-";

/// Whether a header is forwarded from a caller to a plain service and back.
pub fn is_forwarded(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    !name.starts_with(RESERVED_PREFIX) && !NOT_FORWARDED.contains(&name.as_str())
}

impl Header {
    /// Creates a header; the name is converted to lower case.
    pub fn new<V>(name: &str, value: V) -> Self
    where
        V: Into<String>,
    {
        Self { name: name.to_ascii_lowercase(), value: value.into() }
    }
}
