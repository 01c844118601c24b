//! An answer on its way from the upstream to the entry.
//!
//! The agent keeps the part that the entry has not confirmed, up to a bound,
//! so that a cut connection can be resumed without running the work again.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::Notify;

use crate::almondramp_capnp as schema;
use crate::almondramp_capnp::answer;
use crate::ticket::Work;
use crate::wire;
use crate::wire::Header;

/// The most bytes that one message carries.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// All of it arrived.
    Whole(Work),
    /// It broke off.
    Failed(Failure),
}

/// Why an answer broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The upstream died or cut the answer short.
    Upstream,
    /// The entry cancelled the request.
    Cancelled,
    /// It ran for longer than any request may.
    TimedOut,
    /// The upstream surely did not receive the request.
    NotDispatched,
}

/// Buffers one answer and sends it to whichever entry is attached.
///
/// Invariants: `base` is the offset of the first byte of `buffer` and counts
/// only confirmed bytes; the bytes of `buffer` number `held`.
pub struct Answering {
    state: RefCell<State>,
    changed: Notify,
    capacity: usize,
}

#[derive(Default)]
struct State {
    head: Option<(u16, Vec<Header>)>,
    buffer: VecDeque<Bytes>,
    base: u64,
    held: usize,
    end: Option<End>,
    /// Counts attachments; a delivery for an earlier one stops.
    attachment: u64,
    attached: bool,
    delivered: bool,
    cancelled: bool,
}

enum Item {
    Head(u16, Vec<Header>),
    Chunk(u64, Bytes),
    End(End, u64),
}

impl Answering {
    /// An answer of which at most `capacity` bytes are kept.
    pub fn new(capacity: usize) -> Rc<Self> {
        Rc::new(Self {
            state: RefCell::default(),
            changed: Notify::new(),
            capacity,
        })
    }

    /// Notes the head of the answer.
    pub fn head(&self, status: u16, headers: Vec<Header>) {
        self.state.borrow_mut().head = Some((status, headers));
        self.changed.notify_waiters();
    }

    /// Adds the next part of the body once there is room for it. Returns
    /// early when the request is cancelled.
    pub async fn push(&self, bytes: Bytes) {
        loop {
            let changed = self.changed.notified();
            if self.is_cancelled() {
                return;
            }
            if self.state.borrow().held < self.capacity {
                break;
            }
            changed.await;
        }
        let mut state = self.state.borrow_mut();
        state.held += bytes.len();
        state.buffer.push_back(bytes);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Notes the end of the answer; a second end is ignored.
    pub fn end(&self, end: End) {
        self.state.borrow_mut().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Asks the reader of the upstream to stop.
    pub fn cancel(&self) {
        self.state.borrow_mut().cancelled = true;
        self.changed.notify_waiters();
    }

    /// Whether the reader of the upstream is to stop.
    pub fn is_cancelled(&self) -> bool {
        self.state.borrow().cancelled
    }

    /// Waits until the request is cancelled.
    pub async fn cancelled(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_cancelled() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the end was confirmed or no entry has been attached for
    /// `grace`. Returns whether the end was confirmed.
    pub async fn settled(&self, grace: Duration) -> bool {
        loop {
            let changed = self.changed.notified();
            let (delivered, attached) = {
                let state = self.state.borrow();
                (state.delivered, state.attached)
            };
            if delivered {
                return true;
            }
            if attached {
                changed.await;
                continue;
            }
            if actix_rt::time::timeout(grace, changed).await.is_err() {
                return self.state.borrow().delivered;
            }
        }
    }

    /// Sends the answer from `offset` on to `client`, in place of any other
    /// receiver. Returns false where that part is no longer held.
    pub fn attach(self: &Rc<Self>, client: answer::Client, offset: u64) -> bool {
        let mut state = self.state.borrow_mut();
        let reachable = state.base..=state.base + state.held as u64;
        if !reachable.contains(&offset) {
            return false;
        }
        state.attachment += 1;
        state.attached = true;
        let attachment = state.attachment;
        drop(state);
        let answering = Rc::clone(self);
        actix_rt::spawn(async move {
            let delivered = answering.deliver(&client, attachment, offset).await;
            answering.detach(attachment, delivered.is_ok());
        });
        self.changed.notify_waiters();
        true
    }

    fn detach(&self, attachment: u64, delivered: bool) {
        let mut state = self.state.borrow_mut();
        if state.attachment == attachment {
            state.attached = false;
            state.delivered = delivered;
            drop(state);
            self.changed.notify_waiters();
        }
    }

    async fn deliver(
        &self,
        client: &answer::Client,
        attachment: u64,
        mut offset: u64,
    ) -> Result<(), capnp::Error> {
        let mut headed = false;
        loop {
            let changed = self.changed.notified();
            if self.state.borrow().attachment != attachment {
                return Err(capnp::Error::disconnected(String::new()));
            }
            match self.next(headed, offset) {
                None => changed.await,
                Some(Item::Head(status, headers)) => {
                    send_head(client, status, &headers).await?;
                    headed = true;
                }
                Some(Item::Chunk(at, bytes)) => {
                    send_chunk(client, at, &bytes).await?;
                    offset = at + bytes.len() as u64;
                    self.confirm(offset);
                }
                Some(Item::End(end, total)) => return send_end(client, end, total).await,
            }
        }
    }

    fn next(&self, headed: bool, offset: u64) -> Option<Item> {
        let state = self.state.borrow();
        if let (false, Some((status, headers))) = (headed, &state.head) {
            return Some(Item::Head(*status, headers.clone()));
        }
        let total = state.base + state.held as u64;
        if headed && offset < total {
            return Some(Item::Chunk(offset, state.from(offset)));
        }
        state.end.map(|end| Item::End(end, total))
    }

    /// Drops what the entry has confirmed.
    fn confirm(&self, offset: u64) {
        self.state.borrow_mut().drop_until(offset);
        self.changed.notify_waiters();
    }
}

impl State {
    /// Bytes from `offset` on, as many as fit a message.
    fn from(&self, offset: u64) -> Bytes {
        let mut skip = usize::try_from(offset - self.base).unwrap_or(usize::MAX);
        let mut parts = Vec::new();
        let mut taken = 0;
        for part in &self.buffer {
            if skip >= part.len() {
                skip -= part.len();
                continue;
            }
            let part = part.slice(skip..);
            skip = 0;
            let part = part.slice(..part.len().min(MAX_CHUNK_BYTES - taken));
            taken += part.len();
            parts.push(part);
            if taken == MAX_CHUNK_BYTES {
                break;
            }
        }
        if let [only] = parts.as_slice() {
            return only.clone();
        }
        let mut joined = BytesMut::with_capacity(taken);
        parts.iter().for_each(|p| joined.extend_from_slice(p));
        joined.freeze()
    }

    fn drop_until(&mut self, offset: u64) {
        while self.base < offset {
            let Some(part) = self.buffer.front_mut() else {
                return;
            };
            let left = usize::try_from(offset - self.base).unwrap_or(usize::MAX);
            let count = left.min(part.len());
            let whole = count == part.len();
            drop(part.split_to(count));
            if whole {
                self.buffer.pop_front();
            }
            self.base += count as u64;
            self.held -= count;
        }
    }
}

async fn send_head(
    client: &answer::Client,
    status: u16,
    headers: &[Header],
) -> Result<(), capnp::Error> {
    let mut req = client.head_request();
    req.get().set_status(status);
    wire::write_headers(headers, req.get().init_headers(wire::length(headers)));
    req.send().promise.await.map(drop)
}

async fn send_chunk(
    client: &answer::Client,
    offset: u64,
    bytes: &[u8],
) -> Result<(), capnp::Error> {
    let mut req = client.chunk_request();
    req.get().set_offset(offset);
    req.get().set_data(bytes);
    req.send().promise.await.map(drop)
}

async fn send_end(client: &answer::Client, end: End, total: u64) -> Result<(), capnp::Error> {
    match end {
        End::Whole(work) => {
            let mut req = client.end_request();
            req.get().set_total(total);
            wire::write_usage(work, req.get().init_usage());
            req.send().promise.await.map(drop)
        }
        End::Failed(failure) => {
            let mut req = client.fail_request();
            req.get().set_code(match failure {
                Failure::Upstream => schema::FailureCode::UpstreamFailed,
                Failure::Cancelled => schema::FailureCode::Cancelled,
                Failure::TimedOut => schema::FailureCode::TimedOut,
                Failure::NotDispatched => schema::FailureCode::NotDispatched,
            });
            req.send().promise.await.map(drop)
        }
    }
}
