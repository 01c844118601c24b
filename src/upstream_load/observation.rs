//! What an entry knows of the load of one upstream.

use std::time::Duration;

use super::AnswerOutcome;
use super::ReportedLoad;
use crate::clock::Timestamp;

/// The time constant of the exponential decay of a report towards what the entry knows by
/// itself. Upstreams change their pace every few hundred milliseconds.
const REPORT_DECAY: Duration = Duration::from_millis(500);

/// The time constant of the exponential decay of measured service times. It spans several
/// requests of an entry that sends one or two a second to an upstream.
const TIME_DECAY: Duration = Duration::from_secs(5);

/// The weight of the mean over the candidates in the usual service time of one of them, in
/// measurements. One long request then does not single out an upstream.
const POOLED_WEIGHT: f64 = 8.0;

/// The expected delay by requests that others send after the report, as a fraction of the
/// service time of an upstream whose slots are all in use. It makes the less used of two
/// upstreams with free slots the better one.
const CROWDING_WEIGHT: f64 = 0.25;

/// The longest expected time. Longer ones make no difference to the choice.
const MAX_TIME: Duration = Duration::from_secs(3_600);

/// The observed load of one upstream.
#[derive(Debug, Default)]
pub(super) struct Observation {
    report: Option<Report>,
    /// The requests of this entry that have been sent and have not ended.
    own: u32,
    /// The number of requests at which the upstream last rejected one. It is raised when
    /// an answer reports more.
    rejects_at: Option<u32>,
    /// The service times measured by this entry.
    times: ServiceTimes,
    /// The usual service time in seconds, averaged over the candidates of a request. `None`
    /// while none of them has reported a load.
    pooled: Option<f64>,
}

/// A report and what the entry knew when it arrived.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Timestamp,
    load: ReportedLoad,
    /// The requests of other entries in the report.
    others: u32,
}

/// The sum of service times at the usual pace, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTimes {
    last: Option<Timestamp>,
    seconds: f64,
    count: f64,
}

impl Observation {
    pub(super) fn record_sent(&mut self) {
        self.own = self.own.saturating_add(1);
    }

    pub(super) fn record_ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    pub(super) fn observe(&mut self, now: Timestamp, load: ReportedLoad, outcome: AnswerOutcome) {
        // The answered request still counts as one of this entry.
        let own = self.own.saturating_sub(1);
        self.report = Some(Report {
            at: now,
            load,
            others: load.requests().saturating_sub(own),
        });
        match outcome {
            AnswerOutcome::Failed => {}
            AnswerOutcome::Rejected => self.rejects_at = Some(load.requests().max(load.slots)),
            AnswerOutcome::Served(elapsed) => {
                let is_above = |at: &u32| *at > load.requests();
                self.rejects_at = self.rejects_at.filter(is_above);
                if load.waiting == 0 {
                    let usual = elapsed.as_secs_f64() / load.slowness.unwrap_or(1.0);
                    self.times.record(now, usual);
                }
            }
        }
    }

    pub(super) fn is_reported(&self) -> bool {
        self.report.is_some()
    }

    pub(super) fn last_report(&self) -> Option<ReportedLoad> {
        self.report.map(|r| r.load)
    }

    /// Returns the decayed sum and number of usual service times.
    pub(super) fn usual_times(&self, now: Timestamp) -> (f64, f64) {
        let times = self.times.decayed(now);
        (times.seconds, times.count)
    }

    pub(super) fn set_pooled(&mut self, seconds: f64) {
        self.pooled = Some(seconds);
    }

    /// Returns whether a slot is expected to be free.
    pub(super) fn has_slot(&self, now: Timestamp) -> bool {
        self.slots().is_none_or(|slots| self.requests(now) < slots)
    }

    /// Returns whether the upstream is expected to take a request, if only to let it wait.
    pub(super) fn accepts(&self, now: Timestamp) -> bool {
        let requests = self.requests(now);
        self.rejects_at.is_none_or(|at| requests < f64::from(at))
    }

    pub(super) fn expected_time(&self, now: Timestamp) -> Option<Duration> {
        let pooled = self.pooled?;
        let times = self.times.decayed(now);
        let usual = (times.seconds + POOLED_WEIGHT * pooled) / (times.count + POOLED_WEIGHT);
        let seconds = usual * self.slowness(now) * (1.0 + self.services_ahead(now));
        Some(
            Duration::try_from_secs_f64(seconds)
                .unwrap_or(MAX_TIME)
                .min(MAX_TIME),
        )
    }

    /// Returns the expected wait at the upstream in service times.
    fn services_ahead(&self, now: Timestamp) -> f64 {
        let Some(slots) = self.slots() else {
            return 0.0;
        };
        let requests = self.requests(now);
        let queued = (requests - slots + 1.0).max(0.0) / slots;
        queued + CROWDING_WEIGHT * (requests / slots).min(1.0)
    }

    /// Returns the expected number of requests at the upstream. It decays from the report
    /// towards the requests of this entry.
    fn requests(&self, now: Timestamp) -> f64 {
        let others = self.report.map_or(0.0, |r| f64::from(r.others));
        others * self.report_weight(now) + f64::from(self.own)
    }

    fn slots(&self) -> Option<f64> {
        self.report.map(|r| f64::from(r.load.slots))
    }

    fn slowness(&self, now: Timestamp) -> f64 {
        let reported = self.report.and_then(|r| r.load.slowness).unwrap_or(1.0);
        1.0 + (reported - 1.0) * self.report_weight(now)
    }

    fn report_weight(&self, now: Timestamp) -> f64 {
        self.report
            .map_or(0.0, |r| decay(now.since(r.at), REPORT_DECAY))
    }
}

impl ServiceTimes {
    fn record(&mut self, now: Timestamp, seconds: f64) {
        *self = self.decayed(now);
        self.last = Some(now);
        self.seconds += seconds;
        self.count += 1.0;
    }

    fn decayed(&self, now: Timestamp) -> Self {
        let age = now.since(self.last.unwrap_or(now));
        let weight = decay(age, TIME_DECAY);
        Self {
            last: self.last,
            seconds: self.seconds * weight,
            count: self.count * weight,
        }
    }
}

fn decay(age: Duration, constant: Duration) -> f64 {
    (-age.as_secs_f64() / constant.as_secs_f64()).exp()
}
