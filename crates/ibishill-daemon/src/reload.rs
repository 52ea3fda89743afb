//! Replaces credentials while the daemon runs.
//!
//! All new credentials are checked before any is applied, so that an invalid file changes
//! nothing.

use ibishill_config::settings;
use ibishill_core::event;
use ibishill_peer::tls;
use snafu::ResultExt;

use crate::error::{self, StartError};
use crate::{context, start};

/// Credentials that a reload changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// Operators' tokens or rights.
    pub tokens: bool,
    /// Keys of session tokens.
    pub sessions: bool,
    /// Certificate, key or authority of the peer link, if the settings name files.
    pub identity: bool,
}

/// Compares credentials; `identity` is always false, as files are not compared.
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

/// Applies the credentials of `settings`; `identity` is none if the settings name no files.
///
/// Requests and streams in flight are not interrupted. The certificate of the operator API
/// is not reloaded.
///
/// # Errors
///
/// Fails if any credential is invalid; the old ones are kept then.
pub fn apply(
    context: &context::Context,
    settings: &settings::Settings,
    identity: Option<&tls::Identity>,
) -> Result<Changes, StartError> {
    // Checked against the addresses that are open, not those in the file.
    let security = settings.security.clone();
    let checked = settings::Settings { security, ..context.settings.clone() };
    start::check_security(&checked)?;
    if let Some(identity) = identity {
        context.link.replace_identity(identity).context(error::LinkSnafu)?;
    }
    let mut applied = changes(&context.security.get(), &settings.security);
    applied.identity = identity.is_some();
    context.session_keys.set(&settings.security);
    context.security.set(settings.security.clone());
    let fields = [
        event::field("tokens", &applied.tokens),
        event::field("session-keys", &applied.sessions),
        event::field("identity", &applied.identity),
    ];
    event::emit(event::Event::SecurityReloaded, &fields);
    Ok(applied)
}
