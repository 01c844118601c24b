//! Serves one accepted request until the end of its answer.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::sync::mpsc::Sender;
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
use crate::entry::local_schedulers::local_scheduler_config;
use crate::entry::local_schedulers::offer_to_agent;
use crate::entry::relay::Relay;
use crate::entry::request::Job;
use crate::entry::state::EntryState;
use crate::entry::timers::Due;
use crate::entry::timers::WaitTimers;
use crate::headers::Header;
use crate::ids::GrantId;
use crate::ids::LinkId;
use crate::ids::RequestId;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::settings::Policy;
use crate::ticket::Rank;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::WithdrawReason;
use crate::units::millis;

mod endings;
#[cfg(test)]
mod tests;

/// Retry delay after an upstream has failed and no other is left.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time between two refreshes of the candidate upstreams while there is none. It
/// is a small part of common objectives.
const CANDIDATE_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

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
    /// Number of attempts in which an upstream may have run the request.
    attempts: u32,
    /// Whether an upstream may have run the request.
    may_have_run: bool,
    /// Whether the arrival was recorded for the throttle.
    is_arrival_recorded: bool,
    event_tx: UnboundedSender<Event>,
    event_rx: UnboundedReceiver<Event>,
    relay: Relay,
    claim: Option<OwnedClaim>,
    quota_charge: QuotaCharge,
    _concurrency_permit: ConcurrencyPermit,
}

/// Result of waiting for a grant.
enum WaitResult {
    /// The grant of this upstream was accepted; the request can be sent.
    Granted(Name, GrantId),
    /// The request has ended without a grant.
    Finished(Outcome),
}

/// What a waiting request reacts to.
#[derive(Debug)]
enum Input {
    /// The caller has disconnected.
    CallerLeft,
    /// An event for the dispatch.
    Event(Event),
    /// The next timer is due.
    Timer,
}

/// Waits for the next input. If several are there, a busy entry must not send a request
/// whose caller has left, and events precede timers.
async fn next_input<C, T>(closed: C, events: &mut UnboundedReceiver<Event>, timer: T) -> Input
where
    C: Future<Output = ()>,
    T: Future<Output = ()>,
{
    tokio::select! {
        biased;
        () = closed => Input::CallerLeft,
        Some(event) = events.recv() => Input::Event(event),
        () = timer => Input::Timer,
    }
}

impl RequestTask {
    /// Creates the task of an accepted request. `event_tx` and `event_rx` are the
    /// ends of the event channel that is registered for the held request.
    pub fn new(
        state: Rc<EntryState>,
        accepted: AcceptedRequest,
        (event_tx, event_rx): (UnboundedSender<Event>, UnboundedReceiver<Event>),
        reply_tx: Sender<Reply>,
    ) -> Self {
        let AcceptedRequest {
            request,
            job,
            arrived,
            origin,
            claim,
            concurrency_permit,
            quota_charge,
        } = accepted;
        let limits = &state.active_settings.settings().limits;
        let max_tickets = match limits.policy {
            Policy::LateBinding => limits.probes as usize,
            Policy::RoundRobin | Policy::TwoChoices => 1,
        };
        let admission = &job.admission;
        let dispatch = Dispatch::new(state.candidates(&job, origin.as_ref()), max_tickets)
            .with_time_limits(admission.objective, admission.urgency().max_expected_wait())
            .with_deadline(admission.deadline);
        state.count_for_retry_budget(&job.target);
        Self {
            request,
            arrived,
            deadline: arrived + admission.deadline,
            dispatch,
            relay: Relay::new(reply_tx, &job).with_origin(origin),
            job: Rc::new(job),
            schedulers: BTreeMap::new(),
            sent_to: None,
            attempts: 0,
            may_have_run: false,
            is_arrival_recorded: false,
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
            let (upstream, grant) = match self.wait_for_grant(actions).await {
                WaitResult::Granted(upstream, grant) => (upstream, grant),
                WaitResult::Finished(outcome) => return outcome,
            };
            actions = match self.attempt(&upstream, grant).await {
                AttemptResult::Completed(outcome) => return outcome,
                AttemptResult::CallerDisconnected | AttemptResult::NotSent => {
                    return Outcome::cancelled;
                }
                AttemptResult::TimedOut => return self.fail(CallerError::TimedOut).await,
                AttemptResult::NotRun(refusal) => self.reschedule(&upstream, refusal, false),
                AttemptResult::Interrupted if self.can_fail_over() => {
                    // The dispatch handles the failure like that of an unreachable
                    // upstream; `true` records that the request may have run.
                    let refusal = Refusal::new(RefusalCode::Unreachable, FAILED_RETRY_AFTER);
                    self.reschedule(&upstream, refusal, true)
                }
                AttemptResult::Interrupted => return self.fail(CallerError::UpstreamFailed).await,
            };
        }
    }

    /// Returns whether a request that may have run can be sent to another
    /// upstream.
    fn can_fail_over(&self) -> bool {
        self.job.idempotent && self.relay.can_fail_over() && !self.relay.is_closed()
    }

    /// Schedules the request again after an upstream did not serve it, or gives
    /// it up where no further attempt is allowed.
    ///
    /// A request that did not reach the upstream can always be sent again. In other
    /// cases the limits on attempts and the retry budget apply.
    fn reschedule(&mut self, upstream: &Name, refusal: Refusal, may_have_run: bool) -> Vec<Action> {
        self.may_have_run |= may_have_run;
        let was_received = may_have_run || refusal.code != RefusalCode::Unreachable;
        let attempts = self.job.admission.route.attempts;
        let is_retry_allowed = self.has_upstream_of_its_version()
            && (!was_received
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
            return self
                .dispatch
                .handle_event(Event::NotRun(upstream.clone(), refusal));
        }
        let mut actions = self.dispatch.abandon();
        actions.push(Action::GiveUp {
            refusal: Some(refusal),
            retry_after: refusal.retry_after,
        });
        actions
    }

    /// Returns whether an upstream can continue the answer at the version that began it.
    fn has_upstream_of_its_version(&self) -> bool {
        let origin = self.relay.origin();
        origin.is_none_or(|v| self.state.has_version(&self.job, v))
    }

    /// Lets only upstreams continue the answer that run the version that began it.
    fn keep_to_version(&mut self) {
        if let Some(version) = self.relay.origin() {
            let directory = &self.state.directory;
            self.dispatch
                .restrict(|name| directory.get(name).is_some_and(|u| u.version == *version));
        }
    }

    /// Offers tickets and waits for a grant of an upstream.
    async fn wait_for_grant(&mut self, actions: Vec<Action>) -> WaitResult {
        let mut timers = WaitTimers::new();
        let mut pending_actions = actions;
        let wait_deadline =
            (self.arrived + self.job.admission.urgency().max_wait()).min(self.deadline);
        loop {
            for action in std::mem::take(&mut pending_actions) {
                match action {
                    Action::Offer(upstream) => self.offer(upstream),
                    Action::RecordWait(wait) => {
                        if !std::mem::replace(&mut self.is_arrival_recorded, true) {
                            self.state.record_refused(&self.job);
                        }
                        self.state.record_wait(&self.job, wait);
                    }
                    Action::RecordQueued => self.record_arrival(),
                    Action::CollectFor(time) => timers.collect_until(self.state.now() + time),
                    Action::AwaitUpstreams => {
                        timers.refresh_at(self.state.now() + CANDIDATE_REFRESH_INTERVAL)
                    }
                    Action::Withdraw(upstream) => {
                        self.withdraw(&upstream, WithdrawReason::GivenUp);
                    }
                    Action::Send(upstream, grant) => {
                        self.record_arrival();
                        self.state.record_sent(&self.job);
                        self.withdraw_others(&upstream);
                        return WaitResult::Granted(upstream, grant);
                    }
                    Action::GiveUp {
                        refusal,
                        retry_after,
                    } => return WaitResult::Finished(self.give_up(refusal, retry_after).await),
                }
            }
            // A request that continues a partial answer is limited only by its
            // deadline.
            let effective_deadline = if self.relay.has_sent_head() {
                self.deadline
            } else {
                wait_deadline
            };
            let next_timer = self.state.instant(timers.next(effective_deadline));
            let timer = actix_rt::time::sleep_until(next_timer.into());
            match next_input(self.relay.closed(), &mut self.event_rx, timer).await {
                Input::CallerLeft => {
                    // `finish` withdraws the tickets, so the actions are not needed.
                    self.dispatch.abandon();
                    return WaitResult::Finished(Outcome::cancelled);
                }
                Input::Event(event) if self.is_current(&event) => {
                    pending_actions = self.dispatch.handle_event(event);
                }
                Input::Event(_) => {}
                Input::Timer => {
                    let event = match timers.due(self.state.now(), effective_deadline) {
                        Some(Due::WaitTimedOut) => Event::WaitTimedOut,
                        Some(Due::Refresh) => {
                            let origin = self.relay.origin();
                            Event::Upstreams(self.state.candidates(&self.job, origin))
                        }
                        Some(Due::CollectionTimedOut) => Event::CollectionTimedOut,
                        None => continue,
                    };
                    pending_actions = self.dispatch.handle_event(event);
                }
            }
        }
    }

    /// Records the arrival for the throttle, once per request.
    fn record_arrival(&mut self) {
        if !std::mem::replace(&mut self.is_arrival_recorded, true) {
            self.state.record_arrival(&self.job);
        }
    }

    /// Returns whether an event concerns the scheduler that holds the ticket now.
    ///
    /// The loss of a connection is ignored if the ticket has been offered over
    /// another connection, or to a local scheduler, in the meantime.
    fn is_current(&self, event: &Event) -> bool {
        match event {
            Event::ConnectionLost(upstream, id) => self
                .schedulers
                .get(upstream)
                .is_none_or(|s| s.uses_link(*id)),
            _ => true,
        }
    }

    fn offer(&mut self, upstream: Name) {
        let Some(upstream_settings) = self.state.directory.get(&upstream) else {
            // The upstream was removed, which has the same effect as a lost connection.
            // The default id belongs to no connection. Sending can't fail, because
            // this task owns the receiver.
            let _ = self
                .event_tx
                .send(Event::ConnectionLost(upstream, LinkId::default()));
            return;
        };
        // Withdraws a ticket from a lost connection before it is offered again.
        self.withdraw(&upstream, WithdrawReason::GivenUp);
        let now = self.state.now();
        let ticket = self.ticket();
        let scheduler = self.state.scheduler_for(&upstream);
        self.state.add_outstanding(&upstream);
        match &scheduler {
            SchedulerHandle::Agent(link) => {
                let links = &self.state.links;
                links.register(&upstream, self.request, self.event_tx.clone());
                offer_to_agent(link, &upstream, &ticket, now, &self.event_tx);
            }
            SchedulerHandle::Local(schedulers) => {
                // The quota keeps the number of running entries.
                let entries = self.state.quota.borrow().entries();
                let settings = self.state.active_settings.settings();
                let config = local_scheduler_config(&settings, &upstream_settings, entries);
                schedulers.offer(now, &upstream, config, ticket, &self.event_tx);
            }
        }
        self.schedulers.insert(upstream, scheduler);
    }

    fn ticket(&self) -> Ticket {
        let admission = &self.job.admission;
        Ticket {
            request: self.request,
            organisation: admission.organisation.clone(),
            rank: Rank::from(admission.rank),
            deadline: self.deadline,
            objective: self.arrived + admission.urgency().objective_left(),
            wait_deadline: (self.arrived + admission.urgency().max_wait()).min(self.deadline),
            work: self.job.work,
            prefix: self.job.prefix.clone(),
            idempotent: self.job.idempotent,
        }
    }

    fn withdraw(&mut self, upstream: &Name, reason: WithdrawReason) {
        if let Some(scheduler) = self.schedulers.remove(upstream) {
            self.state.links.unregister(upstream, self.request);
            self.state.remove_outstanding(upstream);
            scheduler.withdraw(self.state.now(), upstream, self.request, reason);
        }
    }

    fn withdraw_others(&mut self, kept: &Name) {
        let others: Vec<Name> = self
            .schedulers
            .keys()
            .filter(|u| *u != kept)
            .cloned()
            .collect();
        for upstream in others {
            self.withdraw(&upstream, WithdrawReason::SentElsewhere);
        }
    }

    /// Sends the request to `upstream` and relays its answer.
    async fn attempt(&mut self, upstream: &Name, grant: GrantId) -> AttemptResult {
        let Some(scheduler) = self.schedulers.remove(upstream) else {
            return AttemptResult::NotRun(Refusal::new(
                RefusalCode::Unreachable,
                FAILED_RETRY_AFTER,
            ));
        };
        self.state.links.unregister(upstream, self.request);
        self.state.mark_sent(self.request);
        let now = self.state.now();
        scheduler.mark_sent(now, upstream, self.request, grant);
        self.sent_to = Some(upstream.clone());
        info!(self.state.log, "request sent";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %upstream,
            "by_agent" => matches!(scheduler, SchedulerHandle::Agent(_)),
            "waited_ms" => millis(now.since(self.arrived)),
            "left_ms" => millis(now.until(self.deadline)),
            "view_ms" => self.state.directory.age().map(millis),
            "version" => self.state.directory.get(upstream).and_then(|u| u.version).as_deref(),
            "resumes" => self.job.resumes.as_deref(),
            "last_event" => self.relay.last_event());
        let timeout = self.state.answer_timeout(&self.job);
        let attempt = Attempt {
            state: &self.state,
            request: self.request,
            job: &self.job,
            upstream,
            scheduler: &scheduler,
            deadline: self.deadline,
            timeout_at: self.arrived + timeout,
            arrived: self.arrived,
            is_last: self.attempts + 1 >= self.job.admission.route.attempts,
        };
        let result = attempt.run(&mut self.relay, &mut self.claim).await;
        let work = match result {
            AttemptResult::Completed(_) => self.relay.take_work(self.job.work),
            _ => None,
        };
        scheduler.finish(self.state.now(), upstream, self.request, work);
        self.state.remove_outstanding(upstream);
        if !matches!(result, AttemptResult::NotRun(_) | AttemptResult::NotSent) {
            self.quota_charge.commit();
            self.may_have_run = true;
            self.attempts += 1;
        }
        if let Some(work) = work {
            let organisation = &self.job.admission.organisation;
            self.state.metrics.record_tokens(organisation, work);
        }
        result
    }
}
