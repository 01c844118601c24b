//! Reading of HTTP/1.1 messages.

use std::io;

use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header, whose name is in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(n, _)| n == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the word at this position of the first line.
    pub fn word(&self, i: usize) -> &str {
        self.first_line.split(' ').nth(i).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }
}

pub type Reader = BufReader<OwnedReadHalf>;

/// Splits a channel into its two directions.
pub fn split(stream: TcpStream) -> (Reader, OwnedWriteHalf) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    (BufReader::new(reader), writer)
}

/// Reads a head; `None` if the channel has ended before it.
pub async fn read_head(reader: &mut Reader) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return match head.first_line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            head.headers.push(header);
        }
    }
}

/// Reads the next part of a chunked body; empty at its end.
pub async fn read_chunk(reader: &mut Reader) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16);
    let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).await?;
    chunk.truncate(length);
    Ok(chunk)
}

/// Reads the whole body of a message that has a length or chunks.
pub async fn read_body(reader: &mut Reader, head: &Head) -> io::Result<Vec<u8>> {
    if head.is_chunked() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader).await?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }
    let mut body = vec![0; head.length().unwrap_or(0)];
    reader.read_exact(&mut body).await?;
    Ok(body)
}
