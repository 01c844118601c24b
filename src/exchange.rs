//! One request to an upstream and its answer, over a connection of its own.
//!
//! The exchange tells what an HTTP client with a pool hides: whether any part
//! of the request was sent, and whether the answer is whole. A connection is
//! not used again, so neither bytes after an answer nor an upstream that
//! closes an idle connection can harm another request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::Uri;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::HOST;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::headers::Header;
use crate::headers::end_to_end;
use crate::upstream_request::UpstreamRequest;

#[cfg(test)]
mod tests;

/// The time for opening a connection: far above a round trip within a region,
/// far below the second after which the system repeats a lost opening packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The time for which sent bytes may stay unconfirmed by the other host.
const UNCONFIRMED: Duration = Duration::from_secs(2);

/// The pause after which a silent connection is probed, and between probes.
const PROBE: Duration = Duration::from_secs(1);

/// Probes without an answer before a connection is given up.
const PROBES: u32 = 2;

/// The largest head of an answer, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// Why a request brought no answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The request can't be written as HTTP.
    #[error("the request cannot be sent: {0}")]
    Invalid(&'static str),
    /// No connection came about; nothing was sent.
    #[error("no connection to the upstream")]
    Connect(#[source] io::Error),
    /// The connection failed after a part of the request may have arrived.
    #[error("the connection failed before the answer was whole")]
    Broken(#[source] io::Error),
    /// The upstream sent what is not HTTP.
    #[error("the upstream's answer is not valid HTTP: {0}")]
    NotHttp(String),
}

impl ExchangeError {
    /// Whether the upstream surely did not receive the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Invalid(_) | Self::Connect(_))
    }
}

/// The head of an upstream's answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
}

impl AnswerHead {
    /// The first value of the header `name`, if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|h| h.name.as_str() == name)?;
        std::str::from_utf8(&header.value).ok()
    }
}

/// An answer whose head has arrived. Dropping it closes the connection, which
/// cancels the work.
pub struct Answer {
    /// The head.
    pub head: AnswerHead,
    stream: TcpStream,
    buf: BytesMut,
    body: Body,
}

enum Body {
    /// The end of the body is told by its framing.
    Framed(ClientPayloadCodec),
    /// The body ends with its connection.
    UntilClose,
    Ended,
}

/// Opens a connection to an upstream.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, ExchangeError> {
    let connecting = TcpStream::connect(address);
    let stream = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(ExchangeError::Connect)?;
    prepare(&stream).map_err(ExchangeError::Connect)?;
    Ok(stream)
}

/// Has a connection to a host that has fallen silent end by itself.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNCONFIRMED))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Sends `upstream_request` on a fresh connection and waits for the head of its answer.
pub async fn send(
    mut stream: TcpStream,
    upstream_request: &UpstreamRequest,
) -> Result<Answer, ExchangeError> {
    let mut codec = ClientCodec::default();
    let request = encode(&mut codec, upstream_request)?;
    let mut buf = BytesMut::with_capacity(4096);
    let (mut reader, mut writer) = stream.split();
    let mut written = false;
    let head = loop {
        if let Some(head) = decode_head(&mut codec, &mut buf)? {
            break head;
        }
        // An upstream may answer before it has read a long body.
        tokio::select! {
            sent = writer.write_all(&request), if !written => {
                sent.map_err(ExchangeError::Broken)?;
                written = true;
            }
            read = reader.read_buf(&mut buf) => {
                if read.map_err(ExchangeError::Broken)? == 0 {
                    return Err(ExchangeError::Broken(io::ErrorKind::UnexpectedEof.into()));
                }
            }
        }
    };
    let body = match codec.message_type() {
        MessageType::Payload => Body::Framed(codec.into_payload_codec()),
        // The codec takes an answer without a length for one without a body.
        MessageType::None | MessageType::Stream
            if ends_with_connection(upstream_request, &head) =>
        {
            Body::UntilClose
        }
        MessageType::None | MessageType::Stream => Body::Ended,
    };
    Ok(Answer {
        head: AnswerHead {
            status: head.status.as_u16(),
            headers: end_to_end(head.headers(), &[]),
        },
        stream,
        buf,
        body,
    })
}

impl Answer {
    /// The next bytes of the body; none once it is whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match &mut self.body {
                Body::Ended => return Ok(None),
                Body::UntilClose if !self.buf.is_empty() => {
                    return Ok(Some(self.buf.split().freeze()));
                }
                Body::UntilClose => {}
                Body::Framed(codec) => {
                    let decoded = codec.decode(&mut self.buf);
                    match decoded.map_err(|e| ExchangeError::NotHttp(e.to_string()))? {
                        Some(Some(bytes)) if bytes.is_empty() => continue,
                        Some(Some(bytes)) => return Ok(Some(bytes)),
                        Some(None) => self.body = Body::Ended,
                        None => {}
                    }
                }
            }
            if matches!(self.body, Body::Ended) {
                return Ok(None);
            }
            let read = self.stream.read_buf(&mut self.buf).await;
            if read.map_err(ExchangeError::Broken)? == 0 {
                let whole = matches!(self.body, Body::UntilClose);
                self.body = Body::Ended;
                return match whole {
                    true => Ok(None),
                    false => Err(ExchangeError::Broken(io::ErrorKind::UnexpectedEof.into())),
                };
            }
        }
    }
}

/// Whether the body of an answer ends with its connection (RFC 9112, 6.3).
fn ends_with_connection(upstream_request: &UpstreamRequest, head: &ResponseHead) -> bool {
    let bodiless = upstream_request.method.as_str() == "HEAD"
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    !bodiless && !head.headers().contains_key(CONTENT_LENGTH)
}

fn encode(
    codec: &mut ClientCodec,
    upstream_request: &UpstreamRequest,
) -> Result<BytesMut, ExchangeError> {
    let mut head = RequestHead::default();
    head.method = Method::from_bytes(upstream_request.method.as_bytes())
        .map_err(|_| ExchangeError::Invalid("method"))?;
    head.uri = upstream_request
        .path
        .parse::<Uri>()
        .map_err(|_| ExchangeError::Invalid("path"))?;
    if let Some(host) = &upstream_request.host {
        let host = HeaderValue::from_str(host).map_err(|_| ExchangeError::Invalid("host"))?;
        head.headers.insert(HOST, host);
    }
    for header in &upstream_request.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| ExchangeError::Invalid("header name"))?;
        let value = HeaderValue::from_bytes(&header.value)
            .map_err(|_| ExchangeError::Invalid("header value"))?;
        head.headers.append(name, value);
    }
    let size = match (
        upstream_request.body.len(),
        upstream_request.method.as_str(),
    ) {
        (0, "GET" | "HEAD" | "DELETE" | "OPTIONS") => BodySize::None,
        (length, _) => BodySize::Sized(length as u64),
    };
    let mut request = BytesMut::with_capacity(1024 + upstream_request.body.len());
    let head = RequestHeadType::Owned(head);
    codec
        .encode(Message::Item((head, size)), &mut request)
        .map_err(|_| ExchangeError::Invalid("head"))?;
    request.extend_from_slice(&upstream_request.body);
    Ok(request)
}

fn decode_head(
    codec: &mut ClientCodec,
    buf: &mut BytesMut,
) -> Result<Option<ResponseHead>, ExchangeError> {
    loop {
        let decoded = codec.decode(buf);
        match decoded.map_err(|e| ExchangeError::NotHttp(e.to_string()))? {
            Some(head) if head.status.is_informational() => {}
            Some(head) => return Ok(Some(head)),
            None if buf.len() > MAX_HEAD => {
                return Err(ExchangeError::NotHttp("the head is too long".to_owned()));
            }
            None => return Ok(None),
        }
    }
}
