//! Limits on what is read of a peer before it has authenticated itself.

use std::cell::Cell;
use std::io;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::ReadBuf;

#[cfg(test)]
mod tests;

/// The bytes that are read from a peer before it has authenticated itself, and the longest
/// message that it may announce. The handshake takes a small part of them.
const MAX_HANDSHAKE_BYTES: usize = 16 << 10;

/// The size of one read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// Size of a number in the header of a message, in bytes.
const NUMBER_BYTES: u8 = 4;

/// Size of a word of a message, in bytes.
const WORD_BYTES: u64 = 8;

/// Reads a connection, and ends it if the peer sends or announces too much before it has
/// authenticated itself. The memory for a message is allocated when it is announced.
pub(super) struct HandshakeReader<R> {
    reader: R,
    authenticated: Rc<Cell<bool>>,
    read: usize,
    frame: Frame,
}

/// The position in a sequence of messages. Each begins with the number of its segments less
/// one, and the length of each in words (Cap'n Proto, "Serialization over a stream").
#[derive(Clone, Copy, Debug)]
struct Frame {
    /// The numbers of the header that follow, with the one that is incomplete.
    numbers: u64,
    /// Whether the next number is that of the segments.
    is_count: bool,
    /// The incomplete number, and how many bytes of it have been taken.
    number: u32,
    taken: u8,
    /// The bytes of the segments that follow the header.
    segments: u64,
}

impl Frame {
    const BEGIN: Self = Self {
        numbers: 1,
        is_count: true,
        number: 0,
        taken: 0,
        segments: 0,
    };

    /// Takes bytes. Returns whether no message is announced with more than `limit` bytes.
    fn take(&mut self, mut bytes: &[u8], limit: u64) -> bool {
        while let Some((first, rest)) = bytes.split_first() {
            if self.numbers == 0 {
                let count = usize::try_from(self.segments).unwrap_or(usize::MAX);
                let count = count.min(bytes.len());
                self.segments -= count as u64;
                bytes = &bytes[count..];
            } else {
                self.number |= u32::from(*first) << (8 * self.taken);
                self.taken += 1;
                bytes = rest;
                if self.taken == NUMBER_BYTES {
                    self.take_number();
                }
                if self.numbers * u64::from(NUMBER_BYTES) + self.segments > limit {
                    return false;
                }
            }
            if self.numbers == 0 && self.segments == 0 {
                *self = Self::BEGIN;
            }
        }
        true
    }

    fn take_number(&mut self) {
        let number = u64::from(self.number);
        (self.number, self.taken) = (0, 0);
        match std::mem::take(&mut self.is_count) {
            true => {
                let lengths = number + 1;
                // The header is padded to a whole number of words, with a length of 0.
                self.numbers = lengths + (lengths + 1) % 2;
            }
            false => {
                self.segments += number * WORD_BYTES;
                self.numbers -= 1;
            }
        }
    }
}

impl<R> HandshakeReader<R> {
    pub(super) fn new(reader: R, authenticated: Rc<Cell<bool>>) -> Self {
        Self {
            reader,
            authenticated,
            read: 0,
            frame: Frame::BEGIN,
        }
    }
}

impl<R> AsyncRead for HandshakeReader<R>
where
    R: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.authenticated.get() {
            return Pin::new(&mut self.reader).poll_read(cx, buf);
        }
        let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
        let room = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::uninit(&mut bytes[..room]);
        ready!(Pin::new(&mut self.reader).poll_read(cx, &mut part))?;
        self.read += part.filled().len();
        let is_short = self.frame.take(part.filled(), MAX_HANDSHAKE_BYTES as u64);
        if !is_short || self.read > MAX_HANDSHAKE_BYTES {
            let error = "the peer sends too much before it has authenticated itself";
            return Poll::Ready(Err(io::Error::new(ErrorKind::PermissionDenied, error)));
        }
        buf.put_slice(part.filled());
        Poll::Ready(Ok(()))
    }
}
