//! Lasting overload: which requests are refused without a wait in vain.
//!
//! Agents judge the wait by their own queues, and a request is left waiting
//! where any of the agents that it asks expects a short wait. In lasting
//! overload, with more agents than a request asks, far more wait than are
//! served, and most of them end without room after their whole patience. An
//! entry therefore counts, for each line, how many requests came and how many
//! got room. It lets somewhat more wait than lately got room, and has the
//! others refused at once: those that wait are mostly served, and those that
//! are refused can come back. This is the adaptive throttling of clients that
//! is usual against overloaded services.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::wait_cache::RequestClass;

#[cfg(test)]
mod tests;

/// The time after which a request counts for a third: the length of a short
/// burst.
const MEMORY: Duration = Duration::from_secs(2);

/// How many requests may wait for each that got room: some wait in vain, so
/// that freed room is noticed.
const WAITING_EACH: f64 = 1.2;

/// Requests of a line that wait beyond that: a few that meet by chance are no
/// overload.
const WAITING_MORE: f64 = 2.0;

/// The counts of every line.
#[derive(Debug, Default)]
pub struct Throttle {
    request_classes: HashMap<RequestClass, Counts>,
}

#[derive(Debug)]
struct Counts {
    last: Timestamp,
    arrivals: f64,
    admissions: f64,
}

impl Throttle {
    /// Nothing has come yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The part of the requests of this line that is to be refused now.
    pub fn refusal_probability(&mut self, now: Timestamp, request_class: &RequestClass) -> f64 {
        let Some(counts) = self.request_classes.get_mut(request_class) else {
            return 0.0;
        };
        counts.fade(now);
        let allowed = counts.admissions * WAITING_EACH + WAITING_MORE;
        let beyond = (counts.arrivals - allowed) / (counts.arrivals + 1.0);
        beyond.clamp(0.0, 1.0)
    }

    /// Counts a request that came: it was refused, waits or got room.
    pub fn record_arrival(&mut self, now: Timestamp, request_class: RequestClass) {
        self.counts(now, request_class).arrivals += 1.0;
    }

    /// Counts a request that got room.
    pub fn record_admission(&mut self, now: Timestamp, request_class: RequestClass) {
        self.counts(now, request_class).admissions += 1.0;
    }

    /// Forgets the lines of which nothing has come for long.
    pub fn forget_idle(&mut self, now: Timestamp) {
        self.request_classes
            .retain(|_, counts| now.since(counts.last) < MEMORY * 8);
    }

    fn counts(&mut self, now: Timestamp, request_class: RequestClass) -> &mut Counts {
        let counts = self.request_classes.entry(request_class).or_insert(Counts {
            last: now,
            arrivals: 0.0,
            admissions: 0.0,
        });
        counts.fade(now);
        counts
    }
}

impl Counts {
    fn fade(&mut self, now: Timestamp) {
        let since = now.since(self.last).as_secs_f64();
        let kept = (-since / MEMORY.as_secs_f64()).exp();
        self.arrivals *= kept;
        self.admissions *= kept;
        self.last = now;
    }
}
