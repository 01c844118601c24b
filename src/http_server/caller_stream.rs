//! Connection of a caller, which takes one request at a time from it and tells when the caller
//! has left.

use std::cell::Cell;
use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use actix_rt::time::Sleep;
use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::caller_exchange::CallerExchange;
use super::caller_exchange::Refusal;
use super::head_budget::HeadReservation;

/// The size of one read, in bytes, and so of what is held of the requests that a caller sends
/// ahead. The rest of them stays in the kernel, which slows the caller down.
const READ_BYTES: usize = 2 << 10;

/// A stream that can tell that its peer has closed it although bytes of it are unread.
pub(super) trait PollClosed {
    /// Waits until the peer has closed the stream.
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()>;
}

/// Limits on the heads of requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadBounds {
    /// The maximum length, in bytes.
    pub(super) length: usize,
    /// The maximum memory for the long heads of all connections, in bytes.
    pub(super) total: u64,
    /// The maximum time from the first byte of a head to its last.
    pub(super) timeout: Duration,
}

/// A connection of which one request at a time is read.
pub(super) struct CallerStream<S> {
    stream: S,
    has_left: Rc<Cell<bool>>,
    exchange: Rc<CallerExchange>,
    /// What the caller has sent after the part of a request that was passed on.
    ahead: BytesMut,
    bounds: HeadBounds,
    reservation: HeadReservation,
    /// Runs while a head is incomplete.
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> CallerStream<S>
where
    S: AsyncRead + PollClosed + Unpin,
{
    pub(super) fn new(
        stream: S,
        exchange: Rc<CallerExchange>,
        bounds: HeadBounds,
        reservation: HeadReservation,
    ) -> Self {
        Self {
            stream,
            has_left: Rc::default(),
            exchange,
            ahead: BytesMut::new(),
            bounds,
            reservation,
            head_timer: None,
        }
    }

    /// Returns the flag that is set when the end of the connection has been read.
    pub(super) fn has_left(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.has_left)
    }

    /// Reads a part of a request.
    fn poll_request(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let head_bytes = self.exchange.head_bytes();
        if head_bytes == 0 {
            self.head_timer = None;
        }
        if head_bytes > self.bounds.length {
            self.exchange.refuse(Refusal::HeadTooLong);
            return Poll::Ready(Ok(()));
        }
        let length = head_bytes + READ_BYTES;
        if !self.reservation.resize(length, self.bounds.total) {
            self.reservation.wait(cx);
            return self.poll_head_timer(cx, Refusal::HeadsFull);
        }
        if self.ahead.is_empty() {
            match self.poll_fill(cx, buf) {
                Poll::Pending if head_bytes > 0 => {
                    return self.poll_head_timer(cx, Refusal::HeadTimeout);
                }
                Poll::Ready(Ok(())) if !self.ahead.is_empty() => {}
                other => return other,
            }
        }
        let available = self.ahead.len().min(buf.remaining());
        let taken = self.exchange.take(&self.ahead[..available]);
        buf.put_slice(&self.ahead[..taken]);
        self.ahead.advance(taken);
        if self.ahead.is_empty() {
            // Releases its memory.
            self.ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }

    /// Reads from the stream: into `buf` if all of it belongs to a body, and else to the bytes
    /// that were sent ahead. Sets `has_left` at the end of the stream.
    fn poll_fill(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let body_bytes = self.exchange.body_bytes();
        if body_bytes.is_some_and(|left| left >= buf.remaining() as u64) {
            let before = buf.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
            let read = &buf.filled()[before..];
            if read.is_empty() {
                self.has_left.set(true);
            } else {
                self.exchange.take(read);
            }
            return Poll::Ready(Ok(()));
        }
        let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
        let mut part = ReadBuf::uninit(&mut bytes);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        if part.filled().is_empty() {
            self.has_left.set(true);
        }
        self.ahead.extend_from_slice(part.filled());
        Poll::Ready(Ok(()))
    }

    /// Waits until the timeout of a head, and then closes the connection with `refusal`.
    fn poll_head_timer(&mut self, cx: &mut Context<'_>, refusal: Refusal) -> Poll<io::Result<()>> {
        let timeout = self.bounds.timeout;
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(actix_rt::time::sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        self.exchange.refuse(refusal);
        Poll::Ready(Ok(()))
    }

    /// Waits for the end of the stream while a request is in progress.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.ahead.len() < READ_BYTES {
            let before = self.ahead.len();
            let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
            let mut part = ReadBuf::uninit(&mut bytes[before..]);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
            if part.filled().is_empty() {
                self.has_left.set(true);
                return Poll::Ready(Ok(()));
            }
            self.ahead.extend_from_slice(part.filled());
        }
        ready!(self.stream.poll_closed(cx));
        self.has_left.set(true);
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncRead for CallerStream<S>
where
    S: AsyncRead + PollClosed + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.exchange.is_closed() {
            return Poll::Ready(Ok(()));
        }
        self.exchange.register_reader(cx);
        match self.exchange.is_open() {
            true => self.poll_request(cx, buf),
            false => self.poll_end(cx),
        }
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

    /// Flushes the stream. The server does so only after it has written all bytes.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() && self.exchange.handle_written() {
            self.reservation.release();
            if !self.ahead.is_empty() || self.exchange.is_closed() {
                cx.waker().wake_by_ref();
            }
        }
        flushed
    }

    /// Ends what is written, unless the server still has to say why it closes the connection.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.exchange.refusal().is_some() {
            return Poll::Ready(Ok(()));
        }
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
