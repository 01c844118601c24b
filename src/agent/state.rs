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

use crate::agent::metrics::AgentMetrics;
use crate::almondramp_capnp::waiter;
use crate::clock::Clock;
use crate::clock::Moment;
use crate::config::AgentConfig;
use crate::current::Current;
use crate::desk::Desk;
use crate::desk::DeskConfig;
use crate::desk::Notice;
use crate::directory::Directory;
use crate::health::Observed;
use crate::ids::GrantId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::name::Name;
use crate::progress::Generated;
use crate::settings::Fencing;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;
use crate::ticket::Offered;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::ticket::Ticket;
use crate::ticket::Withdrawal;
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
    pub current: Rc<Current>,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: AgentMetrics,
    directory: Rc<Directory>,
    clock: Clock,
    desk: RefCell<Desk>,
    waiters: RefCell<HashMap<RequestId, waiter::Client>>,
    /// The requests of each connection that have not ended.
    sessions: RefCell<HashMap<SessionId, HashSet<RequestId>>>,
    /// Told when the next tick of the desk may have changed.
    changed: Notify,
}

impl AgentState {
    /// The state of an agent that has just started.
    pub fn new(
        config: AgentConfig,
        incarnation: Incarnation,
        current: Rc<Current>,
        directory: Rc<Directory>,
        log: Logger,
    ) -> Self {
        let upstream = directory.get(&config.upstream);
        let desk_config = desk_config(&current.settings(), upstream.as_ref());
        Self {
            config,
            incarnation,
            current,
            log,
            metrics: AgentMetrics::new(),
            directory,
            clock: Clock::new(),
            desk: RefCell::new(Desk::new(desk_config)),
            waiters: RefCell::default(),
            sessions: RefCell::default(),
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

    /// Puts every change of the settings and the upstream in force.
    pub async fn follow_settings(self: Rc<Self>) {
        let mut revisions = self.current.subscribe();
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
        let config = desk_config(&self.current.settings(), self.upstream().as_ref());
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
            self.waiters.borrow_mut().insert(request, client);
            let mut sessions = self.sessions.borrow_mut();
            sessions.entry(session).or_default().insert(request);
        }
        self.metrics.offered(&offered);
        self.tell(notices);
        offered
    }

    /// Notes that an entry has accepted a grant and sends the request.
    pub fn begin(&self, request: RequestId, grant: GrantId) {
        self.waiters.borrow_mut().remove(&request);
        let begun = self.desk.borrow_mut().begin(self.now(), request, grant);
        if !begun {
            info!(self.log, "a lapsed grant was accepted"; "request" => %request);
        }
        self.tell(Vec::new());
    }

    /// Takes back a ticket or a grant.
    pub fn withdraw(&self, session: SessionId, request: RequestId, why: Withdrawal) {
        self.forget(session, request);
        let notices = self.desk.borrow_mut().withdraw(self.now(), request, why);
        self.tell(notices);
    }

    /// Notes that the upstream has begun to answer a request.
    pub fn answering(&self, request: RequestId) {
        let notices = self.desk.borrow_mut().answering(self.now(), request);
        self.tell(notices);
    }

    /// Notes the end of a request and what it took, if its answer is whole.
    pub fn finish(&self, session: SessionId, request: RequestId, work: Option<Work>) {
        self.forget(session, request);
        let expected = self.desk.borrow().expected(request);
        if let Some(expected) = expected {
            self.metrics.finished(work);
            if work.is_none() {
                self.metrics.wasted(expected);
            }
        }
        let notices = self.desk.borrow_mut().finish(self.now(), request, work);
        self.tell(notices);
    }

    /// Takes in the upstream's report of the requests that it holds.
    pub fn reported(&self, held: usize, is_fresh: bool) {
        self.metrics.reported(held);
        if is_fresh {
            let notices = self.desk.borrow_mut().report(self.now(), held);
            self.tell(notices);
        }
    }

    /// Takes in what the upstream has generated since its last report.
    pub fn generated(&self, generated: Generated) {
        self.desk.borrow_mut().generated(self.now(), generated);
    }

    /// Ends the requests of a connection that has ended: its entry is gone,
    /// or goes on without this agent.
    pub fn session_ended(&self, session: SessionId) {
        let requests = self.sessions.borrow_mut().remove(&session);
        for request in requests.unwrap_or_default() {
            self.withdraw(session, request, Withdrawal::GivenUp);
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
        let notices = self.desk.borrow_mut().drain();
        info!(self.log, "draining"; "handed_back" => notices.len());
        self.tell(notices);
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
                Notice::HandedBack(request, refusal) => {
                    if let Some(waiter) = self.waiters.borrow_mut().remove(&request) {
                        let mut req = waiter.handed_back_request();
                        wire::write_refusal(refusal, req.get().init_refusal());
                        let sent = req.send();
                        actix_rt::spawn(async move { sent.promise.await.map(drop) });
                    }
                }
            }
        }
        self.metrics.desk(&self.desk.borrow());
        self.changed.notify_waiters();
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

fn desk_config(settings: &Settings, upstream: Option<&Upstream>) -> DeskConfig {
    let slots = upstream.map_or(0, |u| u.slots as usize);
    DeskConfig::new(settings, upstream, slots)
}
