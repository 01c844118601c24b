//! The entry process: accepts HTTP requests from callers, schedules them and
//! forwards them to upstreams.
//!
//! For each request, the entry offers tickets to the schedulers of one or more
//! upstreams. A ticket asks for a slot of the upstream, and a grant is the
//! scheduler's permission to send the request. An agent is a process that runs
//! the scheduler of one upstream for all entries; an entry schedules an upstream
//! without a reachable agent itself.

mod admission;
mod attempt;
mod auth;
mod calls;
mod candidates;
mod charges;
mod collected;
mod error;
pub mod gossip;
mod http;
mod idempotency;
mod links;
mod load_metrics;
mod loans;
mod local_schedulers;
mod membership;
mod metrics;
mod notices;
mod peers;
mod quarantine;
mod quarantine_record;
mod record;
mod relay;
mod reply_queue;
mod reported_loads;
mod request;
mod rollouts;
mod serve;
mod state;
mod stored_record;
mod stream_archiver;
mod streams;
mod suspects;
mod timers;
mod transfer_turns;
mod upstream_limits;
mod version_record;
mod waiter;
mod zone_balance;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use slog::Logger;
use slog::warn;
use tokio::sync::watch;

pub use error::CallerError;
pub use error::RunStatus;
pub use request::DEADLINE_HEADER;
pub use request::TIER_HEADER;

use crate::active_settings::ActiveSettings;
use crate::config::EntryConfig;
use crate::daemon;
use crate::daemon::DaemonError;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::discovery::RolloutStore;
use crate::entry::links::Links;
use crate::entry::peers::PeerParts;
use crate::entry::peers::Peers;
use crate::entry::quarantine_record::QuarantineRecorder;
use crate::entry::record::SpendingRecorder;
use crate::entry::state::EntryState;
use crate::entry::stream_archiver::StreamArchiver;
use crate::entry::version_record::VersionRecorder;
use crate::health::AdminState;
use crate::health::HealthService;
use crate::host_list::HttpHostList;
use crate::http_server::HttpBounds;
use crate::http_server::HttpServer;
use crate::ids::Incarnation;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::kernel::Registry;
use crate::kernel::Service;
use crate::memory_budget::MemoryBudget;
use crate::name::Name;
use crate::object_store::HttpObjectStore;
use crate::object_store::ObjectStore;
use crate::openai::OpenAi;
use crate::settings::Limits;
use crate::settings_service::SettingsService;
use crate::settings_service::WATCHES_STORE;

/// The registry name of `EntryState`.
const STATE_SERVICE: &str = "entry-state";

/// The interval at which the local schedulers expire waiting tickets.
const LOCAL_SCHEDULER_TICK: Duration = Duration::from_millis(20);

/// The interval at which idle spare connections to agents are closed.
const SPARE_LINKS_TICK: Duration = Duration::from_secs(1);

/// The minimum time for which a stopping entry accepts requests, so that load
/// balancers can detect the stop. A balancer probes once a second and acts on
/// the second failed probe.
const STOP_GRACE_PERIOD: Duration = Duration::from_millis(2500);

/// The fraction of the drain time after which new requests are refused,
/// because many of them could not finish in time.
const ACCEPTING_FRACTION: f64 = 0.33;

/// The fraction of the drain time after which a stopping entry no longer waits
/// for requests in flight, so that the process exits by itself in time.
const USABLE_DRAIN_FRACTION: f64 = 0.97;

/// The components of an entry that differ between standalone operation and
/// operation on a platform.
pub struct EntryParts {
    /// The operators' settings.
    pub active_settings: Rc<ActiveSettings>,
    /// The known upstreams.
    pub directory: Rc<Directory>,
    /// The HTTP dialect of callers and upstreams.
    pub dialect: Rc<dyn Dialect>,
    /// The peer addresses of the other entries discovered so far.
    pub peers: watch::Receiver<BTreeSet<SocketAddr>>,
    /// The store for the records that outlive a restart of all entries: the use of quotas,
    /// what crashes upstreams, and the versions of services.
    pub store: Option<Rc<dyn ObjectStore>>,
    /// Orders to roll out versions; `None` without any.
    pub rollouts: Option<Rc<dyn RolloutStore>>,
}

/// Runs a standalone entry until it receives a stop signal.
pub async fn run(config: EntryConfig, log: Logger) -> Result<(), DaemonError> {
    let active_settings = Rc::new(ActiveSettings::new());
    let directory = Rc::new(Directory::new());
    let (location, store) = (config.settings.clone(), config.store.clone());
    let record_store = store.as_ref().map(|base| HttpObjectStore::new(base));
    let source = SettingsService::new(location, store, Rc::clone(&active_settings), log.clone())
        .with_directory(Rc::clone(&directory));
    let configured = config.peers.iter().copied().collect();
    let (_peer_sender, peers) = watch::channel(configured);
    let parts = EntryParts {
        active_settings,
        directory,
        dialect: Rc::new(OpenAi),
        peers,
        store: record_store.map(|o| Rc::new(o) as Rc<dyn ObjectStore>),
        rollouts: None,
    };
    run_with(config, parts, Box::new(source), log).await
}

/// Runs an entry with the given components until it receives a stop signal.
/// `source` supplies settings, upstreams and peers.
pub async fn run_with(
    config: EntryConfig,
    parts: EntryParts,
    source: Box<dyn Service>,
    log: Logger,
) -> Result<(), DaemonError> {
    let kernel = Kernel::new()
        .with_boxed_service(source)
        .with_service(StateService {
            config,
            parts,
            log: log.clone(),
        })
        .with_service(HealthService::<EntryState>::new(STATE_SERVICE))
        .with_service(CallerService::new());
    daemon::run(kernel, log).await
}

/// Creates the entry's state and starts its connections to agents and peers.
struct StateService {
    config: EntryConfig,
    parts: EntryParts,
    log: Logger,
}

impl Service for StateService {
    fn name(&self) -> Name {
        Name::new(STATE_SERVICE)
    }

    fn start<'a>(
        &'a self,
        registry: &'a mut Registry,
    ) -> LocalBoxFuture<'a, Result<(), KernelError>> {
        async move {
            // A watcher keeps a watch request open at the object store, on behalf of
            // other processes. Without a host list every process is a watcher.
            let is_watcher = registry.find::<watch::Sender<bool>>(WATCHES_STORE);
            let is_watcher = is_watcher.unwrap_or_else(|_| Rc::new(watch::Sender::new(true)));
            let incarnation = Incarnation::new(&mut rand::rng());
            let links = Rc::new(Links::new(
                self.config.clone(),
                incarnation,
                Rc::clone(&self.parts.active_settings),
                Rc::clone(&self.parts.directory),
                self.log.clone(),
            ));
            actix_rt::spawn(Rc::clone(&links).run());
            let state = EntryState::new(
                self.config.clone(),
                incarnation,
                &self.parts,
                links,
                is_watcher,
                self.log.clone(),
            );
            let state = Rc::new(state);
            actix_rt::spawn(tick_local_schedulers(Rc::clone(&state)));
            actix_rt::spawn(zone_balance::balance_zones(Rc::clone(&state)));
            actix_rt::spawn(purge_removed_upstreams(Rc::clone(&state)));
            actix_rt::spawn(close_idle_spare_links(Rc::clone(&state)));
            actix_rt::spawn(Rc::clone(&state.streams).run());
            actix_rt::spawn(Rc::clone(&state.upstream_limits).run());
            actix_rt::spawn(Rc::clone(&state.rollouts).run());
            self.start_peers(&state).await?;
            self.start_recorders(&state);
            if let Some(base) = &self.config.host_list {
                let hosts = HttpHostList::new(base);
                actix_rt::spawn(membership::follow_host_list(Rc::clone(&state), hosts));
            }
            registry.publish(self.name(), state)
        }
        .boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        futures::future::ready(()).boxed_local()
    }
}

impl StateService {
    fn start_recorders(&self, state: &Rc<EntryState>) {
        if let Some(store) = &self.parts.store {
            let recorder = SpendingRecorder {
                store: Rc::clone(store),
                quota: Rc::clone(&state.quota),
                active_settings: Rc::clone(&state.active_settings),
                incarnation: state.incarnation,
                clock: state.clock(),
                log: self.log.clone(),
            };
            actix_rt::spawn(recorder.run());
            let recorder = QuarantineRecorder {
                store: Rc::clone(store),
                suspects: Rc::clone(&state.suspects),
                quota: Rc::clone(&state.quota),
                incarnation: state.incarnation,
                clock: state.clock(),
                log: self.log.clone(),
            };
            actix_rt::spawn(recorder.run());
            let recorder = VersionRecorder {
                store: Rc::clone(store),
                streams: Rc::clone(&state.streams),
                directory: Rc::clone(&state.directory),
                quota: Rc::clone(&state.quota),
                incarnation: state.incarnation,
                clock: state.clock(),
                log: self.log.clone(),
            };
            state.streams.await_history();
            actix_rt::spawn(recorder.run());
            let streams = Rc::clone(&state.streams);
            let archiver = StreamArchiver::new(Rc::clone(store), streams, self.log.clone());
            actix_rt::spawn(archiver.run());
        }
    }

    async fn start_peers(&self, state: &Rc<EntryState>) -> Result<(), KernelError> {
        let Some(listen) = self.config.peer_listen else {
            return Ok(());
        };
        let parts = PeerParts {
            quota: Rc::clone(&state.quota),
            streams: Rc::clone(&state.streams),
            suspects: Rc::clone(&state.suspects),
            upstream_limits: Rc::clone(&state.upstream_limits),
            notices: Rc::clone(&state.notices),
            loans: Rc::clone(&state.loans),
            gossip: Rc::clone(&state.gossip),
            active_settings: Rc::clone(&state.active_settings),
            key: self.config.site_key.clone(),
            incarnation: state.incarnation,
            clock: state.clock(),
            log: self.log.clone(),
        };
        let binding = Peers::bind(listen, parts);
        let peers = binding.await.map_err(|e| KernelError::Failed {
            name: self.name(),
            source: Box::new(e),
        })?;
        state.streams.set_peers(&peers);
        if self.parts.store.is_some() {
            state.streams.begin_archive(&peers);
        }
        state.upstream_limits.set_peers(&peers);
        state.loans.set_peers(&peers);
        state.gossip.set_peers(&peers);
        state.set_peers(&peers);
        actix_rt::spawn(Rc::clone(&peers).run());
        actix_rt::spawn(peers.follow_discovered(self.parts.peers.clone()));
        Ok(())
    }
}

async fn tick_local_schedulers(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(LOCAL_SCHEDULER_TICK).await;
        state.local_schedulers.tick(state.now());
    }
}

async fn purge_removed_upstreams(state: Rc<EntryState>) {
    let mut changes = state.directory.subscribe();
    while changes.changed().await.is_ok() {
        state.purge_removed_upstreams();
    }
}

async fn close_idle_spare_links(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(SPARE_LINKS_TICK).await;
        state.close_idle_spare_links();
    }
}

/// Serves callers. `stop` waits for the requests in flight.
#[derive(Default)]
struct CallerService {
    running: RefCell<Option<(HttpServer, Rc<EntryState>)>>,
}

impl CallerService {
    fn new() -> Self {
        Self::default()
    }
}

impl Service for CallerService {
    fn name(&self) -> Name {
        Name::new("callers")
    }

    fn start<'a>(
        &'a self,
        registry: &'a mut Registry,
    ) -> LocalBoxFuture<'a, Result<(), KernelError>> {
        async move {
            let state = registry.find::<EntryState>(STATE_SERVICE)?;
            let active_settings = Rc::clone(&state.active_settings);
            let memory = state.memory_budget();
            let bounds = move || caller_bounds(memory, &active_settings.settings().limits);
            let handler_state = Rc::clone(&state);
            let handler = move |req: Request| http::handle(Rc::clone(&handler_state), req);
            let refused = state.metrics.refused_connections();
            let server =
                HttpServer::bind_counting(state.config.listen, bounds, handler, refused).await;
            let server = server.map_err(|e| KernelError::Failed {
                name: self.name(),
                source: Box::new(e),
            })?;
            self.running.replace(Some((server, state)));
            Ok(())
        }
        .boxed_local()
    }

    /// Drains the entry in two phases. In the first, responses ask callers to close
    /// their connections, and requests on open connections are still served.
    /// If that takes longer than the accepting time, new requests are refused,
    /// since they could not finish in time, while the requests in flight end.
    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        async move {
            let running = self.running.take();
            let Some((server, state)) = running else {
                return;
            };
            state.begin_stop();
            let drain_time = state
                .active_settings
                .settings()
                .limits
                .drain
                .mul_f64(USABLE_DRAIN_FRACTION);
            let accepting_time = drain_time.mul_f64(ACCEPTING_FRACTION);
            let accepting = async {
                let all_closed = async {
                    server.wait_for_connections_to_close().await;
                    state.wait_until_idle().await;
                };
                let grace = STOP_GRACE_PERIOD.min(accepting_time);
                futures::future::join(actix_rt::time::sleep(grace), all_closed).await;
            };
            if actix_rt::time::timeout(accepting_time, accepting)
                .await
                .is_err()
            {
                state.refuse_new_requests();
            }
            server.close();
            let ended = async {
                state.wait_until_idle().await;
                server.wait_for_answers().await;
            };
            let ended = actix_rt::time::timeout(drain_time - accepting_time, ended);
            if ended.await.is_err() {
                warn!(
                    state.log,
                    "requests still in flight at the end of the drain time"
                );
            }
        }
        .boxed_local()
    }
}

fn caller_bounds(memory: MemoryBudget, limits: &Limits) -> HttpBounds {
    HttpBounds {
        connections: memory.within(limits).connections,
        head: usize::try_from(limits.head).unwrap_or(usize::MAX),
        heads: memory.head_bytes,
        head_timeout: limits.caller_timeout,
        write_timeout: limits.caller_write_timeout,
        keep_alive: limits.caller_idle,
        send_buffer: memory.send_buffer,
        receive_buffer: memory.receive_buffer,
    }
}

impl AdminState for EntryState {
    fn admin_address(&self) -> SocketAddr {
        self.config.admin
    }

    fn is_ready(&self) -> bool {
        EntryState::is_ready(self)
    }

    fn render_metrics(&self) -> String {
        EntryState::render_metrics(self)
    }

    fn render_burn(&self) -> Option<String> {
        serde_json::to_string(&self.burn()).ok()
    }
}
