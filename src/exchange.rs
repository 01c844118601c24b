//! One HTTP exchange with an upstream, over a connection of its own.
//!
//! The exchange exposes what a pooling HTTP client hides: whether any part of
//! the request was sent, and whether the answer is complete. Connections are
//! not reused, so neither surplus bytes after an answer nor an upstream that
//! closes an idle connection can affect another request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::Uri;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::HOST;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::header::TRANSFER_ENCODING;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::event_loop;
use crate::events::EventError;
use crate::headers::Header;
use crate::headers::end_to_end;
use crate::name::Name;
use crate::upstream_notice::InvalidRetryAfter;
use crate::upstream_notice::parse_retry_after;
use crate::upstream_request::UpstreamRequest;

mod answer;
#[cfg(test)]
mod tests;

pub use answer::Answer;
use answer::Body;
pub use answer::Framing;
use answer::Upload;
use answer::receive;

/// Timeout for opening a connection: far above a round trip within a region,
/// and far below the second after which the system retransmits a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which sent bytes can stay unacknowledged before the connection is
/// closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// The same time for a request with a large body, until its answer begins. The kernel counts
/// the time for which an upstream reads nothing as well, and 2 s cut off upstreams that read
/// slowly.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Size above which a body is large, in bytes. Smaller ones fit in the buffers of hosts.
const LARGE_BODY_BYTES: usize = 32 << 10;

/// Size of the kernel's send buffer for a large body, in bytes. The kernel lets it grow to
/// 4 MiB otherwise, and holds the body a second time while the upstream reads slowly.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Largest accepted head of an answer with the informational ones before it, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The largest status code that is defined.
const MAX_STATUS: u16 = 599;

/// Largest accepted size of the lines between two parts of a body or after the last one,
/// in bytes.
const MAX_FRAMING_BYTES: usize = 64 << 10;

/// Largest accepted body of what an upstream reports of itself, in bytes.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Reason for which a request got no complete answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The request can't be encoded as HTTP.
    #[error("the request cannot be encoded as HTTP: invalid {0}")]
    InvalidRequest(&'static str),
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect to the upstream")]
    Connect(#[source] io::Error),
    /// The connection failed, and the upstream may have received a part of the
    /// request.
    #[error("the connection failed before the answer was complete")]
    Broken(#[source] io::Error),
    /// The answer of the upstream is not valid HTTP.
    #[error("the upstream's answer is not valid HTTP: {0}")]
    InvalidAnswer(String),
    /// The status code of the answer is not defined, or was not asked for.
    #[error("the upstream's answer has the invalid status {0}")]
    InvalidStatus(u16),
    /// The head of the answer is too large.
    #[error("the head of the upstream's answer exceeds {MAX_HEAD_BYTES} bytes")]
    HeadTooLarge,
    /// The lines around the chunks of the body are too large.
    #[error("the lines around a chunk of the upstream's answer exceed {MAX_FRAMING_BYTES} bytes")]
    FramingTooLarge,
    /// Other answers have used up the memory for incomplete heads and reports.
    #[error("there is no room for {0} more bytes of a head or a report")]
    NoRoom(usize),
    /// What an upstream reports of itself is too large.
    #[error("the upstream's report exceeds {MAX_REPORT_BYTES} bytes")]
    ReportTooLarge,
    /// The answer is a stream that can't be forwarded in events.
    #[error("the upstream's events cannot be forwarded: {0}")]
    Event(#[from] EventError),
}

impl ExchangeError {
    /// Returns whether it is certain that no part of the request was sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::InvalidRequest(_) | Self::Connect(_))
    }

    /// Returns whether no process listens at the address. A lost connection attempt does not
    /// tell.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Requests `path` at `address` with GET. Returns the status and the body. `has_room` tells
/// whether the number of bytes that it gets can be collected.
///
/// # Errors
///
/// Fails without a complete answer, if its body exceeds [`MAX_REPORT_BYTES`], or if there is
/// no room for it.
pub async fn get<F>(
    address: SocketAddr,
    path: &Name,
    mut has_room: F,
) -> Result<(u16, Bytes), ExchangeError>
where
    F: FnMut(usize) -> bool,
{
    let request = UpstreamRequest {
        method: Name::new("GET"),
        host: Some(Name::new(&address.to_string())),
        path: path.clone(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let mut answer = send(connect(address).await?, &request, &mut has_room).await?;
    let mut body = BytesMut::new();
    while let Some(bytes) = answer.next().await? {
        if body.len() + bytes.len() > MAX_REPORT_BYTES {
            return Err(ExchangeError::ReportTooLarge);
        }
        if !has_room(body.len() + bytes.len()) {
            return Err(ExchangeError::NoRoom(body.len() + bytes.len()));
        }
        body.extend_from_slice(&bytes);
    }
    Ok((answer.head.status, body.freeze()))
}

/// Returns whether no process listens at `address`. A lost connection attempt does not
/// tell.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    connect(address).await.is_err_and(|e| e.is_refused())
}

/// The head of an upstream's answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers, which are forwarded to the caller.
    pub headers: Vec<Header>,
}

impl AnswerHead {
    /// Returns the first value of the header `name`, which is in lower case,
    /// if it is valid UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|h| h.name.as_str() == name)?;
        std::str::from_utf8(&header.value).ok()
    }

    /// Returns the values of the header `name`, which is in lower case.
    pub fn values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        let headers = self.headers.iter().filter(move |h| h.name.as_str() == name);
        headers.map(|h| &*h.value)
    }

    /// Returns the time for which an upstream that turned the request away wants no
    /// others.
    pub fn hold_off(&self) -> Option<Result<Duration, InvalidRetryAfter>> {
        let retry_after = self.get("retry-after").filter(|_| self.status == 503)?;
        Some(parse_retry_after(retry_after, SystemTime::now()))
    }
}

/// Opens a connection to an upstream.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, ExchangeError> {
    let connection = TcpStream::connect(address);
    let stream = event_loop::timeout(CONNECT_TIMEOUT, connection)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(ExchangeError::Connect)?;
    set_socket_options(&stream).map_err(ExchangeError::Connect)?;
    Ok(stream)
}

/// Sets the socket options; the timeouts close a connection to a host that no
/// longer responds.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_unacknowledged_timeout(stream, UNACKNOWLEDGED_TIMEOUT)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

fn prepare_for_large_body(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
    set_unacknowledged_timeout(stream, UNREAD_TIMEOUT)
}

fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Sends `upstream_request` on a new connection and waits for the head of the
/// answer. `has_room` tells whether the number of bytes that it gets can be collected.
pub async fn send<F>(
    mut stream: TcpStream,
    upstream_request: &UpstreamRequest,
    mut has_room: F,
) -> Result<Answer, ExchangeError>
where
    F: FnMut(usize) -> bool,
{
    let mut codec = ClientCodec::default();
    // The body is not copied, so that a slow upstream does not take its memory twice.
    let head = encode_head(&mut codec, upstream_request)?;
    let mut unsent = head.chain(upstream_request.body.clone());
    let mut buf = BytesMut::with_capacity(4096);
    let is_large = upstream_request.body.len() > LARGE_BODY_BYTES;
    if is_large {
        // Nothing is sent yet.
        prepare_for_large_body(&stream).map_err(ExchangeError::Connect)?;
    }
    let (mut reader, mut writer) = stream.split();
    let mut written = None;
    let mut head_bytes = 0;
    let head = loop {
        if let Some(head) = decode_head(&mut codec, &mut buf)? {
            break head;
        }
        if head_bytes > MAX_HEAD_BYTES {
            return Err(ExchangeError::HeadTooLarge);
        }
        if !has_room(buf.len()) {
            return Err(ExchangeError::NoRoom(buf.len()));
        }
        // An upstream can answer before it has read the whole request body, or without it.
        tokio::select! {
            result = writer.write_all_buf(&mut unsent), if written.is_none() => {
                written = Some(result);
            }
            read = receive(&mut reader, &mut buf, 0) => {
                match read.map_err(ExchangeError::Broken)? {
                    0 => return Err(ExchangeError::Broken(io::ErrorKind::UnexpectedEof.into())),
                    read => head_bytes += read,
                }
            }
        }
    };
    let upload = match &written {
        Some(written) => Upload::after(written),
        None => Upload::Sending(Box::new(unsent)),
    };
    if is_large && matches!(upload, Upload::Sent) {
        let set = set_unacknowledged_timeout(&stream, UNACKNOWLEDGED_TIMEOUT);
        set.map_err(ExchangeError::Broken)?;
    }
    let (framing, body) = match codec.message_type() {
        _ if has_no_body(upstream_request, &head) => (Framing::NoBody, Body::Ended),
        MessageType::Payload => {
            let framing = match head.headers().contains_key(TRANSFER_ENCODING) {
                true => Framing::Chunks,
                false => Framing::Length,
            };
            (framing, Body::Framed(codec.into_payload_codec()))
        }
        // The codec treats an answer without a length as one without a body.
        MessageType::None | MessageType::Stream if !head.headers().contains_key(CONTENT_LENGTH) => {
            (Framing::Connection, Body::UntilClose)
        }
        MessageType::None | MessageType::Stream => (Framing::NoBody, Body::Ended),
    };
    Ok(Answer {
        framing,
        head: AnswerHead {
            status: head.status.as_u16(),
            headers: end_to_end(head.headers(), &[]),
        },
        stream,
        upload,
        buf,
        body,
        framing_bytes: 0,
    })
}

/// Returns whether an answer ends with its head, whatever its headers say (RFC 9112, section 6.3).
fn has_no_body(upstream_request: &UpstreamRequest, head: &ResponseHead) -> bool {
    upstream_request.method.as_str() == "HEAD"
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        )
}

fn encode_head(
    codec: &mut ClientCodec,
    upstream_request: &UpstreamRequest,
) -> Result<BytesMut, ExchangeError> {
    let mut head = RequestHead::default();
    head.method = Method::from_bytes(upstream_request.method.as_bytes())
        .map_err(|_| ExchangeError::InvalidRequest("method"))?;
    head.uri = upstream_request
        .path
        .parse::<Uri>()
        .map_err(|_| ExchangeError::InvalidRequest("path"))?;
    if let Some(host) = &upstream_request.host {
        let host =
            HeaderValue::from_str(host).map_err(|_| ExchangeError::InvalidRequest("host"))?;
        head.headers.insert(HOST, host);
    }
    for header in &upstream_request.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| ExchangeError::InvalidRequest("header name"))?;
        let value = HeaderValue::from_bytes(&header.value)
            .map_err(|_| ExchangeError::InvalidRequest("header value"))?;
        head.headers.append(name, value);
    }
    let size = match (
        upstream_request.body.len(),
        upstream_request.method.as_str(),
    ) {
        (0, "GET" | "HEAD" | "DELETE" | "OPTIONS") => BodySize::None,
        (length, _) => BodySize::Sized(length as u64),
    };
    let mut request = BytesMut::with_capacity(1024);
    let head = RequestHeadType::Owned(head);
    codec
        .encode(Message::Item((head, size)), &mut request)
        .map_err(|_| ExchangeError::InvalidRequest("head"))?;
    Ok(request)
}

fn decode_head(
    codec: &mut ClientCodec,
    buf: &mut BytesMut,
) -> Result<Option<ResponseHead>, ExchangeError> {
    loop {
        let decoded = codec.decode(buf);
        match decoded.map_err(|e| ExchangeError::InvalidAnswer(e.to_string()))? {
            // An upgrade was not asked for, so what follows would be of no known protocol.
            Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                return Err(ExchangeError::InvalidStatus(head.status.as_u16()));
            }
            Some(head) if head.status.is_informational() => {}
            // Others are not defined (RFC 9110, section 15). The codec rejects those below 100.
            Some(head) if head.status.as_u16() > MAX_STATUS => {
                return Err(ExchangeError::InvalidStatus(head.status.as_u16()));
            }
            Some(head) => return Ok(Some(head)),
            None => return Ok(None),
        }
    }
}
