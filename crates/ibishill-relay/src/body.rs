//! Bodies of answers to callers.

use std::fmt;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// An answer that can't be completed; the connection ends so that it does not look whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Incomplete;

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Incomplete {}

/// A body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Incomplete>;

/// A whole body.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is sent part by part.
pub(crate) fn stream(chunks: mpsc::Receiver<Result<Bytes, Incomplete>>) -> Body {
    let chunks = futures::stream::unfold(chunks, |mut chunks| async move {
        chunks.recv().await.map(|chunk| (chunk, chunks))
    });
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}
