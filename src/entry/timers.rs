//! When a request that waits for room has something to do by the clock.

use crate::clock::Timestamp;

#[cfg(test)]
mod tests;

/// What is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// Waiting has lasted too long.
    Patience,
    /// Upstreams are to be looked for again.
    Refresh,
    /// The answers to the first tickets were collected for long enough.
    Collected,
}

/// The moments for which a request waits. One that has passed while the entry
/// was busy is still due.
#[derive(Debug, Default)]
pub struct WaitTimers {
    collected: Option<Timestamp>,
    refresh: Option<Timestamp>,
}

impl WaitTimers {
    /// Nothing is waited for.
    pub fn new() -> Self {
        Self::default()
    }

    /// Answers are collected until `at`.
    pub fn collect_until(&mut self, at: Timestamp) {
        self.collected = Some(at);
    }

    /// Upstreams are looked for at `at`.
    pub fn refresh_at(&mut self, at: Timestamp) {
        self.refresh = Some(at);
    }

    /// The next moment at which something is due, `patience` at the latest.
    pub fn next(&self, patience: Timestamp) -> Timestamp {
        let moments = [self.collected, self.refresh].into_iter().flatten();
        moments.fold(patience, Timestamp::min)
    }

    /// Takes what is due now, if anything is.
    pub fn due(&mut self, now: Timestamp, patience: Timestamp) -> Option<Due> {
        if now >= patience {
            return Some(Due::Patience);
        }
        if self.refresh.take_if(|at| *at <= now).is_some() {
            return Some(Due::Refresh);
        }
        let collected = self.collected.take_if(|at| *at <= now);
        collected.map(|_| Due::Collected)
    }
}
