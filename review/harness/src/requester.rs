//! A stand-in for requesters.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

use crate::http;
use crate::http::Head;
use crate::http::Reader;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub id: String,
    pub deadline: Duration,
    pub more: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(method: &'static str, path: &str, id: &str, deadline: Duration) -> Self {
        Self {
            method,
            path: path.to_owned(),
            key: "key".to_owned(),
            id: id.to_owned(),
            deadline,
            more: String::new(),
            body: match method {
                "GET" => Vec::new(),
                _ => b"prompt".to_vec(),
            },
        }
    }

    fn encode(&self) -> Vec<u8> {
        let mut encoded = format!(
            "{} {} HTTP/1.1\r\nhost: a.example\r\nrequest-id: {}\r\nauthorization: Bearer {}\r\n\
             deadline-ms: {}\r\n{}",
            self.method,
            self.path,
            self.id,
            self.key,
            self.deadline.as_millis(),
            self.more
        );
        if self.method != "GET" {
            encoded += &format!("content-length: {}\r\n", self.body.len());
        }
        encoded += "\r\n";
        let mut encoded = encoded.into_bytes();
        encoded.extend_from_slice(&self.body);
        encoded
    }
}

/// The channel of a request whose head has been answered.
pub struct Channel {
    pub head: Head,
    pub reader: Reader,
    // Keeps the channel open in both directions.
    _writer: tokio::net::tcp::OwnedWriteHalf,
}

/// Sends a request on a new channel and waits for the head of its answer.
/// `receive_buffer` is the size of the channel's receive buffer, if it is to be small.
pub async fn send(
    to: SocketAddr,
    request: &Request,
    receive_buffer: Option<u32>,
) -> std::io::Result<Channel> {
    let socket = TcpSocket::new_v4()?;
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes)?;
    }
    let connecting = tokio::time::timeout(Duration::from_secs(1), socket.connect(to));
    let stream = connecting.await.map_err(std::io::Error::other)??;
    let (mut reader, mut writer) = http::split(stream);
    writer.write_all(&request.encode()).await?;
    let head = http::read_head(&mut reader).await?;
    let head = head.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
    Ok(Channel {
        head,
        reader,
        _writer: writer,
    })
}

/// What came of a request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// 0 without the head of an answer.
    pub status: u16,
    /// The header `Server-Stamp` of the answer.
    pub stamp: Option<String>,
    pub body: Vec<u8>,
    /// Whether the answer is complete.
    pub is_complete: bool,
    /// Whether the requester has given up while the channel was open.
    pub is_open: bool,
}

/// A channel on which a requester sends one request after the other.
pub struct KeptChannel {
    reader: Reader,
    writer: tokio::net::tcp::OwnedWriteHalf,
}

impl KeptChannel {
    pub async fn open(to: SocketAddr) -> std::io::Result<Self> {
        let connecting = tokio::net::TcpStream::connect(to);
        let stream = tokio::time::timeout(Duration::from_secs(1), connecting).await;
        let (reader, writer) = http::split(stream.map_err(std::io::Error::other)??);
        Ok(Self { reader, writer })
    }

    /// Sends a request and reads its whole answer, for as long as its deadline allows.
    pub async fn call(&mut self, request: &Request) -> Outcome {
        let mut outcome = Outcome::default();
        let encoded = request.encode();
        let called = async {
            let Self { reader, writer } = self;
            let answered = async {
                let head = http::read_head(reader).await?;
                let head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
                outcome.status = head.status();
                outcome.stamp = head.get("server-stamp").map(str::to_owned);
                outcome.body = http::read_body(reader, &head).await?;
                std::io::Result::Ok(())
            };
            let sent = async {
                // An answer can come before the whole body is sent.
                let _ = writer.write_all(&encoded).await;
                std::future::pending::<()>().await;
            };
            tokio::select! {
                answered = answered => answered,
                () = sent => Ok(()),
            }
        };
        let limit = request.deadline + Duration::from_secs(1);
        let called = tokio::time::timeout(limit, called).await;
        outcome.is_complete = matches!(called, Ok(Ok(())));
        outcome.is_open = called.is_err();
        outcome
    }
}

/// Sends a request on a new channel and reads its whole answer.
pub async fn call(to: SocketAddr, request: &Request) -> Outcome {
    match KeptChannel::open(to).await {
        Ok(mut channel) => channel.call(request).await,
        Err(_) => Outcome::default(),
    }
}

/// The events of a stream, over all tries of its requester.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// The id of the request that brought the first event.
    pub began: String,
    /// The number and the software version of each event.
    pub events: Vec<(u64, String)>,
    /// Whether the end of the answer has arrived.
    pub is_complete: bool,
    /// The status of the last try, 0 without the head of an answer.
    pub status: u16,
    pub retry_after: Option<Duration>,
}

impl Stream {
    /// Sends a request that begins the stream or takes it up again, and reads events until
    /// the answer ends or breaks off.
    pub async fn read(&mut self, to: SocketAddr, request: &Request) {
        self.status = 0;
        self.retry_after = None;
        let mut request = request.clone();
        if let Some((last, _)) = self.events.last() {
            request.more += &format!("last-event-id: {last}\r\nresumes: {}\r\n", self.began);
        }
        let Ok(mut channel) = send(to, &request, None).await else {
            return;
        };
        self.status = channel.head.status();
        let retry_after = channel.head.get("retry-after");
        let retry_after: Option<f64> = retry_after.and_then(|v| v.parse().ok());
        self.retry_after = retry_after.map(Duration::from_secs_f64);
        if self.status != 200 {
            return;
        }
        let mut text = String::new();
        loop {
            match http::read_chunk(&mut channel.reader).await {
                Err(_) => return,
                Ok(chunk) if chunk.is_empty() => {
                    self.is_complete = true;
                    return;
                }
                Ok(chunk) => text += &String::from_utf8_lossy(&chunk),
            }
            while let Some((event, rest)) = text.split_once("\n\n") {
                let line = |name| event.lines().find_map(|l: &str| l.strip_prefix(name));
                let number = line("id: ").and_then(|v| v.parse().ok()).unwrap_or(0);
                let data: &str = line("data: ").unwrap_or_default();
                let version = data.split(' ').next().unwrap_or_default().to_owned();
                if self.events.is_empty() {
                    self.began = request.id.clone();
                }
                self.events.push((number, version));
                text = rest.to_owned();
            }
        }
    }

    /// Returns the number of software versions that wrote its events.
    pub fn versions(&self) -> usize {
        let mut versions: Vec<&str> = self.events.iter().map(|(_, v)| v.as_str()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions.len()
    }
}

/// Reads the body of an answer slowly: so many bytes, then a pause, and so on. Returns what
/// arrived, and whether the answer is complete.
pub async fn read_slowly(channel: &mut Channel, bytes: usize, pause: Duration) -> (Vec<u8>, bool) {
    let mut raw = Vec::new();
    let mut buf = vec![0; bytes];
    let mut unpaused = 0;
    loop {
        match channel.reader.read(&mut buf[unpaused..]).await {
            Ok(0) | Err(_) => break,
            Ok(count) => {
                raw.extend_from_slice(&buf[unpaused..unpaused + count]);
                unpaused += count;
            }
        }
        if let (body, true) = decode(&channel.head, &raw) {
            return (body, true);
        }
        if unpaused == bytes {
            unpaused = 0;
            tokio::time::sleep(pause).await;
        }
    }
    decode(&channel.head, &raw)
}

/// Decodes the raw bytes of a body. Returns it, and whether it is complete.
fn decode(head: &Head, raw: &[u8]) -> (Vec<u8>, bool) {
    if !head.is_chunked() {
        let length = head.length().unwrap_or(usize::MAX);
        return (raw.to_vec(), raw.len() == length);
    }
    let mut body = Vec::new();
    let mut rest = raw;
    while let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
        let length = std::str::from_utf8(&rest[..end]).ok();
        let Some(length) = length.and_then(|l| usize::from_str_radix(l, 16).ok()) else {
            break;
        };
        let chunk = &rest[end + 2..];
        if length == 0 {
            return (body, chunk.starts_with(b"\r\n"));
        }
        if chunk.len() < length + 2 {
            body.extend_from_slice(&chunk[..chunk.len().min(length)]);
            break;
        }
        body.extend_from_slice(&chunk[..length]);
        rest = &chunk[length + 2..];
    }
    (body, false)
}
