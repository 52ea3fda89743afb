//! Passing an answer on while it is made, at the pace of a caller that may stall or leave.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use ibishill_core::outcome;
use tokio::sync::mpsc;

use super::{reply, run};
use crate::entry::{self, cascade};

const PART_SLOTS: usize = 16;

/// How a cut answer is made visible to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cut {
    /// By an error event, and no end marker.
    Event,
    /// By fewer bytes than the declared length, which closes the connection.
    Length,
}

enum Part {
    Chunk(Bytes),
    End,
}

/// Passes an answer on until it ends, is cut, or its caller leaves or stalls.
///
/// The request stays counted as running until the caller has taken all of it.
/// A listener hears what the caller gets, so that it can be rated afterwards.
pub(crate) fn pass(
    run: run::Run,
    answer: entry::Answer,
    cut: Cut,
    listener: Option<cascade::Recorder>,
) -> BoxStream<'static, Bytes> {
    let (sender, mut receiver) = mpsc::channel(PART_SLOTS);
    tokio::spawn(pump(run, answer, cut, listener, sender));
    let chunks = rocket::async_stream::stream! {
        while let Some(Part::Chunk(chunk)) = receiver.recv().await {
            yield chunk;
        }
    };
    chunks.boxed()
}

async fn pump(
    mut run: run::Run,
    mut answer: entry::Answer,
    cut: Cut,
    mut listener: Option<cascade::Recorder>,
    sender: mpsc::Sender<Part>,
) {
    let idle = run.context().settings.limits.idle.to_std();
    let target = answer.target.clone();
    loop {
        let next = tokio::select! {
            biased;
            () = sender.closed() => return,
            next = answer.next() => next,
        };
        match next {
            entry::Next::Chunk(chunk) => {
                run.heard(&chunk);
                if let Some(listener) = &mut listener {
                    listener.record(&chunk);
                }
                if !send(&sender, Part::Chunk(chunk), idle).await {
                    return;
                }
            }
            entry::Next::End(usage) => {
                if let Some(listener) = &listener {
                    listener.finish(&run.context().ratings);
                }
                run.ran(&target, usage);
                break;
            }
            entry::Next::Failed(refusal) => {
                let refused = run.refused(refusal, answer.attempts);
                if cut == Cut::Event {
                    let _taken = send(&sender, Part::Chunk(error_event(&refused)), idle).await;
                }
                break;
            }
        }
    }
    if send(&sender, Part::End, idle).await {
        let _taken = tokio::time::timeout(idle, sender.closed()).await;
    }
}

async fn send(sender: &mpsc::Sender<Part>, part: Part, idle: Duration) -> bool {
    matches!(tokio::time::timeout(idle, sender.send(part)).await, Ok(Ok(())))
}

fn error_event(refused: &reply::Refused) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", refused.document()))
}

/// Reads an answer to its end.
///
/// # Errors
///
/// Fails if the answer is cut or longer than may be held.
pub(crate) async fn collect(
    run: &mut run::Run,
    answer: &mut entry::Answer,
) -> Result<Bytes, outcome::Refusal> {
    let most = run.context().settings.limits.answer;
    let mut body = Vec::new();
    loop {
        match answer.next().await {
            entry::Next::Chunk(chunk) => {
                run.heard(&chunk);
                body.extend_from_slice(&chunk);
            }
            entry::Next::End(usage) => {
                run.ran(&answer.target, usage);
                return Ok(Bytes::from(body));
            }
            entry::Next::Failed(refusal) => return Err(refusal),
        }
        if body.len() as u64 > most {
            let detail = format!("an answer without a length may have at most {most} bytes");
            return Err(outcome::Refusal::unknown(outcome::Reason::EndpointFailed, detail));
        }
    }
}
