//! Checks whether the body of an answer is complete, as far as its content tells.
//!
//! A body that ends when its connection is closed looks the same after a crash of its
//! sender (RFC 9112, section 8). Its content can show that something is missing: an
//! event stream ends after an event, and a JSON document after its last bracket.

use crate::events::EventScanner;
use crate::exchange::Framing;
use crate::headers::Header;
use crate::usage::AnswerFormat;

#[cfg(test)]
mod tests;

/// Media type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Media type of JSON documents.
const JSON: &[u8] = b"application/json";

/// Content of a body, by which its end is checked.
#[derive(Debug)]
enum Content {
    Events(EventScanner),
    Json(JsonScanner),
    /// The content shows nothing about its end.
    Opaque,
}

/// Follows the body of one answer to tell whether it is complete.
#[derive(Debug)]
pub struct CompletenessCheck {
    content: Content,
    framing: Framing,
    format: AnswerFormat,
    /// Whether the stream continues an earlier one, and so may have no event left.
    continues: bool,
}

impl CompletenessCheck {
    /// Creates a check of an answer with these headers. The content type determines
    /// the content; without one, `format` does.
    pub fn new(headers: &[Header], framing: Framing, format: AnswerFormat) -> Self {
        Self {
            content: content(headers, format),
            framing,
            format,
            continues: false,
        }
    }

    /// Sets whether the answer continues an earlier stream.
    pub fn with_continuation(mut self, continues: bool) -> Self {
        self.continues = continues;
        self
    }

    /// Reads the next bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        match &mut self.content {
            Content::Events(scanner) => scanner.push(bytes),
            Content::Json(scanner) => scanner.push(bytes),
            Content::Opaque => {}
        }
    }

    /// Returns whether a body that has ended here is complete.
    pub fn is_complete(&self) -> bool {
        let by_connection = self.framing == Framing::Connection;
        match &self.content {
            Content::Events(scanner) => {
                let has_content = scanner.events() > 0 || self.continues;
                let is_whole = scanner.partial_bytes() == 0 && (has_content || !by_connection);
                // Engines send whole events, while the end of a service's answer is
                // known from its length or chunks.
                is_whole || (self.format == AnswerFormat::Opaque && !by_connection)
            }
            Content::Json(scanner) => scanner.is_whole() || !by_connection,
            Content::Opaque => true,
        }
    }

    /// Returns whether a body that is complete by its content may still lack a part: it
    /// has ended with its connection, at a place where such content can go on.
    pub fn may_go_on(&self) -> bool {
        let shows_end = match &self.content {
            Content::Events(_) => self.format == AnswerFormat::Events,
            Content::Json(_) => true,
            Content::Opaque => false,
        };
        self.framing == Framing::Connection && !shows_end
    }

    /// Returns the number of complete events read; 0 if the body is no event stream.
    pub fn events(&self) -> u64 {
        match &self.content {
            Content::Events(scanner) => scanner.events(),
            Content::Json(_) | Content::Opaque => 0,
        }
    }

    /// Returns what marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the number of bytes read of an incomplete event; `None` if the body is
    /// no event stream.
    pub fn partial_bytes(&self) -> Option<u64> {
        match &self.content {
            Content::Events(scanner) => Some(scanner.partial_bytes()),
            Content::Json(_) | Content::Opaque => None,
        }
    }
}

fn content(headers: &[Header], format: AnswerFormat) -> Content {
    let value = |name| headers.iter().find(|h| &*h.name == name).map(|h| &h.value);
    if value("content-encoding").is_some_and(|v| !v.eq_ignore_ascii_case(b"identity")) {
        return Content::Opaque;
    }
    match value("content-type").map(|v| media_type(v)) {
        Some(t) if t.eq_ignore_ascii_case(EVENT_STREAM) => Content::Events(EventScanner::new()),
        Some(t) if t.eq_ignore_ascii_case(JSON) => Content::Json(JsonScanner::default()),
        Some(_) => Content::Opaque,
        None => match format {
            AnswerFormat::Events | AnswerFormat::PlainEvents(_) => {
                Content::Events(EventScanner::new())
            }
            AnswerFormat::Document => Content::Json(JsonScanner::default()),
            AnswerFormat::Opaque => Content::Opaque,
        },
    }
}

/// Returns the media type of a `content-type` value, without its parameters.
pub(crate) fn media_type(value: &[u8]) -> &[u8] {
    let end = value.iter().position(|b| *b == b';');
    value[..end.unwrap_or(value.len())].trim_ascii()
}

/// Follows the brackets and strings of a JSON document.
#[derive(Debug, Default)]
struct JsonScanner {
    /// The number of open objects and arrays.
    depth: u64,
    in_string: bool,
    /// Whether a backslash in a string escapes the next byte.
    is_escaped: bool,
    has_value: bool,
}

impl JsonScanner {
    fn push(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.push_byte(*b));
    }

    fn push_byte(&mut self, byte: u8) {
        if self.in_string {
            let was_escaped = std::mem::take(&mut self.is_escaped);
            match byte {
                b'\\' => self.is_escaped = !was_escaped,
                b'"' => self.in_string = was_escaped,
                _ => {}
            }
            return;
        }
        self.has_value |= !byte.is_ascii_whitespace();
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// Returns whether the document can end here. The end of a number can't be told
    /// from its middle.
    fn is_whole(&self) -> bool {
        self.has_value && self.depth == 0 && !self.in_string
    }
}
