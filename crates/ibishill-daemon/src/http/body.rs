//! Reading of a request's body within the limits on size, time and memory.

use bytes::Bytes;
use ibishill_core::{outcome, time};
use ibishill_decide::memory as decision;
use ibishill_peer::link;
use rocket::data::{Data, DataStream, ToByteUnit};
use tokio::io::AsyncReadExt;

use super::{Shared, auth};
use crate::memory;

/// Part of a frame to the owner that is reserved for everything but body and headers.
const FRAME_OVERHEAD_BYTES: u64 = 64 * 1024;

/// Delay after which a body that was refused for want of memory may be sent again.
const RETRY_AFTER: time::Millis = time::Millis::from_secs(1);

/// Reads a body to its end.
///
/// # Errors
///
/// Returns a refusal if the body is too large, arrives too slowly or is truncated, or if there is no memory for it.
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
    if caller.declared.is_some_and(|length| length > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let upload = context.memory.begin();
    // One byte more shows that a body is too large.
    let stream = data.open((max_bytes + 1).bytes());
    let reading = receive(upload, stream, max_bytes, caller.declared);
    let Ok(received) = tokio::time::timeout(limits.sending.min(remaining).to_std(), reading).await
    else {
        caller.remaining()?;
        let detail = format!("the body was not sent within {}", limits.sending);
        return Err(outcome::Refusal::not_run(outcome::Reason::BadRequest, detail));
    };
    received.map_err(|error| match error {
        ReadError::TooLarge => too_large(max_bytes),
        ReadError::Exhausted => {
            context.memory.record_refused();
            let detail = "no memory for the body";
            outcome::Refusal::not_run(outcome::Reason::Overloaded, detail).retry_after(RETRY_AFTER)
        }
        ReadError::Failed(error) => {
            let detail = format!("the body can't be read: {error}");
            outcome::Refusal::not_run(outcome::Reason::BadRequest, detail)
        }
    })
}

fn too_large(max_bytes: u64) -> outcome::Refusal {
    let detail = format!("a body may have at most {max_bytes} bytes");
    outcome::Refusal::not_run(outcome::Reason::TooLarge, detail)
}

/// Reason why a body could not be read.
enum ReadError {
    TooLarge,
    Exhausted,
    Failed(std::io::Error),
}

async fn receive(
    mut upload: memory::Upload,
    mut stream: DataStream<'_>,
    max_bytes: u64,
    declared: Option<u64>,
) -> Result<Bytes, ReadError> {
    let max = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let declared = declared.and_then(|length| usize::try_from(length).ok()).unwrap_or(max);
    let mut content = Vec::new();
    loop {
        if content.len() == content.capacity() {
            // Of a body that has arrived whole, one byte more is read to see its end.
            let limit = declared.min(max) + 1;
            let capacity = decision::next_capacity(content.capacity(), content.len() + 1, limit);
            let grown = upload.grow(capacity).await;
            grown.map_err(|memory::Exhausted| ReadError::Exhausted)?;
            content.reserve_exact(capacity - content.len());
        }
        let read = tokio::select! {
            read = stream.read_buf(&mut content) => read.map_err(ReadError::Failed)?,
            () = upload.evicted() => return Err(ReadError::Exhausted),
        };
        if read == 0 {
            return Ok(Bytes::from_owner(upload.complete(content)));
        }
        if content.len() > max {
            return Err(ReadError::TooLarge);
        }
        upload.record(read);
    }
}
