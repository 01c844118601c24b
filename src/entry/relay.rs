//! Relays an answer from upstreams to its caller.

use std::time::Duration;

use bytes::Bytes;

use crate::clock::Timestamp;
use crate::completeness::CompletenessCheck;
use crate::completeness::media_type;
use crate::directory::SoftwareVersion;
use crate::entry::error::CallerError;
use crate::entry::reply_queue::Collection;
use crate::entry::reply_queue::ReplySender;
use crate::entry::request::Job;
use crate::entry::serve::Reply;
use crate::events::EventError;
use crate::events::EventReader;
use crate::exchange::AnswerHead;
use crate::exchange::Framing;
use crate::headers::Header;
use crate::http_server::CallerPresence;
use crate::ticket::Work;
use crate::usage::AnswerFormat;
use crate::usage::UsageReader;

/// Relays the answer of one request to its caller.
///
/// Only the head of the first upstream that answers is sent to the caller. A
/// stream that another upstream can continue is sent in complete events.
pub struct Relay {
    reply_tx: ReplySender,
    /// The room for what is buffered of the answer.
    collection: Collection,
    /// Tells whether the caller is still there.
    presence: Option<CallerPresence>,
    /// The head sent to the caller.
    head: Option<SentHead>,
    /// Splits a stream that another upstream can continue into events.
    events: Option<EventReader>,
    /// Checks the end of the last answer; `None` before its head.
    check: Option<CompletenessCheck>,
    /// Whether the caller asked to resume a stream.
    resumes: bool,
    /// Whether the stream has another event, of which an upstream has sent a part.
    owes_event: bool,
    /// The software version of the upstream of the last answer.
    version: SoftwareVersion,
    /// The software version that began the stream whose events the caller has.
    origin: Option<SoftwareVersion>,
    usage: UsageReader,
    first_byte: Option<Timestamp>,
    /// The time for which the answer was not read on because the caller is slow.
    blocked: Duration,
}

/// What the head of an answer says of its body. What continues the answer must say the same.
#[derive(Debug, Eq, PartialEq)]
struct SentHead {
    status: u16,
    media_type: Option<Vec<u8>>,
    encoding: Option<Bytes>,
}

impl SentHead {
    fn new(status: u16, headers: &[Header]) -> Self {
        let value = |name| headers.iter().find(|h| &*h.name == name).map(|h| &h.value);
        let media_type = value("content-type").map(|v| media_type(v).to_ascii_lowercase());
        let encoding = value("content-encoding").filter(|v| !v.eq_ignore_ascii_case(b"identity"));
        Self {
            status,
            media_type,
            encoding: encoding.cloned(),
        }
    }
}

impl Relay {
    /// Creates a relay that has not sent anything.
    pub fn new(reply_tx: ReplySender, job: &Job) -> Self {
        let resumable = job.admission.route.resumable;
        Self {
            collection: reply_tx.new_collection(),
            reply_tx,
            presence: None,
            head: None,
            events: resumable.then(|| EventReader::new(job.last_event)),
            check: None,
            resumes: job.last_event.is_some(),
            owes_event: false,
            version: None,
            origin: None,
            usage: UsageReader::new(AnswerFormat::Opaque),
            first_byte: None,
            blocked: Duration::ZERO,
        }
    }

    /// Sets the software version that began the stream, if the request resumes one.
    pub fn with_origin(mut self, origin: Option<SoftwareVersion>) -> Self {
        self.origin = origin;
        self
    }

    /// Sets what tells whether the caller is still there.
    pub fn with_presence(mut self, presence: Option<CallerPresence>) -> Self {
        self.presence = presence;
        self
    }

    /// Returns whether the head of an answer was sent.
    pub fn has_sent_head(&self) -> bool {
        self.head.is_some()
    }

    /// Returns the software version of the upstreams that can continue the stream, or
    /// `None` while any version can begin it.
    pub fn origin(&self) -> Option<&SoftwareVersion> {
        self.origin.as_ref()
    }

    /// Returns whether another upstream can begin or continue the answer.
    pub fn can_fail_over(&self) -> bool {
        let can_resume = self.events.as_ref().is_some_and(EventReader::can_resume);
        self.head.is_none() || can_resume
    }

    /// Returns the id of the last event that the caller has received, in this
    /// request or before it.
    pub fn last_event(&self) -> Option<u64> {
        self.events.as_ref().and_then(EventReader::last_id)
    }

    /// Returns the time at which the first byte of the body was sent.
    pub fn first_byte(&self) -> Option<Timestamp> {
        self.first_byte
    }

    /// Adds to the time for which the answer was not read on because the caller is slow.
    pub fn record_blocked(&mut self, time: Duration) {
        self.blocked += time;
    }

    /// Returns the time for which the answer was not read on because the caller is slow.
    pub fn blocked(&self) -> Duration {
        self.blocked
    }

    /// Returns what marks the end of the last answer's body; `None` before its head.
    pub fn framing(&self) -> Option<Framing> {
        self.check.as_ref().map(CompletenessCheck::framing)
    }

    /// Returns the number of bytes that the upstream has sent of an incomplete event;
    /// `None` if its answer is no event stream.
    pub fn partial_bytes(&self) -> Option<u64> {
        self.check
            .as_ref()
            .and_then(CompletenessCheck::partial_bytes)
    }

    /// Returns whether the caller has disconnected, also if that has not been read yet.
    pub fn has_caller_left(&self) -> bool {
        self.is_closed() || self.presence.as_ref().is_some_and(CallerPresence::has_left)
    }

    /// Returns whether the caller is known to have disconnected.
    pub fn is_closed(&self) -> bool {
        self.reply_tx.is_closed()
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.reply_tx.closed().await;
    }

    /// Begins the answer of an upstream that runs `version`. Sends the head if it is the
    /// first.
    pub async fn begin_answer(
        &mut self,
        status: u16,
        headers: Vec<Header>,
        framing: Framing,
        format: AnswerFormat,
        version: SoftwareVersion,
    ) {
        self.version = version;
        self.usage = UsageReader::new(format);
        self.owes_event |= self.partial_bytes().is_some_and(|bytes| bytes > 0);
        let continues = self.resumes || self.last_event().is_some();
        let check = CompletenessCheck::new(&headers, framing, format);
        self.check = Some(check.with_continuation(continues));
        if !(200..300).contains(&status) {
            // An error response is not a stream that another upstream can continue.
            self.events = None;
        }
        if let Some(events) = &mut self.events {
            events.begin_answer();
        }
        self.collection.resize(0);
        if self.head.is_none() {
            self.head = Some(SentHead::new(status, &headers));
            self.send(Reply::Head(status, headers)).await;
        }
    }

    /// Returns whether an answer with this head can continue the one that was begun.
    pub fn can_continue_with(&self, head: &AnswerHead) -> bool {
        let next = SentHead::new(head.status, &head.headers);
        self.head.as_ref().is_some_and(|sent| *sent == next)
    }

    /// Relays bytes of the body, as soon as there is room for them. Returns whether they
    /// contain the first events of a stream that can be resumed. Fails if one of its events is
    /// too large to be buffered or out of order; those before it are relayed. An event for
    /// which there is no room fails the next call.
    pub async fn push(&mut self, now: Timestamp, bytes: Bytes) -> Result<bool, EventError> {
        self.usage.push(&bytes);
        if let Some(check) = &mut self.check {
            check.push(&bytes);
        }
        let bytes = match &mut self.events {
            Some(events) => events.push(&bytes)?,
            None => bytes,
        };
        self.reserve_buffered();
        if bytes.is_empty() {
            return Ok(false);
        }
        let begins = self.events.is_some() && self.first_byte.is_none();
        if begins {
            self.origin.get_or_insert_with(|| self.version.clone());
        }
        self.first_byte.get_or_insert(now);
        self.owes_event = false;
        self.send(Reply::Bytes(bytes)).await;
        match self.events.as_ref().and_then(EventReader::error) {
            Some(e) if !begins => Err(e),
            // The first events of a stream are recorded; the next bytes or the end fail.
            _ => Ok(begins),
        }
    }

    /// Reserves room for what is buffered, and discards it if there is none.
    fn reserve_buffered(&mut self) {
        let partial = self.events.as_ref().map_or(0, EventReader::partial_len);
        if self.collection.resize(partial + self.usage.buffered()) {
            return;
        }
        // Without the token counts, the work is estimated.
        self.usage.discard_buffered();
        if self.collection.resize(partial) {
            return;
        }
        if let Some(events) = &mut self.events {
            events.discard_partial();
        }
        self.collection.resize(0);
    }

    /// Returns whether the answer may lack a part although its content is complete.
    pub fn may_go_on(&self) -> bool {
        self.check
            .as_ref()
            .is_some_and(CompletenessCheck::may_go_on)
    }

    /// Returns whether an upstream can be asked for what follows the last answer.
    pub fn can_ask_for_rest(&self) -> bool {
        let can_resume = self.events.as_ref().is_some_and(EventReader::can_resume);
        can_resume && self.last_event().is_some()
    }

    /// Returns whether the last answer has an event.
    pub fn has_answer_events(&self) -> bool {
        self.check.as_ref().is_some_and(|c| c.events() > 0)
    }

    /// Returns whether the answer is complete by what has arrived of it.
    pub fn is_complete(&self) -> bool {
        let events = self.events.as_ref();
        let partial = events.is_some_and(|e| e.has_partial() || e.error().is_some());
        let content = self.check.as_ref();
        let is_content_complete = content.is_none_or(CompletenessCheck::is_complete);
        self.usage.is_complete() && is_content_complete && !partial && !self.owes_event
    }

    /// Ends the answer if it is complete, and returns whether it is.
    pub async fn finish(&mut self) -> bool {
        let complete = self.is_complete();
        if complete {
            self.send(Reply::End).await;
        }
        complete
    }

    /// Ends the request without a complete answer.
    pub async fn fail(&mut self, error: CallerError) {
        let reply = match self.has_sent_head() {
            true => Reply::Truncated,
            false => Reply::Error(error),
        };
        self.send(reply).await;
    }

    /// Returns the work of the answer, which must be complete. `estimate` is the
    /// work estimated from the request.
    pub fn take_work(&mut self, estimate: Work) -> Option<Work> {
        let usage = std::mem::replace(&mut self.usage, UsageReader::new(AnswerFormat::Opaque));
        Some(usage.work(estimate))
    }

    async fn send(&self, reply: Reply) {
        self.reply_tx.send(reply).await;
    }
}
