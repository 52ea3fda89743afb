//! Who calls, and whether the caller may.

use ibishill_config::{key, settings};
use ibishill_core::{event, id};
use tonic::{Request, Status};

/// Checks the token of a call against the right that it needs; returns the operator.
///
/// # Errors
///
/// `Unauthenticated` without a known token, `PermissionDenied` without the right.
pub(super) fn check<T>(
    security: &settings::Security,
    request: &Request<T>,
    call: &'static str,
    right: settings::Right,
) -> Result<id::OperatorId, Status> {
    if security.insecure && security.tokens.is_empty() {
        return "anonymous".parse().map_err(super::order::invalid);
    }
    let header = request.metadata().get("authorization").and_then(|value| value.to_str().ok());
    let Some(token) = header.and_then(|text| text.strip_prefix("Bearer ")) else {
        let status = Status::unauthenticated("a token is needed; pass --token-file");
        return Err(note(status, call, None));
    };
    let Some(known) = find(&security.tokens, token) else {
        return Err(note(Status::unauthenticated("the token is not known"), call, None));
    };
    if !known.rights.contains(&right) {
        let text = format!("{} lacks the right '{right}'", known.operator);
        return Err(note(Status::permission_denied(text), call, Some(&known.operator)));
    }
    Ok(known.operator.clone())
}

// Every token is compared, so that the time tells nothing of the place of a match.
fn find<'a>(tokens: &'a [settings::Token], given: &str) -> Option<&'a settings::Token> {
    let hash = key::KeyHash::of(given.as_bytes());
    tokens
        .iter()
        .fold(None, |found, token| if token.hash.matches(&hash) { Some(token) } else { found })
}

fn note(status: Status, call: &'static str, operator: Option<&id::OperatorId>) -> Status {
    let operator = operator.map(ToString::to_string).unwrap_or_default();
    let reason = status.message().to_owned();
    let fields = [
        event::field("call", &call),
        event::field("operator", &operator),
        event::field("reason", &reason),
    ];
    event::emit(event::Event::OperatorRefused, &fields);
    status
}
