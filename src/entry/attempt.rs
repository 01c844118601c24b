//! Attempt to serve a request at one upstream.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;

use crate::clock::Timestamp;
use crate::dialect::AnswerVerdict;
use crate::dialect::ForwardContext;
use crate::entry::idempotency::OwnedClaim;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::entry::relay::Relay;
use crate::entry::request::Job;
use crate::entry::request::PUBLIC_ORGANISATION;
use crate::entry::state::EntryState;
use crate::exchange;
use crate::exchange::Answer;
use crate::exchange::ExchangeError;
use crate::exchange::Framing;
use crate::headers::Header;
use crate::ids::RequestId;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::outlier::UpstreamResult;
use crate::settings::Upstream;
use crate::silence::SilenceWatch;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::units::millis;
use crate::upstream_request::UpstreamRequest;
use crate::usage::AnswerFormat;

#[cfg(test)]
mod tests;

/// Retry delay after an upstream has reported that it is full.
const UPSTREAM_FULL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry delay after an upstream could not be reached or was replaced.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Idle timeout of a resumable stream, as a multiple of the route's `pause`, the
/// longest pause between two events with which a stream counts as on time.
const IDLE_TIMEOUT_PAUSES: u32 = 3;

/// Time for which bytes that have arrived are relayed after the timeout of a request.
const READY_GRACE: Duration = Duration::from_millis(200);

/// Result of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// The complete answer was relayed.
    Completed(Outcome),
    /// The upstream certainly did not run the request.
    NotRun(Refusal),
    /// The exchange failed or the answer is incomplete; the request may have
    /// run.
    Interrupted,
    /// The caller has disconnected and the work is cancelled.
    CallerDisconnected,
    /// The caller had disconnected before the request was sent.
    NotSent,
    /// The timeout of the request has elapsed.
    TimedOut,
}

/// Attempt to serve a request at one upstream.
pub struct Attempt<'a> {
    /// The state of the entry.
    pub state: &'a Rc<EntryState>,
    /// The id of the request.
    pub request: RequestId,
    /// The request to send.
    pub job: &'a Job,
    /// The upstream.
    pub upstream: &'a Name,
    /// The scheduler that issued the grant.
    pub scheduler: &'a SchedulerHandle,
    /// The time after which the answer counts as late.
    pub deadline: Timestamp,
    /// The time at which the answer is aborted.
    pub timeout_at: Timestamp,
    /// The time at which the request arrived.
    pub arrived: Timestamp,
    /// Whether the route allows no further attempt.
    pub is_last: bool,
}

impl Attempt<'_> {
    /// Sends the request and relays the answer.
    pub async fn run(&self, relay: &mut Relay, claim: &mut Option<OwnedClaim>) -> AttemptResult {
        // A leaving or removed upstream is treated like an unreachable one.
        let Some(upstream) = self.active_upstream(relay) else {
            return self.fail_unreachable();
        };
        let until = self.state.instant(self.timeout_at);
        let answer = tokio::select! {
            biased;
            () = relay.closed(), if self.job.cancellable => return AttemptResult::CallerDisconnected,
            answer = self.send_request(&upstream, relay) => answer,
            () = actix_rt::time::sleep_until(until.into()) => return AttemptResult::TimedOut,
        };
        match answer {
            Ok(answer) => self.handle_answer(answer, &upstream, relay, claim).await,
            Err(result) => result,
        }
    }

    /// Returns the upstream, or `None` if it is leaving, was removed or runs another
    /// software version since the ticket was offered.
    fn active_upstream(&self, relay: &Relay) -> Option<Upstream> {
        let upstream = self.state.directory.get(self.upstream)?;
        let may_answer = relay.origin().is_none_or(|v| upstream.version == *v);
        Some(upstream).filter(|u| !u.leaving && may_answer)
    }

    /// Sends the request and waits for the head of its answer.
    async fn send_request(
        &self,
        upstream: &Upstream,
        relay: &Relay,
    ) -> Result<Answer, AttemptResult> {
        let stream = exchange::connect(upstream.address).await;
        let stream = stream.map_err(|e| self.fail_exchange(&e))?;
        // A connection on the same host opens without a pause, in which the closed
        // connections of callers would be read.
        tokio::task::yield_now().await;
        // The upstream may have started to leave during the connection attempt, and so
        // may the caller.
        let current = self.active_upstream(relay);
        if current.is_none_or(|u| u.version != upstream.version) {
            return Err(self.fail_unreachable());
        }
        if relay.is_closed() {
            return Err(AttemptResult::NotSent);
        }
        self.state.record_prefix(self.upstream, &self.job.prefix);
        let upstream_request = self.upstream_request(upstream, relay);
        let sent = exchange::send(stream, &upstream_request);
        // Until a head is relayed to the caller, only the timeout of the request
        // limits the wait for an answer.
        let head_timeout = self.idle_timeout(relay).filter(|_| relay.has_sent_head());
        let answer = match head_timeout {
            Some(timeout) => match actix_rt::time::timeout(timeout, sent).await {
                Ok(answer) => answer,
                Err(_) => return Err(self.fail_idle(&SilenceWatch::new(self.state.now()))),
            },
            None => sent.await,
        };
        answer.map_err(|e| self.fail_exchange(&e))
    }

    fn upstream_request(&self, upstream: &Upstream, relay: &Relay) -> UpstreamRequest {
        let mut upstream_request = self.job.upstream_request.clone();
        let organisation = &self.job.admission.organisation;
        let context = ForwardContext {
            organisation: Some(organisation).filter(|o| o.as_str() != PUBLIC_ORGANISATION),
            remaining: self.state.now().until(self.deadline),
            instance: upstream.instance.as_ref(),
            // After the first event is relayed, the answer resumes from the last
            // relayed one, otherwise from the one that the caller named.
            last_event: relay.last_event().or(self.job.last_event),
        };
        self.state
            .dialect
            .add_headers(&mut upstream_request, &context);
        upstream_request
    }

    async fn handle_answer(
        &self,
        mut answer: Answer,
        upstream: &Upstream,
        relay: &mut Relay,
        claim: &mut Option<OwnedClaim>,
    ) -> AttemptResult {
        let dialect = &self.state.dialect;
        let verdict = dialect.classify_answer(self.job.caller_id.as_ref(), &answer.head);
        match verdict {
            AnswerVerdict::Answer => {}
            AnswerVerdict::Full => {
                return AttemptResult::NotRun(Refusal::new(
                    RefusalCode::Overloaded,
                    UPSTREAM_FULL_RETRY_AFTER,
                ));
            }
            AnswerVerdict::WrongInstance => {
                self.state
                    .record_result(self.upstream, UpstreamResult::Replaced);
                return AttemptResult::NotRun(Refusal::new(
                    RefusalCode::Stale,
                    UNREACHABLE_RETRY_AFTER,
                ));
            }
            AnswerVerdict::RequestIdMismatch => {
                self.state
                    .record_result(self.upstream, UpstreamResult::Failed);
                return AttemptResult::Interrupted;
            }
        }
        let status = answer.head.status;
        if relay.has_sent_head() && !(200..300).contains(&status) {
            // A response that doesn't continue the stream must not be appended to it.
            self.state
                .record_result(self.upstream, UpstreamResult::Failed);
            return AttemptResult::Interrupted;
        }
        if status >= 500 {
            self.state
                .record_result(self.upstream, UpstreamResult::Failed);
            if self.job.idempotent && !self.is_last {
                return AttemptResult::Interrupted;
            }
        }
        let headers = std::mem::take(&mut answer.head.headers);
        self.record_claim_head(claim, status, &headers);
        let format = match status < 300 {
            true => dialect.answer_format(&self.job.upstream_request, upstream),
            false => AnswerFormat::Opaque,
        };
        relay
            .begin_answer(
                status,
                headers,
                answer.framing,
                format,
                upstream.version.clone(),
            )
            .await;
        self.relay_body(answer, status, upstream.address, relay, claim)
            .await
    }

    fn record_claim_head(&self, claim: &mut Option<OwnedClaim>, status: u16, headers: &[Header]) {
        if let Some(claim) = claim {
            claim.record_head(status, headers);
        }
    }

    async fn relay_body(
        &self,
        mut answer: Answer,
        status: u16,
        address: SocketAddr,
        relay: &mut Relay,
        claim: &mut Option<OwnedClaim>,
    ) -> AttemptResult {
        let until = self.state.instant(self.timeout_at);
        let mut cutoff = Cutoff::new(self.timeout_at);
        let mut has_body_started = false;
        let mut silence = SilenceWatch::new(self.state.now());
        loop {
            if cutoff.is_reached(self.state.now()) {
                return AttemptResult::TimedOut;
            }
            let idle_timeout = self.idle_timeout(relay);
            let next_step = idle_timeout.map(|limit| silence.next_step(limit));
            // After a stall of the event loop, timers have elapsed while bytes are there.
            let next = tokio::select! {
                biased;
                () = relay.closed(), if self.job.cancellable => return AttemptResult::CallerDisconnected,
                next = answer.next() => next,
                () = actix_rt::time::sleep_until(until.into()) => return AttemptResult::TimedOut,
                () = self.sleep_until_or_forever(next_step) => {
                    let limit = idle_timeout.unwrap_or(Duration::MAX);
                    if silence.count_step(self.state.now(), limit) {
                        return self.fail_idle(&silence);
                    }
                    continue;
                }
            };
            let now = self.state.now();
            silence.reset(now);
            match next {
                Ok(Some(bytes)) => {
                    if !has_body_started {
                        has_body_started = true;
                        self.record_first_byte(now);
                    }
                    if let Some(claim) = claim {
                        claim.record_body(&bytes);
                    }
                    if relay.push(now, bytes).await {
                        self.record_origin(relay);
                    }
                }
                Ok(None) => {
                    // A crash looks like the end of such an answer, but leaves no listener.
                    if relay.may_go_on() && exchange::refuses_connections(address).await {
                        return self.fail_incomplete(relay);
                    }
                    if relay.finish().await {
                        if status < 500 {
                            self.state
                                .record_result(self.upstream, UpstreamResult::Served);
                        }
                        return AttemptResult::Completed(self.outcome(status, now));
                    }
                    return self.fail_incomplete(relay);
                }
                Err(e) => return self.fail_exchange(&e),
            }
        }
    }

    /// Records the software version that began the stream.
    fn record_origin(&self, relay: &Relay) {
        let version = relay.origin().cloned().unwrap_or_default();
        let stream = self.job.stream(self.request);
        let timeout = self.state.answer_timeout(self.job);
        let streams = &self.state.streams;
        streams.begin(stream, &self.job.target, version, timeout);
    }

    fn record_first_byte(&self, now: Timestamp) {
        self.scheduler
            .mark_answering(now, self.upstream, self.request);
        let waited = now.since(self.arrived).as_secs_f64();
        let tier = &self.job.admission.tier;
        self.state.metrics.record_first_byte(tier, waited);
    }

    /// Returns the idle time after which a resumable stream is continued at
    /// another upstream, or `None` if no other upstream can continue it.
    fn idle_timeout(&self, relay: &Relay) -> Option<Duration> {
        let route = &self.job.admission.route;
        let pause = route.pause.filter(|_| route.resumable)?;
        relay.can_fail_over().then_some(pause * IDLE_TIMEOUT_PAUSES)
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

    /// Ends the attempt because of the silence of the upstream.
    fn fail_idle(&self, silence: &SilenceWatch) -> AttemptResult {
        info!(self.state.log, "upstream sent nothing within the idle timeout";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "silent_ms" => millis(silence.silent()),
            "stalled_ms" => millis(silence.stalled()));
        self.state
            .record_result(self.upstream, UpstreamResult::Failed);
        AttemptResult::Interrupted
    }

    fn fail_incomplete(&self, relay: &Relay) -> AttemptResult {
        info!(self.state.log, "answer of the upstream ended before it was complete";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "framing" => relay.framing().map(Framing::name),
            "partial_bytes" => relay.partial_bytes());
        self.state
            .record_result(self.upstream, UpstreamResult::Failed);
        AttemptResult::Interrupted
    }

    fn fail_exchange(&self, e: &ExchangeError) -> AttemptResult {
        info!(self.state.log, "exchange with the upstream failed";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "error" => %e);
        if e.is_not_sent() {
            return self.fail_unreachable();
        }
        self.state
            .record_result(self.upstream, UpstreamResult::Failed);
        AttemptResult::Interrupted
    }

    fn fail_unreachable(&self) -> AttemptResult {
        self.state
            .record_result(self.upstream, UpstreamResult::Unreachable);
        AttemptResult::NotRun(Refusal::new(
            RefusalCode::Unreachable,
            UNREACHABLE_RETRY_AFTER,
        ))
    }
}

/// End of an answer whose request has reached its timeout: what has arrived by then is
/// still relayed, for a short time.
struct Cutoff {
    timeout_at: Timestamp,
    /// The first time after the timeout at which the answer was looked at.
    overdue_since: Option<Timestamp>,
}

impl Cutoff {
    fn new(timeout_at: Timestamp) -> Self {
        Self {
            timeout_at,
            overdue_since: None,
        }
    }

    /// Returns whether an answer must end at `now` although bytes of it may be there.
    fn is_reached(&mut self, now: Timestamp) -> bool {
        if now < self.timeout_at {
            return false;
        }
        let since = *self.overdue_since.get_or_insert(now);
        now.since(since) >= READY_GRACE
    }
}
