//! The loads that upstreams report in their answers, with their metrics and log lines.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::warn;

use crate::clock::Timestamp;
use crate::dispatch::Choice;
use crate::entry::load_metrics::LoadMetrics;
use crate::name::Name;
use crate::upstream_load::AnswerOutcome;
use crate::upstream_load::InvalidLoad;
use crate::upstream_load::ReportedLoad;
use crate::upstream_load::UpstreamLoads;

/// The loads of upstreams, as this entry observes them.
pub struct ReportedLoads {
    loads: RefCell<UpstreamLoads>,
    /// The upstreams whose invalid reports have been logged.
    invalid: RefCell<BTreeSet<Name>>,
    rng: RefCell<SmallRng>,
    metrics: LoadMetrics,
    log: Logger,
}

impl ReportedLoads {
    /// Creates the state of an entry that starts. `seed` begins its random numbers.
    pub fn new(metrics: LoadMetrics, seed: u64, log: Logger) -> Self {
        Self {
            loads: RefCell::default(),
            invalid: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            metrics,
            log,
        }
    }

    /// Records the load in an answer that has arrived now. An invalid one is logged once
    /// per upstream and changes nothing.
    pub fn observe(
        &self,
        now: Timestamp,
        upstream: &Name,
        load: Option<Result<ReportedLoad, InvalidLoad>>,
        outcome: AnswerOutcome,
    ) {
        match load {
            None => {}
            Some(Ok(load)) => {
                self.metrics.record(upstream, load);
                let mut loads = self.loads.borrow_mut();
                loads.observe(now, upstream, load, outcome);
            }
            Some(Err(e)) => {
                self.metrics.record_invalid(upstream);
                if self.invalid.borrow_mut().insert(upstream.clone()) {
                    warn!(self.log, "invalid load report of an upstream ignored";
                        "upstream" => %upstream,
                        "error" => %e);
                }
            }
        }
    }

    /// Records that a request of this entry is sent to `upstream`.
    pub fn record_sent(&self, upstream: &Name) {
        self.loads.borrow_mut().record_sent(upstream);
    }

    /// Records that a request of this entry has ended at `upstream`.
    pub fn record_ended(&self, upstream: &Name) {
        self.loads.borrow_mut().record_ended(upstream);
    }

    /// Orders the candidates of one request, see [`UpstreamLoads::order`].
    pub fn order<R>(&self, now: Timestamp, candidates: &mut [Choice], rng: &mut R) -> bool
    where
        R: Rng,
    {
        self.loads.borrow_mut().order(now, candidates, rng)
    }

    /// Returns the expected time from sending a request to its answer, see
    /// [`UpstreamLoads::expected_time`].
    pub fn expected_time(&self, now: Timestamp, upstream: &Name) -> Option<Duration> {
        let draw = self.rng.borrow_mut().random();
        self.loads.borrow().expected_time(now, upstream, draw)
    }

    /// Returns whether `upstream` has ever reported its load.
    pub fn is_reported(&self, upstream: &Name) -> bool {
        self.loads.borrow().is_reported(upstream)
    }

    /// Removes the upstreams for which `keep` returns false.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.loads.borrow_mut().retain(&keep);
        self.invalid.borrow_mut().retain(&keep);
        self.metrics.retain(keep);
    }
}
