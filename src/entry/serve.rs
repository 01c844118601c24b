//! Carries one request from its admission to the end of its answer.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use slog::debug;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::almondramp_capnp as schema;
use crate::almondramp_capnp::FailureCode;
use crate::almondramp_capnp::answer;
use crate::burn::BurnKey;
use crate::clock::Moment;
use crate::dispatch::Action;
use crate::dispatch::Dispatch;
use crate::dispatch::Event;
use crate::dispatch::Failure;
use crate::entry::answer::AnswerReceiver;
use crate::entry::answer::Part;
use crate::entry::answer::Progress;
use crate::entry::calls;
use crate::entry::error::CallerError;
use crate::entry::keyed::Claimed;
use crate::entry::links::Link;
use crate::entry::request::Job;
use crate::entry::state::Entered;
use crate::entry::state::EntryState;
use crate::entry::waiter::TicketWaiter;
use crate::ids::GrantId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::settings::Policy;
use crate::ticket::Offered;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::wire::Header;

/// Parts of an answer that wait between an agent and the caller.
const PARTS_AHEAD: usize = 4;

/// When to try again after an upstream could not be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_secs(1);

/// The time between two tries to resume an answer.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

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
pub struct Accepted {
    /// Its id.
    pub request: RequestId,
    /// What it is.
    pub job: Job,
    /// When its head arrived.
    pub arrived: Moment,
    /// The claim on its idempotency key, where it has one.
    pub claimed: Option<Claimed>,
    /// Its place within the limit of its organisation.
    pub entered: Entered,
}

/// One request on its way.
pub struct Serving {
    state: Rc<EntryState>,
    request: RequestId,
    job: Rc<Job>,
    arrived: Moment,
    deadline: Moment,
    dispatch: Dispatch,
    /// The agents that may hold a ticket or the request.
    agents: BTreeSet<Name>,
    /// The agent whose grant was accepted, and its life.
    accepted: Option<(Name, Incarnation)>,
    events: UnboundedSender<Event>,
    heard: UnboundedReceiver<Event>,
    parts: Sender<Part>,
    received: Receiver<Part>,
    progress: Rc<Progress>,
    replies: Sender<Reply>,
    status: u16,
    claimed: Option<Claimed>,
    _entered: Entered,
}

/// What a step of a request leads to.
enum Step {
    Go,
    Ended(Outcome),
}

impl Serving {
    /// A request that was taken in; `events` and `heard` are the ends of the
    /// channel under which it is held.
    pub fn new(
        state: Rc<EntryState>,
        accepted: Accepted,
        (events, heard): (UnboundedSender<Event>, UnboundedReceiver<Event>),
        replies: Sender<Reply>,
    ) -> Self {
        let Accepted {
            request,
            job,
            arrived,
            claimed,
            entered,
        } = accepted;
        let limits = &state.current.settings().limits;
        let width = match limits.policy {
            Policy::LateBinding => limits.probes as usize,
            Policy::RoundRobin | Policy::TwoChoices => 1,
        };
        let order = state.candidates(&job);
        let mut dispatch = Dispatch::new(order.upstreams, width);
        if order.holder_first {
            dispatch = dispatch.with_holder();
        }
        let (parts, received) = mpsc::channel(PARTS_AHEAD);
        Self {
            request,
            arrived,
            deadline: arrived + job.admission.deadline,
            dispatch,
            job: Rc::new(job),
            agents: BTreeSet::new(),
            accepted: None,
            events,
            heard,
            parts,
            received,
            progress: Rc::default(),
            replies,
            status: 0,
            claimed,
            _entered: entered,
            state,
        }
    }

    /// Carries the request to its end.
    pub async fn run(mut self) {
        let actions = self.dispatch.start();
        let mut step = self.perform(actions).await;
        let outcome = loop {
            match step {
                Step::Ended(outcome) => break outcome,
                Step::Go => step = self.step().await,
            }
        };
        self.finish(outcome);
    }

    /// Waits for the next thing to happen and deals with it.
    async fn step(&mut self) -> Step {
        let deadline = self.state.instant(self.deadline);
        let waits = !self.dispatch.is_dispatched();
        // Work that may not be repeated goes on without its caller once it
        // may have been dispatched.
        let abandons = self.job.cancellable || self.dispatch.is_seeking();
        tokio::select! {
            Some(event) = self.heard.recv() => {
                self.hear(event).await
            }
            Some(part) = self.received.recv() => self.pass_on(part).await,
            () = self.replies.closed(), if abandons => self.caller_gone(),
            () = actix_rt::time::sleep_until(deadline.into()), if waits => {
                let actions = self.dispatch.on(Event::DeadlinePassed);
                match actions.is_empty() {
                    // An accept is unanswered; its answer decides.
                    true => self.wait_for_event().await,
                    false => self.perform(actions).await,
                }
            }
        }
    }

    async fn wait_for_event(&mut self) -> Step {
        let Some(event) = self.heard.recv().await else {
            return Step::Ended(Outcome::unknown);
        };
        self.hear(event).await
    }

    async fn hear(&mut self, event: Event) -> Step {
        if let Event::NotDispatched(..) = &event {
            self.accepted = None;
            self.state.waits_again(self.request);
        }
        let actions = self.dispatch.on(event);
        self.perform(actions).await
    }

    async fn perform(&mut self, actions: Vec<Action>) -> Step {
        for action in actions {
            match action {
                Action::Offer(agent) => self.offer(agent),
                Action::WaitFor(patience) => self.wait_for(patience),
                Action::Accept(agent, grant) => self.accept(agent, grant),
                Action::Withdraw(agent) => self.withdraw(&agent),
                Action::AskFate(agent) => {
                    let event = self.ask_fate(&agent).await;
                    let _ = self.events.send(event);
                }
                Action::Resume(agent) => {
                    let until = self.resume_until();
                    if !self.resume(&agent, until).await {
                        return self.broken(CallerError::Unknown).await;
                    }
                }
                Action::Finish(failure) => return self.give_up(failure).await,
            }
        }
        Step::Go
    }

    fn offer(&mut self, agent: Name) {
        let Some(link) = self.state.links.get(&agent) else {
            let _ = self.events.send(Event::Lost(agent));
            return;
        };
        if self.agents.insert(agent.clone()) {
            self.state.begin(&agent);
        }
        let events = self.events.clone();
        self.state
            .links
            .register(&agent, self.request, events.clone());
        link.usage.touch();
        let waiter = TicketWaiter::new(agent.clone(), events.clone());
        let offered = calls::offer(&link.desk, &self.ticket(), self.state.now(), waiter);
        actix_rt::spawn(async move {
            let _ = events.send(match offered.await {
                Ok(Offered::Queued(quote)) => Event::Queued(agent, quote),
                Ok(Offered::Granted(grant)) => Event::Granted(agent, grant.id),
                Ok(Offered::Refused(refusal)) => Event::Refused(agent, refusal),
                Err(_) => Event::Lost(agent),
            });
        });
    }

    fn wait_for(&self, patience: Duration) {
        let events = self.events.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(patience).await;
            // A request that has ended no longer listens.
            let _ = events.send(Event::PatienceEnded);
        });
    }

    fn ticket(&self) -> Ticket {
        let admission = &self.job.admission;
        Ticket {
            request: self.request,
            organisation: admission.organisation.clone(),
            order: admission.order,
            deadline: self.deadline,
            work: self.job.work,
            prefix: self.job.prefix.clone(),
            idempotent: self.job.idempotent,
        }
    }

    fn accept(&mut self, agent: Name, grant: GrantId) {
        let Some(link) = self.state.links.get(&agent) else {
            // Nothing was sent.
            let refusal = Refusal::new(RefusalCode::Unreachable, UNREACHABLE_RETRY);
            let _ = self.events.send(Event::NotDispatched(agent, refusal));
            return;
        };
        link.usage.touch();
        self.accepted = Some((agent.clone(), link.incarnation));
        self.state.dispatched(self.request);
        self.state.sent(&agent, &self.job.prefix);
        let answer = self.new_receiver();
        let accepted = calls::accept(&link.desk, self.request, grant, &self.job.call, answer);
        let events = self.events.clone();
        actix_rt::spawn(async move {
            let _ = events.send(match accepted.await {
                Ok(None) => Event::Dispatched(agent),
                Ok(Some(refusal)) => Event::NotDispatched(agent, refusal),
                Err(_) => Event::Lost(agent),
            });
        });
    }

    fn new_receiver(&self) -> answer::Client {
        let receiver = AnswerReceiver::new(self.parts.clone(), Rc::clone(&self.progress));
        capnp_rpc::new_client(receiver)
    }

    fn withdraw(&self, agent: &Name) {
        self.state.links.unregister(agent, self.request);
        if let Some(link) = self.state.links.get(agent) {
            calls::withdraw(&link.desk, self.request);
        }
    }

    /// Asks the life of the agent that was sent an accept whether it has
    /// dispatched the request, again after further cuts.
    async fn ask_fate(&mut self, agent: &Name) -> Event {
        let until = self.resume_until();
        while let Some(link) = self.same_again(agent, until).await {
            match calls::fate(&link.desk, self.request).await {
                Ok(schema::Fate::NeverDispatched) => {
                    let refusal = Refusal::new(RefusalCode::Unreachable, UNREACHABLE_RETRY);
                    return Event::NotDispatched(agent.clone(), refusal);
                }
                Ok(schema::Fate::Running | schema::Fate::Finished) => {
                    return match self.resume(agent, until).await {
                        true => Event::Dispatched(agent.clone()),
                        false => Event::Unclear(agent.clone()),
                    };
                }
                Err(_) => actix_rt::time::sleep(RESUME_PAUSE).await,
            }
        }
        Event::Unclear(agent.clone())
    }

    /// Until when a lost connection may be made up for.
    fn resume_until(&self) -> Moment {
        self.state.now() + self.state.current.settings().limits.resume
    }

    /// The connection to the life of the agent whose grant was accepted, once
    /// it is up; none when that life has ended or the time is over.
    async fn same_again(&self, agent: &Name, until: Moment) -> Option<Link> {
        let (accepted, incarnation) = self.accepted.as_ref()?;
        debug_assert_eq!(accepted, agent);
        let within = self.state.now().until(until);
        if within.is_zero() {
            return None;
        }
        let links = &self.state.links;
        links.same_again(agent, *incarnation, within).await
    }

    /// Has the rest of the answer sent on a new connection to the same life
    /// of the agent, again after further cuts.
    async fn resume(&mut self, agent: &Name, until: Moment) -> bool {
        while let Some(link) = self.same_again(agent, until).await {
            let events = self.events.clone();
            self.state.links.register(agent, self.request, events);
            let offset = self.progress.offset.get();
            let receiver = self.new_receiver();
            match calls::attach(&link.desk, self.request, offset, receiver).await {
                Ok(attached) => {
                    debug!(self.state.log, "resumed"; "request" => %self.request, "ok" => attached);
                    return attached;
                }
                Err(_) => actix_rt::time::sleep(RESUME_PAUSE).await,
            }
        }
        false
    }

    /// Passes a part of the answer on to the caller.
    async fn pass_on(&mut self, part: Part) -> Step {
        match part {
            Part::Head(status, headers) => {
                self.status = status;
                self.reply(Reply::Head(status, headers)).await
            }
            Part::Bytes(bytes) => {
                let admission = &self.job.admission;
                if self.progress.offset.get() == bytes.len() as u64 {
                    let waited = self.state.now().since(self.arrived);
                    let seconds = waited.as_secs_f64();
                    self.state.metrics.first_byte(&admission.tier, seconds);
                }
                self.reply(Reply::Bytes(bytes)).await
            }
            Part::End(work) => {
                let organisation = &self.job.admission.organisation;
                self.state.metrics.used(organisation, work);
                let outcome = self.outcome_of_whole();
                self.reply(Reply::End).await;
                Step::Ended(outcome)
            }
            Part::Failed(FailureCode::NotDispatched) => self.not_dispatched().await,
            Part::Failed(code) => self.broken(CallerError::from_code(code)).await,
        }
    }

    /// The agent dispatched the request, but the upstream surely did not
    /// receive it.
    async fn not_dispatched(&mut self) -> Step {
        let Some((agent, _)) = &self.accepted else {
            return self.broken(CallerError::Unknown).await;
        };
        let refusal = Refusal::new(RefusalCode::Unreachable, UNREACHABLE_RETRY);
        let event = Event::NotDispatched(agent.clone(), refusal);
        self.hear(event).await
    }

    fn outcome_of_whole(&self) -> Outcome {
        match self.status {
            500.. => Outcome::failed,
            400..500 => Outcome::invalid,
            _ if self.state.now() > self.deadline => Outcome::late,
            _ => Outcome::good,
        }
    }

    async fn broken(&mut self, error: CallerError) -> Step {
        let reply = match self.status {
            0 => Reply::Error(error),
            _ => Reply::Broken,
        };
        self.reply(reply).await;
        Step::Ended(Outcome::unknown)
    }

    async fn give_up(&mut self, failure: Failure) -> Step {
        let error = CallerError::from_failure(failure);
        let outcome = error.outcome();
        self.reply(Reply::Error(error)).await;
        Step::Ended(outcome)
    }

    /// Replies to the caller. One that has gone is noticed by `step`.
    async fn reply(&mut self, reply: Reply) -> Step {
        if let Some(claimed) = &mut self.claimed {
            match &reply {
                Reply::Head(status, headers) => claimed.head(*status, headers),
                Reply::Bytes(bytes) => claimed.bytes(bytes),
                Reply::End | Reply::Broken | Reply::Error(_) => {}
            }
        }
        let _ = self.replies.send(reply).await;
        Step::Go
    }

    fn caller_gone(&mut self) -> Step {
        for action in self.dispatch.abandon() {
            if let Action::Withdraw(agent) = action {
                self.withdraw(&agent);
            }
        }
        if let Some((agent, _)) = &self.accepted
            && let Some(link) = self.state.links.get(agent)
        {
            calls::cancel(&link.desk, self.request);
        }
        Step::Ended(Outcome::cancelled)
    }

    /// Notes in the store what has become of claimed work.
    fn settle_claim(&mut self, outcome: Outcome) {
        let Some(claimed) = self.claimed.take() else {
            return;
        };
        let may_have_run = self.accepted.is_some();
        match outcome {
            Outcome::good | Outcome::late | Outcome::failed => claimed.done(),
            Outcome::invalid if may_have_run => claimed.done(),
            _ if may_have_run => claimed.unknown(),
            _ => claimed.release(),
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.settle_claim(outcome);
        let state = &self.state;
        for agent in &self.agents {
            state.links.unregister(agent, self.request);
            state.finish(agent);
        }
        let admission = &self.job.admission;
        let took = state.now().since(self.arrived);
        let key = BurnKey {
            tier: admission.tier.clone(),
            organisation: admission.organisation.clone(),
        };
        let upstream = self.accepted.as_ref().map(|(agent, _)| agent);
        state.count(key, outcome, upstream);
        if upstream.is_some() {
            state.metrics.duration(&admission.tier, took.as_secs_f64());
        }
        info!(state.log, "request ended";
            "request" => %self.request,
            "organisation" => %admission.organisation,
            "tier" => %admission.tier,
            "outcome" => outcome.name(),
            "milliseconds" => u64::try_from(took.as_millis()).unwrap_or(u64::MAX));
        state.release(self.request);
    }
}
