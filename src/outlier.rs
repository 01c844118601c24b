//! Upstreams that fail the requests they are sent, whatever they say of
//! themselves, get no new work for a while.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// The weight of one request in the part that fails: a mean over some five
/// requests, so that an upstream is judged within a second of steady work.
const GAIN: f64 = 0.2;

/// The part of failures above which an upstream is an outlier. Services fail
/// up to a sixth of their requests in ordinary operation.
const FAILING_PART: f64 = 0.5;

/// The first time without new work; it doubles with each further time.
const EJECTED_MIN: Duration = Duration::from_millis(500);

/// The longest time without new work.
const EJECTED_MAX: Duration = Duration::from_secs(4);

/// The time for which an upstream gets nothing after another one has answered
/// at its address: its registration lapses within a few heartbeats.
const REPLACED_FOR: Duration = Duration::from_secs(10);

/// What became of a request at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamResult {
    /// It was answered.
    Served,
    /// It was answered by an error, broken off, or not at all.
    Failed,
    /// No connection came about.
    Unreachable,
    /// Another upstream has answered at its address.
    Replaced,
}

/// What an entry has seen of its upstreams.
#[derive(Debug, Default)]
pub struct Outliers {
    upstreams: HashMap<Name, Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    failing: f64,
    ejections: u32,
    until: Option<Timestamp>,
    replaced_until: Option<Timestamp>,
}

impl Outliers {
    /// An entry that has seen nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an upstream has served a request.
    pub fn record_served(&mut self, upstream: &Name) {
        if let Some(seen) = self.upstreams.get_mut(upstream) {
            seen.failing -= GAIN * seen.failing;
            if seen.failing < GAIN / 2.0 {
                self.upstreams.remove(upstream);
            }
        }
    }

    /// Notes that an upstream has failed a request. Gives the time for which
    /// it gets no new work, if it has become an outlier.
    pub fn record_failed(&mut self, now: Timestamp, upstream: &Name) -> Option<Duration> {
        let seen = self.upstreams.entry(upstream.clone()).or_default();
        seen.failing += GAIN * (1.0 - seen.failing);
        if seen.failing < FAILING_PART {
            return None;
        }
        seen.eject(now)
    }

    /// Notes that an upstream can't be reached. Gives the time for which it
    /// gets no new work.
    pub fn record_unreachable(&mut self, now: Timestamp, upstream: &Name) -> Option<Duration> {
        let seen = self.upstreams.entry(upstream.clone()).or_default();
        seen.failing += GAIN * (1.0 - seen.failing);
        seen.eject(now)
    }

    /// Notes that another upstream has answered at the address of this one.
    /// Gives the time for which it gets nothing.
    pub fn record_replaced(&mut self, now: Timestamp, upstream: &Name) -> Option<Duration> {
        let seen = self.upstreams.entry(upstream.clone()).or_default();
        seen.replaced_until = Some(now + REPLACED_FOR);
        Some(REPLACED_FOR)
    }

    /// Whether another upstream has answered at the address of this one.
    pub fn is_replaced(&self, now: Timestamp, upstream: &Name) -> bool {
        let until = self.upstreams.get(upstream).and_then(|s| s.replaced_until);
        until.is_some_and(|until| now < until)
    }

    /// Whether an upstream gets no new work now.
    pub fn is_ejected(&self, now: Timestamp, upstream: &Name) -> bool {
        let until = self.upstreams.get(upstream).and_then(|s| s.until);
        until.is_some_and(|until| now < until)
    }

    /// Forgets the upstreams that `keep` does not name.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.upstreams.retain(|name, _| keep(name));
    }
}

impl Seen {
    fn eject(&mut self, now: Timestamp) -> Option<Duration> {
        if self.until.is_some_and(|until| now < until) {
            return None;
        }
        let time = EJECTED_MIN * 2_u32.saturating_pow(self.ejections.min(8));
        let time = time.min(EJECTED_MAX);
        self.ejections += 1;
        self.until = Some(now + time);
        Some(time)
    }
}
