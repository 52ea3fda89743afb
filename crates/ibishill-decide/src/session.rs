//! Signed session tokens, which pin a session to a version without state on any daemon.

use std::fmt;

use hmac::{Hmac, Mac};
use ibishill_core::{id, secret, time};
use sha2::Sha256;

// Names never contain the separator, so a token is never a valid plain session id, and its fields
// are unambiguous.
const SEPARATOR: char = '~';
const FORMAT: &str = "ibs1";

/// Keys of session tokens. The first one signs and all of them verify, so keys can be rotated.
#[derive(Debug, Clone, Default)]
pub struct Keys {
    keys: Vec<secret::Secret>,
}

/// The content of a session token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// The workspace that the token was issued to; no other may use it.
    pub workspace: id::WorkspaceId,
    /// The session that is pinned.
    pub session: id::SessionId,
    /// The version that the session is pinned to.
    pub version: id::VersionRef,
    /// Wall-clock time at which the token was issued.
    pub issued: time::Tick,
}

/// The value of a caller's session header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Header {
    /// A session id chosen by the caller.
    Plain(id::SessionId),
    /// A verified token.
    Token(Token),
}

/// The reason why a session header is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// The value is neither a session id nor a token.
    Malformed,
    /// The token isn't signed by a known key.
    Signature,
    /// The token was issued to another workspace.
    Workspace,
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "neither a session id nor a session token",
            Self::Signature => "the session token is not signed by a known key",
            Self::Workspace => "the session token belongs to another workspace",
        })
    }
}

impl std::error::Error for TokenError {}

fn mac(key: &secret::Secret, payload: &str) -> Hmac<Sha256> {
    let mac = Hmac::<Sha256>::new_from_slice(key.expose().as_bytes());
    mac.expect("a key of any length is accepted").chain_update(payload)
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok()).collect()
}

impl Keys {
    /// Creates a key set; the first key signs.
    pub fn new(keys: Vec<secret::Secret>) -> Self {
        Self { keys }
    }

    /// Signs a token and encodes it as URL-safe text; `None` without a key.
    pub fn sign(&self, token: &Token) -> Option<String> {
        let key = self.keys.first()?;
        let payload = payload(token);
        let mac = encode_hex(&mac(key, &payload).finalize().into_bytes());
        Some(format!("{payload}{SEPARATOR}{mac}"))
    }

    /// Parses the session header of a caller of `workspace` and verifies it if it is a token.
    ///
    /// # Errors
    ///
    /// Rejects a malformed header, and a token that is forged or belongs to another workspace.
    pub fn verify(&self, workspace: &id::WorkspaceId, header: &str) -> Result<Header, TokenError> {
        let Some((payload, signature)) = header.rsplit_once(SEPARATOR) else {
            let plain = header.parse().map_err(|_| TokenError::Malformed)?;
            return Ok(Header::Plain(plain));
        };
        let signature = decode_hex(signature).ok_or(TokenError::Malformed)?;
        let is_signed = |key| mac(key, payload).verify_slice(&signature).is_ok();
        if !self.keys.iter().any(is_signed) {
            return Err(TokenError::Signature);
        }
        let token = parse(payload).ok_or(TokenError::Malformed)?;
        if token.workspace != *workspace {
            return Err(TokenError::Workspace);
        }
        Ok(Header::Token(token))
    }
}

fn payload(token: &Token) -> String {
    let version = &token.version;
    let fields = [
        FORMAT,
        token.workspace.as_str(),
        token.session.as_str(),
        version.model.as_str(),
        version.version.as_str(),
        &token.issued.0.to_string(),
    ];
    fields.join(&SEPARATOR.to_string())
}

fn parse(payload: &str) -> Option<Token> {
    let fields: Vec<_> = payload.split(SEPARATOR).collect();
    let [FORMAT, workspace, session, model, version, issued] = fields[..] else { return None };
    Some(Token {
        workspace: workspace.parse().ok()?,
        session: session.parse().ok()?,
        version: id::VersionRef { model: model.parse().ok()?, version: version.parse().ok()? },
        issued: time::Tick(issued.parse().ok()?),
    })
}
