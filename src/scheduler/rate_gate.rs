//! Keeps the grants of a scheduler to the rate limit that its upstream names.

use std::time::Duration;

use super::Scheduler;
use crate::clock::Timestamp;
use crate::rate_limits::Pacing;

/// The time within which a grant of a rate-limited upstream can be accepted, at least:
/// its entry may have to wait for the permit to send.
const LIMITED_GRANT_VALID: Duration = Duration::from_secs(1);

/// The time for which a limit is kept without a ticket that tells of it. The entries learn
/// of limits at different times, so some tickets don't.
const LIMIT_MEMORY: Duration = Duration::from_secs(1);

/// Paces grants while the upstream names a rate limit.
#[derive(Debug, Default)]
pub(super) struct RateGate {
    limit: Option<Limit>,
}

#[derive(Debug)]
struct Limit {
    pacing: Pacing,
    /// When a ticket last told of the limit.
    told_at: Timestamp,
}

impl RateGate {
    /// Records the time between two requests that a ticket tells; `None` without a limit.
    pub(super) fn observe(&mut self, now: Timestamp, interval: Option<Duration>) {
        match (&mut self.limit, interval) {
            (Some(limit), Some(interval)) => {
                limit.pacing.set_interval(interval);
                limit.told_at = now;
            }
            (None, Some(interval)) => {
                let pacing = Pacing::new(now, interval);
                self.limit = Some(Limit {
                    pacing,
                    told_at: now,
                });
            }
            (Some(limit), None) if now.since(limit.told_at) >= LIMIT_MEMORY => self.limit = None,
            (_, None) => {}
        }
    }

    /// Records a request that is sent.
    pub(super) fn record_sent(&mut self, now: Timestamp) {
        if let Some(limit) = &mut self.limit {
            limit.pacing.record(now);
        }
    }

    /// Returns whether there is a limit.
    pub(super) fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns whether the limit leaves room for a grant beside `granted` others.
    pub(super) fn is_open(&self, now: Timestamp, granted: usize) -> bool {
        let pacing = self.limit.as_ref().map(|l| l.pacing);
        pacing.is_none_or(|p| p.is_due(now, granted))
    }

    /// Returns when the limit next leaves room for a grant beside `granted` others.
    pub(super) fn opens_at(&self, granted: usize) -> Option<Timestamp> {
        self.limit.as_ref().map(|l| l.pacing.due_at(granted))
    }
}

impl Scheduler {
    /// Returns the time within which a grant can be accepted.
    pub(super) fn grant_valid(&self) -> Duration {
        match self.rate_gate.is_limited() {
            true => self.config.grant_valid.max(LIMITED_GRANT_VALID),
            false => self.config.grant_valid,
        }
    }
}
