//! Authentication and authorization of operators.

use ibishill_config::{key, settings};
use ibishill_core::{event, id};
use tonic::{Request, Status};

/// Checks that the token of a call is known and has the right that the call needs; returns the
/// operator who holds it.
///
/// # Errors
///
/// `Unauthenticated` if the token is missing or unknown, `PermissionDenied` if it lacks the right.
pub(super) fn authorize<T>(
    security: &settings::Security,
    request: &Request<T>,
    call: &'static str,
    right: settings::Right,
) -> Result<id::OperatorId, Status> {
    if security.insecure && security.tokens.is_empty() {
        return "anonymous".parse().map_err(super::proposal::invalid);
    }
    let header = request.metadata().get("authorization").and_then(|value| value.to_str().ok());
    let Some(text) = header.and_then(|value| value.strip_prefix("Bearer ")) else {
        let status = Status::unauthenticated("bearer token is missing; pass --token-file");
        return Err(refuse(status, call, None));
    };
    let Some(token) = find_token(&security.tokens, text) else {
        return Err(refuse(Status::unauthenticated("unknown token"), call, None));
    };
    if !token.rights.contains(&right) {
        let text = format!("{} lacks the right '{right}'", token.operator);
        return Err(refuse(Status::permission_denied(text), call, Some(&token.operator)));
    }
    Ok(token.operator.clone())
}

// Compares all tokens even after a match, so that the response time does not reveal its
// position in the list.
fn find_token<'a>(tokens: &'a [settings::Token], text: &str) -> Option<&'a settings::Token> {
    let hash = key::KeyHash::of(text.as_bytes());
    tokens
        .iter()
        .fold(None, |found, token| if token.hash.matches(&hash) { Some(token) } else { found })
}

fn refuse(status: Status, call: &'static str, operator: Option<&id::OperatorId>) -> Status {
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
