//! Retry budget: bounds how many requests can be retried.
//!
//! Retries multiply the load of a service that is failing. All entries
//! together can retry a fraction of the requests of a window, plus a fixed
//! number (the slack). Each entry applies the fraction to its own requests and
//! uses an equal share of the slack.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Fraction of the budget that is used. The rest is a margin: a measurement of
/// the retries can use windows that begin and end at other times.
const USED_FRACTION: f64 = 0.75;

/// Fraction of the budget up to which requests are sent again only to confirm that an answer is
/// complete. In the first window, when the budget is small, all of it can be used.
const CONFIRMATION_FRACTION: f64 = 0.5;

/// Bounds on the retries of all entries together.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Retries allowed, as a fraction of the requests.
    pub ratio: f64,
    /// Retries allowed in addition, over all entries.
    pub slack: u32,
    /// Window over which requests and retries are counted.
    pub window: Duration,
    /// Number of entries that share the slack.
    pub entries: usize,
}

impl RetryBounds {
    /// Returns the retries that one entry can use in a window with this number of requests.
    pub fn max_retries(self, requests: usize) -> f64 {
        self.max_retries_with(requests, USED_FRACTION)
    }

    /// Returns the same with this part of the entry's share of the slack.
    fn max_retries_with(self, requests: usize, slack_fraction: f64) -> f64 {
        let proportional = requests as f64 * self.ratio * USED_FRACTION;
        let slack = f64::from(self.slack) / self.entries.max(1) as f64;
        proportional + slack * slack_fraction
    }
}

/// Requests and retries of each service in the last window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: HashMap<Name, Counts>,
    /// When the entry started; `None` if no other can have retried in its place before.
    started: Option<Timestamp>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryBudget {
    /// Creates a budget without any requests or retries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets when the entry started. What a process in its place has retried before is not
    /// known, so it uses only the margin of the slack for a window.
    pub fn with_start(mut self, started: Timestamp) -> Self {
        self.started = Some(started);
        self
    }

    /// Counts a request for `service`.
    pub fn record_request(&mut self, now: Timestamp, service: &Name, bounds: RetryBounds) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.remove_expired(now, bounds.window);
        counts.requests.push_back(now);
    }

    /// Returns whether a request for `service` can be retried, and counts the
    /// retry if so.
    pub fn try_retry(&mut self, now: Timestamp, service: &Name, bounds: RetryBounds) -> bool {
        let can_retry = self.may_retry(now, service, bounds);
        if can_retry {
            let counts = self.services.entry(service.clone()).or_default();
            counts.retries.push_back(now);
        }
        can_retry
    }

    /// Returns whether a request for `service` can be retried.
    pub fn may_retry(&mut self, now: Timestamp, service: &Name, bounds: RetryBounds) -> bool {
        self.has_room(now, service, bounds, 1.0)
    }

    /// Returns whether a request for `service` can be sent again only to confirm that its answer
    /// is complete. A part of the budget is kept for requests that have failed.
    pub fn may_confirm(&mut self, now: Timestamp, service: &Name, bounds: RetryBounds) -> bool {
        let fraction = match self.has_just_started(now, bounds) {
            true => 1.0,
            false => CONFIRMATION_FRACTION,
        };
        self.has_room(now, service, bounds, fraction)
    }

    fn has_just_started(&self, now: Timestamp, bounds: RetryBounds) -> bool {
        self.started
            .is_some_and(|at| now.since(at) <= bounds.window)
    }

    /// Returns whether another retry stays within this part of the budget.
    fn has_room(
        &mut self,
        now: Timestamp,
        service: &Name,
        bounds: RetryBounds,
        fraction: f64,
    ) -> bool {
        let slack_fraction = match self.has_just_started(now, bounds) {
            true => 1.0 - USED_FRACTION,
            false => USED_FRACTION,
        };
        let counts = self.services.entry(service.clone()).or_default();
        counts.remove_expired(now, bounds.window);
        let max_retries = bounds.max_retries_with(counts.requests.len(), slack_fraction);
        (counts.retries.len() + 1) as f64 <= max_retries * fraction
    }
}

impl Counts {
    fn remove_expired(&mut self, now: Timestamp, window: Duration) {
        for timestamps in [&mut self.requests, &mut self.retries] {
            while timestamps.front().is_some_and(|t| now.since(*t) > window) {
                timestamps.pop_front();
            }
        }
    }
}
