//! Connection of a caller, which tells when the caller has left.

use std::cell::Cell;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// A connection, and whether its end has been read.
pub(super) struct CallerStream<S> {
    stream: S,
    has_left: Rc<Cell<bool>>,
}

impl<S> CallerStream<S> {
    pub(super) fn new(stream: S) -> Self {
        Self {
            stream,
            has_left: Rc::default(),
        }
    }

    /// Returns the flag that is set when the end of the connection has been read.
    pub(super) fn has_left(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.has_left)
    }
}

impl<S> AsyncRead for CallerStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.remaining();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if before > 0 && buf.remaining() == before {
            self.has_left.set(true);
        }
        Poll::Ready(read)
    }
}

impl<S> AsyncWrite for CallerStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
