//! The entry's use of its admission control.

use std::cell::RefCell;
use std::time::Duration;

use rand::RngExt;

use crate::admission::AdmissionControl;
use crate::admission::RequestClass;
use crate::entry::request::Job;
use crate::entry::state::EntryState;
use crate::name::Name;
use crate::zone_balance::Placement;

impl EntryState {
    /// Returns the admission control of requests with this placement.
    fn control(&self, placement: &Placement) -> &RefCell<AdmissionControl> {
        match placement {
            Placement::Home => &self.admission,
            Placement::Away(_) => &self.zones.away_admission,
        }
    }

    /// Decides whether to refuse a request with this placement without asking any scheduler,
    /// and counts its arrival if so. Returns its expected wait if it is refused.
    pub fn refuse_early(
        &self,
        placement: &Placement,
        request_class: &RequestClass,
        max_wait: Duration,
    ) -> Option<Duration> {
        let now = self.now();
        let draw = self.rng.borrow_mut().random_range(0.0..1.0);
        let mut control = self.control(placement).borrow_mut();
        control.refuse(now, request_class, max_wait, draw)
    }

    /// Records a caller of `route` that has `left` until its deadline. Returns how long
    /// it has been trying.
    pub fn record_caller(&self, route: &Name, left: Duration) -> Duration {
        let mut control = self.admission.borrow_mut();
        control.record_caller(self.now(), route, left)
    }

    /// Records the expected wait of requests in the class of `job`.
    pub fn record_wait(&self, job: &Job, wait: Duration) {
        let control = self.control(&job.admission.placed.placement);
        let mut admission = control.borrow_mut();
        admission.record_wait(self.now(), job.request_class(), wait);
    }

    /// Counts that `job` was refused without waiting.
    pub fn record_refused(&self, job: &Job) {
        let control = self.control(&job.admission.placed.placement);
        let mut admission = control.borrow_mut();
        admission.record_refused(self.now(), job.request_class());
    }

    /// Counts the arrival of `job`.
    pub fn record_arrival(&self, job: &Job) {
        let control = self.control(&job.admission.placed.placement);
        let mut admission = control.borrow_mut();
        admission.record_arrival(self.now(), job.request_class());
    }

    /// Counts the dispatch of `job`.
    pub fn record_sent(&self, job: &Job) {
        let control = self.control(&job.admission.placed.placement);
        let mut admission = control.borrow_mut();
        admission.record_sent(self.now(), job.request_class());
    }
}
