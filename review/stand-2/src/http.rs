//! The little HTTP/1.1 that the stand-ins need.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::net::TcpStream;

/// The head of a message: its first line, and headers with names in lower case.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns a word of a request line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")
            .and_then(|v| v.trim().parse().ok())
    }
}

fn ended() -> Error {
    Error::from(ErrorKind::UnexpectedEof)
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ended());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(Some(Head {
        first: first.trim_end().to_owned(),
        headers,
    }))
}

/// Reads the next part of a chunked body; `None` after the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ended());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| Error::from(ErrorKind::InvalidData))?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok((size > 0).then_some(bytes))
}

/// Reads a whole body.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        while let Some(part) = read_chunk(reader)? {
            body.extend(part);
        }
        return Ok(body);
    }
    body.resize(head.length().unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}
