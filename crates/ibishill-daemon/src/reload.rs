//! Replaces credentials while the daemon runs.
//!
//! All of the new ones are checked before any is used, so that a bad file changes nothing.

use ibishill_config::settings;
use ibishill_core::event;
use ibishill_peer::tls;
use snafu::ResultExt;

use crate::error::{self, StartError};
use crate::{context, start};

/// What a reload has changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// Operators' tokens or rights.
    pub tokens: bool,
    /// Keys of session tokens.
    pub sessions: bool,
    /// Certificate, key or authority of the link, if the settings name files.
    pub identity: bool,
}

/// Compares credentials.
pub fn changes(old: &settings::Security, new: &settings::Security) -> Changes {
    let tokens = |security: &settings::Security| {
        let tokens = security.tokens.iter();
        let parts = tokens.map(|t| (t.operator.clone(), t.hash.clone(), t.rights.clone()));
        (security.insecure, parts.collect::<Vec<_>>())
    };
    Changes {
        tokens: tokens(old) != tokens(new),
        sessions: old.session_keys != new.session_keys,
        identity: false,
    }
}

/// Puts the credentials of `settings` in force; `identity` is none if no files are named.
///
/// Running requests and streams go on. The operators' own certificate stays as it is.
///
/// # Errors
///
/// Fails if anything of it is not valid; the old credentials are kept then.
pub fn apply(
    context: &context::Context,
    settings: &settings::Settings,
    identity: Option<&tls::Identity>,
) -> Result<Changes, StartError> {
    // Addresses are those that are open, not those of the file.
    let security = settings.security.clone();
    let checked = settings::Settings { security, ..context.settings.clone() };
    start::check_security(&checked)?;
    if let Some(identity) = identity {
        context.link.replace_identity(identity).context(error::LinkSnafu)?;
    }
    let mut found = changes(&context.security.get(), &settings.security);
    found.identity = identity.is_some();
    context.sessions.set(&settings.security);
    context.security.set(settings.security.clone());
    let fields = [
        event::field("tokens", &found.tokens),
        event::field("session-keys", &found.sessions),
        event::field("identity", &found.identity),
    ];
    event::emit(event::Event::SecurityReloaded, &fields);
    Ok(found)
}
