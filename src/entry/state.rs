//! What the parts of an entry share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
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
use crate::burn::BurnKey;
use crate::burn::BurnLog;
use crate::burn_report::EntryBurn;
use crate::claims::ClaimStore;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::config::EntryConfig;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::dispatch::Choice;
use crate::dispatch::Event;
use crate::entry::EntryParts;
use crate::entry::auth::KeyTable;
use crate::entry::links::Links;
use crate::entry::local_schedulers::LocalSchedulers;
use crate::entry::local_schedulers::SchedulerHandle;
use crate::entry::metrics::EntryMetrics;
use crate::entry::request::Job;
use crate::entry::request::serves;
use crate::held_requests::HeldRequestBounds;
use crate::held_requests::HeldRequests;
use crate::held_requests::HoldResult;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::name::Name;
use crate::object_store::HttpObjectStore;
use crate::outcome::Outcome;
use crate::outlier::Outliers;
use crate::outlier::UpstreamResult;
use crate::prefix::PrefixIndex;
use crate::quota::Quota;
use crate::retry_budget::RetryBounds;
use crate::retry_budget::RetryBudget;
use crate::routing;
use crate::routing::Candidate;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::throttle::Throttle;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;
use crate::wait_cache::WaitCache;

/// When a request that gave way may come back.
const SHED_RETRY: Duration = Duration::from_secs(1);

/// Prompt chunks that an entry remembers of each upstream.
const REMEMBERED_CHUNKS: usize = 4096;

/// The state of an entry.
pub struct EntryState {
    /// The process's own settings.
    pub config: EntryConfig,
    /// The present life of the process.
    pub incarnation: Incarnation,
    /// The operators' settings.
    pub active_settings: Rc<ActiveSettings>,
    /// The connections to agents.
    pub links: Rc<Links>,
    /// How callers and upstreams speak.
    pub dialect: Rc<dyn Dialect>,
    /// The upstreams that are there.
    pub directory: Rc<Directory>,
    /// The entry's own schedulers.
    pub local_schedulers: Rc<LocalSchedulers>,
    /// The organisations' quotas.
    pub quota: Rc<RefCell<Quota>>,
    /// Whether this entry watches the platform for the others.
    pub watches: Rc<watch::Sender<bool>>,
    /// The claims on idempotency keys; none without an object store.
    pub claims: Option<Rc<ClaimStore>>,
    /// The metrics.
    pub metrics: EntryMetrics,
    /// The log.
    pub log: Logger,
    /// Hosts that are about to be taken away.
    leaving: RefCell<BTreeSet<Name>>,
    clock: Clock,
    keys: RefCell<(Revision, Rc<KeyTable>)>,
    requests: Cell<u64>,
    held_requests: RefCell<HeldRequests>,
    /// Where the requests that are held hear of events.
    events: RefCell<HashMap<RequestId, UnboundedSender<Event>>>,
    /// What was sent to each upstream.
    affinity: RefCell<HashMap<Name, PrefixIndex>>,
    outstanding: RefCell<HashMap<Name, usize>>,
    /// Requests held, by organisation; none of them is zero.
    pub(super) present: RefCell<HashMap<Name, u32>>,
    rng: RefCell<SmallRng>,
    stopping: Cell<bool>,
    ending: Cell<bool>,
    budget: RefCell<RetryBudget>,
    outliers: RefCell<Outliers>,
    wait_cache: RefCell<WaitCache>,
    throttle: RefCell<Throttle>,
    released: Notify,
    burn: RefCell<BurnLog>,
    upstream_outcomes: RefCell<BTreeMap<Name, BTreeMap<Outcome, u64>>>,
}

impl EntryState {
    /// The state of an entry that has just started.
    pub fn new(
        config: EntryConfig,
        incarnation: Incarnation,
        parts: &EntryParts,
        links: Rc<Links>,
        watches: Rc<watch::Sender<bool>>,
        log: Logger,
    ) -> Self {
        let keys = Rc::new(KeyTable::new(&Settings::default()));
        let claims = config.store.as_ref().map(|base| {
            let store = Rc::new(HttpObjectStore::new(base));
            Rc::new(ClaimStore::new(store))
        });
        let clock = Clock::new();
        Self {
            config,
            claims,
            watches,
            leaving: RefCell::default(),
            incarnation,
            active_settings: Rc::clone(&parts.active_settings),
            links,
            dialect: Rc::clone(&parts.dialect),
            directory: Rc::clone(&parts.directory),
            local_schedulers: Rc::default(),
            quota: Rc::new(RefCell::new(Quota::new(clock.now()))),
            metrics: EntryMetrics::new(),
            log,
            clock,
            keys: RefCell::new((Revision::default(), keys)),
            requests: Cell::new(0),
            held_requests: RefCell::default(),
            events: RefCell::default(),
            affinity: RefCell::default(),
            outstanding: RefCell::default(),
            present: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(incarnation.0)),
            stopping: Cell::new(false),
            ending: Cell::new(false),
            budget: RefCell::default(),
            outliers: RefCell::default(),
            wait_cache: RefCell::default(),
            throttle: RefCell::default(),
            released: Notify::new(),
            burn: RefCell::default(),
            upstream_outcomes: RefCell::default(),
        }
    }

    /// The clock of the entry.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The present moment on the entry's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The instant at which the entry's clock shows `moment`.
    pub fn instant(&self, moment: Timestamp) -> std::time::Instant {
        self.clock.instant(moment)
    }

    /// Whether the entry is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Asks for no new connections and has callers close theirs, from now on.
    /// Requests on connections that are open are served.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Whether new requests are refused since they could not end in time.
    pub fn is_ending(&self) -> bool {
        self.ending.get()
    }

    /// Takes no new requests from now on.
    pub fn end(&self) {
        self.ending.set(true);
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let upstreams = !self.directory.upstreams().is_empty();
        self.active_settings.is_ready() && !self.is_stopping() && upstreams
    }

    /// Draws a number below `total`.
    pub fn draw(&self, total: u32) -> u32 {
        self.rng.borrow_mut().random_range(0..total)
    }

    /// Counts a request for the retry budget of its service.
    pub fn count_request(&self, service: &Name) {
        let bounds = self.retry_bounds();
        let mut budget = self.budget.borrow_mut();
        budget.record_request(self.now(), service, bounds);
    }

    /// Whether a request may be sent once more; counts it if so.
    pub fn try_retry(&self, service: &Name) -> bool {
        let bounds = self.retry_bounds();
        let mut budget = self.budget.borrow_mut();
        budget.try_retry(self.now(), service, bounds)
    }

    fn retry_bounds(&self) -> RetryBounds {
        let limits = &self.active_settings.settings().limits;
        RetryBounds {
            ratio: limits.retry_ratio,
            slack: limits.retry_slack,
            window: limits.retry_window,
            entries: self.quota.borrow().entries(),
        }
    }

    /// Notes whether an upstream served a request that it was sent.
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
        if let Some(time) = ejected {
            info!(self.log, "upstream gets no new work for a while";
                "upstream" => %upstream,
                "cause" => ?result,
                "milliseconds" => time.as_millis() as u64);
        }
    }

    /// Notes how long requests like `job` are expected to wait.
    pub fn record_wait(&self, job: &Job, wait: Duration) {
        let mut wait_cache = self.wait_cache.borrow_mut();
        wait_cache.insert(self.now(), job.request_class(), wait);
    }

    /// How long requests like `job` are expected to wait, if it was learnt
    /// just now.
    pub fn recent_wait(&self, job: &Job) -> Option<Duration> {
        self.wait_cache
            .borrow_mut()
            .get(self.now(), &job.request_class())
    }

    /// Whether a request like `job` is to be refused, since lately far more
    /// of them came than got room.
    pub fn is_throttled(&self, job: &Job) -> bool {
        let mut throttle = self.throttle.borrow_mut();
        let part = throttle.refusal_probability(self.now(), &job.request_class());
        part > 0.0 && self.rng.borrow_mut().random_bool(part)
    }

    /// Notes that a request like `job` came.
    pub fn record_arrival(&self, job: &Job) {
        self.throttle
            .borrow_mut()
            .record_arrival(self.now(), job.request_class());
    }

    /// Notes that a request like `job` got room.
    pub fn record_admission(&self, job: &Job) {
        self.throttle
            .borrow_mut()
            .record_admission(self.now(), job.request_class());
    }

    /// Where the ticket of a request for `upstream` is to lie.
    pub fn scheduler_for(&self, upstream: &Name) -> SchedulerHandle {
        match self.links.get(upstream) {
            Some(link) => SchedulerHandle::Agent(link),
            None => SchedulerHandle::Local(Rc::clone(&self.local_schedulers)),
        }
    }

    /// The keys of the settings in force.
    pub fn keys(&self) -> Rc<KeyTable> {
        let revision = self.active_settings.revision();
        let mut keys = self.keys.borrow_mut();
        if keys.0 != revision {
            let table = KeyTable::new(&self.active_settings.settings());
            *keys = (revision, Rc::new(table));
        }
        Rc::clone(&keys.1)
    }

    /// Takes in a request of which the body is yet to come, and has requests
    /// of lower tiers give way where there is no room. None if there is none.
    pub fn hold(
        &self,
        order: u8,
        deadline: Timestamp,
        bytes: u64,
        events: UnboundedSender<Event>,
    ) -> Option<RequestId> {
        let limits = &self.active_settings.settings().limits;
        let bounds = HeldRequestBounds {
            requests: limits.entry_requests as usize,
            bytes: limits.entry_bodies,
        };
        let sequence = self.requests.get() + 1;
        self.requests.set(sequence);
        let request = RequestId {
            incarnation: self.incarnation,
            sequence,
        };
        let mut held_requests = self.held_requests.borrow_mut();
        let result = held_requests.insert(bounds, request, order, deadline, bytes);
        let HoldResult::Held(yielding) = result else {
            return None;
        };
        let refusal = Refusal::new(RefusalCode::Evicted, SHED_RETRY);
        let mut listeners = self.events.borrow_mut();
        for other in yielding {
            if let Some(events) = listeners.get(&other) {
                // A request that has ended no longer listens.
                let _ = events.send(Event::Shed(refusal));
            }
        }
        listeners.insert(request, events);
        Some(request)
    }

    /// Notes that a request can no longer give way.
    pub fn mark_dispatched(&self, request: RequestId) {
        self.held_requests.borrow_mut().mark_dispatched(request);
    }

    /// Notes that a request can give way again.
    pub fn mark_waiting(&self, request: RequestId) {
        self.held_requests.borrow_mut().mark_waiting(request);
    }

    /// Notes that a request has ended.
    pub fn release(&self, request: RequestId) {
        self.held_requests.borrow_mut().release(request);
        self.events.borrow_mut().remove(&request);
        self.released.notify_waiters();
    }

    /// Waits until no request is held.
    pub async fn idle(&self) {
        loop {
            let released = self.released.notified();
            if self.events.borrow().is_empty() {
                return;
            }
            released.await;
        }
    }

    /// The upstreams that could run `job`, the best first.
    pub fn candidates(&self, job: &Job) -> Vec<Choice> {
        let now = self.now();
        let settings = self.active_settings.settings();
        let upstreams = self.directory.upstreams();
        let affinity = self.affinity.borrow();
        let outstanding = self.outstanding.borrow();
        let leaving = self.leaving.borrow();
        let outliers = self.outliers.borrow();
        let kind = job.admission.route.kind;
        let candidate = |name: &Name, u: &Upstream| Candidate {
            upstream: name.clone(),
            same_zone: u.zone == self.config.zone,
            matching_chunks: affinity
                .get(name)
                .map_or(0, |a| a.matching_chunks(&job.prefix)),
            outstanding: outstanding.get(name).copied().unwrap_or_default(),
        };
        let (ejected, sound): (Vec<Candidate>, Vec<Candidate>) = upstreams
            .iter()
            .filter(|(_, u)| serves(u, kind, &job.target) && !u.leaving)
            .filter(|(name, u)| self.links.may_use(name, u))
            .filter(|(name, _)| !leaving.contains(*name) && !outliers.is_replaced(now, name))
            .map(|(name, u)| candidate(name, u))
            .partition(|c| outliers.is_ejected(now, &c.upstream));
        // One that fails is better than none.
        let candidates = if sound.is_empty() { ejected } else { sound };
        let turn = self.requests.get();
        let policy = settings.limits.policy;
        routing::order_candidates(policy, candidates, turn, &mut *self.rng.borrow_mut())
    }

    /// Forgets what is known of upstreams that are gone.
    pub fn forget_gone(&self) {
        let upstreams = self.directory.upstreams();
        let stays = |name: &Name| upstreams.contains_key(name);
        self.local_schedulers.retain(stays);
        self.outliers.borrow_mut().retain(stays);
        self.affinity.borrow_mut().retain(|name, _| stays(name));
        let mut outstanding = self.outstanding.borrow_mut();
        outstanding.retain(|name, count| *count > 0 || stays(name));
        self.throttle.borrow_mut().remove_idle(self.now());
    }

    /// Notes which hosts are about to be taken away.
    pub fn set_leaving(&self, leaving: BTreeSet<Name>) {
        self.leaving.replace(leaving);
    }

    /// Notes that the prompt of a request was sent to `upstream`.
    pub fn record_prefix(&self, upstream: &Name, prefix: &[u64]) {
        let mut affinity = self.affinity.borrow_mut();
        affinity
            .entry(upstream.clone())
            .or_insert_with(|| PrefixIndex::new(REMEMBERED_CHUNKS))
            .touch(prefix);
    }

    /// Counts a ticket or request at `upstream`.
    pub fn add_outstanding(&self, upstream: &Name) {
        *self
            .outstanding
            .borrow_mut()
            .entry(upstream.clone())
            .or_default() += 1;
    }

    /// Ends what `add_outstanding` counted.
    pub fn remove_outstanding(&self, upstream: &Name) {
        if let Some(count) = self.outstanding.borrow_mut().get_mut(upstream) {
            *count = count.saturating_sub(1);
        }
    }

    /// Counts a request that ended; `upstream` is where it was dispatched.
    pub fn record_outcome(&self, key: BurnKey, outcome: Outcome, upstream: Option<&Name>) {
        self.metrics.ended(&key.organisation, &key.tier, outcome);
        self.burn.borrow_mut().record(self.now(), key, outcome);
        if let Some(upstream) = upstream {
            self.metrics.upstream_ended(upstream, outcome);
            let mut upstreams = self.upstream_outcomes.borrow_mut();
            let outcomes = upstreams.entry(upstream.clone()).or_default();
            *outcomes.entry(outcome).or_default() += 1;
        }
    }

    /// What the entry says of the burn of its objectives.
    pub fn burn(&self) -> EntryBurn {
        let settings = self.active_settings.settings();
        let tiers = settings.tiers.iter();
        EntryBurn {
            entry: self.config.name.clone(),
            objectives: tiers.map(|(n, t)| (n.clone(), t.objective)).collect(),
            rows: self.burn.borrow().rows(self.now()),
            upstreams: self.upstream_outcomes.borrow().clone(),
        }
    }

    /// The metrics as text.
    pub fn render_metrics(&self) -> String {
        let held = self.held_requests.borrow().len();
        let revision = self.active_settings.revision().0;
        self.metrics.state(held, self.links.count(), revision);
        self.metrics.render()
    }
}
