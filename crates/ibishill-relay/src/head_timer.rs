//! Limits the time in which the head of a caller's request must arrive.
//!
//! The HTTP library's timer runs from the end of the request before, so it is the idle timeout. The limit for a head
//! runs from its first bytes: a caller that stops amid a head occupies a connection for no longer than it says.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time as clock;

use crate::connections;

/// Tells when the head that is arriving began; clones share it.
#[derive(Clone)]
pub(crate) struct HeadTimer {
    began: Rc<Cell<Option<clock::Instant>>>,
    has_begun: Rc<Notify>,
    activity: Arc<connections::Activity>,
}

impl HeadTimer {
    /// Times the heads on the connection with this activity.
    pub(crate) fn new(activity: &Arc<connections::Activity>) -> Self {
        Self { began: Rc::default(), has_begun: Rc::default(), activity: activity.clone() }
    }

    /// Records that the head is complete.
    pub(crate) fn complete(&self) {
        self.began.set(None);
    }

    // What arrives while a request runs is its body, or the beginning of a head that waits for its turn.
    fn record_bytes(&self) {
        if self.began.get().is_none() && self.activity.is_idle() {
            self.began.set(Some(clock::Instant::now()));
            self.has_begun.notify_one();
        }
    }

    /// Waits until a head has been arriving for `limit`.
    pub(crate) async fn expired(&self, limit: Duration) {
        loop {
            match self.began.get() {
                None => self.has_begun.notified().await,
                Some(began) => {
                    clock::sleep_until(began + limit).await;
                    if self.began.get() == Some(began) {
                        return;
                    }
                }
            }
        }
    }
}

/// Connection of a caller whose bytes are reported to a timer.
pub(crate) struct Timed {
    stream: TcpStream,
    timer: HeadTimer,
}

impl Timed {
    /// Reports what arrives on `stream` to `timer`.
    pub(crate) fn new(stream: TcpStream, timer: HeadTimer) -> Self {
        Self { stream, timer }
    }
}

impl AsyncRead for Timed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.timer.record_bytes();
        }
        result
    }
}

impl AsyncWrite for Timed {
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
