//! Server-sent events on their way to a caller.
//!
//! An answer that may be resumed at another upstream is passed on in whole
//! events, so that the place where it goes on is known.

use bytes::Bytes;
use bytes::BytesMut;

#[cfg(test)]
mod tests;

/// The field that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// Cuts a stream of bytes into whole events and follows their ids.
#[derive(Debug, Default)]
pub struct EventReader {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventReader {
    /// A reader of a stream of which `last_id` was received before.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether a part of an event is left over.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Takes in bytes and gives the whole events that are there now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial, scanned) else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end).freeze();
        let mut ids = whole.rsplit(|b| *b == b'\n').filter_map(event_id);
        if let Some(id) = ids.next() {
            self.last_id = Some(id);
        }
        whole
    }

    /// Drops the part of an event that is left over.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// The end of the last whole event: after an empty line.
fn last_event_end(buf: &[u8], from: usize) -> Option<usize> {
    let lf = rfind(&buf[from..], b"\n\n").map(|i| from + i + 2);
    let crlf = rfind(&buf[from..], b"\n\r\n").map(|i| from + i + 3);
    lf.max(crlf)
}

fn rfind(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).rposition(|w| w == pattern)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(ID_FIELD)?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
