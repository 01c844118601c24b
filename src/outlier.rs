//! Outlier detection: upstreams that fail requests get no new work for a
//! limited time, whatever load and state they report.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Weight of one request in the moving average of the failure rate. It
/// averages over about five requests, so that an upstream under steady load is
/// classified within a second.
const RESULT_WEIGHT: f64 = 0.2;

/// Failure rate from which an upstream is an outlier. Services fail up to a
/// sixth of their requests in normal operation.
const OUTLIER_FAILURE_RATE: f64 = 0.5;

/// Duration of the first ejection; it doubles with each further one.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Time for which an upstream gets no requests after another one has answered
/// at its address. The registration of the replaced upstream expires within a
/// few heartbeats.
const REPLACED_TIME: Duration = Duration::from_secs(10);

/// Result of a request sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamResult {
    /// The upstream answered.
    Served,
    /// The upstream answered with an error, broke off its answer or sent none.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// Another upstream answered at its address.
    Replaced,
}

/// Failure rates and ejections of the upstreams of one entry.
#[derive(Debug, Default)]
pub struct Outliers {
    upstreams: HashMap<Name, UpstreamState>,
}

#[derive(Debug, Default)]
struct UpstreamState {
    failure_rate: f64,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    replaced_until: Option<Timestamp>,
}

impl Outliers {
    /// Creates the state of an entry that has not sent any request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an upstream served a request.
    pub fn record_served(&mut self, upstream: &Name) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.failure_rate -= RESULT_WEIGHT * state.failure_rate;
            if state.failure_rate < RESULT_WEIGHT / 2.0 {
                self.upstreams.remove(upstream);
            }
        }
    }

    /// Records that an upstream failed a request. Returns the duration of the
    /// ejection if this ejects the upstream.
    pub fn record_failed(&mut self, now: Timestamp, upstream: &Name) -> Option<Duration> {
        let state = self.upstreams.entry(upstream.clone()).or_default();
        state.failure_rate += RESULT_WEIGHT * (1.0 - state.failure_rate);
        if state.failure_rate < OUTLIER_FAILURE_RATE {
            return None;
        }
        state.eject(now)
    }

    /// Records that an upstream can't be reached, and ejects it. Returns the
    /// duration of the ejection, or `None` if the upstream is ejected already.
    pub fn record_unreachable(&mut self, now: Timestamp, upstream: &Name) -> Option<Duration> {
        let state = self.upstreams.entry(upstream.clone()).or_default();
        state.failure_rate += RESULT_WEIGHT * (1.0 - state.failure_rate);
        state.eject(now)
    }

    /// Records that another upstream answered at the address of this one.
    /// Returns the time for which this one gets no requests.
    pub fn record_replaced(&mut self, now: Timestamp, upstream: &Name) -> Option<Duration> {
        let state = self.upstreams.entry(upstream.clone()).or_default();
        state.replaced_until = Some(now + REPLACED_TIME);
        Some(REPLACED_TIME)
    }

    /// Returns whether another upstream recently answered at the address of
    /// this one.
    pub fn is_replaced(&self, now: Timestamp, upstream: &Name) -> bool {
        let until = self.upstreams.get(upstream).and_then(|s| s.replaced_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns whether an upstream is ejected and gets no new work.
    pub fn is_ejected(&self, now: Timestamp, upstream: &Name) -> bool {
        let until = self.upstreams.get(upstream).and_then(|s| s.ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Removes the upstreams for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.upstreams.retain(|name, _| keep(name));
    }
}

impl UpstreamState {
    fn eject(&mut self, now: Timestamp) -> Option<Duration> {
        if self.ejected_until.is_some_and(|until| now < until) {
            return None;
        }
        // The result at this exponent already exceeds `MAX_EJECTION_TIME`.
        let duration = MIN_EJECTION_TIME * 2_u32.saturating_pow(self.ejections.min(8));
        let duration = duration.min(MAX_EJECTION_TIME);
        self.ejections += 1;
        self.ejected_until = Some(now + duration);
        Some(duration)
    }
}
