//! Queue of the parts of a reply between the task of a request and the connection of its
//! caller.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::answer_buffer::AnswerBuffer;
use crate::answer_buffer::AnswerTotal;
use crate::answer_buffer::CollectedBytes;
use crate::answer_buffer::Room;
use crate::entry::serve::Reply;

#[cfg(test)]
mod tests;

/// The bytes of answers that the entry holds for its callers.
#[derive(Debug)]
pub struct HeldAnswers {
    total: Cell<AnswerTotal>,
    /// Notified when bytes are released.
    released: Notify,
}

impl HeldAnswers {
    /// Creates the total of an entry that holds nothing. `limit` is in bytes.
    pub fn new(limit: u64) -> Self {
        Self {
            total: Cell::new(AnswerTotal::new(limit)),
            released: Notify::new(),
        }
    }

    /// Returns the bytes that are held.
    pub fn bytes(&self) -> u64 {
        self.total.get().held()
    }

    /// Waits until no bytes are held.
    pub async fn wait_until_empty(&self) {
        loop {
            let released = self.released.notified();
            if self.bytes() == 0 {
                return;
            }
            released.await;
        }
    }

    fn update<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut AnswerTotal) -> T,
    {
        let mut total = self.total.get();
        let before = total.held();
        let result = change(&mut total);
        self.total.set(total);
        if total.held() < before {
            self.released.notify_waiters();
        }
        result
    }
}

/// The room of one answer for bytes that can't be passed on yet. It is released on drop.
pub struct Collection {
    answers: Rc<HeldAnswers>,
    bytes: CollectedBytes,
}

impl Collection {
    /// Creates the room of an answer that has collected nothing.
    pub fn new(answers: &Rc<HeldAnswers>) -> Self {
        Self {
            answers: Rc::clone(answers),
            bytes: CollectedBytes::default(),
        }
    }

    /// Sets the number of bytes that are collected in one buffer. Returns whether there is
    /// room for them.
    pub fn resize(&mut self, length: usize) -> bool {
        // Buffers grow to the next power of two.
        let memory = match length {
            0 => 0,
            _ => length.next_power_of_two(),
        };
        self.resize_memory(memory as u64)
    }

    /// Sets the memory of what is collected. Returns whether there is room for it.
    pub fn resize_memory(&mut self, memory: u64) -> bool {
        let bytes = &mut self.bytes;
        self.answers.update(|total| bytes.resize(memory, total))
    }
}

impl Drop for Collection {
    fn drop(&mut self) {
        self.resize(0);
    }
}

struct Queue {
    answers: Rc<HeldAnswers>,
    /// The first part, if it is not a part of a body.
    first: RefCell<Option<Reply>>,
    body: RefCell<AnswerBuffer>,
    /// The last part.
    last: RefCell<Option<Reply>>,
    /// Whether no further part will come.
    is_ended: Cell<bool>,
    /// Whether the caller has disconnected.
    is_closed: Cell<bool>,
    /// Notified when the caller has taken a part or has disconnected.
    taken: Notify,
    /// Notified when a part was added. A permit is stored while nobody waits.
    added: Notify,
}

/// The end of a queue at the task of a request.
pub struct ReplySender(Rc<Queue>);

/// The end of a queue at the connection of a caller.
pub struct ReplyReceiver(Rc<Queue>);

/// Creates a queue, whose bytes count towards `answers`.
pub fn reply_queue(answers: &Rc<HeldAnswers>) -> (ReplySender, ReplyReceiver) {
    let queue = Rc::new(Queue {
        answers: Rc::clone(answers),
        first: RefCell::default(),
        body: RefCell::default(),
        last: RefCell::default(),
        is_ended: Cell::new(false),
        is_closed: Cell::new(false),
        taken: Notify::new(),
        added: Notify::new(),
    });
    (ReplySender(Rc::clone(&queue)), ReplyReceiver(queue))
}

impl ReplySender {
    /// Adds a part of the reply. Bytes of a body wait until there is room for them, and
    /// other parts don't. Parts for a caller that has disconnected are discarded.
    pub async fn send(&self, reply: Reply) {
        let queue = &self.0;
        match reply {
            Reply::Bytes(bytes) => self.send_bytes(bytes).await,
            _ if queue.is_closed.get() => {}
            Reply::Head(..) => {
                queue.first.replace(Some(reply));
            }
            Reply::End | Reply::Truncated | Reply::Error(_) => {
                queue.last.replace(Some(reply));
            }
        }
        queue.added.notify_one();
    }

    async fn send_bytes(&self, bytes: Bytes) {
        let queue = &self.0;
        loop {
            if queue.is_closed.get() {
                return;
            }
            let taken = queue.taken.notified();
            let released = queue.answers.released.notified();
            let total = queue.answers.total.get();
            let room = queue.body.borrow().room_for(bytes.len(), &total);
            match room {
                Room::Free => break,
                Room::AnswerFull => taken.await,
                Room::EntryFull => {
                    tokio::select! {
                        () = taken => {}
                        () = released => {}
                    }
                }
            }
        }
        let mut body = queue.body.borrow_mut();
        queue.answers.update(|total| body.push(bytes, total));
    }

    /// Returns room for what is collected of the answer before it is added.
    pub fn new_collection(&self) -> Collection {
        Collection::new(&self.0.answers)
    }

    /// Returns whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed.get()
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        loop {
            let taken = self.0.taken.notified();
            if self.is_closed() {
                return;
            }
            taken.await;
        }
    }
}

impl Drop for ReplySender {
    fn drop(&mut self) {
        self.0.is_ended.set(true);
        self.0.added.notify_one();
    }
}

impl ReplyReceiver {
    /// Takes the next part of the reply; `None` if no further one will come.
    pub async fn recv(&mut self) -> Option<Reply> {
        let queue = &self.0;
        loop {
            if let Some(first) = queue.first.take() {
                return Some(first);
            }
            let bytes = {
                let mut body = queue.body.borrow_mut();
                queue.answers.update(|total| body.pop(total))
            };
            if let Some(bytes) = bytes {
                queue.taken.notify_waiters();
                return Some(Reply::Bytes(bytes));
            }
            if let Some(last) = queue.last.take() {
                return Some(last);
            }
            if queue.is_ended.get() {
                return None;
            }
            queue.added.notified().await;
        }
    }
}

impl Drop for ReplyReceiver {
    fn drop(&mut self) {
        let queue = &self.0;
        queue.is_closed.set(true);
        let mut body = queue.body.borrow_mut();
        queue.answers.update(|total| body.clear(total));
        queue.taken.notify_waiters();
    }
}
