//! The session token of an answer, and what became of the session's pin.

use std::fmt;

use ibishill_core::{clock, id};
use ibishill_decide::{plan, session};

use super::auth;

/// What became of a session's pin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PinState {
    /// The session is pinned from now on.
    New,
    /// The pin was kept.
    Kept,
    /// The pinned version takes no new work; the session is pinned to another one.
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
    /// The token.
    pub(crate) token: String,
    /// What became of the pin.
    pub(crate) state: PinState,
}

/// The pin after an answer of `target`; none without a session or a key.
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
        // Another model, or a version that was named in full, leaves the pin alone.
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
