//! How many requests may be sent once more.
//!
//! Repeats multiply the load of a service that is in trouble. All entries
//! together may repeat a part of the requests of a window and a few more;
//! each entry keeps to that part of its own requests, and to an equal share
//! of the few.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// The part of the budget that is used, since windows of other observers
/// begin and end at other moments.
const USED_PART: f64 = 0.75;

/// The bounds of a budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Repeats as a part of the requests.
    pub ratio: f64,
    /// Repeats beyond that part over all entries.
    pub slack: u32,
    /// The window over which both are counted.
    pub window: Duration,
    /// Entries that share the slack.
    pub entries: usize,
}

/// The repeats and requests of each service in the last window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: HashMap<Name, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl RetryBudget {
    /// A budget of which nothing was used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request for `service`.
    pub fn record_request(&mut self, now: Timestamp, service: &Name, bounds: RetryBounds) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.forget(now, bounds.window);
        counts.requests.push_back(now);
    }

    /// Whether a request for `service` may be sent once more; counts it if so.
    pub fn try_retry(&mut self, now: Timestamp, service: &Name, bounds: RetryBounds) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        counts.forget(now, bounds.window);
        let part = counts.requests.len() as f64 * bounds.ratio;
        let slack = f64::from(bounds.slack) / bounds.entries.max(1) as f64;
        let allowed = (part + slack) * USED_PART;
        let allows = (counts.repeats.len() + 1) as f64 <= allowed;
        if allows {
            counts.repeats.push_back(now);
        }
        allows
    }
}

impl Counts {
    fn forget(&mut self, now: Timestamp, window: Duration) {
        for moments in [&mut self.requests, &mut self.repeats] {
            while moments.front().is_some_and(|m| now.since(*m) > window) {
                moments.pop_front();
            }
        }
    }
}
