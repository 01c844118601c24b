//! The attempts of a request at upstreams that have granted it room.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use super::FAILED_RETRY_AFTER;
use super::Receipt;
use super::RequestTask;
use crate::clock::Timestamp;
use crate::dispatch::Action;
use crate::dispatch::Event;
use crate::entry::attempt::Attempt;
use crate::entry::attempt::AttemptResult;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::ids::GrantId;
use crate::name::Name;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;

impl RequestTask {
    /// Returns the attempt for which `upstream` has granted room, or the actions with
    /// which the request goes on if there can be none.
    pub(super) async fn new_attempt(
        &mut self,
        upstream: Name,
        grant: GrantId,
    ) -> Result<Attempt, Vec<Action>> {
        let Some(scheduler) = self.schedulers.remove(&upstream) else {
            let refusal = Refusal::new(RefusalCode::Unreachable, FAILED_RETRY_AFTER);
            return Err(self.reschedule(&upstream, refusal, Receipt::NotReceived));
        };
        self.acquire_permit(&upstream, &scheduler).await?;
        self.state.record_sent(&self.job);
        let attempt = self.granted_attempt(upstream, scheduler, grant);
        match self.silent.take() {
            Some(silent) => self.move_to(attempt, silent).await,
            None => Ok(attempt),
        }
    }

    /// Moves the request from a silent upstream to the one of `attempt`, which must be
    /// reachable first. The silent one may go on meanwhile.
    async fn move_to(
        &mut self,
        mut attempt: Attempt,
        mut silent: Attempt,
    ) -> Result<Attempt, Vec<Action>> {
        let connected = tokio::select! {
            biased;
            () = silent.wait_for_bytes() => return Ok(self.return_to(silent, &attempt)),
            connected = attempt.connect(&self.relay) => connected,
        };
        if let Err(result) = connected {
            self.end_attempt(&attempt, result);
            self.silent = Some(silent);
            self.sent_to = self.silent.as_ref().map(|s| s.upstream.clone());
            let refusal = match result {
                AttemptResult::NotRun(refusal) => refusal,
                AttemptResult::HeldOff(wait) => Refusal::new(RefusalCode::Overloaded, wait),
                _ => Refusal::new(RefusalCode::Unreachable, FAILED_RETRY_AFTER),
            };
            let failed = Event::NotRun(attempt.upstream.clone(), refusal);
            return Err(self.dispatch.handle_event(failed));
        }
        if !self.state.try_retry(&self.job.target) {
            return Ok(self.return_to(silent, &attempt));
        }
        silent.leave_silent_upstream();
        self.end_attempt(&silent, AttemptResult::Silent);
        attempt.is_last = self.is_last_attempt();
        Ok(attempt)
    }

    /// Leaves the upstream of `attempt`, to which nothing was sent, and returns the attempt at
    /// the silent one.
    fn return_to(&mut self, silent: Attempt, attempt: &Attempt) -> Attempt {
        self.end_attempt(attempt, AttemptResult::NotSent);
        self.sent_to = Some(silent.upstream.clone());
        self.stay_at(silent)
    }

    fn is_last_attempt(&self) -> bool {
        self.attempts + 1 >= self.job.admission.route.attempts
    }

    /// Returns the attempt at `upstream` after the grant of its scheduler was accepted.
    fn granted_attempt(
        &mut self,
        upstream: Name,
        scheduler: SchedulerHandle,
        grant: GrantId,
    ) -> Attempt {
        self.state.links.unregister(&upstream, self.request);
        self.state.mark_sent(self.request);
        let now = self.state.now();
        scheduler.mark_sent(now, &upstream, self.request, grant);
        self.sent_to = Some(upstream.clone());
        self.sent_at = now;
        self.state.record_zone(&upstream, self.zone_cause);
        self.log_sent(&upstream, &scheduler);
        Attempt {
            state: Rc::clone(&self.state),
            request: self.request,
            job: Rc::clone(&self.job),
            upstream,
            scheduler,
            deadline: self.deadline,
            timeout_at: self.timeout_at(),
            reply_until: self.reply_until(),
            arrived: self.arrived,
            version_draw: self.version_draw,
            is_last: self.is_last_attempt(),
            connected: None,
            is_broken_off: Cell::new(false),
            running: None,
            sent: RefCell::default(),
        }
    }

    /// Returns the time at which an answer to the request is aborted.
    pub(super) fn timeout_at(&self) -> Timestamp {
        self.arrived + self.state.answer_timeout(&self.job)
    }

    /// Releases what an attempt holds at its upstream, and counts it.
    pub(super) fn end_attempt(&mut self, attempt: &Attempt, result: AttemptResult) {
        let work = match result {
            AttemptResult::Completed(_) => self.relay.take_work(self.job.work),
            _ => None,
        };
        let upstream = &attempt.upstream;
        let now = self.state.now();
        attempt.scheduler.finish(now, upstream, self.request, work);
        if let Some(sent) = attempt.sent.take() {
            sent.finish(result);
        }
        self.state.remove_outstanding(upstream);
        if !result.is_not_run() {
            self.quota_charge.commit();
            self.may_have_run = true;
            self.attempts += 1;
        }
        // The time of an answer to a question is not that of a request.
        if matches!(result, AttemptResult::Completed(_)) && !self.confirmation.is_open() {
            let time = now.since(self.sent_at);
            self.state.record_service_time(&self.job, upstream, time);
        }
        if let Some(work) = work {
            let organisation = &self.job.admission.organisation;
            self.state.metrics.record_tokens(organisation, work);
        }
    }
}
