//! Bounds the rate of calls to a shared service.
//!
//! Calls that follow each other because their replies come at once, such as watches
//! of a store that has dropped its history, must not add up to a load that grows
//! with the number of processes.

use std::time::Duration;

use crate::clock::Timestamp;

#[cfg(test)]
mod tests;

/// Number of calls that can follow each other without a pause.
const BURST: f64 = 6.0;

/// Calls per second in the long run.
const RATE: f64 = 3.0;

/// A token bucket for the calls of one task.
#[derive(Debug, Default)]
pub struct Pacer {
    /// The calls that were made lately; one leaves every `1 / RATE` seconds.
    recent: f64,
    updated: Timestamp,
}

impl Pacer {
    /// Creates a pacer that allows a burst of calls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call that is due now, and returns how long to wait before it is made.
    pub fn delay(&mut self, now: Timestamp) -> Duration {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        self.recent = (self.recent - elapsed * RATE).max(0.0) + 1.0;
        let excess = (self.recent - BURST).max(0.0);
        Duration::from_secs_f64(excess / RATE)
    }
}
