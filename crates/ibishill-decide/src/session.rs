//! Signed session tokens: they pin a session to a version without state at any daemon.

use std::fmt;

use hmac::{Hmac, Mac};
use ibishill_core::{id, secret, time};
use sha2::Sha256;

// Names never hold the separator, so that a token is never a plain session id and its
// fields can't run into each other.
const SEPARATOR: char = '~';
const FORM: &str = "ibs1";

/// Keys of session tokens: the first signs, all verify, so that keys can be rotated.
#[derive(Debug, Clone, Default)]
pub struct Keys {
    keys: Vec<secret::Secret>,
}

/// What a token says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// The workspace that may present it.
    pub workspace: id::WorkspaceId,
    /// The session.
    pub session: id::SessionId,
    /// The version that the session keeps.
    pub version: id::VersionRef,
    /// Wall-clock time of issue.
    pub issued: time::Tick,
}

/// What a caller presents as its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Header {
    /// A session id of the caller's own.
    Plain(id::SessionId),
    /// A verified token.
    Token(Token),
}

/// Why a session header is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// It is neither a session id nor a token.
    Malformed,
    /// No known key has signed it.
    Signature,
    /// It was issued to another workspace.
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

fn mac(key: &secret::Secret, text: &str) -> Hmac<Sha256> {
    let mac = Hmac::<Sha256>::new_from_slice(key.expose().as_bytes());
    mac.expect("a key of any length is accepted").chain_update(text)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok()).collect()
}

impl Keys {
    /// Takes the keys, the signing one first.
    pub fn new(keys: Vec<secret::Secret>) -> Self {
        Self { keys }
    }

    /// Writes a token as URL-safe text; none without a key.
    pub fn sign(&self, token: &Token) -> Option<String> {
        let key = self.keys.first()?;
        let text = text(token);
        let mac = hex(&mac(key, &text).finalize().into_bytes());
        Some(format!("{text}{SEPARATOR}{mac}"))
    }

    /// Reads what a caller of `workspace` presents.
    ///
    /// # Errors
    ///
    /// Refuses what is malformed, forged or another workspace's.
    pub fn verify(&self, workspace: &id::WorkspaceId, header: &str) -> Result<Header, TokenError> {
        let Some((text, signature)) = header.rsplit_once(SEPARATOR) else {
            let plain = header.parse().map_err(|_| TokenError::Malformed)?;
            return Ok(Header::Plain(plain));
        };
        let signature = unhex(signature).ok_or(TokenError::Malformed)?;
        let signed = |key| mac(key, text).verify_slice(&signature).is_ok();
        if !self.keys.iter().any(signed) {
            return Err(TokenError::Signature);
        }
        let token = parse(text).ok_or(TokenError::Malformed)?;
        if token.workspace != *workspace {
            return Err(TokenError::Workspace);
        }
        Ok(Header::Token(token))
    }
}

fn text(token: &Token) -> String {
    let version = &token.version;
    let fields = [
        FORM,
        token.workspace.as_str(),
        token.session.as_str(),
        version.model.as_str(),
        version.version.as_str(),
        &token.issued.0.to_string(),
    ];
    fields.join(&SEPARATOR.to_string())
}

fn parse(text: &str) -> Option<Token> {
    let fields: Vec<_> = text.split(SEPARATOR).collect();
    let [FORM, workspace, session, model, version, issued] = fields[..] else { return None };
    Some(Token {
        workspace: workspace.parse().ok()?,
        session: session.parse().ok()?,
        version: id::VersionRef { model: model.parse().ok()?, version: version.parse().ok()? },
        issued: time::Tick(issued.parse().ok()?),
    })
}
