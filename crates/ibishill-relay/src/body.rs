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
pub(crate) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// A body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Broken>;

/// A whole body.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is sent part by part.
pub(crate) fn parts(parts: mpsc::Receiver<Result<Bytes, Broken>>) -> Body {
    let parts = futures::stream::unfold(parts, |mut parts| async move {
        parts.recv().await.map(|part| (part, parts))
    });
    StreamBody::new(parts.map(|part| part.map(Frame::data))).boxed_unsync()
}
