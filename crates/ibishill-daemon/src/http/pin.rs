//! Session pins: the token that an answer carries, and how the pin changed.

use std::fmt;

use ibishill_core::{clock, id};
use ibishill_decide::{plan, session};

use super::auth;

/// Change of a session's pin by an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PinState {
    /// The session had no pin and got one.
    New,
    /// The pin was kept.
    Kept,
    /// The pinned version accepts no new requests; the session is pinned to the one that served.
    Ended,
}

impl fmt::Display for PinState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::New => "new",
            Self::Kept => "kept",
            Self::Ended => "ended",
        })
    }
}

/// A session's token for its next request.
#[derive(Debug, Clone)]
pub(crate) struct Pin {
    /// Signed token.
    pub(crate) token: String,
    /// How the pin changed.
    pub(crate) state: PinState,
}

/// Issues the pin after `target` served a request; none without a session or a signing key.
pub(crate) fn issue(
    keys: &session::Keys,
    caller: &auth::Caller,
    selector: &plan::Selector,
    target: &id::Target,
) -> Option<Pin> {
    let id::Target::Version(served) = target else { return None };
    let (version, state) = match &caller.pinned {
        None => (served, PinState::New),
        Some(pinned) if pinned == served => (served, PinState::Kept),
        // A request for another model, or for an explicit version, doesn't change the pin.
        Some(pinned) if !selector.honors_pin(pinned) => (pinned, PinState::Kept),
        Some(_) => (served, PinState::Ended),
    };
    let token = session::Token {
        workspace: caller.workspace.clone(),
        session: caller.session.clone()?,
        version: version.clone(),
        issued: clock::wall_now(),
    };
    Some(Pin { token: keys.sign(&token)?, state })
}
