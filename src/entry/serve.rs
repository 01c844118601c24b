//! Serves one accepted request until the end of its answer.

use std::collections::BTreeMap;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::clock::Timestamp;
use crate::directory::SoftwareVersion;
use crate::dispatch::Action;
use crate::dispatch::Dispatch;
use crate::dispatch::Event;
use crate::entry::attempt::Attempt;
use crate::entry::attempt::AttemptResult;
use crate::entry::charges::ConcurrencyPermit;
use crate::entry::charges::QuotaCharge;
use crate::entry::error::CallerError;
use crate::entry::idempotency::OwnedClaim;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::entry::quarantine::record_result;
use crate::entry::relay::Relay;
use crate::entry::reply_queue::ReplySender;
use crate::entry::request::Job;
use crate::entry::rollouts::LAST_DRAW;
use crate::entry::state::EntryState;
use crate::entry::zone_balance::ZoneCause;
use crate::headers::Header;
use crate::http_server::CallerPresence;
use crate::ids::RequestId;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;

use self::confirmation::Confirmation;
use self::waiting::WaitResult;

mod attempts;
mod confirmation;
mod endings;
mod permits;
mod waiting;

/// Retry delay after an upstream has failed and no other is left.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Part of the reply to a caller, in the order of sending.
#[derive(Debug)]
pub enum Reply {
    /// The status and headers of the upstream's answer.
    Head(u16, Vec<Header>),
    /// The next bytes of the body.
    Bytes(bytes::Bytes),
    /// The body is complete.
    End,
    /// The answer failed after its head was sent.
    Truncated,
    /// The request failed before the head of an answer was sent.
    Error(CallerError),
}

/// What came of a request at an upstream that did not serve it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Receipt {
    /// It did not reach the upstream.
    NotReceived,
    /// The upstream has rejected it and did not run it.
    Rejected,
    /// The upstream may have run it.
    MayHaveRun,
}

/// Request that the entry has accepted.
pub struct AcceptedRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The request to schedule.
    pub job: Job,
    /// The time at which the head of the request arrived.
    pub arrived: Timestamp,
    /// The software version that began the stream which the request resumes, if it
    /// does.
    pub origin: Option<SoftwareVersion>,
    /// Tells whether the caller is still there.
    pub presence: Option<CallerPresence>,
    /// The claim on the idempotency key, where the request needs one.
    pub claim: Option<OwnedClaim>,
    /// The count towards the concurrency limit of the organisation.
    pub concurrency_permit: ConcurrencyPermit,
    /// The charge to the quota of the organisation.
    pub quota_charge: QuotaCharge,
}

/// Task that schedules one request, sends it and relays its answer.
pub struct RequestTask {
    state: Rc<EntryState>,
    request: RequestId,
    job: Rc<Job>,
    arrived: Timestamp,
    deadline: Timestamp,
    dispatch: Dispatch,
    /// Schedulers that hold a ticket of this request, by upstream.
    schedulers: BTreeMap<Name, SchedulerHandle>,
    /// The upstream to which the request was last sent.
    sent_to: Option<Name>,
    /// The time at which it was last sent.
    sent_at: Timestamp,
    /// The shortest wait quoted by upstreams of the own zone, until it is counted.
    home_wait: Option<Duration>,
    /// Why the request is offered in its zone.
    zone_cause: ZoneCause,
    /// The attempt at an upstream that is silent, while another one is sought.
    silent: Option<Attempt>,
    /// Number of attempts in which an upstream may have run the request.
    attempts: u32,
    /// Whether an upstream may have run the request.
    may_have_run: bool,
    /// The questions for what follows an answer that has ended with its connection.
    confirmation: Confirmation,
    /// The random number by which roll-outs decide on the version.
    version_draw: f64,
    /// Whether the arrival was recorded for the throttle.
    is_arrival_recorded: bool,
    /// Tells if the entry evicts the request.
    evicted_rx: UnboundedReceiver<Event>,
    /// The events of the tickets of the current search for an upstream.
    event_tx: UnboundedSender<Event>,
    event_rx: UnboundedReceiver<Event>,
    relay: Relay,
    claim: Option<OwnedClaim>,
    quota_charge: QuotaCharge,
    _concurrency_permit: ConcurrencyPermit,
}

impl RequestTask {
    /// Creates the task of an accepted request. `evicted_rx` is the end of the event
    /// channel that is registered for the held request.
    pub fn new(
        state: Rc<EntryState>,
        accepted: AcceptedRequest,
        evicted_rx: UnboundedReceiver<Event>,
        reply_tx: ReplySender,
    ) -> Self {
        let AcceptedRequest {
            request,
            job,
            arrived,
            origin,
            presence,
            claim,
            concurrency_permit,
            quota_charge,
        } = accepted;
        let admission = &job.admission;
        let version_draw = state.draw();
        let candidates = state.candidates(&job, origin.as_ref(), version_draw);
        let dispatch = Self::new_dispatch(&state, &job, candidates);
        let zone_cause = admission.placed.cause;
        state.record_demand(admission, &job.target);
        state.count_for_retry_budget(&job.target);
        let (event_tx, event_rx) = mpsc::unbounded_channel();
        Self {
            request,
            arrived,
            deadline: arrived + admission.deadline,
            dispatch,
            relay: Relay::new(reply_tx, &job)
                .with_origin(origin)
                .with_presence(presence),
            job: Rc::new(job),
            schedulers: BTreeMap::new(),
            sent_to: None,
            sent_at: Timestamp::default(),
            home_wait: None,
            zone_cause,
            silent: None,
            attempts: 0,
            may_have_run: false,
            confirmation: Confirmation::default(),
            version_draw,
            is_arrival_recorded: false,
            evicted_rx,
            event_tx,
            event_rx,
            claim,
            quota_charge,
            _concurrency_permit: concurrency_permit,
            state,
        }
    }

    /// Runs the request to its end and records its outcome.
    pub async fn run(mut self) {
        let outcome = self.run_to_end().await;
        self.finish(outcome);
    }

    async fn run_to_end(&mut self) -> Outcome {
        let mut actions = self.dispatch.start();
        loop {
            let attempt = match self.wait_for_grant(actions).await {
                WaitResult::Granted(upstream, grant) => self.new_attempt(upstream, grant).await,
                WaitResult::Stayed(attempt) => Ok(*attempt),
                WaitResult::Finished(outcome) => return outcome,
            };
            let next = match attempt {
                Ok(attempt) => self.run_attempt(attempt).await,
                Err(actions) => ControlFlow::Continue(actions),
            };
            actions = match next {
                ControlFlow::Continue(actions) => actions,
                ControlFlow::Break(outcome) => return outcome,
            };
        }
    }

    /// Runs an attempt until it ends, or until its upstream is silent and another one is
    /// sought. Returns the outcome of the request, or the actions with which it goes on.
    async fn run_attempt(&mut self, mut attempt: Attempt) -> ControlFlow<Outcome, Vec<Action>> {
        let mut result = attempt.run(&mut self.relay, &mut self.claim).await;
        while result == AttemptResult::Silent {
            if self.may_seek_other(&attempt.upstream) {
                return ControlFlow::Continue(self.seek_other(attempt));
            }
            attempt.restart_silence();
            result = attempt.run(&mut self.relay, &mut self.claim).await;
        }
        self.end_attempt(&attempt, result);
        record_result(&attempt, result).await;
        match result {
            AttemptResult::NotRun(refusal) => {
                let upstream = &attempt.upstream;
                self.confirmation.record_refused(upstream, refusal.code);
            }
            result if result.is_not_run() => {}
            _ => self.record_answer_to_question(),
        }
        match result {
            AttemptResult::Completed(outcome) => ControlFlow::Break(outcome),
            AttemptResult::CallerDisconnected | AttemptResult::NotSent => {
                ControlFlow::Break(Outcome::cancelled)
            }
            AttemptResult::TimedOut => ControlFlow::Break(self.fail(CallerError::TimedOut).await),
            AttemptResult::Quarantined(wait) => {
                ControlFlow::Break(self.give_up_quarantined(wait).await)
            }
            AttemptResult::NotRun(refusal) => {
                let receipt = match refusal.code {
                    RefusalCode::Unreachable => Receipt::NotReceived,
                    _ => Receipt::Rejected,
                };
                ControlFlow::Continue(self.reschedule(&attempt.upstream, refusal, receipt))
            }
            AttemptResult::HeldOff(wait) => {
                let refusal = Refusal::new(RefusalCode::Overloaded, wait);
                let receipt = Receipt::NotReceived;
                ControlFlow::Continue(self.reschedule(&attempt.upstream, refusal, receipt))
            }
            AttemptResult::Unconfirmed => self.confirm_end(&attempt.upstream).await,
            AttemptResult::Interrupted | AttemptResult::Silent if self.confirmation.is_open() => {
                self.ask_again(&attempt.upstream).await
            }
            AttemptResult::Interrupted | AttemptResult::Silent if self.can_fail_over() => {
                // The dispatch handles the failure like that of an unreachable upstream.
                let refusal = Refusal::new(RefusalCode::Unreachable, FAILED_RETRY_AFTER);
                let receipt = Receipt::MayHaveRun;
                ControlFlow::Continue(self.reschedule(&attempt.upstream, refusal, receipt))
            }
            AttemptResult::Interrupted | AttemptResult::Silent => {
                ControlFlow::Break(self.fail(CallerError::UpstreamFailed).await)
            }
        }
    }

    /// Returns whether the answer of a silent upstream can go on at another one.
    fn may_seek_other(&self, silent: &Name) -> bool {
        // The attempt at the silent upstream is not counted yet.
        let has_attempt = self.attempts + 1 < self.job.admission.route.attempts;
        self.can_fail_over()
            && has_attempt
            && self.state.now() < self.deadline
            && self.state.may_retry(&self.job.target)
            && !self.candidates_without(silent).is_empty()
    }

    /// Offers tickets to other upstreams, and keeps the attempt at the silent one until
    /// one of them has room: a sound upstream may go on at any time.
    fn seek_other(&mut self, attempt: Attempt) -> Vec<Action> {
        let upstream = attempt.upstream.clone();
        self.silent = Some(attempt);
        self.confirmation.end_search();
        self.keep_to_version();
        self.begin_search();
        let refusal = Refusal::new(RefusalCode::Unreachable, FAILED_RETRY_AFTER);
        self.dispatch.handle_event(Event::NotRun(upstream, refusal))
    }

    /// Returns whether a request that may have run can be sent to another
    /// upstream.
    fn can_fail_over(&self) -> bool {
        self.job.idempotent
            && self.relay.can_fail_over()
            && !self.relay.is_closed()
            && !self.state.suspects.may_crash_next(&self.job.suspect_ids())
    }

    /// Schedules the request again after an upstream did not serve it, or gives
    /// it up where no further attempt is allowed.
    ///
    /// A request that did not reach the upstream can always be sent again. In other
    /// cases the limits on attempts and the retry budget apply.
    fn reschedule(&mut self, upstream: &Name, refusal: Refusal, receipt: Receipt) -> Vec<Action> {
        let may_have_run = receipt == Receipt::MayHaveRun;
        self.may_have_run |= may_have_run;
        if may_have_run {
            // A version under roll-out that has failed a request does not get it again.
            self.version_draw = LAST_DRAW;
        }
        let attempts = self.job.admission.route.attempts;
        let is_retry_allowed = self.has_upstream_of_its_version()
            && (receipt == Receipt::NotReceived
                || (self.attempts < attempts && self.state.try_retry(&self.job.target)));
        info!(self.state.log, "upstream did not serve the request";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %upstream,
            "may_have_run" => may_have_run,
            "code" => ?refusal.code,
            "attempts" => self.attempts,
            "goes_on" => is_retry_allowed);
        if is_retry_allowed {
            self.state.mark_waiting(self.request);
            self.keep_to_version();
            self.begin_search();
            return self.search_after(upstream, refusal);
        }
        let mut actions = self.dispatch.abandon();
        actions.push(Action::GiveUp {
            refusal: Some(refusal),
            retry_after: refusal.retry_after,
        });
        actions
    }

    /// Offers tickets again after `upstream` has not run the request. If it was the last
    /// one of its version, and a roll-out gives the request to others now, these are asked
    /// without delay.
    fn search_after(&mut self, upstream: &Name, refusal: Refusal) -> Vec<Action> {
        let failed = Event::NotRun(upstream.clone(), refusal);
        let actions = self.dispatch.handle_event(failed);
        if actions.contains(&Action::AwaitUpstreams)
            && self.relay.origin().is_none()
            && self.state.rollouts.is_deciding(&self.job.target)
        {
            let candidates = self.candidates();
            if !candidates.is_empty() && candidates.iter().all(|c| c.upstream != *upstream) {
                return self.dispatch.handle_event(Event::Upstreams(candidates));
            }
        }
        actions
    }

    /// Begins a search for an upstream. Late events of the tickets of earlier ones are
    /// dropped: those tickets are withdrawn, and the same agents may be asked again.
    fn begin_search(&mut self) {
        (self.event_tx, self.event_rx) = mpsc::unbounded_channel();
    }

    /// Returns whether an upstream can continue the answer at the version that began it.
    fn has_upstream_of_its_version(&self) -> bool {
        let origin = self.relay.origin();
        origin.is_none_or(|v| self.state.has_version(&self.job, v))
    }

    /// Lets only upstreams continue the answer that run the version that began it. Before
    /// its first event, a roll-out decides on the version.
    fn keep_to_version(&mut self) {
        let directory = &self.state.directory;
        if let Some(version) = self.relay.origin() {
            self.dispatch
                .restrict(|name| directory.get(name).is_some_and(|u| u.version == *version));
        } else if self.state.rollouts.is_deciding(&self.job.target) {
            let candidates = self.candidates();
            self.dispatch
                .restrict(|name| candidates.iter().any(|c| c.upstream == *name));
        }
    }
}
