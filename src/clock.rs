//! Time as the decisions see it: a moment since the process started.

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;

/// A moment on a process's own monotonic clock. Moments of different
/// processes are never compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// The moment `after` the start of the clock.
    pub const fn new(after: Duration) -> Self {
        Self(after)
    }

    /// The time from `earlier` until this moment, zero if it lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time left until `later`, zero once it is past.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, delta: Duration) -> Self {
        Self(self.0.saturating_add(delta))
    }
}

/// The monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.started.elapsed())
    }

    /// The instant at which this clock shows `moment`, for timers.
    pub fn instant(&self, moment: Timestamp) -> Instant {
        self.started + moment.0
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
