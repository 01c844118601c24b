//! Timers of a request that waits for a grant.

use crate::clock::Timestamp;

#[cfg(test)]
mod tests;

/// Timer that has expired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// The request has waited for its maximum time.
    WaitTimedOut,
    /// The list of candidate upstreams has to be refreshed.
    Refresh,
    /// The time for collecting the answers to the first tickets has ended.
    CollectionTimedOut,
}

/// Pending timers of one request.
///
/// A timer that expires while the entry is busy stays due until it is taken.
#[derive(Debug, Default)]
pub struct WaitTimers {
    collect_until: Option<Timestamp>,
    refresh_at: Option<Timestamp>,
}

impl WaitTimers {
    /// Creates an instance without pending timers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time at which the collection of answers ends.
    pub fn collect_until(&mut self, at: Timestamp) {
        self.collect_until = Some(at);
    }

    /// Sets the time at which the candidate upstreams are refreshed.
    pub fn refresh_at(&mut self, at: Timestamp) {
        self.refresh_at = Some(at);
    }

    /// Returns the time of the next timer, at the latest `wait_deadline`.
    pub fn next(&self, wait_deadline: Timestamp) -> Timestamp {
        let times = [self.collect_until, self.refresh_at].into_iter().flatten();
        times.fold(wait_deadline, Timestamp::min)
    }

    /// Removes and returns a timer that has expired by `now`.
    ///
    /// `wait_deadline` takes precedence and stays due.
    pub fn due(&mut self, now: Timestamp, wait_deadline: Timestamp) -> Option<Due> {
        if now >= wait_deadline {
            return Some(Due::WaitTimedOut);
        }
        if self.refresh_at.take_if(|at| *at <= now).is_some() {
            return Some(Due::Refresh);
        }
        let ended = self.collect_until.take_if(|at| *at <= now);
        ended.map(|_| Due::CollectionTimedOut)
    }
}
