//! Attempt to serve a request at one upstream.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::net::TcpStream;

use crate::answer_verdict::AnswerVerdict;
use crate::clock::Timestamp;
use crate::dialect::ForwardContext;
use crate::entry::idempotency::OwnedClaim;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::entry::relay::Relay;
use crate::entry::reply_queue::Collection;
use crate::entry::request::Job;
use crate::entry::rollouts::SentRequest;
use crate::entry::state::EntryState;
use crate::exchange;
use crate::exchange::Answer;
use crate::headers::Header;
use crate::ids::RequestId;
use crate::name::Name;
use crate::outlier::UpstreamResult;
use crate::settings::Upstream;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::upstream_request::UpstreamRequest;
use crate::usage::AnswerFormat;

mod body;
mod connection_end;
mod failures;
mod result;
mod run_check;
mod running;
#[cfg(test)]
mod tests;

pub use self::connection_end::EndEvidence;
pub use self::result::AttemptResult;
use self::running::AnswerProgress;
use self::running::RunningAnswer;

/// Retry delay after an upstream has reported that it is full.
const UPSTREAM_FULL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry delay after an upstream could not be reached or was replaced.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Attempt to serve a request at one upstream.
pub struct Attempt {
    /// The state of the entry.
    pub state: Rc<EntryState>,
    /// The id of the request.
    pub request: RequestId,
    /// The request to send.
    pub job: Rc<Job>,
    /// The upstream.
    pub upstream: Name,
    /// The scheduler that issued the grant.
    pub scheduler: SchedulerHandle,
    /// The time after which the answer counts as late.
    pub deadline: Timestamp,
    /// The time at which the answer is aborted.
    pub timeout_at: Timestamp,
    /// The time by which the head of the answer has to arrive; `None` if it may take until
    /// the timeout.
    pub reply_until: Option<Timestamp>,
    /// The time at which the request arrived.
    pub arrived: Timestamp,
    /// The random number by which roll-outs decide on the version.
    pub version_draw: f64,
    /// Whether the route allows no further attempt.
    pub is_last: bool,
    /// The connection to the upstream, from [`Attempt::connect`] to [`Attempt::run`].
    pub(super) connected: Option<Connected>,
    /// Whether the upstream has broken off the exchange.
    pub(super) is_broken_off: Cell<bool>,
    /// The answer, from its head on, while [`Attempt::run`] does not run.
    pub(super) running: Option<RunningAnswer>,
    /// The request while it runs at the upstream, if roll-outs are on.
    pub(super) sent: RefCell<Option<SentRequest>>,
}

/// An upstream to which a connection is open.
pub struct Connected {
    upstream: Upstream,
    stream: TcpStream,
}

/// The answer of an upstream, of which the head has arrived.
struct Answered {
    /// Boxed, since the futures that hold it would be larger otherwise.
    answer: Box<Answer>,
    upstream: Upstream,
    /// When the request was sent.
    sent_at: Timestamp,
}

impl Attempt {
    /// Opens the connection on which [`Attempt::run`] will send the request.
    ///
    /// # Errors
    ///
    /// Fails with the result of the attempt, which has sent nothing.
    pub async fn connect(&mut self, relay: &Relay) -> Result<(), AttemptResult> {
        self.connected = Some(self.open_connection(relay).await?);
        Ok(())
    }

    /// Sends the request and relays the answer, or goes on with it after
    /// [`AttemptResult::Silent`].
    pub async fn run(
        &mut self,
        relay: &mut Relay,
        claim: &mut Option<OwnedClaim>,
    ) -> AttemptResult {
        let begun = match self.running.take() {
            Some(running) => Ok(running),
            None => self.begin(relay, claim).await,
        };
        let mut running = match begun {
            Ok(running) => running,
            Err(result) => return result,
        };
        let result = self.relay_body(&mut running, relay, claim).await;
        if result == AttemptResult::Silent {
            self.running = Some(running);
        }
        result
    }

    /// Lets the upstream be silent for another idle timeout.
    pub fn restart_silence(&mut self) {
        if let Some(running) = &mut self.running {
            running.silence.reset(self.state.now());
        }
    }

    /// Waits until a silent upstream sends something.
    pub async fn wait_for_bytes(&mut self) {
        match &mut self.running {
            Some(running) => running.wait_for_bytes().await,
            None => std::future::pending().await,
        }
    }

    /// Records that the answer was abandoned for another upstream after a silence.
    pub fn leave_silent_upstream(&self) {
        info!(self.state.log, "silent upstream left for another";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %self.upstream);
        self.state
            .record_result(&self.upstream, UpstreamResult::Failed);
    }

    /// Sends the request and relays the head of the answer.
    async fn begin(
        &mut self,
        relay: &mut Relay,
        claim: &mut Option<OwnedClaim>,
    ) -> Result<RunningAnswer, AttemptResult> {
        let connected = self.connected.take();
        let reply_until = self.reply_until.filter(|at| *at < self.timeout_at);
        let until = self.state.instant(reply_until.unwrap_or(self.timeout_at));
        let answered = tokio::select! {
            biased;
            () = relay.closed(), if self.job.cancellable => {
                return Err(AttemptResult::CallerDisconnected);
            }
            answered = self.send_request(connected, relay) => answered?,
            () = actix_rt::time::sleep_until(until.into()) => {
                return Err(match reply_until {
                    Some(_) => AttemptResult::Interrupted,
                    None => AttemptResult::TimedOut,
                });
            }
        };
        self.handle_answer(answered, relay, claim).await
    }

    /// Returns the upstream, or `None` if it is leaving, was removed or runs another
    /// software version since the ticket was offered.
    fn active_upstream(&self, relay: &Relay) -> Option<Upstream> {
        let upstream = self.state.directory.get(&self.upstream)?;
        let may_answer = relay.origin().is_none_or(|v| upstream.version == *v);
        Some(upstream).filter(|u| !u.leaving && may_answer)
    }

    /// Returns whether the version of the upstream may get the request. A roll-out may have
    /// changed since the ticket was offered; a stream that has begun keeps to its version.
    fn may_send(&self, upstream: &Upstream, relay: &Relay) -> bool {
        let draw = self.version_draw;
        relay.origin().is_some()
            || self
                .state
                .may_send(&self.job, &self.upstream, &upstream.version, draw)
    }

    async fn open_connection(&self, relay: &Relay) -> Result<Connected, AttemptResult> {
        // A leaving or removed upstream is treated like an unreachable one.
        let upstream = self.active_upstream(relay);
        let upstream = upstream.ok_or_else(|| self.fail_unreachable())?;
        let stream = exchange::connect(upstream.address).await;
        let stream = stream.map_err(|e| self.fail_exchange(&e, AnswerProgress::None))?;
        // The process that accepted the connection is asked: were it replaced after its reply,
        // the connection would fail. What an agent knows of its upstream can be a moment old.
        if self.job.admission.route.resumable {
            self.check_run(&upstream).await?;
            if relay.origin().is_some() {
                // Boxed, since the future of each request would be larger otherwise.
                Box::pin(self.wait_for_registration(&upstream, &stream)).await?;
            }
        }
        Ok(Connected { upstream, stream })
    }

    /// Sends the request and waits for the head of its answer. Opens a connection if
    /// there is none.
    async fn send_request(
        &self,
        connected: Option<Connected>,
        relay: &Relay,
    ) -> Result<Answered, AttemptResult> {
        let Connected { upstream, stream } = match connected {
            Some(connected) => connected,
            None => self.open_connection(relay).await?,
        };
        // A connection on the same host opens without a pause, in which the closed
        // connections of callers would be read.
        tokio::task::yield_now().await;
        // The upstream may have started to leave during the connection attempt, and so
        // may the caller.
        let current = self.active_upstream(relay);
        if current.is_none_or(|u| u.version != upstream.version) {
            return Err(self.fail_unreachable());
        }
        if !self.may_send(&upstream, relay) {
            return Err(AttemptResult::NotRun(Refusal::new(
                RefusalCode::Unreachable,
                UNREACHABLE_RETRY_AFTER,
            )));
        }
        if relay.has_caller_left() {
            return Err(AttemptResult::NotSent);
        }
        let admitted = self.state.admit_to_upstream(&self.job);
        admitted.map_err(AttemptResult::Quarantined)?;
        let notices = &self.state.notices;
        notices
            .try_send(&self.upstream)
            .map_err(AttemptResult::HeldOff)?;
        self.state.record_prefix(&self.upstream, &self.job.prefix);
        let upstream_request = self.upstream_request(&upstream, relay);
        let sent_at = self.state.now();
        let sent = self.state.rollouts.record_sent(&self.job, &upstream);
        self.sent.replace(sent);
        let mut collection = Collection::new(&self.state.answers);
        let has_room = |length| collection.resize(length);
        let answer = exchange::send(stream, &upstream_request, has_room).await;
        let answer = answer.map_err(|e| self.fail_exchange(&e, AnswerProgress::None))?;
        Ok(Answered {
            answer: Box::new(answer),
            upstream,
            sent_at,
        })
    }

    fn upstream_request(&self, upstream: &Upstream, relay: &Relay) -> UpstreamRequest {
        let mut upstream_request = self.job.upstream_request.clone();
        let organisation = &self.job.admission.organisation;
        let context = ForwardContext {
            organisation: Some(organisation).filter(|_| !self.job.admission.route.public),
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
        answered: Answered,
        relay: &mut Relay,
        claim: &mut Option<OwnedClaim>,
    ) -> Result<RunningAnswer, AttemptResult> {
        let Answered {
            mut answer,
            upstream,
            sent_at,
        } = answered;
        let dialect = &self.state.dialect;
        let marks = dialect.read_marks(self.job.caller_id.as_ref(), &answer.head);
        let verdict = AnswerVerdict::new(answer.head.status, marks);
        let is_own = !matches!(
            verdict,
            AnswerVerdict::Foreign | AnswerVerdict::WrongInstance
        );
        if is_own {
            let notice = dialect.read_notice(&answer.head);
            let status = answer.head.status;
            let notices = &self.state.notices;
            notices.observe(&self.upstream, notice, status, sent_at);
        }
        match verdict {
            AnswerVerdict::Answer => {}
            // The caller would take its status for a promise, and send the request again.
            AnswerVerdict::DoubtfulRefusal if !self.job.idempotent => {
                return Err(self.fail_doubtful(answer.head.status));
            }
            AnswerVerdict::DoubtfulRefusal => {}
            AnswerVerdict::Full => {
                let hold_off = self.state.notices.wait(&self.upstream);
                return Err(AttemptResult::NotRun(Refusal::new(
                    RefusalCode::Overloaded,
                    hold_off.unwrap_or(UPSTREAM_FULL_RETRY_AFTER),
                )));
            }
            AnswerVerdict::WrongInstance => {
                self.state
                    .record_result(&self.upstream, UpstreamResult::Replaced);
                return Err(AttemptResult::NotRun(Refusal::new(
                    RefusalCode::Stale,
                    UNREACHABLE_RETRY_AFTER,
                )));
            }
            AnswerVerdict::Foreign => {
                return Err(self.fail_foreign(answer.head.status, marks));
            }
        }
        let status = answer.head.status;
        if relay.has_sent_head() && !relay.can_continue_with(&answer.head) {
            // A response that doesn't continue the stream must not be appended to it.
            info!(self.state.log, "answer does not continue the stream";
                "request" => %self.job.logged_id(self.request),
                "upstream" => %self.upstream,
                "status" => status);
            self.state
                .record_result(&self.upstream, UpstreamResult::Failed);
            return Err(AttemptResult::Interrupted);
        }
        if status >= 500 {
            self.state
                .record_result(&self.upstream, UpstreamResult::Failed);
            if self.job.idempotent && !self.is_last {
                return Err(AttemptResult::Interrupted);
            }
        }
        let headers = std::mem::take(&mut answer.head.headers);
        self.record_claim_head(claim, status, &headers);
        let format = match status < 300 {
            true => dialect.answer_format(&self.job.upstream_request, &upstream),
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
        Ok(RunningAnswer::new(
            answer,
            upstream,
            self.state.now(),
            self.timeout_at,
        ))
    }

    fn record_claim_head(&self, claim: &mut Option<OwnedClaim>, status: u16, headers: &[Header]) {
        if let Some(claim) = claim {
            claim.record_head(status, headers);
        }
    }
}
