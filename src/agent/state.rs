//! What the parts of an agent share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use tokio::sync::Notify;

use crate::active_settings::ActiveSettings;
use crate::agent::metrics::AgentMetrics;
use crate::almondramp_capnp::waiter;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::config::AgentConfig;
use crate::directory::Directory;
use crate::health::AdminState;
use crate::ids::GrantId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::name::Name;
use crate::progress::Generated;
use crate::scheduler::Notice;
use crate::scheduler::Scheduler;
use crate::scheduler::SchedulerConfig;
use crate::settings::Fencing;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;
use crate::ticket::OfferResult;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::WithdrawReason;
use crate::ticket::Work;
use crate::wire;

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
    pub active_settings: Rc<ActiveSettings>,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: AgentMetrics,
    directory: Rc<Directory>,
    clock: Clock,
    scheduler: RefCell<Scheduler>,
    waiters: RefCell<HashMap<RequestId, waiter::Client>>,
    /// The requests of each connection that have not ended.
    sessions: RefCell<HashMap<SessionId, HashSet<RequestId>>>,
    /// Told when the next tick of the scheduler may have changed.
    changed: Notify,
}

impl AgentState {
    /// The state of an agent that has just started.
    pub fn new(
        config: AgentConfig,
        incarnation: Incarnation,
        active_settings: Rc<ActiveSettings>,
        directory: Rc<Directory>,
        log: Logger,
    ) -> Self {
        let upstream = directory.get(&config.upstream);
        let scheduler_config = scheduler_config(&active_settings.settings(), upstream.as_ref());
        Self {
            config,
            incarnation,
            active_settings,
            log,
            metrics: AgentMetrics::new(),
            directory,
            clock: Clock::new(),
            scheduler: RefCell::new(Scheduler::new(scheduler_config)),
            waiters: RefCell::default(),
            sessions: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// The present moment on the agent's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Reads the scheduler.
    pub fn read_scheduler<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&Scheduler) -> T,
    {
        read(&self.scheduler.borrow())
    }

    /// Puts every change of the settings and the upstream in force.
    pub async fn follow_settings(self: Rc<Self>) {
        let mut revisions = self.active_settings.subscribe();
        let mut changes = self.directory.subscribe();
        loop {
            let changed = tokio::select! {
                changed = revisions.changed() => changed,
                changed = changes.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
            self.reconfigure();
        }
    }

    fn reconfigure(&self) {
        let config = scheduler_config(&self.active_settings.settings(), self.upstream().as_ref());
        self.scheduler.borrow_mut().set_config(config);
        let notices = self.scheduler.borrow_mut().tick(self.now());
        self.tell(notices);
        info!(self.log, "settings in force"; "revision" => self.active_settings.revision().0);
    }

    /// Takes in a ticket from an entry.
    pub fn offer(&self, session: SessionId, ticket: Ticket, client: waiter::Client) -> OfferResult {
        if self.address().is_none() {
            let refusal = Refusal::new(RefusalCode::NotReady, NOT_READY_RETRY);
            return OfferResult::Refused(refusal);
        }
        let request = ticket.request;
        let (offered, notices) = self.scheduler.borrow_mut().offer(self.now(), ticket);
        if !matches!(offered, OfferResult::Refused(_)) {
            self.waiters.borrow_mut().insert(request, client);
            let mut sessions = self.sessions.borrow_mut();
            sessions.entry(session).or_default().insert(request);
        }
        self.metrics.offered(&offered);
        self.tell(notices);
        offered
    }

    /// Notes that an entry has accepted a grant and sends the request.
    pub fn mark_sent(&self, request: RequestId, grant: GrantId) {
        self.waiters.borrow_mut().remove(&request);
        let begun = self
            .scheduler
            .borrow_mut()
            .mark_sent(self.now(), request, grant);
        if !begun {
            info!(self.log, "a lapsed grant was accepted"; "request" => %request);
        }
        self.tell(Vec::new());
    }

    /// Takes back a ticket or a grant.
    pub fn withdraw(&self, session: SessionId, request: RequestId, why: WithdrawReason) {
        self.forget(session, request);
        let notices = self
            .scheduler
            .borrow_mut()
            .withdraw(self.now(), request, why);
        self.tell(notices);
    }

    /// Notes that the upstream has begun to answer a request.
    pub fn mark_answering(&self, request: RequestId) {
        let notices = self
            .scheduler
            .borrow_mut()
            .mark_answering(self.now(), request);
        self.tell(notices);
    }

    /// Notes the end of a request and what it took, if its answer is whole.
    pub fn finish(&self, session: SessionId, request: RequestId, work: Option<Work>) {
        self.forget(session, request);
        let expected = self.scheduler.borrow().expected_work(request);
        if let Some(expected) = expected {
            self.metrics.finished(work);
            if work.is_none() {
                self.metrics.wasted(expected);
            }
        }
        let notices = self
            .scheduler
            .borrow_mut()
            .finish(self.now(), request, work);
        self.tell(notices);
    }

    /// Takes in the upstream's report of the requests that it holds.
    pub fn record_report(&self, held: usize, is_fresh: bool) {
        self.metrics.record_report(held);
        if is_fresh {
            let notices = self.scheduler.borrow_mut().set_held(self.now(), held);
            self.tell(notices);
        }
    }

    /// Takes in what the upstream has generated since its last report.
    pub fn record_generated(&self, generated: Generated) {
        self.scheduler
            .borrow_mut()
            .record_generated(self.now(), generated);
    }

    /// Ends the requests of a connection that has ended: its entry is gone,
    /// or goes on without this agent.
    pub fn session_ended(&self, session: SessionId) {
        let requests = self.sessions.borrow_mut().remove(&session);
        for request in requests.unwrap_or_default() {
            self.withdraw(session, request, WithdrawReason::GivenUp);
            self.finish(session, request, None);
        }
    }

    fn forget(&self, session: SessionId, request: RequestId) {
        self.waiters.borrow_mut().remove(&request);
        if let Some(requests) = self.sessions.borrow_mut().get_mut(&session) {
            requests.remove(&request);
        }
    }

    /// Takes no new work from now on and hands back what waits.
    pub fn drain(&self) {
        let notices = self.scheduler.borrow_mut().drain();
        info!(self.log, "draining"; "handed_back" => notices.len());
        self.tell(notices);
    }

    /// Ticks the scheduler whenever it has something to do.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let changed = self.changed.notified();
            let next = self.scheduler.borrow().next_tick();
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
        let notices = self.scheduler.borrow_mut().tick(self.now());
        self.tell(notices);
    }

    fn upstream(&self) -> Option<Upstream> {
        self.directory.get(&self.config.upstream)
    }

    /// The models that the engine is ordered to load.
    pub fn wanted_models(&self) -> Vec<Name> {
        self.upstream().map_or_else(Vec::new, |u| u.loads)
    }

    /// Whether the upstream is a model engine.
    pub fn is_model(&self) -> bool {
        self.upstream()
            .is_some_and(|u| u.kind == UpstreamKind::Model)
    }

    /// Whether the engine checks fencing numbers.
    pub fn fencing(&self) -> Fencing {
        self.upstream().map_or(Fencing::Ignored, |u| u.fencing)
    }

    /// Where the upstream listens; none while there are no settings.
    pub fn address(&self) -> Option<SocketAddr> {
        self.upstream().map(|u| u.address)
    }

    /// Tells entries what concerns their requests. An entry that can't be
    /// told has lost its connection, and its tickets go with that.
    fn tell(&self, notices: Vec<Notice>) {
        for notice in notices {
            match notice {
                Notice::Granted(request, grant) => {
                    if let Some(waiter) = self.waiters.borrow().get(&request) {
                        let mut req = waiter.granted_request();
                        wire::write_grant(grant, req.get().init_grant());
                        let sent = req.send();
                        actix_rt::spawn(async move { sent.promise.await.map(drop) });
                    }
                }
                Notice::Returned(request, refusal) => {
                    if let Some(waiter) = self.waiters.borrow_mut().remove(&request) {
                        let mut req = waiter.handed_back_request();
                        wire::write_refusal(refusal, req.get().init_refusal());
                        let sent = req.send();
                        actix_rt::spawn(async move { sent.promise.await.map(drop) });
                    }
                }
            }
        }
        self.metrics.record_scheduler(&self.scheduler.borrow());
        self.changed.notify_waiters();
    }
}

impl AdminState for AgentState {
    fn admin_address(&self) -> SocketAddr {
        self.config.admin
    }

    fn is_ready(&self) -> bool {
        self.active_settings.is_ready() && !self.scheduler.borrow().is_draining()
    }

    fn render_metrics(&self) -> String {
        self.metrics.render()
    }
}

fn scheduler_config(settings: &Settings, upstream: Option<&Upstream>) -> SchedulerConfig {
    let slots = upstream.map_or(0, |u| u.slots as usize);
    SchedulerConfig::new(settings, upstream, slots)
}
