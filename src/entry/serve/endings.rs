//! The log lines of a request, and its end: the answer to the caller and the records.

use std::time::Duration;

use slog::info;

use super::RequestTask;
use crate::burn::BurnKey;
use crate::entry::attempt::AttemptResult;
use crate::entry::error::CallerError;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::exchange::Framing;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::prompt_parts::LoggedParts;
use crate::rate_limits::RateLimit;
use crate::ticket::Refusal;
use crate::ticket::WithdrawReason;
use crate::units::millis;

impl RequestTask {
    /// Logs that the request is sent to `upstream`, which `scheduler` has granted.
    pub(super) fn log_sent(&self, upstream: &Name, scheduler: &SchedulerHandle) {
        let now = self.state.now();
        let listed = self.state.directory.get(upstream);
        info!(self.state.log, "request sent";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %upstream,
            "parts" => %LoggedParts(&self.job.parts),
            "digest" => %self.job.digest,
            "by_agent" => matches!(scheduler, SchedulerHandle::Agent(_)),
            "zone_cause" => self.zone_cause.name(),
            "waited_ms" => millis(now.since(self.arrived)),
            "left_ms" => millis(now.until(self.deadline)),
            "view_ms" => self.state.directory.age().map(millis),
            "limit_per_second" => self.state.upstream_limits.get(upstream).map(RateLimit::per_second),
            "started" => listed.as_ref().and_then(|u| u.started),
            "version" => listed.as_ref().and_then(|u| u.version.as_deref()),
            "resumes" => self.job.resumes.as_deref(),
            "last_event" => self.relay.last_event());
    }

    pub(super) async fn give_up(
        &mut self,
        refusal: Option<Refusal>,
        retry_after: Duration,
    ) -> Outcome {
        if self.confirmation.search_until().is_some() {
            return self.end_unconfirmed().await;
        }
        if self.may_have_run {
            return self.fail(CallerError::UpstreamFailed).await;
        }
        self.fail(CallerError::from_refusal(refusal, retry_after))
            .await
    }

    /// Ends a request that is kept from upstreams since one of its parts crashes these.
    pub(super) async fn give_up_quarantined(&mut self, retry_after: Duration) -> Outcome {
        let error = match self.may_have_run {
            true => CallerError::UpstreamFailed,
            false => CallerError::Quarantined(retry_after),
        };
        self.fail(error).await
    }

    pub(super) async fn fail(&mut self, error: CallerError) -> Outcome {
        let outcome = error.outcome();
        info!(self.state.log, "request given up";
            "request" => %self.job.logged_id(self.request),
            "code" => error.code(),
            "run" => ?error.run_status(),
            "attempts" => self.attempts,
            "after_ms" => millis(self.state.now().since(self.arrived)));
        self.relay.fail(error).await;
        outcome
    }

    /// Records the result of claimed work in the claim store.
    pub(super) fn record_claim_result(&mut self, outcome: Outcome) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        match outcome {
            Outcome::good | Outcome::late | Outcome::failed => claim.record_done(),
            Outcome::invalid if self.may_have_run => claim.record_done(),
            _ if self.may_have_run => claim.record_unknown(),
            _ => claim.release(),
        }
    }

    pub(super) fn finish(&mut self, outcome: Outcome) {
        if let Some(silent) = self.silent.take() {
            self.end_attempt(&silent, AttemptResult::Silent);
        }
        self.record_claim_result(outcome);
        let schedulers: Vec<Name> = self.schedulers.keys().cloned().collect();
        for upstream in schedulers {
            self.withdraw(&upstream, WithdrawReason::GivenUp);
        }
        let state = &self.state;
        state.local_schedulers.remove_listener(self.request);
        let admission = &self.job.admission;
        let elapsed = state.now().since(self.arrived);
        let key = BurnKey {
            tier: admission.tier.clone(),
            organisation: admission.organisation.clone(),
        };
        state.record_outcome(key, outcome, self.sent_to.as_ref());
        if self.sent_to.is_some() {
            state
                .metrics
                .record_duration(&admission.tier, elapsed.as_secs_f64());
        }
        info!(state.log, "request ended";
            "request" => %self.job.logged_id(self.request),
            "organisation" => %admission.organisation,
            "tier" => %admission.tier,
            "upstream" => self.sent_to.as_deref(),
            "attempts" => self.attempts,
            "revision" => state.active_settings.revision().0,
            "outcome" => outcome.name(),
            "framing" => self.relay.framing().map(Framing::name),
            "partial_bytes" => self.relay.partial_bytes(),
            "blocked_ms" => millis(self.relay.blocked()),
            "first_ms" => self.relay.first_byte().map(|at| millis(at.since(self.arrived))),
            "milliseconds" => millis(elapsed));
        state.release(self.request);
    }
}
