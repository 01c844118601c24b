//! Structured logs on standard output, which never hold a request up.
//!
//! Lines beyond a rate are dropped, and so are lines that a reader of standard
//! output is too slow for. How many were dropped is logged.

use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rustix::fs::OFlags;
use slog::Drain;
use slog::Logger;
use slog::o;

#[cfg(test)]
mod tests;

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Lines a second at most: several for each request that one entry carries
/// in ordinary operation.
const LINES_PER_SECOND: f64 = 400.0;

/// Lines at once at most: some seconds of ordinary operation.
const LINES_AT_ONCE: f64 = 1200.0;

/// Bytes of a line at most; longer ones are dropped.
const MAX_LINE: usize = 16 << 10;

/// The time between two lines that tell how many were dropped.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// A logger for the process named `name` in `format`.
pub fn new_logger(format: LogFormat, name: &str) -> Logger {
    let values = o!("process" => name.to_owned());
    let output = BoundedLines::new(Stdout::new());
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(output);
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(drain, values)
        }
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(output)).fuse();
            Logger::root(drain, values)
        }
    }
}

/// Standard output that is never waited for.
struct Stdout;

impl Stdout {
    fn new() -> Self {
        let fd = rustix::stdio::stdout();
        // Where this fails, as on a file, writing does not wait either.
        if let Ok(flags) = rustix::fs::fcntl_getfl(fd) {
            let _ = rustix::fs::fcntl_setfl(fd, flags | OFlags::NONBLOCK);
        }
        Self
    }
}

impl Write for Stdout {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(rustix::stdio::stdout(), buf)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Passes whole lines on, at a bounded rate and without waiting.
struct BoundedLines<W> {
    output: W,
    line: Vec<u8>,
    /// The rest of a line of which a part was written.
    rest: Vec<u8>,
    lines_left: f64,
    at: Instant,
    dropped: u64,
    told: Instant,
}

impl<W> BoundedLines<W>
where
    W: Write,
{
    fn new(output: W) -> Self {
        let now = Instant::now();
        Self {
            output,
            line: Vec::new(),
            rest: Vec::new(),
            lines_left: LINES_AT_ONCE,
            at: now,
            dropped: 0,
            told: now,
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if line.len() > MAX_LINE || !self.is_allowed() || !self.pass(&line) {
            self.dropped += 1;
        }
        if self.dropped > 0 && self.told.elapsed() >= TELL_EVERY {
            let told = format!(
                "{{\"msg\":\"log lines dropped\",\"count\":{}}}\n",
                self.dropped
            );
            if self.pass(told.as_bytes()) {
                self.dropped = 0;
            }
            self.told = Instant::now();
        }
        // The buffer is kept for the next line.
        self.line = line;
        self.line.clear();
    }

    fn is_allowed(&mut self) -> bool {
        let now = Instant::now();
        let seconds = now.duration_since(self.at).as_secs_f64();
        self.at = now;
        self.lines_left = (self.lines_left + seconds * LINES_PER_SECOND).min(LINES_AT_ONCE);
        let allowed = self.lines_left >= 1.0;
        if allowed {
            self.lines_left -= 1.0;
        }
        allowed
    }

    /// Writes a line, or none of it. A part that the output does not take at
    /// once goes before the next line.
    fn pass(&mut self, line: &[u8]) -> bool {
        let rest = std::mem::take(&mut self.rest);
        let written = self.output.write(&rest).unwrap_or_default();
        if written < rest.len() {
            self.rest = rest[written..].to_vec();
            return false;
        }
        match self.output.write(line) {
            Ok(written) => {
                self.rest = line[written..].to_vec();
                true
            }
            Err(_) => false,
        }
    }
}

impl<W> Write for BoundedLines<W>
where
    W: Write,
{
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        for part in buf.split_inclusive(|b| *b == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                self.end_line();
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
