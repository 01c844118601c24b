//! One try of a request at one upstream.

use std::rc::Rc;
use std::time::Duration;

use slog::info;

use crate::clock::Timestamp;
use crate::dialect::AnswerVerdict;
use crate::dialect::ForwardContext;
use crate::entry::keyed::Claimed;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::entry::relay::Relay;
use crate::entry::request::Job;
use crate::entry::request::PUBLIC;
use crate::entry::state::EntryState;
use crate::exchange;
use crate::exchange::Answer;
use crate::exchange::ExchangeError;
use crate::headers::Header;
use crate::ids::RequestId;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::outlier::UpstreamResult;
use crate::settings::Upstream;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::upstream_request::UpstreamRequest;
use crate::usage::AnswerForm;

/// When to come back after an upstream that said it was full.
const FULL_RETRY: Duration = Duration::from_millis(300);

/// When to come back after an upstream that can't be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(500);

/// A stream that is silent for so many of the longest pauses that are on time
/// goes on elsewhere, where it may.
const SILENT_PAUSES: u32 = 3;

/// How a try has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The whole answer was passed on.
    Whole(Outcome),
    /// The upstream surely did not run the request.
    NotRun(Refusal),
    /// The answer failed or broke off; the request may have run.
    Broken,
    /// The caller has gone, and the work with it.
    CallerGone,
    /// The caller may be kept waiting no longer.
    TimedOut,
}

/// One try of a request at one upstream.
pub struct Attempt<'a> {
    /// The state of the entry.
    pub state: &'a Rc<EntryState>,
    /// The request's id.
    pub request: RequestId,
    /// What it is.
    pub job: &'a Job,
    /// The upstream.
    pub upstream: &'a Name,
    /// The scheduler that has granted the room.
    pub scheduler: &'a SchedulerHandle,
    /// When the answer stops being useful.
    pub deadline: Timestamp,
    /// When the answer is broken off.
    pub cut: Timestamp,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// Whether the route allows no other upstream afterwards.
    pub last: bool,
}

impl Attempt<'_> {
    /// Sends the request and passes the answer on.
    pub async fn run(&self, relay: &mut Relay, claimed: &mut Option<Claimed>) -> Ended {
        let Some(upstream) = self.staying() else {
            return self.unreachable();
        };
        let until = self.state.instant(self.cut);
        let answer = tokio::select! {
            answer = self.open(&upstream, relay) => answer,
            () = relay.closed(), if self.job.cancellable => return Ended::CallerGone,
            () = actix_rt::time::sleep_until(until.into()) => return Ended::TimedOut,
        };
        match answer {
            Ok(answer) => self.answered(answer, &upstream, relay, claimed).await,
            Err(ended) => ended,
        }
    }

    /// The upstream; none if it has begun to leave, or is gone, since the
    /// ticket was offered.
    fn staying(&self) -> Option<Upstream> {
        let upstream = self.state.directory.get(self.upstream);
        upstream.filter(|u| !u.leaving)
    }

    /// Sends the request and waits for the head of its answer.
    async fn open(&self, upstream: &Upstream, relay: &Relay) -> Result<Answer, Ended> {
        let stream = exchange::connect(upstream.address).await;
        let stream = stream.map_err(|e| self.failed(&e))?;
        // It may have begun to leave while the connection came about.
        if self.staying().is_none() {
            return Err(self.unreachable());
        }
        self.state.record_prefix(self.upstream, &self.job.prefix);
        let upstream_request = self.upstream_request(upstream, relay);
        let sent = exchange::send(stream, &upstream_request);
        let head_within = self.silence(relay).filter(|_| relay.has_begun());
        let answer = match head_within {
            Some(within) => match actix_rt::time::timeout(within, sent).await {
                Ok(answer) => answer,
                Err(_) => return Err(self.silent()),
            },
            None => sent.await,
        };
        answer.map_err(|e| self.failed(&e))
    }

    fn upstream_request(&self, upstream: &Upstream, relay: &Relay) -> UpstreamRequest {
        let mut upstream_request = self.job.upstream_request.clone();
        let organisation = &self.job.admission.organisation;
        let context = ForwardContext {
            organisation: Some(organisation).filter(|o| o.as_str() != PUBLIC),
            remaining: self.state.now().until(self.deadline),
            instance: upstream.instance.as_ref(),
            last_event: relay.last_event().or(self.job.last_event),
        };
        self.state
            .dialect
            .add_headers(&mut upstream_request, &context);
        upstream_request
    }

    async fn answered(
        &self,
        mut answer: Answer,
        upstream: &Upstream,
        relay: &mut Relay,
        claimed: &mut Option<Claimed>,
    ) -> Ended {
        let dialect = &self.state.dialect;
        let verdict = dialect.classify_answer(self.job.caller_id.as_ref(), &answer.head);
        match verdict {
            AnswerVerdict::Answer => {}
            AnswerVerdict::Full => {
                return Ended::NotRun(Refusal::new(RefusalCode::Overloaded, FULL_RETRY));
            }
            AnswerVerdict::WrongInstance => {
                self.state
                    .record_result(self.upstream, UpstreamResult::Replaced);
                return Ended::NotRun(Refusal::new(RefusalCode::Stale, UNREACHABLE_RETRY));
            }
            AnswerVerdict::Mismatch => {
                self.state
                    .record_result(self.upstream, UpstreamResult::Failed);
                return Ended::Broken;
            }
        }
        let status = answer.head.status;
        if relay.has_begun() && !(200..300).contains(&status) {
            // What is no part of the stream must not be joined to it.
            self.state
                .record_result(self.upstream, UpstreamResult::Failed);
            return Ended::Broken;
        }
        if status >= 500 {
            self.state
                .record_result(self.upstream, UpstreamResult::Failed);
            if self.job.idempotent && !self.last {
                return Ended::Broken;
            }
        }
        let headers = std::mem::take(&mut answer.head.headers);
        self.note_head(claimed, status, &headers);
        let form = match status < 300 {
            true => dialect.answer_form(&self.job.upstream_request, upstream),
            false => AnswerForm::Opaque,
        };
        relay.head(status, headers, form).await;
        self.pass_on(answer, status, relay, claimed).await
    }

    fn note_head(&self, claimed: &mut Option<Claimed>, status: u16, headers: &[Header]) {
        if let Some(claimed) = claimed {
            claimed.head(status, headers);
        }
    }

    async fn pass_on(
        &self,
        mut answer: Answer,
        status: u16,
        relay: &mut Relay,
        claimed: &mut Option<Claimed>,
    ) -> Ended {
        let until = self.state.instant(self.cut);
        let mut begun = false;
        loop {
            let silence = silence(self.silence(relay));
            let next = tokio::select! {
                next = answer.next() => next,
                () = relay.closed(), if self.job.cancellable => return Ended::CallerGone,
                () = actix_rt::time::sleep_until(until.into()) => return Ended::TimedOut,
                () = silence => return self.silent(),
            };
            let now = self.state.now();
            match next {
                Ok(Some(bytes)) => {
                    if !begun {
                        begun = true;
                        self.begun(now);
                    }
                    if let Some(claimed) = claimed {
                        claimed.bytes(&bytes);
                    }
                    relay.bytes(now, bytes).await;
                }
                Ok(None) => {
                    if relay.end().await {
                        if status < 500 {
                            self.state
                                .record_result(self.upstream, UpstreamResult::Served);
                        }
                        return Ended::Whole(self.outcome(status, now));
                    }
                    self.state
                        .record_result(self.upstream, UpstreamResult::Failed);
                    return Ended::Broken;
                }
                Err(e) => return self.failed(&e),
            }
        }
    }

    fn begun(&self, now: Timestamp) {
        self.scheduler
            .mark_answering(now, self.upstream, self.request);
        let waited = now.since(self.arrived).as_secs_f64();
        let tier = &self.job.admission.tier;
        self.state.metrics.first_byte(tier, waited);
    }

    /// The silence after which a stream goes on elsewhere, where it may.
    fn silence(&self, relay: &Relay) -> Option<Duration> {
        let route = &self.job.admission.route;
        let pause = route.pause.filter(|_| route.resumable)?;
        relay.may_go_on().then_some(pause * SILENT_PAUSES)
    }

    fn outcome(&self, status: u16, now: Timestamp) -> Outcome {
        match status {
            500.. => Outcome::failed,
            400..500 => Outcome::invalid,
            _ if now > self.deadline => Outcome::late,
            _ => Outcome::good,
        }
    }

    fn silent(&self) -> Ended {
        info!(self.state.log, "upstream fell silent";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream);
        self.state
            .record_result(self.upstream, UpstreamResult::Failed);
        Ended::Broken
    }

    fn failed(&self, e: &ExchangeError) -> Ended {
        info!(self.state.log, "exchange with the upstream failed";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream,
            "error" => %e);
        if e.is_not_sent() {
            return self.unreachable();
        }
        self.state
            .record_result(self.upstream, UpstreamResult::Failed);
        Ended::Broken
    }

    fn unreachable(&self) -> Ended {
        self.state
            .record_result(self.upstream, UpstreamResult::Unreachable);
        Ended::NotRun(Refusal::new(RefusalCode::Unreachable, UNREACHABLE_RETRY))
    }
}

async fn silence(limit: Option<Duration>) {
    match limit {
        Some(limit) => actix_rt::time::sleep(limit).await,
        None => std::future::pending().await,
    }
}
