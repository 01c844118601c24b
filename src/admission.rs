//! Admission of requests at an entry, before any scheduler is asked.
//!
//! In a burst most requests are refused. A request whose wait is known to be too
//! long, or that would most likely wait in vain, is refused at once, so that its
//! refusal costs very little and its caller learns early when to come back. The
//! decisions do no I/O and take the time and random numbers as arguments.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

mod patience;
mod throttle;
mod urgency;
mod wait_cache;

pub use patience::Patience;
pub use throttle::Throttle;
pub use urgency::Urgency;
pub use wait_cache::WaitCache;

/// Key of the requests that share an expected wait.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestClass {
    /// Model or service that is requested.
    pub service: Name,
    /// Scheduling rank of the requests; 0 is the highest.
    pub rank: u8,
    /// Whether their callers come back after a refusal, past their objective.
    pub overdue: bool,
    /// Organisation that sends the requests.
    pub organisation: Name,
}

/// The retry delay of a request refused as overloaded, as a multiple of its
/// expected wait.
const RETRY_FACTOR: u32 = 4;

/// The shortest retry delay of a request refused as overloaded.
const RETRY_MIN: Duration = Duration::from_secs(2);

/// The longest retry delay of a request refused as overloaded. Bursts last a few
/// seconds.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// The part of the time that a caller has left after which it comes back: callers
/// with more time come back later, when a burst is more likely to be over.
const RETRY_DEADLINE_DIVISOR: u32 = 3;

/// Returns the retry delay of a request that is refused because of its expected wait,
/// given the time that its caller has left.
pub fn retry_after(expected_wait: Duration, left: Duration) -> Duration {
    let by_wait = expected_wait * RETRY_FACTOR;
    let by_deadline = left / RETRY_DEADLINE_DIVISOR;
    by_wait.max(by_deadline).clamp(RETRY_MIN, RETRY_MAX)
}

impl RequestClass {
    fn service_rank(&self) -> ServiceRank {
        ServiceRank {
            service: self.service.clone(),
            rank: self.rank,
            overdue: self.overdue,
        }
    }
}

/// Key of the requests of one rank that a service receives. Overdue ones are counted
/// apart, since they get only what the others leave.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ServiceRank {
    service: Name,
    rank: u8,
    overdue: bool,
}

/// What an entry knows of the load, by request class.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    wait_cache: WaitCache,
    throttle: Throttle,
    patience: Patience,
}

impl AdmissionControl {
    /// Creates a state without any observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a request that can wait for at most `max_wait`. Returns its
    /// expected wait if it is to be refused, and counts it. `draw` is a random number
    /// from 0 to 1.
    pub fn refuse(
        &mut self,
        now: Timestamp,
        request_class: &RequestClass,
        max_wait: Duration,
        draw: f64,
    ) -> Option<Duration> {
        let recent_wait = self.wait_cache.get(now, request_class);
        if let Some(wait) = recent_wait.filter(|wait| *wait > max_wait) {
            self.record_refused(now, request_class.clone());
            return Some(wait);
        }
        let probability = self.throttle.refusal_probability(now, request_class);
        if draw >= probability {
            return None;
        }
        self.record_refused(now, request_class.clone());
        Some(max_wait)
    }

    /// Records a caller of `route` that has `left` until its deadline. Returns how long
    /// it has been trying.
    pub fn record_caller(&mut self, now: Timestamp, route: &Name, left: Duration) -> Duration {
        self.patience.record(now, route, left)
    }

    /// Records the wait that schedulers expect for a request.
    pub fn record_wait(&mut self, now: Timestamp, request_class: RequestClass, wait: Duration) {
        self.wait_cache.insert(now, request_class, wait);
    }

    /// Counts a request that was refused without waiting.
    pub fn record_refused(&mut self, now: Timestamp, request_class: RequestClass) {
        self.throttle.record_refused(now, request_class);
    }

    /// Counts a request that waits or is sent without a wait.
    pub fn record_arrival(&mut self, now: Timestamp, request_class: RequestClass) {
        self.throttle.record_arrival(now, request_class);
    }

    /// Counts a request that was sent.
    pub fn record_sent(&mut self, now: Timestamp, request_class: RequestClass) {
        self.throttle.record_sent(now, request_class);
    }

    /// Removes what was neither read nor changed recently.
    pub fn remove_idle(&mut self, now: Timestamp) {
        self.throttle.remove_idle(now);
        self.patience.remove_idle(now);
    }
}
