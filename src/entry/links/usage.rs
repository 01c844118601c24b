//! The use of a connection to an agent.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use super::BUSY_HEARTBEAT_HOLD;

/// The longest time for which an agent may leave a ticket unanswered.
const TICKET_REPLY_TIME: Duration = Duration::from_millis(500);

/// Tracks the use of a connection, to adapt its heartbeats, and whether the agent replies.
#[derive(Default)]
pub struct LinkUsage {
    last_used: Cell<Option<Instant>>,
    resumed: Notify,
    /// Tickets without a reply.
    unanswered: Cell<u32>,
    /// When the agent last replied, or else got the first of these tickets. Unused while
    /// there are none.
    waiting_since: Cell<Option<Instant>>,
}

impl LinkUsage {
    /// Records a use. The first use of an idle connection triggers a heartbeat
    /// immediately, to test the connection.
    pub fn touch(&self) {
        let was_idle = !self.is_recent();
        self.last_used.set(Some(Instant::now()));
        if was_idle {
            self.resumed.notify_waiters();
        }
    }

    /// Records a ticket.
    pub fn record_offer(&self) {
        self.touch();
        if self.unanswered.get() == 0 {
            self.waiting_since.set(Some(Instant::now()));
        }
        self.unanswered.set(self.unanswered.get() + 1);
    }

    /// Records the reply to a ticket.
    pub fn record_reply(&self) {
        self.unanswered.set(self.unanswered.get().saturating_sub(1));
        self.waiting_since.set(Some(Instant::now()));
    }

    pub(super) fn is_silent(&self) -> bool {
        let since = self.waiting_since.get();
        self.unanswered.get() > 0 && since.is_some_and(|at| at.elapsed() >= TICKET_REPLY_TIME)
    }

    pub(super) fn is_recent(&self) -> bool {
        self.last_used
            .get()
            .is_some_and(|at| at.elapsed() < BUSY_HEARTBEAT_HOLD)
    }

    pub(super) async fn resumed(&self) {
        self.resumed.notified().await;
    }
}
