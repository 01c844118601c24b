//! What the connection of a caller shares with its requests and with its server.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use actix_http::BoxedPayloadStream;
use actix_http::HttpMessage;
use actix_http::Payload;
use actix_http::Request;
use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::error::PayloadError;
use actix_http::header;
use actix_rt::time::Instant;
use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use prometheus_client::encoding::EncodeLabelValue;

use super::turn::Awaited;
use super::turn::Length;
use super::turn::Turn;

/// The maximum number of bytes, and the maximum time, for reading the rest of a body that its
/// handler did not want.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
const DISCARD_TIME: Duration = Duration::from_millis(10);

/// Reasons for which a server ends a connection without serving what the caller sends.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The head of a request was not complete in time.
    HeadTimeout,
    /// The head of a request is longer than allowed.
    HeadTooLong,
    /// There was no memory for a long head.
    HeadsFull,
    /// Others need the connection.
    Crowded,
}

impl Refusal {
    /// Returns the answer to the beginning of a request, which has not run.
    pub(super) fn response(self) -> &'static [u8] {
        match self {
            Self::HeadTimeout => {
                b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            }
            Self::HeadTooLong => {
                b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\n\
                  content-length: 0\r\n\r\n"
            }
            Self::HeadsFull | Self::Crowded => {
                b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 1\r\n\
                  content-length: 0\r\n\r\n"
            }
        }
    }
}

/// What the connection of a caller shares with the requests on it and with its server.
pub(super) struct CallerExchange {
    turn: RefCell<Turn>,
    /// The task of the connection.
    reader: RefCell<Option<Waker>>,
    refusal: Cell<Option<Refusal>>,
    /// The body of a request whose handler has not read all of it.
    rest: RefCell<Option<Payload<BoxedPayloadStream>>>,
    /// When the connection was accepted, or the first byte of the last head was read.
    awaited_since: Cell<Instant>,
}

impl CallerExchange {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            turn: RefCell::new(Turn::new()),
            reader: RefCell::default(),
            refusal: Cell::default(),
            rest: RefCell::default(),
            awaited_since: Cell::new(Instant::now()),
        })
    }

    /// Returns whether a part of a request may be read.
    pub(super) fn is_open(&self) -> bool {
        self.turn.borrow().is_open()
    }

    /// Returns whether the connection is closed after what has been answered.
    pub(super) fn is_closed(&self) -> bool {
        self.refusal.get().is_some() || self.turn.borrow().is_ended()
    }

    /// Returns whether an answer is being prepared, or has not been passed to the kernel whole.
    pub(super) fn is_answering(&self) -> bool {
        self.turn.borrow().is_answering()
    }

    /// Returns the bytes of an incomplete head that have been read.
    pub(super) fn head_bytes(&self) -> usize {
        self.turn.borrow().head_bytes()
    }

    /// Returns the bytes of a body that have not been read, if their number is known.
    pub(super) fn body_bytes(&self) -> Option<u64> {
        self.turn.borrow().body_bytes()
    }

    /// Takes a part of a request; see [`Turn::take`].
    pub(super) fn take(&self, bytes: &[u8]) -> usize {
        let mut turn = self.turn.borrow_mut();
        let is_later = turn.awaited().is_none();
        let taken = turn.take(bytes);
        if is_later && turn.awaited().is_some() {
            self.awaited_since.set(Instant::now());
        }
        taken
    }

    /// Wakes the task of `cx` when the state of the connection allows more to be read.
    pub(super) fn register_reader(&self, cx: &Context<'_>) {
        let mut reader = self.reader.borrow_mut();
        if !reader.as_ref().is_some_and(|r| r.will_wake(cx.waker())) {
            *reader = Some(cx.waker().clone());
        }
    }

    /// Continues after all bytes have been written. Returns whether an answer has ended.
    pub(super) fn handle_written(&self) -> bool {
        self.turn.borrow_mut().handle_written()
    }

    /// Begins a request, whose body is read as far as its handler wants it.
    pub(super) fn begin(self: &Rc<Self>, req: &mut Request) {
        let length = body_length(req);
        self.turn.borrow_mut().begin(length);
        if length.is_some() {
            let body = RequestBody::new(req.take_payload(), self);
            *req.payload() = Payload::Stream {
                payload: Box::pin(body),
            };
        }
    }

    /// Reads what the handler has left of the body of its request, if that has arrived already
    /// and is short: otherwise the connection is closed after the answer.
    pub(super) async fn discard_rest(self: &Rc<Self>) {
        let Some(rest) = self.rest.take() else {
            return;
        };
        let mut body = RequestBody::new(rest, self);
        let read = async {
            let mut bytes = 0;
            while let Some(Ok(part)) = body.next().await {
                bytes += part.len();
                if bytes > MAX_DISCARDED_BYTES {
                    return;
                }
            }
        };
        let _ = actix_rt::time::timeout(DISCARD_TIME, read).await;
        body.end(false);
    }

    /// Returns whether all of a request has been read.
    pub(super) fn is_whole(&self) -> bool {
        self.turn.borrow().is_whole()
    }

    /// Returns what the connection waits for, and since when; `None` if it is not closed for
    /// others.
    pub(super) fn awaited(&self) -> Option<(Awaited, Instant)> {
        let awaited = self.turn.borrow().awaited()?;
        Some((awaited, self.awaited_since.get()))
    }

    /// Refuses what the caller sends and closes the connection. No request may be in progress.
    pub(super) fn refuse(&self, refusal: Refusal) {
        self.refusal.set(Some(refusal));
        self.wake_reader();
    }

    /// Returns why the server closes the connection, if it does.
    pub(super) fn refusal(&self) -> Option<Refusal> {
        self.refusal.get()
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.borrow().as_ref() {
            reader.wake_by_ref();
        }
    }
}

/// Returns the length of the body of a request that has just been decoded; `None` if it has no
/// body.
fn body_length(req: &mut Request) -> Option<Length> {
    if matches!(req.payload(), Payload::None) {
        return None;
    }
    let length = req.headers().get(header::CONTENT_LENGTH);
    // The decoder has checked it, and rejects requests that also have chunks.
    match length.and_then(|v| v.to_str().ok()?.trim().parse().ok()) {
        Some(0) => None,
        Some(length) => Some(Length::Known(length)),
        None => Some(Length::Unknown),
    }
}

/// The body of a request.
struct RequestBody {
    /// `None` at the end.
    payload: Option<Payload<BoxedPayloadStream>>,
    exchange: Rc<CallerExchange>,
}

impl RequestBody {
    fn new(payload: Payload<BoxedPayloadStream>, exchange: &Rc<CallerExchange>) -> Self {
        Self {
            payload: Some(payload),
            exchange: Rc::clone(exchange),
        }
    }

    fn end(&mut self, is_whole: bool) {
        if self.payload.take().is_some() {
            self.exchange.turn.borrow_mut().end_body(is_whole);
        }
    }
}

impl Stream for RequestBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(payload) = &mut self.payload else {
            return Poll::Ready(None);
        };
        let part = Pin::new(payload).poll_next(cx);
        match &part {
            Poll::Pending => {
                let is_open = self.exchange.turn.borrow_mut().want_body();
                if is_open {
                    self.exchange.wake_reader();
                }
            }
            Poll::Ready(Some(Ok(_))) => {}
            Poll::Ready(None) => self.end(true),
            Poll::Ready(Some(Err(_))) => self.end(false),
        }
        part
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(rest) = self.payload.take() {
            self.exchange.rest.replace(Some(rest));
        }
    }
}

/// The body of an answer. The next request is read when its end has been written.
pub(super) struct AnswerBody {
    body: BoxBody,
    exchange: Rc<CallerExchange>,
}

impl AnswerBody {
    pub(super) fn new(body: BoxBody, exchange: &Rc<CallerExchange>) -> Self {
        Self {
            body,
            exchange: Rc::clone(exchange),
        }
    }
}

impl MessageBody for AnswerBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.body.as_pin_mut().poll_next(cx)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.exchange.turn.borrow_mut().end_answer();
    }
}
