//! Receives requests within the relay's memory.
//!
//! A head counts until its request ends: what is decoded of it may have several times its length.
//! Chunks are copied to one buffer whose capacity is counted: a list of them costs some hundred bytes for a chunk of
//! one byte, and each keeps the whole buffer that it was cut from.

use std::time::Duration;

use bytes::Bytes;
use http::request;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use ibishill_core::call;
use ibishill_decide::memory as decision;
use tokio::time as clock;

use crate::context::Shared;
use crate::local_reply::Reason;
use crate::memory;

/// What is read of a body after its request was refused, in bytes: about what the kernel has buffered, so that most
/// callers see the refusal and not a reset.
const DISCARD_MAX: usize = 512 * 1_024;

/// Time for which a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that has arrived whole: its body, and the memory of its head.
pub(crate) type Arrived = (Bytes, memory::Head);

/// Begins to receive a request whose head has arrived.
///
/// # Errors
///
/// Fails if there is no memory for its head.
pub(crate) async fn begin(
    context: &Shared,
    parts: &request::Parts,
    metadata: &call::Metadata,
) -> Result<memory::Upload, Reason> {
    let headers = parts.headers.iter();
    let text = headers.map(|(name, value)| name.as_str().len() + value.len()).sum::<usize>()
        + parts.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let head =
        decision::Head { text, headers: parts.headers.len(), segments: metadata.segments.len() };
    let mut upload = context.memory.begin_upload();
    let added = upload.add_head(head, &context.unread).await;
    added.map_err(|memory::Exhausted| Reason::NoMemory)?;
    Ok(upload)
}

/// Reads the body of `upload`, of at most `limit` bytes, within `timeout`; what follows after a refusal is discarded, if
/// `may_discard`.
///
/// # Errors
///
/// Fails if the body is too large, is not received in time, or if there is no memory for it.
pub(crate) async fn read(
    context: &Shared,
    upload: memory::Upload,
    mut incoming: Incoming,
    limit: usize,
    timeout: Duration,
    may_discard: bool,
) -> Result<Arrived, Reason> {
    let receiving = receive(context, upload, &mut incoming, limit);
    let result = match clock::timeout(timeout, receiving).await {
        Ok(result) => result,
        Err(_) => Err(Reason::BodyIncomplete),
    };
    // A body that has not arrived in time is not on its way, so its connection is closed at once.
    let is_on_way = matches!(result, Err(Reason::BodyTooLarge | Reason::NoMemory));
    if is_on_way && may_discard {
        discard(context, incoming);
    }
    result
}

async fn receive(
    context: &Shared,
    mut upload: memory::Upload,
    incoming: &mut Incoming,
    limit: usize,
) -> Result<Arrived, Reason> {
    let hint = incoming.size_hint();
    if hint.lower() > limit as u64 {
        return Err(Reason::BodyTooLarge);
    }
    let declared = hint.exact().and_then(|length| usize::try_from(length).ok());
    let mut content = Vec::new();
    loop {
        let frame = tokio::select! {
            frame = incoming.frame() => frame,
            () = upload.evicted() => return Err(Reason::NoMemory),
        };
        let Some(frame) = frame else { break };
        let data = frame.map_err(|_| Reason::BodyIncomplete)?.into_data().unwrap_or_default();
        let length = content.len() + data.len();
        if length > limit {
            return Err(Reason::BodyTooLarge);
        }
        if length > content.capacity() {
            let capacity =
                decision::next_capacity(content.capacity(), length, declared.unwrap_or(limit));
            let grown = upload.grow_body(capacity, &context.unread).await;
            grown.map_err(|memory::Exhausted| Reason::NoMemory)?;
            content.reserve_exact(capacity - content.len());
        }
        content.extend_from_slice(&data);
        upload.record(data.len());
    }
    let (body, head) = upload.complete(content);
    Ok((Bytes::from_owner(body), head))
}

/// Reads the body of a refused request for a while, so that the connection is not reset before the caller has read the
/// refusal. Nothing is kept, and nothing read if many others are discarded at the moment.
pub(crate) fn discard(context: &Shared, incoming: Incoming) {
    let Some(counted) = context.memory.begin_discard() else { return };
    tokio::task::spawn_local(async move {
        let _counted = counted;
        // What is left of the body after that time is cut off.
        let _ended = clock::timeout(DISCARD_TIMEOUT, drain(incoming)).await;
    });
}

async fn drain(mut incoming: Incoming) {
    let mut discarded = 0;
    while discarded < DISCARD_MAX
        && let Some(Ok(frame)) = incoming.frame().await
    {
        discarded += frame.into_data().map_or(0, |data| data.len());
    }
}
