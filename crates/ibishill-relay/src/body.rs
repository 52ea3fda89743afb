//! Bodies of responses to callers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{self, Frame};
use tokio::sync::mpsc;

use crate::connections;

/// Size of a part of a body from which on it may wait for its caller to read, in bytes.
const WAITING_MIN: usize = 4 * 1_024;

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

/// Body of a request that counts as active until it is written.
struct ActiveBody {
    body: Body,
    active: connections::Active,
}

/// Bytes of such a body.
struct ActiveBytes {
    bytes: Bytes,
    _active: connections::Active,
}

impl AsRef<[u8]> for ActiveBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Has a request count as active until `body` is written.
pub(crate) fn active(body: Body, active: connections::Active) -> Body {
    ActiveBody { body, active }.boxed_unsync()
}

impl body::Body for ActiveBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let wrap = |bytes: Bytes| match bytes.len() < WAITING_MIN {
            true => bytes,
            false => Bytes::from_owner(ActiveBytes { bytes, _active: self.active.clone() }),
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(wrap))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}
