//! Relay of the body of an answer.

use std::time::Duration;

use super::Attempt;
use super::AttemptResult;
use super::connection_end::EndEvidence;
use super::running::RunningAnswer;
use crate::clock::Timestamp;
use crate::entry::idempotency::OwnedClaim;
use crate::entry::relay::Relay;
use crate::outcome::Outcome;
use crate::outlier::UpstreamResult;

/// Silence after which another upstream is sought for a resumable stream, as a multiple
/// of the route's `pause`, the longest pause between two events with which a stream
/// counts as on time.
const IDLE_TIMEOUT_PAUSES: u32 = 3;

/// Shortest such silence: a sound upstream may say nothing for about a second.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Attempt {
    /// Relays the body of the answer until its end.
    pub(super) async fn relay_body(
        &self,
        running: &mut RunningAnswer,
        relay: &mut Relay,
        claim: &mut Option<OwnedClaim>,
    ) -> AttemptResult {
        loop {
            if running.cutoff.is_reached(self.state.now()) {
                return AttemptResult::TimedOut;
            }
            let end = running.cutoff.end();
            let idle_timeout = self.idle_timeout(relay);
            let next_step = idle_timeout.map(|limit| running.silence.next_step(limit));
            // After a stall of the event loop, timers have elapsed while bytes are there.
            let next = tokio::select! {
                biased;
                () = relay.closed(), if self.job.cancellable => {
                    return AttemptResult::CallerDisconnected;
                }
                next = running.next() => next,
                () = self.sleep_until_or_forever(Some(end)) => {
                    if running.cutoff.is_end(self.state.now()) {
                        return AttemptResult::TimedOut;
                    }
                    continue;
                }
                () = self.sleep_until_or_forever(next_step) => {
                    let limit = idle_timeout.unwrap_or(Duration::MAX);
                    if running.silence.count_step(self.state.now(), limit) {
                        return self.report_silence(running);
                    }
                    continue;
                }
            };
            let now = self.state.now();
            running.silence.reset(now);
            match next {
                Ok(Some(bytes)) => {
                    if !std::mem::replace(&mut running.has_body_started, true) {
                        self.record_first_byte(now);
                        if let Some(sent) = &*self.sent.borrow() {
                            sent.record_start(now);
                        }
                    }
                    if let Some(claim) = claim {
                        claim.record_body(&bytes);
                    }
                    let blocked_until = running.cutoff.blocked_end();
                    let pushed = tokio::select! {
                        biased;
                        pushed = relay.push(now, bytes) => pushed,
                        () = self.sleep_until_or_forever(Some(blocked_until)) => {
                            return AttemptResult::TimedOut;
                        }
                    };
                    match pushed {
                        Ok(true) => self.record_origin(relay),
                        Ok(false) => {}
                        Err(e) => return self.fail_exchange(&e.into(), running.progress()),
                    }
                    // While a slow caller blocked the answer, the upstream was not read.
                    let pushed_at = self.state.now();
                    relay.record_blocked(pushed_at.since(now));
                    running.silence.reset(pushed_at);
                }
                Ok(None) => return self.end_answer(running, relay, now).await,
                Err(e) => return self.fail_exchange(&e, running.progress()),
            }
        }
    }

    /// Ends the answer after the upstream has ended its body.
    async fn end_answer(
        &self,
        running: &RunningAnswer,
        relay: &mut Relay,
        now: Timestamp,
    ) -> AttemptResult {
        if !relay.is_complete() {
            return self.fail_incomplete(relay);
        }
        if relay.may_go_on() {
            match self.end_evidence(running, relay).await {
                EndEvidence::refused | EndEvidence::replaced | EndEvidence::silent => {
                    return self.fail_incomplete(relay);
                }
                EndEvidence::asked => return AttemptResult::Unconfirmed,
                EndEvidence::serving | EndEvidence::listening => {}
            }
        }
        relay.finish().await;
        self.state.streams.end(self.job.stream(self.request));
        if running.status < 500 {
            self.state
                .record_result(&self.upstream, UpstreamResult::Served);
        }
        AttemptResult::Completed(self.outcome(running.status, now))
    }

    /// Records the software version that began the stream.
    fn record_origin(&self, relay: &Relay) {
        let version = relay.origin().cloned().unwrap_or_default();
        let stream = self.job.stream(self.request);
        let timeout = self.state.answer_timeout(&self.job);
        let streams = &self.state.streams;
        streams.begin(stream, &self.job.target, version, timeout);
    }

    fn record_first_byte(&self, now: Timestamp) {
        self.scheduler
            .mark_answering(now, &self.upstream, self.request);
        let waited = now.since(self.arrived).as_secs_f64();
        let tier = &self.job.admission.tier;
        self.state.metrics.record_first_byte(tier, waited);
    }

    /// Returns the silence after which another upstream is sought for a resumable
    /// stream, or `None` if no other upstream can continue it.
    fn idle_timeout(&self, relay: &Relay) -> Option<Duration> {
        let route = &self.job.admission.route;
        let pause = route.pause.filter(|_| route.resumable)?;
        let limit = (pause * IDLE_TIMEOUT_PAUSES).max(MIN_IDLE_TIMEOUT);
        relay.can_fail_over().then_some(limit)
    }

    fn outcome(&self, status: u16, now: Timestamp) -> Outcome {
        match status {
            500.. => Outcome::failed,
            400..500 => Outcome::invalid,
            _ if now > self.deadline => Outcome::late,
            _ => Outcome::good,
        }
    }

    async fn sleep_until_or_forever(&self, at: Option<Timestamp>) {
        match at {
            Some(at) => actix_rt::time::sleep_until(self.state.instant(at).into()).await,
            None => std::future::pending().await,
        }
    }
}
