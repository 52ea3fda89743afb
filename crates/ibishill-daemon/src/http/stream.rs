//! Forwarding of an answer while it is generated, to a caller that may stall or disconnect.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use ibishill_core::outcome;
use tokio::sync::mpsc;

use super::{active, reply};
use crate::entry::{self, cascade};

const CHANNEL_CAPACITY: usize = 16;

/// How a caller can tell that an answer is truncated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Truncation {
    /// An error event is sent, and no end marker.
    ErrorEvent,
    /// The body is shorter than the declared length, and the connection is closed.
    ShortBody,
}

enum Item {
    Chunk(Bytes),
    End,
}

/// Forwards an answer until it ends or is truncated, or its caller disconnects or stalls.
///
/// The request counts as running until the caller has received the whole answer.
/// The recorder gets the chunks that the caller gets, so that the answer can be rated afterwards.
pub(crate) fn forward(
    active: active::Request,
    answer: entry::Answer,
    truncation: Truncation,
    recorder: Option<cascade::Recorder>,
) -> BoxStream<'static, Bytes> {
    let (sender, mut receiver) = mpsc::channel(CHANNEL_CAPACITY);
    tokio::spawn(pump(active, answer, truncation, recorder, sender));
    let chunks = rocket::async_stream::stream! {
        while let Some(Item::Chunk(chunk)) = receiver.recv().await {
            yield chunk;
        }
    };
    chunks.boxed()
}

async fn pump(
    mut active: active::Request,
    mut answer: entry::Answer,
    truncation: Truncation,
    mut recorder: Option<cascade::Recorder>,
    sender: mpsc::Sender<Item>,
) {
    let idle = active.context().settings.limits.idle.to_std();
    let target = answer.target.clone();
    loop {
        let next = tokio::select! {
            biased;
            () = sender.closed() => return,
            next = answer.next() => next,
        };
        match next {
            entry::Next::Chunk(chunk) => {
                active.record_chunk(&chunk);
                if let Some(recorder) = &mut recorder {
                    recorder.record(&chunk);
                }
                if !send(&sender, Item::Chunk(chunk), idle).await {
                    return;
                }
            }
            entry::Next::End(usage) => {
                if let Some(recorder) = &recorder {
                    recorder.finish(&active.context().ratings);
                }
                active.complete(&target, usage);
                break;
            }
            entry::Next::Failed(refusal) => {
                let refused = active.refuse(refusal, answer.attempts);
                if truncation == Truncation::ErrorEvent {
                    let _sent = send(&sender, Item::Chunk(error_event(&refused)), idle).await;
                }
                break;
            }
        }
    }
    if send(&sender, Item::End, idle).await {
        let _closed = tokio::time::timeout(idle, sender.closed()).await;
    }
}

async fn send(sender: &mpsc::Sender<Item>, item: Item, idle: Duration) -> bool {
    matches!(tokio::time::timeout(idle, sender.send(item)).await, Ok(Ok(())))
}

fn error_event(refused: &reply::Refused) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", refused.problem_json()))
}

/// Reads a whole answer into memory.
///
/// # Errors
///
/// Returns a refusal if the answer is truncated or longer than the configured limit.
pub(crate) async fn collect(
    active: &mut active::Request,
    answer: &mut entry::Answer,
) -> Result<Bytes, outcome::Refusal> {
    let max_bytes = active.context().settings.limits.answer;
    let mut body = Vec::new();
    loop {
        match answer.next().await {
            entry::Next::Chunk(chunk) => {
                active.record_chunk(&chunk);
                body.extend_from_slice(&chunk);
            }
            entry::Next::End(usage) => {
                active.complete(&answer.target, usage);
                return Ok(Bytes::from(body));
            }
            entry::Next::Failed(refusal) => return Err(refusal),
        }
        if body.len() as u64 > max_bytes {
            let detail = format!("an answer without a length may have at most {max_bytes} bytes");
            return Err(outcome::Refusal::unknown(outcome::Reason::EndpointFailed, detail));
        }
    }
}
