//! What an answer of the store says of the store itself.

use bytes::Bytes;
use http::{HeaderMap, Response};
use ibishill_adapter::error::DecodeError;
use ibishill_adapter::store;
use ibishill_core::{event, store_version};

use crate::context::Shared;

/// Decodes rows, and logs those that have no name or version; the others hold.
///
/// # Errors
///
/// Fails if the store answered with an unexpected status, or the answer as a whole is malformed.
pub(crate) fn decode_rows(
    response: &Response<Bytes>,
    era: store_version::Era,
) -> Result<store::Rows, DecodeError> {
    let rows = store::decode_rows(response.status(), response.body(), era)?;
    log_unreadable(&rows.unreadable);
    Ok(rows)
}

/// Decodes the outcome of a write, and logs a conflicting row that has no name or version.
///
/// # Errors
///
/// Fails if the store answered with an unexpected status, or the answer as a whole is malformed.
pub(crate) fn decode_write(
    response: &Response<Bytes>,
    era: store_version::Era,
) -> Result<store::WriteOutcome, DecodeError> {
    let outcome = store::decode_write(response.status(), response.body(), era)?;
    if let store::WriteOutcome::Conflict { unreadable, .. } = &outcome {
        log_unreadable(unreadable);
    }
    Ok(outcome)
}

fn log_unreadable(errors: &[DecodeError]) {
    for error in errors {
        event::emit_json(
            event::Event::RowInvalid,
            &[event::field("row", &"-"), event::field("error", error)],
        );
    }
}

/// Decodes the era of an answer of the store.
///
/// # Errors
///
/// Fails, and logs it, if the era is not a number, or has gone down or away; the answer says nothing
/// then.
pub(crate) fn accept_era(
    context: &Shared,
    headers: &HeaderMap,
) -> Result<store_version::Era, String> {
    let known = context.state().era();
    let detail = match store::decode_era(headers) {
        Ok(told) => match told.unwrap_or_default() {
            era if era >= known => return Ok(era),
            era => format!("era {era} of the store's answer is below {known}"),
        },
        Err(error) => error.to_string(),
    };
    event::emit_json(event::Event::EraInvalid, &[event::field("detail", &detail)]);
    Err(detail)
}
