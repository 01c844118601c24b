//! Just enough of HTTP/1.1 for the stand-ins.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// The head of a message: its first line and its headers, with names in lower case.
#[derive(Clone, Debug)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(n, _)| n == name)?;
        Some(&header.1)
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The method and the target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

fn read_line<R: BufRead>(reader: &mut R) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(count) if count > 0 && line.ends_with('\n') => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

pub fn read_head<R: BufRead>(reader: &mut R) -> Option<Head> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(Head { first, headers });
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body that has a length; empty without one.
pub fn read_sized<R: Read>(reader: &mut R, head: &Head) -> Option<Vec<u8>> {
    let length = head.get("content-length").and_then(|v| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads the next chunk of a body; empty at its end, `None` if the connection ends before.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> Option<Vec<u8>> {
    let size = usize::from_str_radix(read_line(reader)?.split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

pub fn buffered(stream: &TcpStream) -> Option<BufReader<TcpStream>> {
    Some(BufReader::new(stream.try_clone().ok()?))
}
