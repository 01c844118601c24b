//! A caller that keeps its connection and judges answers by their bytes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::raw_upstream::header;

/// The longest time without a byte of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A connection of a caller.
#[derive(Debug)]
pub struct RawCaller {
    stream: TcpStream,
    /// Bytes after the last answer.
    buf: Vec<u8>,
}

/// What a caller has read of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawAnswer {
    /// The status; 0 without a whole head.
    pub status: u16,
    /// The body as far as it came, without its framing.
    pub body: Vec<u8>,
    /// Whether the whole body is there by its length or its chunks. The answers of entries have
    /// one of them.
    pub is_complete: bool,
}

impl RawCaller {
    /// Opens a connection to an entry.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await;
        Self {
            stream: stream.expect("the entry accepts connections"),
            buf: Vec::new(),
        }
    }

    /// Sends a request and reads its answer. `headers` are complete lines.
    pub async fn post(&mut self, path: &str, headers: &str, body: &[u8]) -> RawAnswer {
        let head = format!(
            "POST {path} HTTP/1.1\r\n{headers}content-length: {}\r\n\r\n",
            body.len()
        );
        // The entry may have closed the connection.
        let _ = self.stream.write_all(head.as_bytes()).await;
        let _ = self.stream.write_all(body).await;
        self.read_answer().await
    }

    /// Returns the bytes that have come after the last answer.
    pub fn surplus(&self) -> &[u8] {
        &self.buf
    }

    async fn read_answer(&mut self) -> RawAnswer {
        let mut answer = RawAnswer {
            status: 0,
            body: Vec::new(),
            is_complete: false,
        };
        let head = loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                break String::from_utf8_lossy(&head).to_lowercase();
            }
            if !self.read().await {
                return answer;
            }
        };
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        answer.status = status.unwrap_or_default();
        let is_chunked = header(&head, "transfer-encoding") == Some("chunked");
        answer.is_complete = match is_chunked {
            true => self.read_chunks(&mut answer.body).await,
            false => {
                let length = header(&head, "content-length").and_then(|v| v.parse().ok());
                let has_none = matches!(answer.status, 204 | 304);
                let length = if has_none { Some(0) } else { length };
                self.read_bytes(length.unwrap_or(0), &mut answer.body).await && length.is_some()
            }
        };
        answer
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(end) = find(&self.buf, b"\r\n") else {
                if !self.read().await {
                    return false;
                }
                continue;
            };
            let line: Vec<u8> = self.buf.drain(..end + 2).collect();
            let line = String::from_utf8_lossy(&line);
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return false;
            };
            let mut end_of_line = Vec::new();
            let is_whole =
                self.read_bytes(length, body).await && self.read_bytes(2, &mut end_of_line).await;
            if !is_whole || length == 0 {
                return is_whole;
            }
        }
    }

    /// Appends so many bytes to `body`, or what comes before the end of the connection. Returns
    /// whether all came.
    async fn read_bytes(&mut self, length: usize, body: &mut Vec<u8>) -> bool {
        while self.buf.len() < length {
            if !self.read().await {
                body.append(&mut self.buf);
                return false;
            }
        }
        body.extend(self.buf.drain(..length));
        true
    }

    /// Reads more bytes. Returns whether there are any.
    async fn read(&mut self) -> bool {
        let mut buf = vec![0; 16 << 10];
        let read = actix_rt::time::timeout(READ_TIMEOUT, self.stream.read(&mut buf));
        match read.await {
            Ok(Ok(read)) if read > 0 => {
                self.buf.extend_from_slice(&buf[..read]);
                true
            }
            _ => false,
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}
