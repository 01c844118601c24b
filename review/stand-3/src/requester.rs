//! A requester of streams, which takes up what has broken off.

use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// The requester's time limit, and the longest gap between events that it bears: four times
/// the objective of 1,000 ms.
pub const TIME_LIMIT: Duration = Duration::from_secs(15);
pub const PATIENCE: Duration = Duration::from_millis(4000);

/// An attempt of a requester.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub at: Duration,
    pub id: String,
    pub after: Option<u64>,
    pub status: u16,
    pub retry_after: Option<f64>,
    pub events: usize,
}

/// A stream as its requester sees it.
pub struct Stream {
    pub id: String,
    /// Whether it is asked of a model.
    pub has_prompt: bool,
    begun: Instant,
    /// The id and the data of each event.
    pub events: Vec<(u64, String)>,
    pub is_whole: bool,
    pub attempts: Vec<Attempt>,
    /// The open channel, which others may close in the requester's name.
    pub channel: Arc<Mutex<Option<TcpStream>>>,
}

impl Stream {
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            has_prompt: true,
            begun: Instant::now(),
            events: Vec::new(),
            is_whole: false,
            attempts: Vec::new(),
            channel: Arc::default(),
        }
    }

    pub fn left(&self) -> Duration {
        TIME_LIMIT.saturating_sub(self.begun.elapsed())
    }

    /// Makes an attempt at an entry: the first, or one that takes the stream up after the last
    /// event. Returns when its channel has ended.
    pub fn attempt(&mut self, entry: SocketAddr, start: Instant) {
        let number = self.attempts.len();
        let id = match number {
            0 => self.id.clone(),
            _ => format!("{}.{number}", self.id),
        };
        let after = self.events.last().map(|(number, _)| *number);
        let before = self.events.len();
        let mut attempt = Attempt {
            at: start.elapsed(),
            id,
            after,
            status: 0,
            retry_after: None,
            events: 0,
        };
        self.exchange(entry, &mut attempt);
        attempt.events = self.events.len() - before;
        self.channel.lock().unwrap().take();
        self.attempts.push(attempt);
    }

    fn exchange(&mut self, entry: SocketAddr, attempt: &mut Attempt) -> Option<()> {
        let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        *self.channel.lock().unwrap() = stream.try_clone().ok();
        let mut request = format!(
            "POST /x/{} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {}\r\n\
             Authorization: Bearer key\r\nDeadline-Ms: {}\r\n",
            self.id,
            attempt.id,
            self.left().as_millis()
        );
        if self.has_prompt {
            let own = self
                .id
                .bytes()
                .fold(0x1000, |sum, b| sum * 31 + u64::from(b));
            request += &format!(
                "Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,{own:x}:660\r\n"
            );
        }
        if let Some(after) = attempt.after {
            request += &format!("Last-Event-Id: {after}\r\nResumes: {}\r\n", self.id);
        }
        request += "Content-Length: 2\r\n\r\nhi";
        stream.write_all(request.as_bytes()).ok()?;
        let mut reader = http::buffered(&stream)?;
        let head = http::read_head(&mut reader)?;
        attempt.status = head.status();
        attempt.retry_after = head.get("retry-after").and_then(|v| v.parse().ok());
        if attempt.status != 200 {
            return None;
        }
        loop {
            let chunk = http::read_chunk(&mut reader)?;
            if chunk.is_empty() {
                self.is_whole = true;
                return Some(());
            }
            self.add_events(&String::from_utf8_lossy(&chunk));
        }
    }

    /// The entry passes on whole events.
    fn add_events(&mut self, text: &str) {
        for event in text.split("\n\n").filter(|e| !e.is_empty()) {
            let mut lines = event.lines();
            let id = lines
                .next()
                .and_then(|l| l.strip_prefix("id: ")?.parse().ok());
            let data = lines.next().and_then(|l| l.strip_prefix("data: "));
            if let (Some(id), Some(data)) = (id, data) {
                self.events.push((id, data.to_owned()));
            }
        }
    }

    /// The different writers of its events.
    pub fn writers(&self) -> Vec<&str> {
        let mut writers: Vec<&str> = self.events.iter().map(|(_, data)| data.as_str()).collect();
        writers.dedup();
        writers
    }
}

/// Closes the channel of a stream, as a requester whose connection breaks.
pub fn break_off(channel: &Mutex<Option<TcpStream>>) {
    if let Some(stream) = channel.lock().unwrap().as_ref() {
        let _ = stream.shutdown(Shutdown::Both);
    }
}
