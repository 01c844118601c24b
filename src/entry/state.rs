//! The state shared by all tasks of an entry.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::info;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::active_settings::Revision;
use crate::admission::AdmissionControl;
use crate::burn::BurnKey;
use crate::burn::BurnLog;
use crate::burn_report::EntryBurn;
use crate::claims::ClaimStore;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::config::EntryConfig;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::dispatch::Event;
use crate::early_ends::EarlyEnds;
use crate::entry::EntryParts;
use crate::entry::auth::KeyTable;
use crate::entry::gossip::EntryGossip;
use crate::entry::links::Links;
use crate::entry::loans::Loans;
use crate::entry::local_schedulers::LocalSchedulers;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::entry::metrics::EntryMetrics;
use crate::entry::notices::Notices;
use crate::entry::peers::Peers;
use crate::entry::reply_queue::HeldAnswers;
use crate::entry::reported_loads::ReportedLoads;
use crate::entry::request::Job;
use crate::entry::rollouts::RolloutParts;
use crate::entry::rollouts::Rollouts;
use crate::entry::streams::Streams;
use crate::entry::suspects::Suspects;
use crate::entry::upstream_limits::UpstreamLimits;
use crate::entry::zone_balance::ZoneState;
use crate::held_requests::HeldRequestBounds;
use crate::held_requests::HeldRequests;
use crate::held_requests::HoldResult;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::memory_budget::MemoryBudget;
use crate::name::Name;
use crate::object_store::HttpObjectStore;
use crate::outcome::Outcome;
use crate::outlier::Outliers;
use crate::outlier::UpstreamResult;
use crate::prefix::PrefixIndex;
use crate::quota::Quota;
use crate::retry_budget::RetryBudget;
use crate::settings::Settings;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;

mod retries;

/// The retry delay given to callers of evicted requests.
const EVICTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The shared state of an entry.
pub struct EntryState {
    /// The process's own settings.
    pub config: EntryConfig,
    /// The current incarnation of the process.
    pub incarnation: Incarnation,
    /// The operators' settings.
    pub active_settings: Rc<ActiveSettings>,
    /// The connections to agents.
    pub links: Rc<Links>,
    /// The HTTP dialect of callers and upstreams.
    pub dialect: Rc<dyn Dialect>,
    /// The known upstreams.
    pub directory: Rc<Directory>,
    /// The loads that upstreams report.
    pub reported_loads: Rc<ReportedLoads>,
    /// The schedulers that run in this process.
    pub local_schedulers: Rc<LocalSchedulers>,
    /// The organisations' quotas.
    pub quota: Rc<RefCell<Quota>>,
    /// Loans of quota between entries.
    pub loans: Rc<Loans>,
    /// Rows and reports that entries exchange.
    pub gossip: Rc<EntryGossip>,
    /// Roll-outs of new versions.
    pub rollouts: Rc<Rollouts>,
    /// The streams of this entry, and those that others have reported.
    pub streams: Rc<Streams>,
    /// The parts of prompts that may crash upstreams.
    pub suspects: Rc<Suspects>,
    /// The rate limits that upstreams name.
    pub upstream_limits: Rc<UpstreamLimits>,
    /// The bytes of answers that are held for slow callers.
    pub answers: Rc<HeldAnswers>,
    /// What upstreams say of themselves.
    pub notices: Rc<Notices>,
    /// Whether this entry is a watcher: it watches the object store on behalf of
    /// other entries.
    pub is_watcher: Rc<watch::Sender<bool>>,
    /// The claims on idempotency keys; `None` without an object store.
    pub claims: Option<Rc<ClaimStore>>,
    /// The metrics.
    pub metrics: EntryMetrics,
    /// The log.
    pub log: Logger,
    /// Hosts that are about to be removed.
    pub(super) leaving_hosts: RefCell<BTreeSet<Name>>,
    memory: MemoryBudget,
    clock: Clock,
    keys: RefCell<(Revision, Rc<KeyTable>)>,
    /// The sequence number of the last request.
    pub(super) last_sequence: Cell<u64>,
    held_requests: RefCell<HeldRequests>,
    /// The other entries; not set if this entry has no address for them.
    pub(super) peers: OnceCell<Weak<Peers>>,
    /// The event channels of the held requests.
    listeners: RefCell<HashMap<RequestId, UnboundedSender<Event>>>,
    /// The prompt prefixes sent to each upstream.
    pub(super) prefix_indexes: RefCell<HashMap<Name, PrefixIndex>>,
    /// Outstanding tickets and requests, by upstream.
    pub(super) outstanding: RefCell<HashMap<Name, usize>>,
    /// Concurrent requests, by organisation; every count is above zero.
    pub(super) concurrency: RefCell<HashMap<Name, u32>>,
    pub(super) rng: RefCell<SmallRng>,
    stopping: Cell<bool>,
    refusing_new: Cell<bool>,
    retry_budget: RefCell<RetryBudget>,
    pub(super) outliers: RefCell<Outliers>,
    /// Services whose streams have ended early.
    pub early_ends: RefCell<EarlyEnds>,
    pub(super) admission: RefCell<AdmissionControl>,
    pub(super) zones: ZoneState,
    released: Notify,
    burn: RefCell<BurnLog>,
    upstream_outcomes: RefCell<BTreeMap<Name, BTreeMap<Outcome, u64>>>,
}

impl EntryState {
    /// Creates the state of an entry that is starting.
    pub fn new(
        config: EntryConfig,
        incarnation: Incarnation,
        parts: &EntryParts,
        links: Rc<Links>,
        is_watcher: Rc<watch::Sender<bool>>,
        log: Logger,
    ) -> Self {
        let keys = Rc::new(KeyTable::new(&Settings::default()));
        let claims = config.store.as_ref().map(|base| {
            let store = Rc::new(HttpObjectStore::new(base));
            Rc::new(ClaimStore::new(store))
        });
        let clock = Clock::new();
        let quota = Rc::new(RefCell::new(Quota::new(clock.now())));
        let settings = Rc::clone(&parts.active_settings);
        let loans = Loans::new(Rc::clone(&quota), settings, incarnation, clock, log.clone());
        let streams = Streams::new(Rc::clone(&parts.directory), clock, log.clone());
        let limits = UpstreamLimits::new(incarnation, clock, log.clone());
        let limits = Rc::new(limits);
        let memory = MemoryBudget::new(config.memory);
        let memory = match config.sockets {
            Some(sockets) => memory.with_sockets(sockets),
            None => memory,
        };
        let directory = Rc::clone(&parts.directory);
        let gossip = Rc::new(EntryGossip::new(incarnation, clock, log.clone()));
        let rollouts = Rollouts::new(RolloutParts {
            store: parts.rollouts.clone(),
            directory: Rc::clone(&parts.directory),
            active_settings: Rc::clone(&parts.active_settings),
            gossip: Rc::clone(&gossip),
            clock,
            log: log.clone(),
        });
        let metrics = EntryMetrics::new(rollouts.metrics());
        let loads = Rc::new(ReportedLoads::new(
            metrics.loads(),
            incarnation.0,
            log.clone(),
        ));
        let notices = Notices::new(
            directory,
            Rc::clone(&limits),
            Rc::clone(&loads),
            clock,
            log.clone(),
        );
        Self {
            streams: Rc::new(streams),
            suspects: Rc::new(Suspects::new(clock, log.clone())),
            upstream_limits: limits,
            notices: Rc::new(notices),
            peers: OnceCell::new(),
            answers: Rc::new(HeldAnswers::new(memory.answer_bytes)),
            memory,
            zones: ZoneState::new(config.zone.clone()),
            config,
            claims,
            is_watcher,
            leaving_hosts: RefCell::default(),
            incarnation,
            active_settings: Rc::clone(&parts.active_settings),
            links,
            dialect: Rc::clone(&parts.dialect),
            directory: Rc::clone(&parts.directory),
            local_schedulers: Rc::new(LocalSchedulers::new(Rc::clone(&loads))),
            reported_loads: loads,
            quota,
            loans: Rc::new(loans),
            gossip,
            metrics,
            rollouts: Rc::new(rollouts),
            log,
            clock,
            keys: RefCell::new((Revision::default(), keys)),
            last_sequence: Cell::new(0),
            held_requests: RefCell::default(),
            listeners: RefCell::default(),
            prefix_indexes: RefCell::default(),
            outstanding: RefCell::default(),
            concurrency: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(incarnation.0)),
            stopping: Cell::new(false),
            refusing_new: Cell::new(false),
            retry_budget: RefCell::new(RetryBudget::new().with_start(clock.now())),
            outliers: RefCell::default(),
            early_ends: RefCell::default(),
            admission: RefCell::default(),
            released: Notify::new(),
            burn: RefCell::default(),
            upstream_outcomes: RefCell::default(),
        }
    }

    /// Returns the entry's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the current time on the entry's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Converts a timestamp of the entry's clock to an `Instant`.
    pub fn instant(&self, timestamp: Timestamp) -> std::time::Instant {
        self.clock.instant(timestamp)
    }

    /// Returns whether the entry is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Begins the stop: the entry reports itself as not ready and asks callers
    /// to close their connections. Requests on open connections are still
    /// served.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
        self.upstream_limits.set_leaving();
        self.loans.set_leaving();
        self.gossip.set_leaving();
        self.streams.send_again();
    }

    /// Returns whether new requests are refused because they could not finish
    /// before the entry stops.
    pub fn refuses_new_requests(&self) -> bool {
        self.refusing_new.get()
    }

    /// Refuses all new requests from now on.
    pub fn refuse_new_requests(&self) {
        self.refusing_new.set(true);
    }

    /// Returns whether the entry can serve requests: it has settings and
    /// upstreams, and is not stopping.
    pub fn is_ready(&self) -> bool {
        let upstreams = !self.directory.upstreams().is_empty();
        self.active_settings.is_ready()
            && !self.is_stopping()
            && upstreams
            && self.rollouts.is_ready()
    }

    /// Returns a random number below `limit`.
    pub fn random_below(&self, limit: u32) -> u32 {
        self.rng.borrow_mut().random_range(0..limit)
    }

    /// Returns a random number from 0 to below 1.
    pub fn draw(&self) -> f64 {
        self.rng.borrow_mut().random_range(0.0..1.0)
    }

    /// Records how an upstream handled a request, and logs if it is ejected.
    pub fn record_result(&self, upstream: &Name, result: UpstreamResult) {
        let now = self.now();
        let mut outliers = self.outliers.borrow_mut();
        let ejected = match result {
            UpstreamResult::Served => {
                outliers.record_served(upstream);
                None
            }
            UpstreamResult::Failed => outliers.record_failed(now, upstream),
            UpstreamResult::Unreachable => outliers.record_unreachable(now, upstream),
            UpstreamResult::Replaced => outliers.record_replaced(now, upstream),
        };
        if let Some(duration) = ejected {
            info!(self.log, "upstream temporarily ejected";
                "upstream" => %upstream,
                "cause" => ?result,
                "milliseconds" => duration.as_millis() as u64);
        }
    }

    /// Returns the scheduler that takes tickets for `upstream`: its agent's if
    /// connected, otherwise the local one.
    pub fn scheduler_for(&self, upstream: &Name) -> SchedulerHandle {
        match self.links.get(upstream) {
            Some(link) => SchedulerHandle::Agent(link),
            None => SchedulerHandle::Local(Rc::clone(&self.local_schedulers)),
        }
    }

    /// Returns the API keys of the active settings. The table is rebuilt when
    /// the revision changes.
    pub fn keys(&self) -> Rc<KeyTable> {
        let revision = self.active_settings.revision();
        let mut keys = self.keys.borrow_mut();
        if keys.0 != revision {
            let table = KeyTable::new(&self.active_settings.settings());
            *keys = (revision, Rc::new(table));
        }
        Rc::clone(&keys.1)
    }

    /// Holds a request whose body has not been read yet: it counts towards the
    /// entry's limits until `release`. `bytes` is the expected size of the body. If
    /// the entry is full, waiting requests of lower tiers are evicted. Returns
    /// `None` if evictions can't make enough room.
    pub fn hold(
        &self,
        rank: u8,
        deadline: Timestamp,
        bytes: u64,
        events: UnboundedSender<Event>,
    ) -> Option<RequestId> {
        let budget = self.memory.within(&self.active_settings.settings().limits);
        let bounds = HeldRequestBounds {
            requests: budget.requests,
            bytes: budget.body_bytes,
        };
        let sequence = self.last_sequence.get() + 1;
        self.last_sequence.set(sequence);
        let request = RequestId {
            incarnation: self.incarnation,
            sequence,
        };
        let mut held_requests = self.held_requests.borrow_mut();
        let result = held_requests.insert(bounds, request, rank, deadline, bytes);
        let HoldResult::Held(evicted) = result else {
            return None;
        };
        let refusal = Refusal::new(RefusalCode::Evicted, EVICTED_RETRY_AFTER);
        let mut listeners = self.listeners.borrow_mut();
        for other in evicted {
            if let Some(events) = listeners.get(&other) {
                // Fails only if the request has already ended.
                let _ = events.send(Event::Evicted(refusal));
            }
        }
        listeners.insert(request, events);
        Some(request)
    }

    /// Records that a request was dispatched and can no longer be evicted.
    pub fn mark_sent(&self, request: RequestId) {
        self.held_requests.borrow_mut().mark_sent(request);
    }

    /// Records that a request waits again and can be evicted.
    pub fn mark_waiting(&self, request: RequestId) {
        self.held_requests.borrow_mut().mark_waiting(request);
    }

    /// Removes a request that has ended.
    pub fn release(&self, request: RequestId) {
        self.held_requests.borrow_mut().release(request);
        self.listeners.borrow_mut().remove(&request);
        self.released.notify_waiters();
    }

    /// Waits until no request is held, and no bytes of an answer that has ended.
    pub async fn wait_until_idle(&self) {
        loop {
            let released = self.released.notified();
            if !self.listeners.borrow().is_empty() {
                released.await;
            } else if self.answers.bytes() > 0 {
                self.answers.wait_until_empty().await;
            } else {
                return;
            }
        }
    }

    /// Returns the time after which an answer to `job` is aborted.
    pub fn answer_timeout(&self, job: &Job) -> Duration {
        let timeout = job.admission.route.timeout;
        timeout.unwrap_or(self.active_settings.settings().limits.run)
    }

    /// Records the outcome of a request. `upstream` is the one that it was last
    /// dispatched to, if any.
    pub fn record_outcome(&self, key: BurnKey, outcome: Outcome, upstream: Option<&Name>) {
        self.metrics
            .record_ended(&key.organisation, &key.tier, outcome);
        self.burn.borrow_mut().record(self.now(), key, outcome);
        if let Some(upstream) = upstream {
            self.metrics.record_upstream_ended(upstream, outcome);
            let mut upstreams = self.upstream_outcomes.borrow_mut();
            let outcomes = upstreams.entry(upstream.clone()).or_default();
            *outcomes.entry(outcome).or_default() += 1;
        }
    }

    /// Returns the entry's burn report, which says how fast the error budgets are
    /// used up.
    pub fn burn(&self) -> EntryBurn {
        let settings = self.active_settings.settings();
        let tiers = settings.tiers.iter();
        EntryBurn {
            entry: self.config.name.clone(),
            // The objective of a tier is a target share of requests, whereas that of
            // a request is a time.
            objectives: tiers.map(|(n, t)| (n.clone(), t.objective)).collect(),
            rows: self.burn.borrow().rows(self.now()),
            upstreams: self.upstream_outcomes.borrow().clone(),
        }
    }

    /// Returns what fits in the memory and the descriptors of the host.
    pub fn memory_budget(&self) -> MemoryBudget {
        self.memory
    }

    /// Renders the metrics as text.
    pub fn render_metrics(&self) -> String {
        let held = self.held_requests.borrow().len();
        let revision = self.active_settings.revision().0;
        self.metrics.record_state(held, revision);
        self.metrics
            .record_links(self.links.count(), self.links.spare_count());
        self.metrics
            .record_directory(self.directory.age(), self.directory.kept());
        self.metrics.record_settings_age(self.active_settings.age());
        let (suspects, convicted) = self.suspects.counts();
        self.metrics.record_suspects(suspects, convicted);
        self.metrics
            .record_limited_upstreams(self.upstream_limits.count());
        self.metrics.record_answer_bytes(self.answers.bytes());
        self.metrics.render()
    }
}
