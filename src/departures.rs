//! Upstreams that say in their answers that they are leaving.
//!
//! Their registrations can say otherwise: they are written later, never, or come back from
//! an older copy of the platform's state. A departure holds for one run of an upstream,
//! until its end.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// The time for which a departure is remembered. It is much longer than an upstream needs
/// to leave.
const MEMORY: Duration = Duration::from_secs(3600);

/// The largest number of departures that are remembered; the earliest are forgotten first.
const MAX_DEPARTURES: usize = 10_000;

/// One run of an upstream, from its start to its end.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct UpstreamRun {
    /// The name of the upstream.
    pub upstream: Name,
    /// When it started by its own clock, in Unix milliseconds; `None` if not reported.
    pub started: Option<u64>,
}

/// A departure, as entries tell each other of it. Their clocks differ, so it holds an age.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DepartureReport {
    /// The run that is leaving.
    pub run: UpstreamRun,
    /// The time since it first said so.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// The runs of upstreams that are leaving.
#[derive(Debug, Default)]
pub struct Departures {
    /// When each of them first said so.
    runs: BTreeMap<UpstreamRun, Timestamp>,
}

impl Departures {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run is leaving since `at`. Returns whether this is news.
    pub fn record(&mut self, at: Timestamp, run: &UpstreamRun) -> bool {
        if self.runs.contains_key(run) {
            return false;
        }
        if self.runs.len() >= MAX_DEPARTURES {
            let earliest = self.runs.iter().min_by_key(|(_, at)| **at);
            let earliest = earliest.map(|(run, _)| run.clone());
            earliest.map(|run| self.runs.remove(&run));
        }
        self.runs.insert(run.clone(), at);
        true
    }

    /// Returns whether a run is leaving.
    pub fn contains(&self, run: &UpstreamRun) -> bool {
        self.runs.contains_key(run)
    }

    /// Returns the reports on `count` runs at most: those that follow `after`, then the
    /// first ones.
    pub fn reports_after(
        &self,
        now: Timestamp,
        after: Option<&UpstreamRun>,
        count: usize,
    ) -> Vec<DepartureReport> {
        let is_after = |run: &UpstreamRun| after.is_none_or(|after| run > after);
        let following = self.runs.iter().filter(|(run, _)| is_after(run));
        let first = self.runs.iter().filter(|(run, _)| !is_after(run));
        let runs = following.chain(first).take(count);
        runs.map(|(run, at)| report(now, run, *at)).collect()
    }

    /// Returns the report on a run.
    pub fn report(&self, now: Timestamp, run: &UpstreamRun) -> Option<DepartureReport> {
        self.runs.get(run).map(|at| report(now, run, *at))
    }

    /// Merges the report of another entry. Returns whether it is news.
    pub fn merge(&mut self, now: Timestamp, received: &DepartureReport) -> bool {
        received.age < MEMORY && self.record(now.before(received.age), &received.run)
    }

    /// Forgets old departures. Must be called from time to time.
    pub fn expire(&mut self, now: Timestamp) {
        self.runs.retain(|_, at| now.since(*at) < MEMORY);
    }
}

fn report(now: Timestamp, run: &UpstreamRun, at: Timestamp) -> DepartureReport {
    DepartureReport {
        run: run.clone(),
        age: now.since(at),
    }
}
