//! Schedulers whose upstream takes no new work.

use super::Notice;
use super::Scheduler;
use crate::ticket::RefusalCode;

impl Scheduler {
    /// Stops accepting tickets and removes the queued ones.
    pub fn drain(&mut self) -> Vec<Notice> {
        self.draining = true;
        self.return_waiting()
    }

    /// Removes the queued tickets, whose requests have to be served elsewhere.
    pub fn return_waiting(&mut self) -> Vec<Notice> {
        let refusal = self.refusal(RefusalCode::Draining);
        self.queue
            .drain()
            .into_iter()
            .map(|t| Notice::Returned(t.request, refusal))
            .collect()
    }

    /// Returns whether the scheduler has stopped accepting tickets.
    pub fn is_draining(&self) -> bool {
        self.draining
    }
}
