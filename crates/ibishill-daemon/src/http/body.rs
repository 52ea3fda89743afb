//! Reading of a request's body within the limits on size and time.

use bytes::Bytes;
use ibishill_core::outcome;
use ibishill_peer::link;
use rocket::data::{Data, ToByteUnit};

use super::{Shared, auth};

/// Part of a frame to the owner that is reserved for everything but body and headers.
const FRAME_OVERHEAD_BYTES: u64 = 64 * 1024;

/// Reads a body to its end.
///
/// # Errors
///
/// Returns a refusal if the body is too large, arrives too slowly or is truncated.
pub(crate) async fn read(
    context: &Shared,
    caller: &auth::Caller,
    data: Data<'_>,
) -> Result<Bytes, outcome::Refusal> {
    let limits = &context.settings.limits;
    let remaining = caller.remaining()?;
    let max_bytes = limits
        .body
        .min((link::MAX_FRAME_BYTES as u64).saturating_sub(limits.headers + FRAME_OVERHEAD_BYTES));
    let reading = data.open(max_bytes.bytes()).into_bytes();
    let Ok(received) = tokio::time::timeout(limits.sending.min(remaining).to_std(), reading).await
    else {
        caller.remaining()?;
        let detail = format!("the body was not sent within {}", limits.sending);
        return Err(outcome::Refusal::not_run(outcome::Reason::BadRequest, detail));
    };
    let received = received.map_err(|error| {
        let detail = format!("the body can't be read: {error}");
        outcome::Refusal::not_run(outcome::Reason::BadRequest, detail)
    })?;
    if !received.is_complete() {
        let detail = format!("a body may have at most {max_bytes} bytes");
        return Err(outcome::Refusal::not_run(outcome::Reason::TooLarge, detail));
    }
    Ok(Bytes::from(received.into_inner()))
}
