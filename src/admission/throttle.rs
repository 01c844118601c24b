//! Adaptive throttling: refuses requests early in sustained overload.
//!
//! Each agent estimates the wait from its own queue, and a request waits if
//! any of the agents that it asks expects a short wait. In sustained overload,
//! with more agents than a request asks, far more requests wait than can be
//! served, and most of them time out after their maximum wait. An entry
//! therefore counts, for each request class, how many requests arrived and how
//! many were sent. It lets slightly more requests wait than were
//! sent recently and refuses the others immediately: most of those that
//! wait are served, and callers of the refused ones can retry. This is the
//! client-side adaptive throttling commonly used with overloaded services.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::RequestClass;
use crate::clock::Timestamp;

#[cfg(test)]
mod tests;

/// Time constant of the exponential decay of the counts, about the length of a
/// short burst; bursts last a few seconds. After this time a request counts for
/// 1/e, about a third.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Requests that can wait per sent one. The excess over 1 keeps some requests
/// queued, at the risk that they time out, so that freed capacity is used and
/// the throttle lets more requests wait.
const WAITING_PER_SENT: f64 = 1.2;

/// Requests of a class that can wait in addition: a few that arrive together
/// by chance are not an overload.
const WAITING_ALLOWANCE: f64 = 2.0;

/// Counts arrived and sent requests of each request class.
#[derive(Debug, Default)]
pub struct Throttle {
    request_classes: HashMap<RequestClass, Counts>,
}

#[derive(Debug)]
struct Counts {
    updated: Timestamp,
    arrivals: f64,
    sent: f64,
}

impl Throttle {
    /// Creates a throttle without any counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the probability, from 0 to 1, with which a request of this
    /// class is to be refused now.
    pub fn refusal_probability(&mut self, now: Timestamp, request_class: &RequestClass) -> f64 {
        let Some(counts) = self.request_classes.get_mut(request_class) else {
            return 0.0;
        };
        counts.decay(now);
        let allowed = counts.sent * WAITING_PER_SENT + WAITING_ALLOWANCE;
        let excess = (counts.arrivals - allowed) / (counts.arrivals + 1.0);
        excess.clamp(0.0, 1.0)
    }

    /// Counts an arrived request, whether it is refused, waits or is sent.
    pub fn record_arrival(&mut self, now: Timestamp, request_class: RequestClass) {
        self.counts(now, request_class).arrivals += 1.0;
    }

    /// Counts a sent request.
    pub fn record_sent(&mut self, now: Timestamp, request_class: RequestClass) {
        self.counts(now, request_class).sent += 1.0;
    }

    /// Removes the request classes whose counts were not read or changed
    /// recently.
    pub fn remove_idle(&mut self, now: Timestamp) {
        self.request_classes
            .retain(|_, counts| now.since(counts.updated) < DECAY_TIME * 8);
    }

    fn counts(&mut self, now: Timestamp, request_class: RequestClass) -> &mut Counts {
        let counts = self.request_classes.entry(request_class).or_insert(Counts {
            updated: now,
            arrivals: 0.0,
            sent: 0.0,
        });
        counts.decay(now);
        counts
    }
}

impl Counts {
    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let factor = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.arrivals *= factor;
        self.sent *= factor;
        self.updated = now;
    }
}
