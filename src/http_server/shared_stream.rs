//! Connection that others than its owner can look at.

use std::io;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::rc::Weak;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A connection whose owner reads and writes it.
pub(super) struct SharedStream(Rc<TcpStream>);

/// Looks whether the caller at the other end of a connection is still there.
#[derive(Clone, Debug)]
pub struct CallerPresence(Weak<TcpStream>);

impl SharedStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    pub(super) fn presence(&self) -> CallerPresence {
        CallerPresence(Rc::downgrade(&self.0))
    }
}

impl CallerPresence {
    /// Returns whether the caller has closed its connection, also if that has not been
    /// read yet. Bytes that have arrived before hide it.
    pub fn has_left(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return true;
        };
        let mut buf = [MaybeUninit::uninit(); 1];
        match SockRef::from(&*stream).peek(&mut buf) {
            Ok(count) => count == 0,
            Err(e) => matches!(
                e.kind(),
                ErrorKind::BrokenPipe | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
            ),
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            let room = buf.remaining();
            // Touches only what is read: a buffer is large, and most callers send little.
            match self.0.try_read_buf(buf) {
                Ok(count) => {
                    if 0 < count && count < room {
                        self.clear_readable();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl SharedStream {
    /// Lets the next read wait for an event, as after each read that leaves room in its
    /// buffer. What has arrived is handled before the end of the connection is read.
    fn clear_readable(&self) {
        let blocked = || Err::<(), _>(io::Error::from(ErrorKind::WouldBlock));
        let _ = self.0.try_io(Interest::READABLE, blocked);
    }

    fn poll_write_with<F>(&self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
