//! The load of upstreams without an agent, from their reports and the entry's own requests,
//! and the choice among such upstreams.
//!
//! Every entry sees only its own requests and the reports in its own answers, so a report
//! is several hundred milliseconds old when it is used. Decisions without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::clock::Timestamp;
use crate::dispatch::Choice;
use crate::name::Name;

mod observation;
mod report;
#[cfg(test)]
mod tests;

use observation::Observation;
pub use report::InvalidLoad;
pub use report::ReportedLoad;

/// The number of candidates among which the one with the earliest expected end is chosen.
/// Entries with the same reports draw different pairs, so they don't all choose the same
/// upstream.
pub const CHOICES: usize = 2;

/// The random extension of expected times, as a fraction of them. The remainder of an old
/// report or the order of names would otherwise decide at low load, and one upstream would
/// get no requests.
const TIE_SPREAD: f64 = 0.05;

/// What came of a request whose answer carries a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerOutcome {
    /// The upstream ran the request. The answer began this long after it was sent.
    Served(Duration),
    /// The upstream was full and did not run the request.
    Rejected,
    /// The upstream failed. The time of such an answer is no measure of its pace.
    Failed,
}

/// The observed loads of upstreams.
#[derive(Debug, Default)]
pub struct UpstreamLoads {
    upstreams: BTreeMap<Name, Observation>,
}

impl UpstreamLoads {
    /// Creates a table without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request of this entry is sent to `upstream`.
    pub fn record_sent(&mut self, upstream: &Name) {
        self.observation(upstream).record_sent();
    }

    /// Records that a request of this entry has ended at `upstream`.
    pub fn record_ended(&mut self, upstream: &Name) {
        self.observation(upstream).record_ended();
    }

    /// Records the load in an answer that has arrived now, while its request still counts
    /// as sent.
    pub fn observe(
        &mut self,
        now: Timestamp,
        upstream: &Name,
        load: ReportedLoad,
        outcome: AnswerOutcome,
    ) {
        self.observation(upstream).observe(now, load, outcome);
    }

    /// Returns whether `upstream` has ever reported its load.
    pub fn is_reported(&self, upstream: &Name) -> bool {
        let observation = self.upstreams.get(upstream);
        observation.is_some_and(Observation::is_reported)
    }

    /// Returns the last report of `upstream`.
    pub fn last_report(&self, upstream: &Name) -> Option<ReportedLoad> {
        self.upstreams.get(upstream)?.last_report()
    }

    /// Orders the candidates of one request: the pair to choose from first, those expected
    /// to reject it last. A candidate of the own zone is in the pair if a slot is expected
    /// to be free there. Returns false and leaves the order as it is where no candidate has
    /// reported its load.
    pub fn order<R>(&mut self, now: Timestamp, candidates: &mut [Choice], rng: &mut R) -> bool
    where
        R: Rng,
    {
        if !candidates.iter().any(|c| self.is_reported(&c.upstream)) {
            return false;
        }
        self.update_usual_times(now, candidates);
        candidates.shuffle(rng);
        // The sort is stable, so candidates with equal keys stay in random order.
        candidates.sort_by_key(|c| {
            let observation = self.upstreams.get(&c.upstream);
            let has_slot = observation.is_none_or(|o| o.has_slot(now));
            let accepts = observation.is_none_or(|o| o.accepts(now));
            (!accepts, !(c.same_zone && has_slot))
        });
        true
    }

    /// Returns the expected time from sending a request to `upstream` to its answer. `draw`
    /// is a random number from 0 to 1, which decides between upstreams with nearly the same
    /// load.
    /// `None` if neither it nor another candidate of its requests has reported a load.
    pub fn expected_time(&self, now: Timestamp, upstream: &Name, draw: f64) -> Option<Duration> {
        let time = self.upstreams.get(upstream)?.expected_time(now)?;
        Some(time.mul_f64(1.0 + TIE_SPREAD * draw))
    }

    /// Removes the upstreams for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.upstreams.retain(|name, _| keep(name));
    }

    /// Sets the mean usual service time over the candidates at each of them.
    fn update_usual_times(&mut self, now: Timestamp, candidates: &[Choice]) {
        let observed = candidates
            .iter()
            .filter_map(|c| self.upstreams.get(&c.upstream));
        let times = observed.map(|o| o.usual_times(now));
        let (seconds, count) = times.fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        if count <= 0.0 {
            return;
        }
        for candidate in candidates {
            self.observation(&candidate.upstream)
                .set_pooled(seconds / count);
        }
    }

    fn observation(&mut self, upstream: &Name) -> &mut Observation {
        self.upstreams.entry(upstream.clone()).or_default()
    }
}
