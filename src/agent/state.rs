//! The state that the tasks and connections of an agent share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::Logger;
use slog::debug;
use slog::info;
use tokio::sync::Notify;

use crate::active_settings::ActiveSettings;
use crate::agent::metrics::AgentMetrics;
use crate::agent::observed_run::ObservedRun;
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
use crate::scheduler::ReportedMemory;
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

/// The delay after which an entry should retry at an agent that doesn't know
/// its upstream yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The delay after which an entry should retry at an agent whose upstream runs as another one
/// than the entry knows.
const OTHER_RUN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The number of a connection, unique within the life of an agent's process.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct SessionId(pub u64);

/// The scheduler of an agent, with the connections and tickets that it serves.
pub struct AgentState {
    /// The settings of the process.
    pub config: AgentConfig,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// The operators' settings.
    pub active_settings: Rc<ActiveSettings>,
    /// The logger.
    pub log: Logger,
    /// The metrics of the agent.
    pub metrics: AgentMetrics,
    directory: Rc<Directory>,
    clock: Clock,
    scheduler: RefCell<Scheduler>,
    /// The callbacks to entries, by ticket.
    waiters: RefCell<HashMap<RequestId, waiter::Client>>,
    /// The tickets and running requests of each connection.
    sessions: RefCell<HashMap<SessionId, HashSet<RequestId>>>,
    /// Whether the upstream says that it is leaving.
    is_upstream_leaving: Cell<bool>,
    /// The run of the upstream that has answered the last read of its report.
    run: Cell<ObservedRun>,
    /// The same of the last read that told a run.
    known_run: Cell<ObservedRun>,
    /// Whether the last report on the memory of the upstream was absurd.
    is_memory_absurd: Cell<bool>,
    /// Notified when the time of the scheduler's next tick can have changed.
    next_tick_changed: Notify,
}

impl AgentState {
    /// Creates the state of an agent that has just started.
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
            is_upstream_leaving: Cell::new(false),
            run: Cell::default(),
            known_run: Cell::default(),
            is_memory_absurd: Cell::new(false),
            next_tick_changed: Notify::new(),
        }
    }

    /// Returns the current time on the agent's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Calls `read` with the scheduler and returns the result.
    pub fn read_scheduler<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&Scheduler) -> T,
    {
        read(&self.scheduler.borrow())
    }

    /// Reconfigures the scheduler on every change of the settings or the
    /// upstream.
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
        self.send_notices(notices);
        info!(self.log, "scheduler reconfigured"; "revision" => self.active_settings.revision().0);
    }

    /// Offers a ticket to the scheduler. `client` receives later notices about
    /// the ticket: its grant, or the refusal with which it is returned.
    pub fn offer(&self, session: SessionId, ticket: Ticket, client: waiter::Client) -> OfferResult {
        if self.upstream_address().is_none() {
            let refusal = Refusal::new(RefusalCode::NotReady, NOT_READY_RETRY_AFTER);
            return OfferResult::Refused(refusal);
        }
        if self.is_upstream_leaving.get() {
            let refusal = Refusal::new(RefusalCode::Draining, NOT_READY_RETRY_AFTER);
            return OfferResult::Refused(refusal);
        }
        if !self.run.get().may_serve(ticket.run_start) {
            debug!(self.log, "ticket refused: its entry knows another run of the upstream";
                "request" => %ticket.request,
                "needed" => ticket.run_start,
                "run" => ?self.run.get());
            let refusal = Refusal::new(RefusalCode::Unreachable, OTHER_RUN_RETRY_AFTER);
            return OfferResult::Refused(refusal);
        }
        let request = ticket.request;
        let (offered, notices) = self.scheduler.borrow_mut().offer(self.now(), ticket);
        if !matches!(offered, OfferResult::Refused(_)) {
            self.waiters.borrow_mut().insert(request, client);
            let mut sessions = self.sessions.borrow_mut();
            sessions.entry(session).or_default().insert(request);
        }
        self.metrics.record_offer(&offered);
        self.send_notices(notices);
        offered
    }

    /// Records that an entry has accepted a grant and sends the request.
    pub fn mark_sent(&self, request: RequestId, grant: GrantId) {
        self.waiters.borrow_mut().remove(&request);
        let is_live = self
            .scheduler
            .borrow_mut()
            .mark_sent(self.now(), request, grant);
        if !is_live {
            info!(self.log, "entry accepted an expired grant"; "request" => %request);
        }
        self.send_notices(Vec::new());
    }

    /// Withdraws a ticket or a grant.
    pub fn withdraw(&self, session: SessionId, request: RequestId, reason: WithdrawReason) {
        self.remove_request(session, request);
        let notices = self
            .scheduler
            .borrow_mut()
            .withdraw(self.now(), request, reason);
        self.send_notices(notices);
    }

    /// Records that the upstream has begun to answer a request.
    pub fn mark_answering(&self, request: RequestId) {
        let notices = self
            .scheduler
            .borrow_mut()
            .mark_answering(self.now(), request);
        self.send_notices(notices);
    }

    /// Records the end of a request. `work` holds its tokens if the answer was
    /// complete, and is `None` otherwise.
    pub fn finish(&self, session: SessionId, request: RequestId, work: Option<Work>) {
        self.remove_request(session, request);
        let expected = self.scheduler.borrow().expected_work(request);
        if let Some(expected) = expected {
            self.metrics.record_finish(work);
            if work.is_none() {
                self.metrics.record_wasted_prefill(expected);
            }
        }
        let notices = self
            .scheduler
            .borrow_mut()
            .finish(self.now(), request, work);
        self.send_notices(notices);
    }

    /// Records the number of requests that the upstream reports to hold. The
    /// scheduler uses it only if `is_fresh`.
    pub fn record_report(&self, held: usize, is_fresh: bool) {
        self.metrics.record_report(held);
        if is_fresh {
            let notices = self
                .scheduler
                .borrow_mut()
                .set_reported_requests(self.now(), held);
            self.send_notices(notices);
        }
    }

    /// Records the memory that the upstream reports. Absurd numbers change nothing.
    pub fn record_memory(&self, memory: Option<ReportedMemory>) {
        let (is_plausible, notices) = self
            .scheduler
            .borrow_mut()
            .set_reported_memory(self.now(), memory);
        if !self.is_memory_absurd.replace(!is_plausible) && !is_plausible {
            info!(self.log, "upstream reports absurd numbers of its memory"; "memory" => ?memory);
        }
        self.send_notices(notices);
    }

    /// Records whether the upstream says that it is leaving. While it does, tickets are
    /// refused, and those that wait are returned; one that starts again takes them.
    pub fn set_leaving(&self, is_leaving: bool) {
        if self.is_upstream_leaving.replace(is_leaving) == is_leaving {
            return;
        }
        info!(self.log, "upstream leaves or has started again"; "leaving" => is_leaving);
        if is_leaving {
            let notices = self.scheduler.borrow_mut().return_waiting();
            self.send_notices(notices);
        }
    }

    /// Records which run of the upstream has answered the read of its report. Tickets that
    /// wait for an earlier one are returned with all others, to be offered again.
    pub fn record_run(&self, run: ObservedRun) {
        self.run.set(run);
        if run == ObservedRun::Unknown {
            return;
        }
        // A report that could not be read in between does not hide a change.
        let earlier = self.known_run.replace(run);
        if earlier == run {
            return;
        }
        info!(self.log, "upstream runs otherwise than before"; "earlier" => ?earlier, "run" => ?run);
        if earlier != ObservedRun::Unknown {
            let notices = self.scheduler.borrow_mut().return_waiting();
            self.send_notices(notices);
        }
    }

    /// Records the tokens that the upstream has generated since its last
    /// report.
    pub fn record_generated(&self, generated: Generated) {
        self.scheduler
            .borrow_mut()
            .record_generated(self.now(), generated);
    }

    /// Ends all requests of a closed connection. Its entry has stopped or
    /// continues without this agent.
    pub fn end_session(&self, session: SessionId) {
        let requests = self.sessions.borrow_mut().remove(&session);
        for request in requests.unwrap_or_default() {
            self.withdraw(session, request, WithdrawReason::GivenUp);
            self.finish(session, request, None);
        }
    }

    fn remove_request(&self, session: SessionId, request: RequestId) {
        self.waiters.borrow_mut().remove(&request);
        if let Some(requests) = self.sessions.borrow_mut().get_mut(&session) {
            requests.remove(&request);
        }
    }

    /// Refuses all further tickets and returns the waiting ones to their
    /// entries.
    pub fn drain(&self) {
        let notices = self.scheduler.borrow_mut().drain();
        info!(self.log, "draining: waiting tickets returned to their entries"; "handed_back" => notices.len());
        self.send_notices(notices);
    }

    /// Ticks the scheduler whenever a tick is due. Never returns.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let changed = self.next_tick_changed.notified();
            let next = self.scheduler.borrow().next_tick();
            match next {
                None => changed.await,
                Some(timestamp) => {
                    let at = self.clock.instant(timestamp);
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
        self.send_notices(notices);
    }

    fn upstream(&self) -> Option<Upstream> {
        self.directory.get(&self.config.upstream)
    }

    /// Returns the models that the settings name for the engine.
    pub fn models_to_load(&self) -> Vec<Name> {
        self.upstream().map_or_else(Vec::new, |u| u.loads)
    }

    /// Returns whether the upstream is a model engine.
    pub fn is_model_engine(&self) -> bool {
        self.upstream()
            .is_some_and(|u| u.kind == UpstreamKind::Model)
    }

    /// Returns whether the engine checks fencing numbers.
    pub fn fencing(&self) -> Fencing {
        self.upstream().map_or(Fencing::Ignored, |u| u.fencing)
    }

    /// Returns the address of the upstream, or `None` while the upstream is
    /// unknown.
    pub fn upstream_address(&self) -> Option<SocketAddr> {
        self.upstream().map(|u| u.address)
    }

    /// Sends notices to the entries of the requests, and updates the metrics
    /// and the timer. A notice that can't be delivered needs no handling: its
    /// connection is lost, and `end_session` removes the tickets.
    fn send_notices(&self, notices: Vec<Notice>) {
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
        self.next_tick_changed.notify_waiters();
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
