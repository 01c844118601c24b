//! Tells the silence of a peer from the times in which this process did not read.
//!
//! A timer alone can't: after a stall of the event loop, the timer has elapsed and the
//! peer's bytes may still be on their way. Silence is therefore counted in short steps,
//! and a step counts with its planned length even if it took longer.

use std::time::Duration;

use crate::clock::Timestamp;

#[cfg(test)]
mod tests;

/// Longest step by which silence is counted. Bytes that arrived during a stall are read
/// well within it.
const STEP: Duration = Duration::from_millis(100);

/// Counts for how long a peer has been silent while this process read from it.
#[derive(Debug)]
pub struct SilenceWatch {
    /// The end of the last step, or the time of the last bytes if they are later.
    counted_until: Timestamp,
    /// The silence that was counted since the last bytes.
    silent: Duration,
    /// The time since the last bytes that did not count, because the process stalled.
    stalled: Duration,
}

impl SilenceWatch {
    /// Creates a watch of a peer that is not silent yet.
    pub fn new(now: Timestamp) -> Self {
        Self {
            counted_until: now,
            silent: Duration::ZERO,
            stalled: Duration::ZERO,
        }
    }

    /// Records that the peer has sent something.
    pub fn reset(&mut self, now: Timestamp) {
        *self = Self::new(now);
    }

    /// Returns the time of the next step for a peer that may be silent for `limit`.
    pub fn next_step(&self, limit: Duration) -> Timestamp {
        let left = limit.saturating_sub(self.silent);
        self.counted_until + left.min(STEP)
    }

    /// Counts the step that ends at `now`, in which the peer has sent nothing. Returns
    /// whether its silence has reached `limit`.
    pub fn count_step(&mut self, now: Timestamp, limit: Duration) -> bool {
        let elapsed = now.since(self.counted_until);
        let counted = elapsed.min(STEP);
        self.silent += counted;
        self.stalled += elapsed - counted;
        self.counted_until = now;
        self.silent >= limit
    }

    /// Returns the silence since the last bytes.
    pub fn silent(&self) -> Duration {
        self.silent
    }

    /// Returns the time since the last bytes in which this process did not read.
    pub fn stalled(&self) -> Duration {
        self.stalled
    }
}
