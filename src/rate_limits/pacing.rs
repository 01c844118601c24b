//! Paces requests to a rate.

use std::time::Duration;

use crate::clock::Timestamp;

/// The time whose requests may be sent at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(250);

/// The time between two requests to an upstream that takes fewer or none: without any, its
/// answers could not show that the limit has ended.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// Paces requests to one upstream (the generic cell rate algorithm).
///
/// Invariant: at most `time / interval + 1` requests are recorded as they become due in any
/// `time`, and those of [`BURST_TIME`] more.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    interval: Duration,
    /// When the requests recorded so far would all have been sent at even intervals.
    sent_up_to: Timestamp,
}

impl Pacing {
    /// Creates a pacing without credit: the first request is due after one interval.
    pub fn new(now: Timestamp, interval: Duration) -> Self {
        Self {
            interval,
            sent_up_to: now + BURST_TIME + interval,
        }
    }

    /// Returns the time between two requests at a rate.
    pub fn interval(per_second: f64) -> Duration {
        let interval = Duration::try_from_secs_f64(per_second.recip());
        interval.unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL)
    }

    /// Changes the time between two requests.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Returns when the next request is due, if `reserved` others go first.
    pub fn due_at(&self, reserved: usize) -> Timestamp {
        let reserved = u32::try_from(reserved).unwrap_or(u32::MAX);
        let others = self.interval.saturating_mul(reserved);
        (self.sent_up_to + others).before(BURST_TIME)
    }

    /// Returns whether a request is due, if `reserved` others go first.
    pub fn is_due(&self, now: Timestamp, reserved: usize) -> bool {
        self.due_at(reserved) <= now
    }

    /// Records a request that is sent now.
    pub fn record(&mut self, now: Timestamp) {
        self.sent_up_to = self.sent_up_to.max(now) + self.interval;
    }
}
