//! Structured logs on standard output that never delay a request.
//!
//! Lines above a rate limit are dropped, and so are lines that standard output
//! does not accept without blocking. The number of dropped lines is logged.

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

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The maximum rate of lines: several for each request that one entry handles
/// in normal operation.
const MAX_LINES_PER_SECOND: f64 = 400.0;

/// The maximum number of lines in a burst: some seconds of normal operation.
const MAX_LINE_BURST: f64 = 1200.0;

/// The maximum length of a line in bytes; longer lines are dropped.
const MAX_LINE_BYTES: usize = 16 << 10;

/// The minimum interval between two reports of the number of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Creates a logger that writes lines in `format` for the process `name`.
pub fn new_logger(format: LogFormat, name: &str) -> Logger {
    let values = o!("process" => name.to_owned());
    let output = LineLimiter::new(NonBlockingStdout::new());
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

/// Standard output in non-blocking mode.
struct NonBlockingStdout;

impl NonBlockingStdout {
    fn new() -> Self {
        let fd = rustix::stdio::stdout();
        // If this fails, as on a file, writing does not block either.
        if let Ok(flags) = rustix::fs::fcntl_getfl(fd) {
            let _ = rustix::fs::fcntl_setfl(fd, flags | OFlags::NONBLOCK);
        }
        Self
    }
}

impl Write for NonBlockingStdout {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(rustix::stdio::stdout(), buf)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A writer that passes complete lines to `output`, at a limited rate and
/// without blocking.
struct LineLimiter<W> {
    output: W,
    line: Vec<u8>,
    /// The unwritten end of a partly written line.
    unwritten: Vec<u8>,
    /// The number of lines that can be written at `refilled_at`.
    available_lines: f64,
    refilled_at: Instant,
    dropped: u64,
    reported_at: Instant,
}

impl<W> LineLimiter<W>
where
    W: Write,
{
    fn new(output: W) -> Self {
        let now = Instant::now();
        Self {
            output,
            line: Vec::new(),
            unwritten: Vec::new(),
            available_lines: MAX_LINE_BURST,
            refilled_at: now,
            dropped: 0,
            reported_at: now,
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if line.len() > MAX_LINE_BYTES || !self.is_within_rate() || !self.write_line(&line) {
            self.dropped += 1;
        }
        if self.dropped > 0 && self.reported_at.elapsed() >= DROP_REPORT_INTERVAL {
            let report = format!(
                "{{\"msg\":\"log lines dropped\",\"count\":{}}}\n",
                self.dropped
            );
            if self.write_line(report.as_bytes()) {
                self.dropped = 0;
            }
            self.reported_at = Instant::now();
        }
        // Reuses the buffer for the next line.
        self.line = line;
        self.line.clear();
    }

    /// Refills the available lines and takes one; `false` if none is left.
    fn is_within_rate(&mut self) -> bool {
        let now = Instant::now();
        let seconds = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.available_lines =
            (self.available_lines + seconds * MAX_LINES_PER_SECOND).min(MAX_LINE_BURST);
        let allowed = self.available_lines >= 1.0;
        if allowed {
            self.available_lines -= 1.0;
        }
        allowed
    }

    /// Writes a line and returns `true`, or drops it and returns `false`. The end
    /// of a line that the output accepts only in part is written before the next
    /// line.
    fn write_line(&mut self, line: &[u8]) -> bool {
        if !self.unwritten.is_empty() {
            let written = self.output.write(&self.unwritten).unwrap_or_default();
            self.unwritten.drain(..written);
            if !self.unwritten.is_empty() {
                return false;
            }
        }
        match self.output.write(line) {
            Ok(written) => {
                self.unwritten = line[written..].to_vec();
                true
            }
            Err(_) => false,
        }
    }
}

impl<W> Write for LineLimiter<W>
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
