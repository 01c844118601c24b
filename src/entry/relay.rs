//! The way of an answer from upstreams to the caller.

use bytes::Bytes;
use tokio::sync::mpsc::Sender;

use crate::clock::Timestamp;
use crate::entry::error::CallerError;
use crate::entry::request::Job;
use crate::entry::serve::Reply;
use crate::events::EventReader;
use crate::headers::Header;
use crate::ticket::Work;
use crate::usage::AnswerForm;
use crate::usage::UsageReader;

/// Passes the answer of one request on to its caller.
///
/// The head of the first upstream that answers is passed on, and no other. A
/// stream that may go on elsewhere is passed on in whole events.
pub struct Relay {
    replies: Sender<Reply>,
    /// The status of the head that was passed on.
    status: Option<u16>,
    /// Follows the events of a stream that may go on elsewhere.
    events: Option<EventReader>,
    usage: UsageReader,
    first_byte: Option<Timestamp>,
}

impl Relay {
    /// A relay of which nothing was passed on.
    pub fn new(replies: Sender<Reply>, job: &Job) -> Self {
        let resumable = job.admission.route.resumable;
        Self {
            replies,
            status: None,
            events: resumable.then(|| EventReader::new(job.last_event)),
            usage: UsageReader::new(AnswerForm::Opaque),
            first_byte: None,
        }
    }

    /// Whether a part of an answer was passed on.
    pub fn has_begun(&self) -> bool {
        self.status.is_some()
    }

    /// Whether another upstream may go on with the answer.
    pub fn may_go_on(&self) -> bool {
        self.status.is_none() || self.events.is_some()
    }

    /// The last event that the caller has received.
    pub fn last_event(&self) -> Option<u64> {
        self.events.as_ref().and_then(EventReader::last_id)
    }

    /// When the first byte of the body was passed on.
    pub fn first_byte(&self) -> Option<Timestamp> {
        self.first_byte
    }

    /// Whether the caller has gone.
    pub fn is_closed(&self) -> bool {
        self.replies.is_closed()
    }

    /// Waits until the caller has gone.
    pub async fn closed(&self) {
        self.replies.closed().await;
    }

    /// Begins the answer of another upstream.
    pub async fn head(&mut self, status: u16, headers: Vec<Header>, form: AnswerForm) {
        self.usage = UsageReader::new(form);
        if !(200..300).contains(&status) {
            // An error is no stream, and nobody goes on with it.
            self.events = None;
        }
        if let Some(events) = &mut self.events {
            events.drop_partial();
        }
        if self.status.is_none() {
            self.status = Some(status);
            self.send(Reply::Head(status, headers)).await;
        }
    }

    /// Passes bytes of the body on.
    pub async fn bytes(&mut self, now: Timestamp, bytes: Bytes) {
        self.usage.push(&bytes);
        let bytes = match &mut self.events {
            Some(events) => events.push(&bytes),
            None => bytes,
        };
        if !bytes.is_empty() {
            self.first_byte.get_or_insert(now);
            self.send(Reply::Bytes(bytes)).await;
        }
    }

    /// Ends the answer if it is whole, and says whether it is.
    pub async fn end(&mut self) -> bool {
        let partial = self.events.as_ref().is_some_and(EventReader::has_partial);
        let whole = self.usage.is_complete() && !partial;
        if whole {
            self.send(Reply::End).await;
        }
        whole
    }

    /// Ends the request without a whole answer.
    pub async fn fail(&mut self, error: CallerError) {
        let reply = match self.has_begun() {
            true => Reply::Broken,
            false => Reply::Error(error),
        };
        self.send(reply).await;
    }

    /// What the answer, now whole, took.
    pub fn work(&mut self, expected: Work) -> Option<Work> {
        let usage = std::mem::replace(&mut self.usage, UsageReader::new(AnswerForm::Opaque));
        Some(usage.work(expected))
    }

    /// A caller that has gone is noticed by `closed`.
    async fn send(&self, reply: Reply) {
        let _ = self.replies.send(reply).await;
    }
}
