//! Monotonic timestamps, measured from the start of the process.

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;

/// Point in time on the monotonic clock of this process, as the time since the
/// clock started. Timestamps of different processes are not comparable.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// Returns the timestamp `elapsed` after the start of the clock.
    pub const fn new(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Returns the time from `earlier` to this timestamp; zero if `earlier` is
    /// later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the timestamp that is `age` earlier, or the start of the clock if that is
    /// later.
    pub fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(age))
    }

    /// Returns the time from this timestamp to `later`; zero if `later` is in the
    /// past.
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

/// Monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.started.elapsed())
    }

    /// Converts a timestamp of this clock to an `Instant`, for timers.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.started + timestamp.0
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
