//! How late the event loop runs what is due, which shows that a process has less processor
//! time than it needs.

use std::time::Duration;

/// Weight of one measurement in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Average delay from which a process counts as busy, and as choked. Timers of an idle
/// process are late by a millisecond or two.
const BUSY_DELAY: Duration = Duration::from_millis(5);
const CHOKED_DELAY: Duration = Duration::from_millis(20);

/// Moving average of the delay of the event loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopDelay {
    /// The average, in seconds.
    average: f64,
}

impl LoopDelay {
    /// Creates an average without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records by how much something that was due has run late.
    pub fn record(&mut self, late: Duration) {
        self.average += SAMPLE_WEIGHT * (late.as_secs_f64() - self.average);
    }

    /// Returns the part of optional work, from `max` units on, that the process should do:
    /// half of it while it is busy, a third while it is choked, and at least one unit.
    pub fn affordable(self, max: usize) -> usize {
        let divisor = match self.average {
            average if average < BUSY_DELAY.as_secs_f64() => 1,
            average if average < CHOKED_DELAY.as_secs_f64() => 2,
            _ => 3,
        };
        max.div_ceil(divisor).max(1)
    }
}
