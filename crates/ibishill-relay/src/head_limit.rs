//! Limits the bytes that a remote side may send before the head of its response is complete.
//!
//! The HTTP library limits the size of one head, but skips any number of interim responses, and
//! does so without yielding as long as bytes arrive.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connection_end::EndChecked;

/// Connection that fails to read once the limit is exceeded.
pub(crate) struct HeadLimited {
    stream: EndChecked,
    limit: Limit,
}

/// Remaining bytes; unlimited once lifted.
#[derive(Clone)]
pub(crate) struct Limit(Rc<Cell<Option<usize>>>);

impl Limit {
    /// Lifts the limit, since the head is complete.
    pub(crate) fn lift(&self) {
        self.0.set(None);
    }
}

impl HeadLimited {
    /// Limits `stream` to `bytes`, until the returned limit is lifted.
    pub(crate) fn new(stream: EndChecked, bytes: usize) -> (Self, Limit) {
        let limit = Limit(Rc::new(Cell::new(Some(bytes))));
        (Self { stream, limit: limit.clone() }, limit)
    }
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let (Poll::Ready(Ok(())), Some(remaining)) = (&result, self.limit.0.get()) {
            let received = buffer.filled().len() - before;
            let Some(remaining) = remaining.checked_sub(received) else {
                let error = io::Error::new(io::ErrorKind::InvalidData, "response head too large");
                return Poll::Ready(Err(error));
            };
            self.limit.0.set(Some(remaining));
        }
        result
    }
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
