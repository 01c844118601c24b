//! A stand-in for a requester.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_body;
use crate::http::read_chunk;
use crate::http::read_head;
use crate::record::Record;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// A request of a requester.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    /// The time that the requester waits.
    pub deadline: Duration,
    /// The longest time without a byte of the answer.
    pub gap: Duration,
    /// The request that brought the first event, and the last event, of the stream that is
    /// taken up again.
    pub resumes: Option<(String, u64)>,
    pub is_prompt: bool,
    /// A part of the prompt between the first and the last one.
    pub part: Option<&'static str>,
    pub body: Vec<u8>,
}

/// What a requester has got of an answer.
#[derive(Debug, Default)]
pub struct Got {
    /// The status; 0 if there was no head.
    pub status: u16,
    pub stamp: Option<String>,
    /// The body, unless it is a stream.
    pub body: String,
    /// The data of each event, by its id, in the order of arrival.
    pub events: Vec<(u64, String)>,
    pub is_complete: bool,
}

impl Got {
    pub fn last_event(&self) -> Option<u64> {
        self.events.last().map(|(id, _)| *id)
    }

    /// Returns how many events the words at `index` of the data name, by word.
    pub fn words(&self, index: usize) -> BTreeMap<String, usize> {
        let mut words = BTreeMap::new();
        for (_, data) in &self.events {
            let word = data.split(' ').nth(index).unwrap_or("").to_owned();
            *words.entry(word).or_default() += 1;
        }
        words
    }
}

impl Request {
    /// Sends the request on a channel of its own, and closes the channel after `break_after`
    /// events.
    pub fn send(&self, to: SocketAddr, break_after: Option<usize>, record: &Record) -> Got {
        let is_enough = |got: &Got| break_after.is_some_and(|count| got.events.len() >= count);
        self.send_until(to, is_enough, record)
    }

    /// Sends the request like `send`. Unless `keep` returns true for the stamp of the answer,
    /// closes the channel at `close_at` and returns `None`.
    pub fn send_if<F>(
        &self,
        to: SocketAddr,
        keep: F,
        close_at: Instant,
        record: &Record,
    ) -> Option<Got>
    where
        F: Fn(&str) -> bool,
    {
        let kept = Cell::new(None);
        let is_unwanted = |got: &Got| {
            let is_kept = kept
                .get()
                .unwrap_or_else(|| keep(got.stamp.as_deref().unwrap_or("")));
            kept.set(Some(is_kept));
            !is_kept && Instant::now() >= close_at
        };
        let got = self.send_until(to, is_unwanted, record);
        kept.get().unwrap_or_default().then_some(got)
    }

    fn send_until<F>(&self, to: SocketAddr, is_enough: F, record: &Record) -> Got
    where
        F: Fn(&Got) -> bool,
    {
        let mut got = Got::default();
        let result = self.exchange(to, is_enough, &mut got);
        let error = result.err().map(|e| e.to_string()).unwrap_or_default();
        record.line(&format!(
            "requester {} to {to}: {} {} resumes {:?}, got {}, {} events, complete {}, stamp {} {error}",
            self.id,
            self.method,
            self.path,
            self.resumes,
            got.status,
            got.events.len(),
            got.is_complete,
            got.stamp.as_deref().unwrap_or("-")
        ));
        got
    }

    fn exchange<F>(&self, to: SocketAddr, is_enough: F, got: &mut Got) -> std::io::Result<()>
    where
        F: Fn(&Got) -> bool,
    {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.gap))?;
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\
             Authorization: Bearer {KEY}\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis()
        );
        if self.is_prompt {
            let part = self
                .id
                .bytes()
                .fold(7_u32, |h, b| h.wrapping_mul(31) ^ u32::from(b));
            let middle = self.part.map(|p| format!("{p}:40,")).unwrap_or_default();
            let part = format!("Prompt-Prefix: 5c1e07a2:60,{middle}{part:08x}:100\r\n");
            head.push_str("Model: m\r\nToken-Count: 160,60\r\n");
            head.push_str(&part);
        }
        if let Some((id, last)) = &self.resumes {
            head.push_str(&format!("Resumes: {id}\r\nLast-Event-Id: {last}\r\n"));
        }
        if !self.body.is_empty() || self.method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        stream.write_all(&[head.as_bytes(), &self.body].concat())?;
        let mut reader = BufReader::new(stream);
        let Some(head) = read_head(&mut reader)? else {
            return Ok(());
        };
        got.status = head.status();
        got.stamp = head.get("server-stamp").map(str::to_owned);
        let is_stream = head
            .get("content-type")
            .is_some_and(|t| t.contains("event-stream"));
        if !is_stream {
            let body = read_body(&mut reader, &head)?;
            got.body = String::from_utf8_lossy(&body).into_owned();
            got.is_complete = true;
            return Ok(());
        }
        let mut text = Vec::new();
        while let Some(part) = read_chunk(&mut reader)? {
            text.extend(part);
            while let Some(end) = text.windows(2).position(|w| w == b"\n\n") {
                let event = text.drain(..end + 2).collect::<Vec<u8>>();
                got.events
                    .extend(parse_event(&String::from_utf8_lossy(&event)));
            }
            if !got.events.is_empty() && is_enough(got) {
                return Ok(());
            }
        }
        got.is_complete = true;
        Ok(())
    }
}

fn parse_event(event: &str) -> Option<(u64, String)> {
    let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
    let id = field("id: ")?.parse().ok()?;
    Some((id, field("data: ")?.to_owned()))
}
