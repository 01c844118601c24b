//! The answer to a request: its body, and what is left of the request meanwhile.

use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::Poll;
use std::task::ready;

use actix_http::h1::ClientPayloadCodec;
use bytes::Bytes;
use bytes::BytesMut;
use bytes::buf::Chain;
use tokio::io::AsyncRead;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

use super::AnswerHead;
use super::ExchangeError;
use super::MAX_FRAMING_BYTES;
use super::UNACKNOWLEDGED_TIMEOUT;
use super::set_unacknowledged_timeout;

/// The largest number of bytes that are read at once.
const READ_BYTES: usize = 4 << 10;

/// The room that a read buffer of a body with a length or chunks keeps after the bytes that
/// were read. The codec replaces a buffer with less by one of 32 KiB after each part, and a
/// part that waits for its caller keeps its buffer.
const SPARE_BYTES: usize = 2 << 10;

/// What marks the end of an answer's body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The answer has no body.
    NoBody,
    /// The body has a length.
    Length,
    /// The body ends with its last chunk.
    Chunks,
    /// The body ends when the connection is closed. Whether it is complete then can
    /// only be told from its content.
    Connection,
}

impl Framing {
    /// Returns the name of the framing in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoBody => "none",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// An answer of which the head has arrived. Dropping it closes the connection,
/// which cancels the request at the upstream.
pub struct Answer {
    /// Status and headers.
    pub head: AnswerHead,
    /// What marks the end of the body.
    pub framing: Framing,
    pub(super) stream: TcpStream,
    pub(super) upload: Upload,
    pub(super) buf: BytesMut,
    pub(super) body: Body,
    /// The number of bytes read since the last part of the body; at most
    /// `MAX_FRAMING_BYTES` between two calls.
    pub(super) framing_bytes: usize,
}

/// What became of the request while its answer is read.
pub(super) enum Upload {
    /// This is left of it. An upstream can answer before it has read all. Boxed, since the futures
    /// that hold an answer would be larger otherwise.
    Sending(Box<Chain<BytesMut, Bytes>>),
    Sent,
    /// The connection failed. The kernel reports that once, and then the end of the connection
    /// to whoever reads.
    Failed,
}

impl Upload {
    /// Returns the state after the rest of the request was written.
    pub(super) fn after(written: &io::Result<()>) -> Self {
        match written {
            Ok(()) => Self::Sent,
            Err(_) => Self::Failed,
        }
    }
}

pub(super) enum Body {
    /// The body ends by its length or its last chunk.
    Framed(ClientPayloadCodec),
    /// The body ends when the connection is closed.
    UntilClose,
    /// The upstream has ended its side of the connection, and the rest of the request tells
    /// whether it has closed it.
    Closing,
    /// The body has been read completely, or reading it has failed.
    Ended,
}

impl Answer {
    /// Returns the next bytes of the body, or `None` at its end, and sends what is left of the
    /// request meanwhile. Can be cancelled without losing any.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid HTTP, or if the connection fails before
    /// the body is complete. A body that ends with its connection is complete only if the
    /// upstream has taken the whole request.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match &mut self.body {
                Body::Ended => return Ok(None),
                Body::UntilClose if !self.buf.is_empty() => {
                    return Ok(Some(self.buf.split().freeze()));
                }
                Body::UntilClose => {}
                Body::Closing => {
                    self.finish_upload().await;
                    self.body = Body::Ended;
                    return self.check_close().map(|()| None);
                }
                Body::Framed(codec) => {
                    let unread = self.buf.len();
                    let decoded = codec.decode(&mut self.buf);
                    match decoded.map_err(|e| ExchangeError::InvalidAnswer(e.to_string()))? {
                        Some(Some(bytes)) if bytes.is_empty() => continue,
                        Some(Some(bytes)) => {
                            self.framing_bytes = 0;
                            return Ok(Some(bytes));
                        }
                        Some(None) => self.body = Body::Ended,
                        None => self.framing_bytes += unread - self.buf.len(),
                    }
                    if self.framing_bytes > MAX_FRAMING_BYTES {
                        return Err(ExchangeError::FramingTooLarge);
                    }
                }
            }
            if matches!(self.body, Body::Ended) {
                return Ok(None);
            }
            if self.buf.is_empty() {
                // Releases the memory while the upstream sends nothing.
                self.buf = BytesMut::new();
            }
            if self.read().await? == 0 {
                let ends = matches!(self.body, Body::UntilClose);
                self.body = match ends {
                    true => Body::Closing,
                    false => Body::Ended,
                };
                if !ends {
                    return Err(ExchangeError::Broken(io::ErrorKind::UnexpectedEof.into()));
                }
            }
        }
    }

    /// Reads the next bytes, and sends what is left of the request until there are any. Returns
    /// their number; 0 at the end of the connection.
    async fn read(&mut self) -> Result<usize, ExchangeError> {
        let spare = match &self.body {
            Body::Framed(_) => SPARE_BYTES,
            Body::UntilClose | Body::Closing | Body::Ended => 0,
        };
        while let Upload::Sending(unsent) = &mut self.upload {
            let (mut reader, mut writer) = self.stream.split();
            let sent = tokio::select! {
                biased;
                read = receive(&mut reader, &mut self.buf, spare) => {
                    return read.map_err(ExchangeError::Broken);
                }
                sent = writer.write_all_buf(&mut **unsent) => sent,
            };
            self.upload = Upload::after(&sent);
            // A failure shows when the connection is read.
            let _ = set_unacknowledged_timeout(&self.stream, UNACKNOWLEDGED_TIMEOUT);
        }
        let read = receive(&mut self.stream, &mut self.buf, spare).await;
        read.map_err(ExchangeError::Broken)
    }

    /// Sends what is left of the request.
    async fn finish_upload(&mut self) {
        if let Upload::Sending(unsent) = &mut self.upload {
            let sent = self.stream.write_all_buf(&mut **unsent).await;
            self.upload = Upload::after(&sent);
        }
    }

    /// Checks that the upstream has ended the connection in order, and not beside the request.
    fn check_close(&self) -> Result<(), ExchangeError> {
        if matches!(self.upload, Upload::Failed) {
            return Err(ExchangeError::Broken(io::ErrorKind::ConnectionReset.into()));
        }
        match self.stream.take_error() {
            Ok(None) => Ok(()),
            Ok(Some(e)) | Err(e) => Err(ExchangeError::Broken(e)),
        }
    }
}

/// Appends the next bytes to `buf`, and returns their number; 0 at the end of the connection.
/// The memory is reserved when they are there, for them and `spare` more bytes. Can be
/// cancelled without losing any.
pub(super) async fn receive<R>(
    reader: &mut R,
    buf: &mut BytesMut,
    spare: usize,
) -> io::Result<usize>
where
    R: AsyncRead + Unpin,
{
    poll_fn(|cx| {
        let mut bytes = [const { MaybeUninit::uninit() }; READ_BYTES];
        let mut read = ReadBuf::uninit(&mut bytes);
        ready!(Pin::new(&mut *reader).poll_read(cx, &mut read))?;
        let bytes = read.filled();
        if !bytes.is_empty() {
            buf.reserve(bytes.len() + spare);
            buf.extend_from_slice(bytes);
        }
        Poll::Ready(Ok(bytes.len()))
    })
    .await
}
