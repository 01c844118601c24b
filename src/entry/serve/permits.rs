//! The permit to send a request to an upstream with a rate limit.

use std::time::Duration;

use slog::info;

use super::RequestTask;
use crate::admission::retry_after;
use crate::dispatch::Action;
use crate::dispatch::Event;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::name::Name;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::WithdrawReason;
use crate::units::millis;

/// The longest wait for a permit. Other upstreams may have room meanwhile.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(500);

/// The longest wait while a silent upstream may go on with its answer, which is not read
/// meanwhile.
const MAX_SILENT_PERMIT_WAIT: Duration = Duration::from_millis(100);

impl RequestTask {
    /// Waits for the permit to send the request to `upstream`, which has granted room.
    ///
    /// # Errors
    ///
    /// Fails with the actions with which the request goes on if there is none in time: it
    /// was not sent, and the grant is withdrawn.
    pub(super) async fn acquire_permit(
        &mut self,
        upstream: &Name,
        scheduler: &SchedulerHandle,
    ) -> Result<(), Vec<Action>> {
        let limits = &self.state.upstream_limits;
        if limits.get(upstream).is_none() {
            return Ok(());
        }
        let acquired = tokio::select! {
            biased;
            () = self.relay.closed() => None,
            acquired = limits.acquire(upstream, self.job.admission.rank, self.max_permit_wait()) => {
                Some(acquired)
            }
        };
        if let Some(Ok(())) = acquired {
            return Ok(());
        }
        let state = &self.state;
        let now = state.now();
        scheduler.withdraw(now, upstream, self.request, WithdrawReason::GivenUp);
        state.links.unregister(upstream, self.request);
        state.remove_outstanding(upstream);
        let Some(Err(wait)) = acquired else {
            return Err(self.dispatch.abandon());
        };
        info!(state.log, "rate limit of the upstream leaves no room for the request";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %upstream,
            "wait_ms" => millis(wait));
        let left = now.until(self.deadline);
        let refusal = Refusal::new(RefusalCode::Overloaded, retry_after(wait, left));
        self.begin_search();
        Err(self
            .dispatch
            .handle_event(Event::NotRun(upstream.clone(), refusal)))
    }

    /// Returns how long the request may wait for a permit.
    fn max_permit_wait(&self) -> Duration {
        if self.silent.is_some() {
            return MAX_SILENT_PERMIT_WAIT;
        }
        if self.relay.has_sent_head() {
            return MAX_PERMIT_WAIT;
        }
        let max_wait = self.job.admission.urgency().max_expected_wait();
        max_wait.min(MAX_PERMIT_WAIT)
    }
}
