//! Timeouts of calls to one server over a link that can be slow.
//!
//! A reply can take longer to transfer than the server takes to answer, and other replies
//! wait behind it on the same link. A call that is ended meanwhile begins again at its first
//! byte, and can fail so without end while its bytes fill the link. So the timeout counts
//! from the last bytes that were received.

use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::event_loop::Elapsed;
use crate::event_loop::grace;

#[cfg(test)]
mod tests;

/// The longest time for which a reply is received. What the server said at its beginning
/// is out of date after it.
const MAX_TRANSFER: Duration = Duration::from_secs(20);

/// The number of timeouts for which a call waits longer for the first byte of its reply
/// while a large reply of another call is received.
const MAX_EXTENSIONS: u32 = 2;

/// The size in bytes from which a reply is large: its transfer can delay other replies.
const LARGE_REPLY: usize = 16 << 10;

/// Until when a reply may arrive.
#[derive(Clone, Copy, Debug)]
struct Deadline {
    /// When the server is expected to answer at the latest.
    expected: Timestamp,
    /// The longest time after `expected` or after the last bytes of the reply in which
    /// nothing arrives.
    limit: Duration,
}

/// When bytes were last received.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    /// Bytes of the reply to the call; `None` before the first.
    own: Option<Timestamp>,
    /// Bytes of a large reply to any call; `None` before the first.
    large: Option<Timestamp>,
}

impl Deadline {
    /// Returns when the call times out if nothing else arrives.
    fn due(&self, arrivals: Arrivals) -> Timestamp {
        let idle = self.expected + self.limit;
        match arrivals.own {
            Some(own) => {
                let last = self.expected + MAX_TRANSFER;
                idle.max(own + self.limit).min(last)
            }
            None => {
                let extended = arrivals.large.map(|at| at + self.limit);
                let last = idle + self.limit * MAX_EXTENSIONS;
                extended.map_or(idle, |extended| idle.max(extended.min(last)))
            }
        }
    }
}

/// The transfers of replies from one server.
#[derive(Debug, Default)]
pub struct Transfers {
    clock: Clock,
    /// When bytes of a large reply were last received.
    large: Cell<Option<Timestamp>>,
}

impl Transfers {
    /// Creates the transfers of a server from which nothing was received.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a call whose reply is expected after `wait`, and times out if nothing is
    /// received for `limit` after that.
    pub fn start(&self, wait: Duration, limit: Duration) -> Transfer<'_> {
        let expected = self.clock.now() + wait;
        Transfer {
            transfers: self,
            deadline: Cell::new(Deadline { expected, limit }),
            received: Cell::new(0),
            last: Cell::default(),
            began: Notify::new(),
        }
    }

    /// Returns whether bytes of a large reply were received within the last `period`. A
    /// call that is not answered meanwhile may only be waiting behind them.
    pub fn is_receiving(&self, period: Duration) -> bool {
        let large = self.large.get();
        large.is_some_and(|at| self.clock.now().since(at) < period)
    }
}

/// The reply to one call.
#[derive(Debug)]
pub struct Transfer<'a> {
    transfers: &'a Transfers,
    deadline: Cell<Deadline>,
    /// The number of bytes received.
    received: Cell<usize>,
    /// When bytes were last received.
    last: Cell<Option<Timestamp>>,
    /// Notified when the reply begins.
    began: Notify,
}

impl Transfer<'_> {
    /// Records that bytes of the reply were received; 0 for its head.
    pub fn record(&self, bytes: usize) {
        let now = self.transfers.clock.now();
        if self.last.get().is_none() {
            self.began.notify_one();
        }
        self.received.set(self.received.get() + bytes);
        self.last.set(Some(now));
        if self.received.get() >= LARGE_REPLY {
            self.transfers.large.set(Some(now));
        }
    }

    /// Returns the number of bytes received.
    pub fn received(&self) -> usize {
        self.received.get()
    }

    /// Waits until the reply begins. Only one task can wait.
    pub async fn began(&self) {
        self.began.notified().await;
    }

    /// Allows the reply to begin one more limit later.
    pub fn extend(&self) {
        let Deadline { expected, limit } = self.deadline.get();
        let expected = expected + limit;
        self.deadline.set(Deadline { expected, limit });
    }

    /// Runs the call until its reply times out. The call can be run on after that.
    ///
    /// # Errors
    ///
    /// Fails if nothing was received for the limit of the call, also after a stall of the
    /// event loop.
    pub async fn run<F>(&self, call: F) -> Result<F::Output, Elapsed>
    where
        F: Future,
    {
        let clock = self.transfers.clock;
        let mut call = pin!(call);
        loop {
            let due = self.due();
            tokio::select! {
                biased;
                output = &mut call => return Ok(output),
                () = actix_rt::time::sleep_until(clock.instant(due).into()) => {}
            }
            if self.due() > due {
                continue;
            }
            tokio::select! {
                biased;
                output = &mut call => return Ok(output),
                () = actix_rt::time::sleep(grace(due, clock.now())) => {}
            }
            if self.due() == due {
                return Err(Elapsed);
            }
        }
    }

    fn due(&self) -> Timestamp {
        let arrivals = Arrivals {
            own: self.last.get(),
            large: self.transfers.large.get(),
        };
        self.deadline.get().due(arrivals)
    }
}
