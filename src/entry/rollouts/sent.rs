//! A request that was sent to an upstream of some version.

use std::cell::Cell;
use std::rc::Rc;

use super::Rollouts;
use crate::clock::Timestamp;
use crate::directory::SoftwareVersion;
use crate::entry::attempt::AttemptResult;
use crate::name::Name;
use crate::outcome::Outcome;

/// What an answer says about the version that gave it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerVerdict {
    /// The version answered.
    Good,
    /// The answer failed with a status of 500 or more, was broken off, or did not come.
    Bad,
    /// Nothing: the upstream did not run the request, the caller left, or whether the answer is
    /// complete is not known yet.
    Unknown,
}

impl AnswerVerdict {
    /// Judges the result of an attempt. `has_started` tells whether a part of the answer's
    /// body had arrived.
    pub fn new(result: AttemptResult, has_started: bool) -> Self {
        match result {
            AttemptResult::Completed(Outcome::failed)
            | AttemptResult::Interrupted
            | AttemptResult::Silent => Self::Bad,
            AttemptResult::TimedOut if !has_started => Self::Bad,
            AttemptResult::Completed(_) | AttemptResult::TimedOut => Self::Good,
            AttemptResult::Unconfirmed
            | AttemptResult::NotRun(_)
            | AttemptResult::HeldOff(_)
            | AttemptResult::CallerDisconnected
            | AttemptResult::NotSent
            | AttemptResult::Quarantined(_) => Self::Unknown,
        }
    }
}

/// A request that runs at an upstream. It counts as running until it is dropped.
pub struct SentRequest {
    rollouts: Rc<Rollouts>,
    service: Name,
    version: SoftwareVersion,
    route: Name,
    /// The order for the service at the time of sending.
    order: Option<Name>,
    /// Whether the upstream was still slow after its start.
    is_cold: bool,
    sent_at: Timestamp,
    /// When the first byte of the answer's body arrived.
    started_at: Cell<Option<Timestamp>>,
}

impl SentRequest {
    pub(super) fn new(
        rollouts: Rc<Rollouts>,
        service: Name,
        version: SoftwareVersion,
        route: Name,
        order: Option<Name>,
        is_cold: bool,
    ) -> Self {
        let sent_at = rollouts.clock.now();
        Self {
            rollouts,
            service,
            version,
            route,
            order,
            is_cold,
            sent_at,
            started_at: Cell::default(),
        }
    }

    /// Records that the first byte of the answer's body has arrived.
    pub fn record_start(&self, now: Timestamp) {
        self.started_at.set(Some(now));
    }

    /// Records how the attempt ended.
    pub fn finish(self, result: AttemptResult) {
        let started_at = self.started_at.get();
        let is_bad = match AnswerVerdict::new(result, started_at.is_some()) {
            AnswerVerdict::Good => false,
            AnswerVerdict::Bad => true,
            AnswerVerdict::Unknown => return,
        };
        let metrics = &self.rollouts.metrics;
        metrics.record_answer(&self.service, &self.version, is_bad);
        let start = started_at.map(|at| at.since(self.sent_at));
        let start = start.filter(|_| !self.is_cold);
        let mut services = self.rollouts.services.borrow_mut();
        let rollout = services.get_mut(&self.service);
        // An answer from before an order is no evidence on it.
        let rollout = rollout.filter(|r| self.order.as_ref() == Some(&r.order.id));
        if let Some(rollout) = rollout {
            rollout.record_answer(&self.route, &self.version, is_bad, start);
        }
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        let key = (self.service.clone(), self.version.clone());
        let mut running = self.rollouts.running.borrow_mut();
        if let Some(count) = running.get_mut(&key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                running.remove(&key);
            }
        }
    }
}
