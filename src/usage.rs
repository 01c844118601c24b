//! Reads token counts and completeness from an answer in the OpenAI format.

use serde::Deserialize;

use crate::ticket::Work;

#[cfg(test)]
mod tests;

/// Largest document, or largest line of an event stream, that is buffered to
/// read its token counts, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

const DATA_PREFIX: &[u8] = b"data:";
const END_MARKER: &[u8] = b"[DONE]";

/// Format of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFormat {
    /// Server-sent events that end with `[DONE]`.
    Events,
    /// Server-sent events without an end marker; each contains this many
    /// tokens.
    PlainEvents(u64),
    /// One JSON document.
    Document,
    /// Any other content, from which nothing is read.
    Opaque,
}

/// Reads token counts from an answer as its bytes arrive.
#[derive(Debug)]
pub struct UsageReader {
    format: AnswerFormat,
    buf: Vec<u8>,
    overflowed: bool,
    events: u64,
    ended: bool,
    work: Option<Work>,
}

#[derive(Deserialize)]
struct Answer {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl UsageReader {
    /// Creates a reader for an answer of this format.
    pub fn new(format: AnswerFormat) -> Self {
        Self {
            format,
            buf: Vec::new(),
            overflowed: false,
            events: 0,
            ended: false,
            work: None,
        }
    }

    /// Reads the next bytes of the answer.
    pub fn push(&mut self, bytes: &[u8]) {
        match self.format {
            AnswerFormat::Events | AnswerFormat::PlainEvents(_) => self.push_events(bytes),
            AnswerFormat::Document => self.buffer(bytes),
            AnswerFormat::Opaque => {}
        }
    }

    /// Returns the number of bytes that are buffered.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Discards the buffered document or line for lack of room, as one that is too large.
    pub fn discard_buffered(&mut self) {
        self.overflowed = true;
        self.buf = Vec::new();
    }

    /// Returns whether an ended answer is complete: whether it contained the
    /// end marker, if its format has one.
    pub fn is_complete(&self) -> bool {
        self.format != AnswerFormat::Events || self.ended
    }

    /// Returns the token counts of an ended answer. If it reports none, the
    /// prompt counts are those of `expected`, and the generated tokens are
    /// estimated from the number of events.
    pub fn work(mut self, expected: Work) -> Work {
        if self.format == AnswerFormat::Document && !self.overflowed {
            self.work = parse(&self.buf);
        }
        let tokens = match self.format {
            AnswerFormat::PlainEvents(tokens) => tokens,
            AnswerFormat::Events | AnswerFormat::Document | AnswerFormat::Opaque => 1,
        };
        self.work.unwrap_or(Work {
            output: self.events * tokens,
            ..expected
        })
    }

    fn buffer(&mut self, bytes: &[u8]) {
        if self.buf.len() + bytes.len() > MAX_BUFFERED_BYTES {
            self.discard_buffered();
            return;
        }
        if !self.overflowed {
            self.buf.extend_from_slice(bytes);
        }
    }

    fn push_events(&mut self, bytes: &[u8]) {
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            self.buffer(part);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.buf);
                if !std::mem::take(&mut self.overflowed) {
                    self.read_line(line.trim_ascii());
                }
            }
        }
    }

    fn read_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return;
        };
        let data = data.trim_ascii();
        if data == END_MARKER {
            self.ended = true;
            return;
        }
        self.events += 1;
        // Most events have no counts; the search avoids parsing them.
        if data.windows(USAGE_KEY.len()).any(|w| w == USAGE_KEY) {
            self.work = parse(data).or(self.work);
        }
    }
}

const USAGE_KEY: &[u8] = b"\"usage\"";

fn parse(json: &[u8]) -> Option<Work> {
    let answer: Answer = serde_json::from_slice(json).ok()?;
    let usage = answer.usage?;
    Some(Work {
        prefill: usage.prompt_tokens,
        cached: usage.prompt_tokens_details.map_or(0, |d| d.cached_tokens),
        output: usage.completion_tokens,
    })
}
