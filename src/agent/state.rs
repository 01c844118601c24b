//! What the parts of an agent share, and the run of a dispatched request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::sync::Notify;

use crate::agent::answer::Answering;
use crate::agent::answer::End;
use crate::agent::answer::Failure;
use crate::agent::metrics::AgentMetrics;
use crate::agent::upstream::CallError;
use crate::agent::upstream::Response;
use crate::agent::upstream::UpstreamClient;
use crate::agent::upstream::answer_headers;
use crate::almondramp_capnp::answer;
use crate::almondramp_capnp::waiter;
use crate::clock::Clock;
use crate::clock::Moment;
use crate::config::AgentConfig;
use crate::current::Current;
use crate::desk::Desk;
use crate::desk::DeskConfig;
use crate::desk::Fate;
use crate::desk::Notice;
use crate::health::Observed;
use crate::ids::GrantId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::name::Name;
use crate::settings::Fencing;
use crate::settings::Limits;
use crate::settings::Settings;
use crate::settings::UpstreamKind;
use crate::ticket::Offered;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::Work;
use crate::usage::AnswerForm;
use crate::usage::UsageReader;
use crate::wire;
use crate::wire::Call;

/// When to come back to an agent that has no settings yet.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// Numbers the connections of one agent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct SessionId(pub u64);

/// The state of an agent.
pub struct AgentState {
    /// The process's own settings.
    pub config: AgentConfig,
    /// The present life of the process.
    pub incarnation: Incarnation,
    /// The operators' settings.
    pub current: Rc<Current>,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: AgentMetrics,
    clock: Clock,
    desk: RefCell<Desk>,
    waiters: RefCell<HashMap<RequestId, Waiter>>,
    answers: RefCell<HashMap<RequestId, Rc<Answering>>>,
    upstream: UpstreamClient,
    /// Told when the next tick of the desk may have changed.
    changed: Notify,
}

struct Waiter {
    client: waiter::Client,
    session: SessionId,
}

/// A dispatched request.
struct Job {
    request: RequestId,
    call: Call,
    idempotent: bool,
    work: Work,
}

impl AgentState {
    /// The state of an agent that has just started.
    pub fn new(
        config: AgentConfig,
        incarnation: Incarnation,
        current: Rc<Current>,
        log: Logger,
    ) -> Self {
        let desk_config = desk_config(&config, &current.settings());
        Self {
            config,
            incarnation,
            current,
            log,
            metrics: AgentMetrics::new(),
            clock: Clock::new(),
            desk: RefCell::new(Desk::new(desk_config)),
            waiters: RefCell::default(),
            answers: RefCell::default(),
            upstream: UpstreamClient::new(),
            changed: Notify::new(),
        }
    }

    /// The present moment on the agent's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Reads the desk.
    pub fn desk<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&Desk) -> T,
    {
        read(&self.desk.borrow())
    }

    /// Puts every new revision of the settings in force at the desk.
    pub async fn follow_settings(self: Rc<Self>) {
        let mut revisions = self.current.subscribe();
        while revisions.changed().await.is_ok() {
            self.reconfigure();
        }
    }

    fn reconfigure(&self) {
        let config = desk_config(&self.config, &self.current.settings());
        self.desk.borrow_mut().set_config(config);
        let notices = self.desk.borrow_mut().tick(self.now());
        self.tell(notices);
        info!(self.log, "settings in force"; "revision" => self.current.revision().0);
    }

    /// Takes in a ticket from an entry.
    pub fn offer(&self, session: SessionId, ticket: Ticket, client: waiter::Client) -> Offered {
        if self.address().is_none() {
            let refusal = Refusal::new(RefusalCode::NotReady, NOT_READY_RETRY);
            return Offered::Refused(refusal);
        }
        let request = ticket.request;
        let (offered, notices) = self.desk.borrow_mut().offer(self.now(), ticket);
        if !matches!(offered, Offered::Refused(_)) {
            let waiter = Waiter { client, session };
            self.waiters.borrow_mut().insert(request, waiter);
        }
        self.metrics.offered(&offered);
        self.tell(notices);
        offered
    }

    /// Accepts a grant: runs the call and sends the answer to `client`.
    pub fn accept(
        self: &Rc<Self>,
        request: RequestId,
        grant: GrantId,
        call: Call,
        client: answer::Client,
    ) -> Result<(), Refusal> {
        let now = self.now();
        let ticket = self.desk.borrow_mut().accept(now, request, grant)?;
        self.waiters.borrow_mut().remove(&request);
        let answering = Answering::new(self.limits().answer_buffer as usize);
        answering.attach(client, 0);
        let kept = Rc::clone(&answering);
        self.answers.borrow_mut().insert(request, kept);
        let job = Job {
            request,
            call,
            idempotent: ticket.idempotent,
            work: ticket.work,
        };
        actix_rt::spawn(Rc::clone(self).run(job, answering));
        Ok(())
    }

    /// Takes back a ticket or a grant.
    pub fn withdraw(&self, request: RequestId) {
        self.waiters.borrow_mut().remove(&request);
        let notices = self.desk.borrow_mut().withdraw(self.now(), request);
        self.tell(notices);
    }

    /// Cancels a dispatched request.
    pub fn cancel(&self, request: RequestId) {
        if let Some(answering) = self.answers.borrow().get(&request) {
            answering.cancel();
        }
    }

    /// Says what became of a request, and keeps it from being dispatched
    /// later if it has not been so far.
    pub fn fate(&self, request: RequestId) -> Fate {
        self.desk.borrow_mut().fate(request)
    }

    /// Sends the rest of an answer to an entry that has connected again.
    pub fn attach(&self, request: RequestId, offset: u64, client: answer::Client) -> bool {
        let answering = self.answers.borrow().get(&request).cloned();
        answering.is_some_and(|a| a.attach(client, offset))
    }

    /// Takes back the tickets of a connection that has ended.
    pub fn session_ended(&self, session: SessionId) {
        let waiting: Vec<RequestId> = self
            .waiters
            .borrow()
            .iter()
            .filter(|(_, w)| w.session == session)
            .map(|(request, _)| *request)
            .collect();
        for request in waiting {
            self.withdraw(request);
        }
    }

    /// Takes no new work from now on and hands back what waits.
    pub fn drain(&self) {
        let notices = self.desk.borrow_mut().drain();
        info!(self.log, "draining"; "handed_back" => notices.len());
        self.tell(notices);
    }

    /// Waits until every dispatched request has ended and its answer was
    /// confirmed or given up.
    pub async fn idle(&self) {
        loop {
            let changed = self.changed.notified();
            if self.desk.borrow().is_idle() && self.answers.borrow().is_empty() {
                return;
            }
            changed.await;
        }
    }

    /// Ticks the desk whenever it has something to do.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let changed = self.changed.notified();
            let next = self.desk.borrow().next_tick();
            match next {
                None => changed.await,
                Some(moment) => {
                    let at = self.clock.instant(moment);
                    tokio::select! {
                        () = changed => {}
                        () = actix_rt::time::sleep_until(at.into()) => self.tick(),
                    }
                }
            }
        }
    }

    fn tick(&self) {
        let notices = self.desk.borrow_mut().tick(self.now());
        self.tell(notices);
    }

    fn limits(&self) -> Limits {
        self.current.settings().limits.clone()
    }

    /// The models that the engine is ordered to load.
    pub fn wanted_models(&self) -> Vec<Name> {
        let settings = self.current.settings();
        let upstream = settings.upstreams.get(&self.config.upstream);
        upstream.map_or_else(Vec::new, |u| u.loads.clone())
    }

    /// Whether the upstream is a model engine.
    pub fn is_model(&self) -> bool {
        let settings = self.current.settings();
        let upstream = settings.upstreams.get(&self.config.upstream);
        upstream.is_some_and(|u| u.kind == UpstreamKind::Model)
    }

    /// Whether the engine checks fencing numbers.
    pub fn fencing(&self) -> Fencing {
        let settings = self.current.settings();
        let upstream = settings.upstreams.get(&self.config.upstream);
        upstream.map_or(Fencing::Ignored, |u| u.fencing)
    }

    /// Where the upstream listens; none while there are no settings.
    pub fn address(&self) -> Option<SocketAddr> {
        let settings = self.current.settings();
        let upstream = settings.upstreams.get(&self.config.upstream)?;
        Some(upstream.address)
    }

    /// Tells entries what concerns their requests. An entry that can't be
    /// told has lost its connection, and its tickets go with that.
    fn tell(&self, notices: Vec<Notice>) {
        for notice in notices {
            match notice {
                Notice::Granted(request, grant) => {
                    if let Some(waiter) = self.waiters.borrow().get(&request) {
                        let mut req = waiter.client.granted_request();
                        wire::write_grant(grant, req.get().init_grant());
                        let sent = req.send();
                        actix_rt::spawn(async move { sent.promise.await.map(drop) });
                    }
                }
                Notice::HandedBack(request, refusal) => {
                    if let Some(waiter) = self.waiters.borrow_mut().remove(&request) {
                        let mut req = waiter.client.handed_back_request();
                        wire::write_refusal(refusal, req.get().init_refusal());
                        let sent = req.send();
                        actix_rt::spawn(async move { sent.promise.await.map(drop) });
                    }
                }
            }
        }
        let desk = self.desk.borrow();
        self.metrics.desk(&desk);
        self.changed.notify_waiters();
    }

    async fn run(self: Rc<Self>, job: Job, answering: Rc<Answering>) {
        let request = job.request;
        let end = tokio::select! {
            end = self.call(&job, &answering) => end,
            () = answering.cancelled() => End::Failed(Failure::Cancelled),
            () = actix_rt::time::sleep(self.limits().run) => End::Failed(Failure::TimedOut),
        };
        answering.end(end);
        let work = match end {
            End::Whole(work) => Some(work),
            End::Failed(_) => None,
        };
        self.metrics.finished(end, job.work);
        let notices = self.desk.borrow_mut().finish(self.now(), request, work);
        self.tell(notices);
        debug!(self.log, "finished"; "request" => %request, "end" => ?end);
        if !answering.settled(self.limits().resume).await {
            warn!(self.log, "answer was not fetched"; "request" => %request);
        }
        self.answers.borrow_mut().remove(&request);
        self.changed.notify_waiters();
    }

    async fn call(&self, job: &Job, answering: &Answering) -> End {
        let Some(address) = self.address() else {
            return End::Failed(Failure::NotDispatched);
        };
        let sent = self.upstream.send(address, &job.call, job.idempotent);
        match sent.await {
            Ok(response) => self.receive(response, job, answering).await,
            Err(CallError::NotDispatched) => End::Failed(Failure::NotDispatched),
            Err(CallError::Failed) => End::Failed(Failure::Upstream),
        }
    }

    async fn receive(&self, mut response: Response, job: &Job, answering: &Answering) -> End {
        let mut usage = UsageReader::new(form_of(&response, job));
        let headers = answer_headers(&response);
        answering.head(response.status().as_u16(), headers);
        let mut begun = false;
        while let Some(part) = response.next().await {
            let Ok(bytes) = part else {
                return End::Failed(Failure::Upstream);
            };
            if !begun {
                begun = true;
                let notices = self.desk.borrow_mut().answering(self.now(), job.request);
                self.tell(notices);
            }
            usage.push(&bytes);
            answering.push(bytes).await;
        }
        if !usage.is_whole() {
            return End::Failed(Failure::Upstream);
        }
        End::Whole(usage.work(job.work))
    }
}

impl Observed for AgentState {
    fn admin_address(&self) -> SocketAddr {
        self.config.admin
    }

    fn is_ready(&self) -> bool {
        self.current.is_ready() && !self.desk.borrow().is_draining()
    }

    fn render_metrics(&self) -> String {
        self.metrics.render()
    }
}

fn form_of(response: &Response, job: &Job) -> AnswerForm {
    let is_model = job.work != Work::default();
    match (is_model && response.status().is_success(), job.call.stream) {
        (false, _) => AnswerForm::Opaque,
        (true, true) => AnswerForm::Events,
        (true, false) => AnswerForm::Document,
    }
}

fn desk_config(config: &AgentConfig, settings: &Settings) -> DeskConfig {
    let upstream = settings.upstreams.get(&config.upstream);
    let weights = settings.organisations.iter();
    let top = settings.tiers.values().min_by_key(|t| t.order);
    DeskConfig {
        top_order: top.map_or(0, |t| t.order),
        top_deadline: top.map_or(Duration::ZERO, |t| t.deadline),
        slots: upstream.map_or(0, |u| u.slots as usize),
        tickets: settings.limits.agent_tickets as usize,
        grant_valid: settings.limits.grant_valid,
        weights: weights.map(|(name, o)| (name.clone(), o.weight)).collect(),
        cache_tokens: upstream.map_or(0, |u| u.cache_tokens),
    }
}
