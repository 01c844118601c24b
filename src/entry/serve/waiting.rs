//! The wait of a request for a grant: its tickets, timers and events.

use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;

use super::RequestTask;
use crate::clock::Timestamp;
use crate::dispatch::Action;
use crate::dispatch::Choice;
use crate::dispatch::Dispatch;
use crate::dispatch::Event;
use crate::dispatch::Fallback;
use crate::entry::attempt::Attempt;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::entry::local_schedulers::local_scheduler_config;
use crate::entry::local_schedulers::offer_to_agent;
use crate::entry::request::Job;
use crate::entry::rollouts::LAST_DRAW;
use crate::entry::state::EntryState;
use crate::entry::timers::Due;
use crate::entry::timers::WaitTimers;
use crate::entry::zone_balance::ZoneCause;
use crate::ids::GrantId;
use crate::ids::LinkId;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::ticket::OfferResult;
use crate::ticket::Rank;
use crate::ticket::Ticket;
use crate::ticket::WithdrawReason;

#[cfg(test)]
mod tests;

/// Time between two refreshes of the candidate upstreams while there is none. It
/// is a small part of common objectives.
const CANDIDATE_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Result of waiting for a grant.
pub(super) enum WaitResult {
    /// The grant of this upstream was accepted; the request can be sent.
    Granted(Name, GrantId),
    /// The silent upstream answers after all, or no other can go on with its answer.
    Stayed(Box<Attempt>),
    /// The request has ended without a grant.
    Finished(Outcome),
}

/// What a waiting request reacts to.
#[derive(Debug)]
enum Input {
    /// The caller has disconnected.
    CallerLeft,
    /// The upstream that was silent has sent something.
    Answered,
    /// An event for the dispatch.
    Event(Event),
    /// The next timer is due.
    Timer,
}

/// Waits for the next input. If several are there, a busy entry must not send a request
/// whose caller has left or whose upstream answers, and events precede timers.
async fn next_input<C, A, T>(
    closed: C,
    answered: A,
    evicted: &mut UnboundedReceiver<Event>,
    events: &mut UnboundedReceiver<Event>,
    timer: T,
) -> Input
where
    C: Future<Output = ()>,
    A: Future<Output = ()>,
    T: Future<Output = ()>,
{
    tokio::select! {
        biased;
        () = closed => Input::CallerLeft,
        () = answered => Input::Answered,
        Some(event) = evicted.recv() => Input::Event(event),
        Some(event) = events.recv() => Input::Event(event),
        () = timer => Input::Timer,
    }
}

/// Waits until a silent upstream sends something; forever if there is none.
async fn wait_for_bytes(silent: &mut Option<Attempt>) {
    match silent {
        Some(attempt) => attempt.wait_for_bytes().await,
        None => std::future::pending().await,
    }
}

impl RequestTask {
    /// Returns the dispatch of a request that can be sent to any of `choices`.
    pub(super) fn new_dispatch(state: &EntryState, job: &Job, choices: Vec<Choice>) -> Dispatch {
        let max_tickets = state.max_tickets(&choices);
        let admission = &job.admission;
        let dispatch = Dispatch::new(choices, max_tickets)
            .with_time_limits(admission.objective, admission.urgency().max_expected_wait())
            .with_deadline(admission.deadline);
        state.placed_dispatch(job, dispatch)
    }

    /// Offers tickets and waits for a grant of an upstream.
    pub(super) async fn wait_for_grant(&mut self, actions: Vec<Action>) -> WaitResult {
        let mut timers = WaitTimers::new();
        let mut pending_actions = actions;
        let wait_deadline =
            (self.arrived + self.job.admission.urgency().max_wait()).min(self.deadline);
        'waiting: loop {
            for action in std::mem::take(&mut pending_actions) {
                match action {
                    Action::Offer(upstream) => self.offer(upstream),
                    Action::SeekFallback(wait) => {
                        self.record_home_wait();
                        pending_actions = self.seek_fallback(wait);
                        continue 'waiting;
                    }
                    // The wait at the few upstreams of a canary or of the version of a stream, or at
                    // the only one that can be asked for a rest, is not that of the service.
                    Action::RecordWait(_)
                        if self.other_versions().is_some()
                            || self.job.admission.resumes
                            || self.confirmation.search_until().is_some() => {}
                    Action::RecordWait(wait) => {
                        self.record_home_wait();
                        if !std::mem::replace(&mut self.is_arrival_recorded, true) {
                            self.state.record_refused(&self.job);
                        }
                        self.state.record_wait(&self.job, wait);
                    }
                    Action::RecordQueued => {
                        self.record_home_wait();
                        self.record_arrival();
                    }
                    Action::CollectFor(time) => timers.collect_until(self.state.now() + time),
                    Action::AwaitUpstreams => match self.wait_past(wait_deadline) {
                        Some(wait) => {
                            pending_actions = self.dispatch.handle_event(Event::HeldOff(wait));
                            continue 'waiting;
                        }
                        None => timers.refresh_at(self.state.now() + CANDIDATE_REFRESH_INTERVAL),
                    },
                    Action::Withdraw(upstream) => {
                        self.withdraw(&upstream, WithdrawReason::GivenUp);
                    }
                    Action::Send(upstream, grant) => {
                        self.record_home_wait();
                        self.record_arrival();
                        self.withdraw_others(&upstream);
                        return WaitResult::Granted(upstream, grant);
                    }
                    Action::GiveUp {
                        refusal,
                        retry_after,
                    } => {
                        if let Some(silent) = self.silent.take() {
                            return WaitResult::Stayed(Box::new(self.stay_at(silent)));
                        }
                        if let Some(actions) = self.seek_other_version() {
                            pending_actions = actions;
                            continue 'waiting;
                        }
                        return WaitResult::Finished(self.give_up(refusal, retry_after).await);
                    }
                }
            }
            let effective_deadline = self.search_deadline(wait_deadline);
            let next_timer = self.state.instant(timers.next(effective_deadline));
            let timer = actix_rt::time::sleep_until(next_timer.into());
            let closed = self.relay.closed();
            let answered = wait_for_bytes(&mut self.silent);
            let evicted = &mut self.evicted_rx;
            match next_input(closed, answered, evicted, &mut self.event_rx, timer).await {
                Input::CallerLeft => {
                    // `finish` withdraws the tickets, so the actions are not needed.
                    self.dispatch.abandon();
                    return WaitResult::Finished(Outcome::cancelled);
                }
                Input::Answered => {
                    if let Some(silent) = self.silent.take() {
                        return WaitResult::Stayed(Box::new(self.stay_at(silent)));
                    }
                }
                Input::Event(mut event) if self.is_current(&event) => {
                    self.note_reply(&event);
                    self.prefer_probe(&mut event);
                    pending_actions = self.dispatch.handle_event(event);
                }
                Input::Event(_) => {}
                Input::Timer => {
                    let event = match timers.due(self.state.now(), effective_deadline) {
                        Some(Due::WaitTimedOut) => Event::WaitTimedOut,
                        Some(Due::Refresh) => Event::Upstreams(self.candidates()),
                        Some(Due::CollectionTimedOut) => Event::CollectionTimedOut,
                        None => continue,
                    };
                    pending_actions = self.dispatch.handle_event(event);
                }
            }
        }
    }

    /// Returns the time until which an upstream is sought. A request that continues a partial
    /// answer is limited only by its deadline and timeout, or by those of a question for its rest.
    fn search_deadline(&self, wait_deadline: Timestamp) -> Timestamp {
        let deadline = match self.relay.has_sent_head() {
            true => self.deadline.min(self.timeout_at()),
            false => wait_deadline,
        };
        let question = self.confirmation.search_until();
        question.map_or(deadline, |until| deadline.min(until))
    }

    /// Offers tickets to the other versions after all upstreams of a version under roll-out
    /// have refused a request that was not sent yet: few of them get its share, and the
    /// others may have room.
    fn seek_other_version(&mut self) -> Option<Vec<Action>> {
        let others = self.other_versions()?;
        self.version_draw = LAST_DRAW;
        self.begin_search();
        self.dispatch = Self::new_dispatch(&self.state, &self.job, others);
        Some(self.dispatch.start())
    }

    /// Returns the upstreams of other versions for a request that was to go to a version
    /// under roll-out and was not sent yet; `None` if there are none.
    fn other_versions(&self) -> Option<Vec<Choice>> {
        let is_first = self.version_draw < LAST_DRAW && self.attempts == 0 && !self.may_have_run;
        if !is_first || self.relay.origin().is_some() || self.state.now() >= self.deadline {
            return None;
        }
        self.state.rollouts.rule(&self.job.target, LAST_DRAW)?;
        let refusing = self.candidates();
        let others = self.state.candidates(&self.job, None, LAST_DRAW);
        let is_same = |c: &Choice| refusing.iter().any(|r| r.upstream == c.upstream);
        (!others.is_empty() && !others.iter().any(is_same)).then_some(others)
    }

    /// Returns the upstreams that can run the request, without `silent`.
    pub(super) fn candidates_without(&self, silent: &Name) -> Vec<Choice> {
        let origin = self.relay.origin();
        let mut candidates = self.state.candidates(&self.job, origin, self.version_draw);
        candidates.retain(|choice| choice.upstream != *silent);
        candidates
    }

    pub(super) fn candidates(&self) -> Vec<Choice> {
        let mut candidates = match &self.silent {
            Some(silent) => self.candidates_without(&silent.upstream),
            None => {
                let origin = self.relay.origin();
                self.state.candidates(&self.job, origin, self.version_draw)
            }
        };
        if let Some(only) = self.confirmation.only() {
            candidates.retain(|choice| choice.upstream == *only);
        }
        candidates
    }

    /// Returns the time until the first upstream takes requests again, if all want none
    /// until after `deadline`.
    fn wait_past(&self, deadline: Timestamp) -> Option<Duration> {
        let wait = self.state.time_to_return(&self.job, self.relay.origin())?;
        (self.state.now() + wait > deadline).then_some(wait)
    }

    /// Ends the search for another upstream and returns the attempt at the silent one.
    /// Another search can begin after as long a silence again.
    pub(super) fn stay_at(&mut self, mut silent: Attempt) -> Attempt {
        for action in self.dispatch.stay(silent.upstream.clone()) {
            if let Action::Withdraw(upstream) = action {
                self.withdraw(&upstream, WithdrawReason::GivenUp);
            }
        }
        silent.restart_silence();
        silent
    }

    /// Notes the wait that an upstream of the own zone quotes in reply to a ticket.
    fn note_reply(&mut self, event: &Event) {
        if let Event::OfferReplied(upstream, offered) = event
            && let Some(wait) = self.state.record_reply(upstream, offered)
        {
            self.home_wait = Some(self.home_wait.map_or(wait, |w| w.min(wait)));
        }
    }

    /// Makes a grant the best one if a probe of its upstream is due. A request that moves
    /// from a silent upstream has no time for a permit.
    fn prefer_probe(&self, event: &mut Event) {
        if let Event::OfferReplied(upstream, OfferResult::Granted(grant)) = event
            && self.silent.is_none()
            && self.state.upstream_limits.take_probe(upstream)
        {
            grant.quote.answer_start = Duration::ZERO;
            grant.quote.answer_end = Duration::ZERO;
        }
    }

    /// Counts the shortest wait quoted in the own zone.
    fn record_home_wait(&mut self) {
        if let Some(wait) = self.home_wait.take() {
            self.state.record_home_wait(&self.job, wait);
        }
    }

    /// Looks for a zone that takes the request, for which `wait` is too long.
    fn seek_fallback(&mut self, wait: Duration) -> Vec<Action> {
        // Later requests of the class need not ask first.
        if self.confirmation.search_until().is_none() {
            self.state.record_wait(&self.job, wait);
        }
        let waited = self.state.now().since(self.arrived);
        let admission = &self.job.admission;
        let fallback = admission.urgency().asking_time(waited).and_then(|time| {
            let zone = self.state.fallback(&self.job.target, admission.rank)?;
            Some(Fallback { zone, time })
        });
        if fallback.is_some() {
            self.zone_cause = ZoneCause::long_wait;
        }
        self.dispatch.handle_event(Event::Fallback(fallback))
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
        let scheduler = self.state.scheduler_for(&upstream);
        let limits = &self.state.upstream_limits;
        let interval = match scheduler {
            SchedulerHandle::Agent(_) => limits.interval(&upstream),
            SchedulerHandle::Local(_) => limits.own_interval(&upstream),
        };
        let ticket = self.ticket(interval, upstream_settings.started);
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

    /// Returns the ticket for an upstream that takes a request per `interval` and of which
    /// the registered run has started at `run_start`.
    fn ticket(&self, interval: Option<Duration>, run_start: Option<u64>) -> Ticket {
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
            interval,
            // A stream that can go on elsewhere must be recorded with the version that began it.
            run_start: run_start.filter(|_| admission.route.resumable),
        }
    }

    pub(super) fn withdraw(&mut self, upstream: &Name, reason: WithdrawReason) {
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
}
