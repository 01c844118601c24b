//! Connection that others than its owner can look at.

use std::io;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::io::Read;
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

use super::caller_stream::PollClosed;

/// A connection whose owner reads and writes it.
pub(super) struct SharedStream {
    stream: Rc<TcpStream>,
    /// Whether the last read returned bytes that its owner may not have handled yet.
    has_just_read: bool,
    /// Whether there may be unread bytes that the event loop does not tell of any more.
    has_unread: bool,
}

/// The size of a read of such bytes.
const UNREAD_BYTES: usize = 2 << 10;

/// Looks whether the caller at the other end of a connection is still there.
#[derive(Clone, Debug)]
pub struct CallerPresence(Weak<TcpStream>);

impl SharedStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream: Rc::new(stream),
            has_just_read: false,
            has_unread: false,
        }
    }

    pub(super) fn presence(&self) -> CallerPresence {
        CallerPresence(Rc::downgrade(&self.stream))
    }

    /// Returns the connection, to be used after its owner has dropped it.
    pub(super) fn socket(&self) -> Rc<TcpStream> {
        Rc::clone(&self.stream)
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let has_just_read = std::mem::take(&mut self.has_just_read);
        if self.has_unread && !has_just_read {
            match self.read_unread(buf) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.has_unread = false,
                read => {
                    self.has_just_read = read.as_ref().is_ok_and(|count| *count > 0);
                    return Poll::Ready(read.map(drop));
                }
            }
        }
        loop {
            if has_just_read && self.has_unread {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            ready!(self.stream.poll_read_ready(cx))?;
            if has_just_read {
                // The end of the connection stays ready when `clear_readable` is called, and
                // the owner's buffer would grow with what has arrived.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let room = buf.remaining();
            // Touches only what is read: a buffer is large, and most callers send little.
            match self.stream.try_read_buf(buf) {
                Ok(count) => {
                    if 0 < count && count < room {
                        self.clear_readable();
                    }
                    self.has_just_read = count > 0;
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl PollClosed for SharedStream {
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.stream.poll_read_ready(cx).is_pending() {
            return Poll::Pending;
        }
        // The end of the connection, or a reset, stays ready; bytes do not.
        self.clear_readable();
        self.has_unread = true;
        self.stream.poll_read_ready(cx).map(drop)
    }
}

impl SharedStream {
    /// Reads bytes of which the event loop has told before.
    fn read_unread(&mut self, buf: &mut ReadBuf<'_>) -> io::Result<usize> {
        let mut bytes = [0; UNREAD_BYTES];
        let room = buf.remaining().min(bytes.len());
        let count = (&*SockRef::from(&*self.stream)).read(&mut bytes[..room])?;
        buf.put_slice(&bytes[..count]);
        Ok(count)
    }

    /// Lets the next read wait for an event, as after each read that leaves room in its
    /// buffer.
    fn clear_readable(&self) {
        let blocked = || Err::<(), _>(io::Error::from(ErrorKind::WouldBlock));
        let _ = self.stream.try_io(Interest::READABLE, blocked);
    }

    fn poll_write_with<F>(&self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
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
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
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
