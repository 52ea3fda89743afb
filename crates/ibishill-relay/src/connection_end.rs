//! Tells the end of a response without a length from the end of a connection that failed.
//!
//! The body of such a response ends with its connection. An endpoint may begin to answer before it has read the
//! request, and end while the request is still on its way. The connection then ends with the endpoint's FIN,
//! which the kernel reports as an ordinary end of file, also if a reset has followed it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time as clock;

/// Time after the end of file in which a reset may follow, since data was on its way when the remote side
/// ended. It takes a round trip; those between zones of a region take a few milliseconds.
const RESET_TIMEOUT: Duration = Duration::from_millis(20);

/// Size of a request from which on a part of it may be on its way when its response begins, in bytes. A smaller
/// one is within the first flight of a new connection, ten segments.
const FLIGHT_MIN: usize = 14 * 1_024;

/// Connection whose end of file is an error if the request has not arrived.
pub(crate) struct EndChecked {
    stream: TcpStream,
    /// Whether all that was to be written has been handed to the kernel.
    is_flushed: bool,
    /// Number of bytes written.
    written: usize,
    /// Runs from the end of file on.
    reset_wait: Option<Pin<Box<clock::Sleep>>>,
}

impl EndChecked {
    /// Checks the end of `stream`, over which one request is sent.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, is_flushed: false, written: 0, reset_wait: None }
    }

    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let fail = |detail| io::Error::new(io::ErrorKind::ConnectionReset, detail);
        if !self.is_flushed {
            return Poll::Ready(Err(fail("connection ended before the request was written")));
        }
        let reset = "connection was reset behind its end";
        if self.stream.take_error()?.is_some() {
            return Poll::Ready(Err(fail(reset)));
        }
        if self.written >= FLIGHT_MIN {
            let wait = || Box::pin(clock::sleep(RESET_TIMEOUT));
            ready!(self.reset_wait.get_or_insert_with(wait).as_mut().poll(context));
            // A busy relay may see the reset and the end of the wait at once.
            if self.stream.take_error()?.is_some() {
                return Poll::Ready(Err(fail(reset)));
            }
        }
        Poll::Ready(Ok(()))
    }

    fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        self.is_flushed = false;
        if let Poll::Ready(Ok(size)) = result {
            self.written += size;
        }
    }
}

impl AsyncRead for EndChecked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if has_room && buffer.filled().len() == before {
            return self.poll_end(context);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndChecked {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.record_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.is_flushed = true;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
