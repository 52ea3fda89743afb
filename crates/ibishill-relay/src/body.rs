//! Bodies of responses to callers.

use std::fmt;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Error that ends a response before its end; the connection is aborted, so that the caller
/// does not mistake the response for a complete one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Incomplete;

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response is incomplete")
    }
}

impl std::error::Error for Incomplete {}

/// Body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, Incomplete>;

/// A body that is sent at once.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is streamed from a channel.
pub(crate) fn stream(chunks: mpsc::Receiver<Result<Bytes, Incomplete>>) -> Body {
    let chunks = futures::stream::unfold(chunks, |mut chunks| async move {
        chunks.recv().await.map(|chunk| (chunk, chunks))
    });
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}
