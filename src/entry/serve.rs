//! Carries one request from its admission to the end of its answer.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::burn::BurnKey;
use crate::clock::Timestamp;
use crate::dispatch::Action;
use crate::dispatch::Dispatch;
use crate::dispatch::Event;
use crate::entry::attempt::Attempt;
use crate::entry::attempt::Ended;
use crate::entry::charges::Entered;
use crate::entry::charges::Spent;
use crate::entry::error::CallerError;
use crate::entry::keyed::Claimed;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::entry::local_schedulers::local_scheduler_config;
use crate::entry::local_schedulers::offer_agent;
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
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::WithdrawReason;

/// When to come back after an upstream failed and no other was left.
const FAILED_RETRY: Duration = Duration::from_millis(500);

/// The time between two looks for upstreams while none is there: a small part
/// of common objectives.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// What goes back to the caller, in order.
#[derive(Debug)]
pub enum Reply {
    /// The status and headers of the upstream's answer.
    Head(u16, Vec<Header>),
    /// The next bytes of the body.
    Bytes(bytes::Bytes),
    /// The body is whole.
    End,
    /// The answer broke off after its head.
    Broken,
    /// There is no answer from an upstream.
    Error(CallerError),
}

/// A request that was taken in.
pub struct AcceptedRequest {
    /// Its id.
    pub request: RequestId,
    /// What it is.
    pub job: Job,
    /// When its head arrived.
    pub arrived: Timestamp,
    /// The claim on its idempotency key, where it has one.
    pub claimed: Option<Claimed>,
    /// Its place within the limit of its organisation.
    pub entered: Entered,
    /// What it spent of its organisation's quota.
    pub spent: Spent,
}

/// One request on its way.
pub struct Serving {
    state: Rc<EntryState>,
    request: RequestId,
    job: Rc<Job>,
    arrived: Timestamp,
    deadline: Timestamp,
    dispatch: Dispatch,
    /// Where tickets lie, by upstream.
    schedulers: BTreeMap<Name, SchedulerHandle>,
    /// The upstream that the request was sent to last.
    sent_to: Option<Name>,
    /// Upstreams that may have run the request.
    attempts: u32,
    /// Whether an upstream may have run it.
    may_have_run: bool,
    /// Whether the throttle has counted it.
    counted: bool,
    events: UnboundedSender<Event>,
    heard: UnboundedReceiver<Event>,
    relay: Relay,
    claimed: Option<Claimed>,
    spent: Spent,
    _entered: Entered,
}

/// What waiting for room has led to.
enum SeekResult {
    /// The request is to be sent.
    Chosen(Name, GrantId),
    /// It has ended.
    Ended(Outcome),
}

impl Serving {
    /// A request that was taken in; `events` and `heard` are the ends of the
    /// channel under which it is held.
    pub fn new(
        state: Rc<EntryState>,
        accepted: AcceptedRequest,
        (events, heard): (UnboundedSender<Event>, UnboundedReceiver<Event>),
        replies: Sender<Reply>,
    ) -> Self {
        let AcceptedRequest {
            request,
            job,
            arrived,
            claimed,
            entered,
            spent,
        } = accepted;
        let limits = &state.active_settings.settings().limits;
        let width = match limits.policy {
            Policy::LateBinding => limits.probes as usize,
            Policy::RoundRobin | Policy::TwoChoices => 1,
        };
        let admission = &job.admission;
        let dispatch = Dispatch::new(state.candidates(&job), width)
            .with_time_limits(admission.objective, admission.longest_wait());
        state.count_request(&job.target);
        Self {
            request,
            arrived,
            deadline: arrived + admission.deadline,
            dispatch,
            relay: Relay::new(replies, &job),
            job: Rc::new(job),
            schedulers: BTreeMap::new(),
            sent_to: None,
            attempts: 0,
            may_have_run: false,
            counted: false,
            events,
            heard,
            claimed,
            spent,
            _entered: entered,
            state,
        }
    }

    /// Carries the request to its end.
    pub async fn run(mut self) {
        let outcome = self.run_to_end().await;
        self.finish(outcome);
    }

    async fn run_to_end(&mut self) -> Outcome {
        let longest = self.job.admission.longest_wait();
        let known = self.state.recent_wait(&self.job);
        let known = known.filter(|wait| *wait > longest);
        let throttled = || self.state.is_throttled(&self.job).then_some(longest);
        let mut actions = match known.or_else(throttled) {
            Some(wait) => {
                self.state.record_arrival(&self.job);
                self.dispatch.refuse_overloaded(wait)
            }
            None => self.dispatch.start(),
        };
        loop {
            let (upstream, grant) = match self.seek(actions).await {
                SeekResult::Chosen(upstream, grant) => (upstream, grant),
                SeekResult::Ended(outcome) => return outcome,
            };
            actions = match self.attempt(&upstream, grant).await {
                Ended::Whole(outcome) => return outcome,
                Ended::CallerGone => return Outcome::cancelled,
                Ended::TimedOut => return self.fail(CallerError::TimedOut).await,
                Ended::NotRun(refusal) => self.reschedule(&upstream, refusal, false),
                Ended::Broken if self.may_go_on() => {
                    let refusal = Refusal::new(RefusalCode::Unreachable, FAILED_RETRY);
                    self.reschedule(&upstream, refusal, true)
                }
                Ended::Broken => return self.fail(CallerError::UpstreamFailed).await,
            };
        }
    }

    /// Whether a request that may have run may be sent elsewhere.
    fn may_go_on(&self) -> bool {
        self.job.idempotent && self.relay.may_go_on() && !self.relay.is_closed()
    }

    /// Looks for another upstream after one did not serve the request. Where
    /// no repeat is allowed, the request is given up.
    fn reschedule(&mut self, upstream: &Name, refusal: Refusal, ran: bool) -> Vec<Action> {
        self.may_have_run |= ran;
        let arrived = ran || refusal.code != RefusalCode::Unreachable;
        let attempts = self.job.admission.route.attempts;
        let allowed =
            !arrived || (self.attempts < attempts && self.state.try_retry(&self.job.target));
        info!(self.state.log, "upstream did not serve the request";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %upstream,
            "may_have_run" => ran,
            "code" => ?refusal.code,
            "attempts" => self.attempts,
            "goes_on" => allowed);
        if allowed {
            self.state.mark_waiting(self.request);
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

    /// Waits for room at an upstream.
    async fn seek(&mut self, actions: Vec<Action>) -> SeekResult {
        let mut timers = WaitTimers::new();
        let mut pending = actions;
        let patience = (self.arrived + self.job.admission.patience()).min(self.deadline);
        loop {
            for action in std::mem::take(&mut pending) {
                match action {
                    Action::Offer(upstream) => self.offer(upstream),
                    Action::RecordWait(wait) => {
                        self.record_arrival();
                        self.state.record_wait(&self.job, wait);
                    }
                    Action::RecordQueued => self.record_arrival(),
                    Action::CollectFor(time) => timers.collect_until(self.state.now() + time),
                    Action::AwaitUpstreams => timers.refresh_at(self.state.now() + LOOK_AGAIN),
                    Action::Withdraw(upstream) => {
                        self.withdraw(&upstream, WithdrawReason::GivenUp);
                    }
                    Action::Send(upstream, grant) => {
                        self.record_arrival();
                        self.state.record_admission(&self.job);
                        self.withdraw_rest(&upstream);
                        return SeekResult::Chosen(upstream, grant);
                    }
                    Action::GiveUp {
                        refusal,
                        retry_after,
                    } => return SeekResult::Ended(self.give_up(refusal, retry_after).await),
                }
            }
            // A request that went on after a part of its answer has its
            // deadline only.
            let until = if self.relay.has_begun() {
                self.deadline
            } else {
                patience
            };
            let at = self.state.instant(timers.next(until));
            tokio::select! {
                // What has been heard goes before the clock.
                biased;
                Some(event) = self.heard.recv() => if self.is_current(&event) {
                    pending = self.dispatch.handle_event(event);
                },
                () = self.relay.closed() => {
                    self.dispatch.abandon();
                    return SeekResult::Ended(Outcome::cancelled);
                }
                () = actix_rt::time::sleep_until(at.into()) => {
                    let event = match timers.due(self.state.now(), until) {
                        Some(Due::Patience) => Event::WaitTimedOut,
                        Some(Due::Refresh) => Event::Upstreams(self.state.candidates(&self.job)),
                        Some(Due::Collected) => Event::CollectionTimedOut,
                        None => continue,
                    };
                    pending = self.dispatch.handle_event(event);
                }
            }
        }
    }

    /// Counts the request once, however often it is sent.
    fn record_arrival(&mut self) {
        if !std::mem::replace(&mut self.counted, true) {
            self.state.record_arrival(&self.job);
        }
    }

    /// Whether an event concerns a ticket where it lies now.
    fn is_current(&self, event: &Event) -> bool {
        match event {
            Event::ConnectionLost(upstream, id) => {
                self.schedulers.get(upstream).is_none_or(|s| s.is_on(*id))
            }
            _ => true,
        }
    }

    fn offer(&mut self, upstream: Name) {
        let Some(known) = self.state.directory.get(&upstream) else {
            // The request itself listens until it has ended.
            let _ = self
                .events
                .send(Event::ConnectionLost(upstream, LinkId::default()));
            return;
        };
        // One that lay on a connection that was lost is offered anew.
        self.withdraw(&upstream, WithdrawReason::GivenUp);
        let now = self.state.now();
        let ticket = self.ticket();
        let scheduler = self.state.scheduler_for(&upstream);
        self.state.add_outstanding(&upstream);
        match &scheduler {
            SchedulerHandle::Agent(link) => {
                let links = &self.state.links;
                links.register(&upstream, self.request, self.events.clone());
                offer_agent(link, &upstream, &ticket, now, &self.events);
            }
            SchedulerHandle::Local(schedulers) => {
                let entries = self.state.quota.borrow().entries();
                let settings = self.state.active_settings.settings();
                let config = local_scheduler_config(&settings, &known, entries);
                schedulers.offer(now, &upstream, config, ticket, &self.events);
            }
        }
        self.schedulers.insert(upstream, scheduler);
    }

    fn ticket(&self) -> Ticket {
        let admission = &self.job.admission;
        Ticket {
            request: self.request,
            organisation: admission.organisation.clone(),
            order: admission.order,
            deadline: self.deadline,
            objective: self.arrived + admission.objective,
            wait_deadline: (self.arrived + admission.patience()).min(self.deadline),
            work: self.job.work,
            prefix: self.job.prefix.clone(),
            idempotent: self.job.idempotent,
        }
    }

    fn withdraw(&mut self, upstream: &Name, why: WithdrawReason) {
        if let Some(scheduler) = self.schedulers.remove(upstream) {
            self.state.links.unregister(upstream, self.request);
            self.state.remove_outstanding(upstream);
            scheduler.withdraw(self.state.now(), upstream, self.request, why);
        }
    }

    fn withdraw_rest(&mut self, kept: &Name) {
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

    /// Sends the request to `upstream` and passes its answer on.
    async fn attempt(&mut self, upstream: &Name, grant: GrantId) -> Ended {
        let Some(scheduler) = self.schedulers.remove(upstream) else {
            return Ended::NotRun(Refusal::new(RefusalCode::Unreachable, FAILED_RETRY));
        };
        self.state.links.unregister(upstream, self.request);
        self.state.mark_dispatched(self.request);
        let now = self.state.now();
        scheduler.mark_sent(now, upstream, self.request, grant);
        self.sent_to = Some(upstream.clone());
        info!(self.state.log, "request sent";
            "request" => %self.job.logged_id(self.request),
            "upstream" => %upstream,
            "by_agent" => matches!(scheduler, SchedulerHandle::Agent(_)),
            "waited_ms" => millis(now.since(self.arrived)),
            "left_ms" => millis(now.until(self.deadline)),
            "last_event" => self.relay.last_event());
        let timeout = self.job.admission.route.timeout;
        let timeout = timeout.unwrap_or(self.state.active_settings.settings().limits.run);
        let attempt = Attempt {
            state: &self.state,
            request: self.request,
            job: &self.job,
            upstream,
            scheduler: &scheduler,
            deadline: self.deadline,
            cut: self.arrived + timeout,
            arrived: self.arrived,
            last: self.attempts + 1 >= self.job.admission.route.attempts,
        };
        let ended = attempt.run(&mut self.relay, &mut self.claimed).await;
        let work = match ended {
            Ended::Whole(_) => self.relay.work(self.job.work),
            _ => None,
        };
        scheduler.finish(self.state.now(), upstream, self.request, work);
        self.state.remove_outstanding(upstream);
        if !matches!(ended, Ended::NotRun(_)) {
            self.spent.keep();
            self.may_have_run = true;
            self.attempts += 1;
        }
        if let Some(work) = work {
            let organisation = &self.job.admission.organisation;
            self.state.metrics.used(organisation, work);
        }
        ended
    }

    async fn give_up(&mut self, refusal: Option<Refusal>, retry_after: Duration) -> Outcome {
        if self.may_have_run {
            return self.fail(CallerError::UpstreamFailed).await;
        }
        self.fail(CallerError::from_refusal(refusal, retry_after))
            .await
    }

    async fn fail(&mut self, error: CallerError) -> Outcome {
        let outcome = error.outcome();
        info!(self.state.log, "request given up";
            "request" => %self.job.logged_id(self.request),
            "code" => error.code(),
            "run" => ?error.run(),
            "attempts" => self.attempts,
            "after_ms" => millis(self.state.now().since(self.arrived)));
        self.relay.fail(error).await;
        outcome
    }

    /// Notes in the store what has become of claimed work.
    fn settle_claim(&mut self, outcome: Outcome) {
        let Some(claimed) = self.claimed.take() else {
            return;
        };
        match outcome {
            Outcome::good | Outcome::late | Outcome::failed => claimed.done(),
            Outcome::invalid if self.may_have_run => claimed.done(),
            _ if self.may_have_run => claimed.unknown(),
            _ => claimed.release(),
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.settle_claim(outcome);
        let schedulers: Vec<Name> = self.schedulers.keys().cloned().collect();
        for upstream in schedulers {
            self.withdraw(&upstream, WithdrawReason::GivenUp);
        }
        let state = &self.state;
        state.local_schedulers.forget(self.request);
        let admission = &self.job.admission;
        let took = state.now().since(self.arrived);
        let key = BurnKey {
            tier: admission.tier.clone(),
            organisation: admission.organisation.clone(),
        };
        state.record_outcome(key, outcome, self.sent_to.as_ref());
        if self.sent_to.is_some() {
            state.metrics.duration(&admission.tier, took.as_secs_f64());
        }
        info!(state.log, "request ended";
            "request" => %self.job.logged_id(self.request),
            "organisation" => %admission.organisation,
            "tier" => %admission.tier,
            "upstream" => self.sent_to.as_deref(),
            "attempts" => self.attempts,
            "revision" => state.active_settings.revision().0,
            "outcome" => outcome.name(),
            "first_ms" => self.relay.first_byte().map(|at| millis(at.since(self.arrived))),
            "milliseconds" => millis(took));
        state.release(self.request);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
