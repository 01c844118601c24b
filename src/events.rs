//! Splitting of server-sent events that are forwarded to a caller, and detection of
//! streams that end inside an event.
//!
//! An answer that can be resumed at another upstream is forwarded in complete
//! events, so that the id of the last forwarded event is the point to resume
//! from.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

use self::gap::GapCheck;
use self::gap::Verdict;

mod gap;
#[cfg(test)]
mod tests;

/// Most bytes that are buffered of an incomplete event and of the events withheld before it.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Field name of an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Reason for which a stream can't be forwarded in events.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event is larger than an entry buffers.
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// Other answers have used up the memory for incomplete events.
    #[error("there is no room for an event of more than {0} bytes")]
    NoRoom(usize),
    /// An event does not follow the one before it: the upstream repeats or leaves out events,
    /// or has begun the stream anew.
    #[error("the event {id} does not follow the event {last}")]
    OutOfOrder {
        /// The id of the last event that is in order.
        last: u64,
        /// The id of the event after it.
        id: u64,
    },
}

/// The differences between the ids of subsequent events.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Step {
    /// There were not two events yet.
    #[default]
    Unknown,
    /// All differences were the same.
    Always(u64),
    /// The differences vary.
    Varies,
}

impl Step {
    fn with(self, difference: u64) -> Self {
        match self {
            Self::Unknown => Self::Always(difference),
            Self::Always(step) if step == difference => self,
            Self::Always(_) | Self::Varies => Self::Varies,
        }
    }
}

/// Whether an event continues the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Order {
    /// It follows the event before.
    Follows,
    /// The events after it must tell whether others were left out before.
    Doubted,
    /// It does not follow the event before.
    Broken,
}

/// Splits a stream of bytes into complete events and tracks the last event id. The ids of
/// the events must increase. The first events of an answer that may have a gap before them
/// are withheld until those after them tell (see `gap`).
#[derive(Debug, Default)]
pub struct EventReader {
    /// The withheld events and the incomplete one; at most `MAX_EVENT_BYTES` between two calls.
    partial: BytesMut,
    /// The number of bytes of the withheld events.
    withheld: usize,
    /// Tells whether the withheld events have a gap before them; `None` if there are none.
    gap_check: Option<GapCheck>,
    last_id: Option<u64>,
    /// Whether the last complete event has no id, so that `last_id` is an earlier one's.
    lacks_id: bool,
    step: Step,
    /// Whether the next event is the first of an answer, which may continue another one.
    is_first: bool,
    /// Why no more events are returned.
    error: Option<EventError>,
}

impl EventReader {
    /// Creates a reader of a stream that continues after the event `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            is_first: true,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the stream can resume after the complete events without
    /// repeating one: whether the last of them has an id.
    pub fn can_resume(&self) -> bool {
        !self.lacks_id
    }

    /// Returns the number of bytes that are buffered of withheld events and an incomplete one.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Discards what is buffered for lack of room. The stream can't go on.
    pub fn discard_partial(&mut self) -> EventError {
        let e = EventError::NoRoom(self.partial.len());
        self.clear_partial();
        self.error = Some(e);
        e
    }

    fn clear_partial(&mut self) {
        self.partial = BytesMut::new();
        self.withheld = 0;
        self.gap_check = None;
    }

    /// Returns whether withheld events or an incomplete one are buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Appends bytes and returns the events that are now complete and in order. If one is
    /// not, the next call fails. Nothing is returned while events are withheld.
    ///
    /// # Errors
    ///
    /// Fails if the incomplete event is too large, or if an event was out of order. The last
    /// event id is that of the events returned before.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        if let Some(e) = self.error {
            return Err(e);
        }
        let scanned = self.partial.len().saturating_sub(3).max(self.withheld);
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial, scanned).unwrap_or(self.withheld);
        if self.partial.len() - end > MAX_EVENT_BYTES {
            self.clear_partial();
            return Err(EventError::TooLarge);
        }
        let mut complete = self.partial.split_to(end);
        let in_order = self.read_ids(&complete, self.withheld);
        if self.gap_check.is_some() {
            complete.unsplit(std::mem::take(&mut self.partial));
            self.partial = complete;
            self.withheld = end;
            if self.partial.len() > MAX_EVENT_BYTES {
                self.error = self.error();
                self.clear_partial();
            }
            return self.error.map_or(Ok(Bytes::new()), Err);
        }
        self.withheld = 0;
        complete.truncate(in_order);
        match self.error {
            Some(e) if complete.is_empty() => Err(e),
            _ => Ok(complete.freeze()),
        }
    }

    /// Returns why events that have arrived are not returned, if there is a reason.
    pub fn error(&self) -> Option<EventError> {
        let doubted = || {
            let id = self.gap_check?.first();
            let last = self.last_id?;
            Some(EventError::OutOfOrder { last, id })
        };
        self.error.or_else(doubted)
    }

    /// Reads the ids of complete events after the first `withheld` bytes of them. Returns the
    /// number of bytes of those before the first one that is out of order or withheld.
    fn read_ids(&mut self, complete: &[u8], withheld: usize) -> usize {
        let mut is_event = false;
        let mut id = None;
        let (mut at, mut in_order) = (withheld, 0);
        for line in complete[withheld..].split_inclusive(|b| *b == b'\n') {
            at += line.len();
            match line.trim_ascii_end() {
                [] => {
                    if std::mem::take(&mut is_event)
                        && self.record_event(id.take()) == Order::Broken
                    {
                        return in_order;
                    }
                    if self.gap_check.is_none() {
                        in_order = at;
                    }
                }
                // Comments are not a part of an event.
                [b':', ..] => {}
                field => {
                    is_event = true;
                    id = event_id(field).or(id);
                }
            }
        }
        in_order
    }

    /// Records an event that follows the one before or is withheld.
    fn record_event(&mut self, id: Option<u64>) -> Order {
        let is_first = std::mem::take(&mut self.is_first);
        if self.gap_check.is_some() {
            return id.map_or(Order::Doubted, |id| self.check_gap(id));
        }
        self.lacks_id = id.is_none();
        let Some(id) = id else {
            return Order::Follows;
        };
        if let Some(last) = self.last_id {
            let Some(difference) = id.checked_sub(last).filter(|d| *d > 0) else {
                self.lacks_id = false;
                return self.break_off(last, id);
            };
            if let (true, Step::Always(step)) = (is_first, self.step) {
                self.gap_check = GapCheck::new(step, last, id);
            }
            if self.gap_check.is_some() {
                return Order::Doubted;
            }
            self.step = self.step.with(difference);
        }
        self.last_id = Some(id);
        Order::Follows
    }

    /// Records an event after the withheld ones, which are in order with it or not.
    fn check_gap(&mut self, id: u64) -> Order {
        let Some((check, last)) = self.gap_check.as_mut().zip(self.last_id) else {
            return Order::Follows;
        };
        let first = check.first();
        match check.push(id) {
            Verdict::Open => Order::Doubted,
            Verdict::InOrder => {
                self.gap_check = None;
                self.step = Step::Varies;
                self.lacks_id = false;
                self.last_id = Some(id);
                Order::Follows
            }
            Verdict::Gap => {
                self.gap_check = None;
                self.break_off(last, first)
            }
        }
    }

    fn break_off(&mut self, last: u64, id: u64) -> Order {
        self.error = Some(EventError::OutOfOrder { last, id });
        Order::Broken
    }

    /// Prepares for another answer that continues the stream, and discards what is buffered.
    pub fn begin_answer(&mut self) {
        self.clear_partial();
        self.error = None;
        self.is_first = true;
    }
}

/// Position in a line of an event stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LinePosition {
    /// Before the first byte of a line.
    #[default]
    Start,
    /// In a comment, which begins with a colon and is not a part of an event.
    Comment,
    /// In a field of an event.
    Field,
}

/// Follows an event stream to tell whether it ends inside an event. Lines end with
/// LF, CR or both.
#[derive(Debug, Default)]
pub struct EventScanner {
    position: LinePosition,
    /// Whether the last byte was a CR, which an LF can complete.
    after_cr: bool,
    /// The number of bytes since the last complete event; 0 outside of events.
    partial_bytes: u64,
    events: u64,
}

impl EventScanner {
    /// Creates a scanner for the beginning of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of bytes of the event that is incomplete; 0 if the stream
    /// can end here.
    pub fn partial_bytes(&self) -> u64 {
        self.partial_bytes
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Reads the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.push_byte(*b));
    }

    fn push_byte(&mut self, byte: u8) {
        let completes_crlf = std::mem::take(&mut self.after_cr) && byte == b'\n';
        if completes_crlf {
            return;
        }
        self.after_cr = byte == b'\r';
        match (self.position, byte) {
            (LinePosition::Start, b'\n' | b'\r') => {
                self.events += u64::from(self.partial_bytes > 0);
                self.partial_bytes = 0;
                return;
            }
            (_, b'\n' | b'\r') => self.position = LinePosition::Start,
            (LinePosition::Start, b':') => self.position = LinePosition::Comment,
            (LinePosition::Start, _) => self.position = LinePosition::Field,
            _ => {}
        }
        let is_in_event = self.partial_bytes > 0 || self.position == LinePosition::Field;
        self.partial_bytes += u64::from(is_in_event);
    }
}

/// Returns the index after the empty line that ends the last complete event.
/// Bytes before `from` are not searched.
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
