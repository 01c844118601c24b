//! The entry: speaks HTTP to callers and decides for their requests.

mod attempt;
mod auth;
mod calls;
mod charges;
mod error;
mod http;
mod keyed;
mod links;
mod local_schedulers;
mod membership;
mod metrics;
mod peers;
mod record;
mod relay;
mod request;
mod serve;
mod state;
mod timers;
mod waiter;

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
pub use error::Run;
pub use request::DEADLINE_HEADER;
pub use request::TIER_HEADER;

use crate::active_settings::ActiveSettings;
use crate::config::EntryConfig;
use crate::daemon;
use crate::daemon::DaemonError;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::entry::links::Links;
use crate::entry::peers::Peers;
use crate::entry::record::RecordKeeper;
use crate::entry::state::EntryState;
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
use crate::name::Name;
use crate::object_store::HttpObjectStore;
use crate::object_store::ObjectStore;
use crate::openai::OpenAi;
use crate::settings::Limits;
use crate::settings_service::SettingsService;
use crate::settings_service::WATCHES_STORE;

/// The name under which `EntryState` is published.
const STATE: &str = "entry-state";

/// The time between two looks at tickets that wait at the entry's own schedulers.
const LOCAL_SCHEDULER_TICK: Duration = Duration::from_millis(20);

/// How long a stopping entry goes on serving callers that have not yet
/// noticed: a balancer looks once a second and believes the second look.
const NOTICED_AFTER: Duration = Duration::from_millis(2500);

/// The part of the drain time after which new requests are refused, since
/// many could not end in time.
const LAST_REQUESTS: f64 = 0.33;

/// The part of the drain time in which the process ends by itself.
const DRAIN_USED: f64 = 0.97;

/// The parts of an entry that differ between the product alone and a platform.
pub struct EntryParts {
    /// The operators' settings.
    pub active_settings: Rc<ActiveSettings>,
    /// The upstreams that are there.
    pub directory: Rc<Directory>,
    /// How callers and upstreams speak.
    pub dialect: Rc<dyn Dialect>,
    /// The other entries known so far.
    pub peers: watch::Receiver<BTreeSet<SocketAddr>>,
    /// Where what organisations have spent outlives a restart of all entries.
    pub store: Option<Rc<dyn ObjectStore>>,
}

/// Runs an entry of the product alone until it is told to stop.
pub async fn run(config: EntryConfig, log: Logger) -> Result<(), DaemonError> {
    let active_settings = Rc::new(ActiveSettings::new());
    let directory = Rc::new(Directory::new());
    let (source, store) = (config.settings.clone(), config.store.clone());
    let objects = store.as_ref().map(|base| HttpObjectStore::new(base));
    let source = SettingsService::new(source, store, Rc::clone(&active_settings), log.clone())
        .with_directory(Rc::clone(&directory));
    let known = config.peers.iter().copied().collect();
    let (_known, peers) = watch::channel(known);
    let parts = EntryParts {
        active_settings,
        directory,
        dialect: Rc::new(OpenAi),
        peers,
        store: objects.map(|o| Rc::new(o) as Rc<dyn ObjectStore>),
    };
    run_with(config, parts, Box::new(source), log).await
}

/// Runs an entry of these parts until it is told to stop. `source` brings in
/// settings, upstreams and peers.
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
        .with_service(HealthService::<EntryState>::new(STATE))
        .with_service(CallerService::new());
    daemon::run(kernel, log).await
}

/// Holds the state of the entry and its connections to agents and peers.
struct StateService {
    config: EntryConfig,
    parts: EntryParts,
    log: Logger,
}

impl Service for StateService {
    fn name(&self) -> Name {
        Name::new(STATE)
    }

    fn start<'a>(
        &'a self,
        registry: &'a mut Registry,
    ) -> LocalBoxFuture<'a, Result<(), KernelError>> {
        async move {
            // Without a list of hosts every process watches for itself.
            let watches = registry.find::<watch::Sender<bool>>(WATCHES_STORE);
            let watches = watches.unwrap_or_else(|_| Rc::new(watch::Sender::new(true)));
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
                watches,
                self.log.clone(),
            );
            let state = Rc::new(state);
            actix_rt::spawn(tick_local_schedulers(Rc::clone(&state)));
            actix_rt::spawn(forget_gone(Rc::clone(&state)));
            self.start_peers(&state).await?;
            self.start_record(&state);
            if let Some(base) = &self.config.host_list {
                let hosts = HttpHostList::new(base);
                actix_rt::spawn(membership::follow(Rc::clone(&state), hosts));
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
    fn start_record(&self, state: &Rc<EntryState>) {
        if let Some(store) = &self.parts.store {
            let keeper = RecordKeeper {
                store: Rc::clone(store),
                quota: Rc::clone(&state.quota),
                active_settings: Rc::clone(&state.active_settings),
                incarnation: state.incarnation,
                clock: state.clock(),
                log: self.log.clone(),
            };
            actix_rt::spawn(keeper.run());
        }
    }

    async fn start_peers(&self, state: &Rc<EntryState>) -> Result<(), KernelError> {
        let Some(listen) = self.config.peer_listen else {
            return Ok(());
        };
        let bound = Peers::bind(
            listen,
            Rc::clone(&state.quota),
            Rc::clone(&state.active_settings),
            self.config.site_key.clone(),
            state.incarnation,
            state.clock(),
            self.log.clone(),
        );
        let peers = bound.await.map_err(|e| KernelError::Failed {
            name: self.name(),
            source: Box::new(e),
        })?;
        actix_rt::spawn(Rc::clone(&peers).run());
        actix_rt::spawn(peers.follow(self.parts.peers.clone()));
        Ok(())
    }
}

async fn tick_local_schedulers(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(LOCAL_SCHEDULER_TICK).await;
        state.local_schedulers.tick(state.now());
    }
}

async fn forget_gone(state: Rc<EntryState>) {
    let mut changes = state.directory.subscribe();
    while changes.changed().await.is_ok() {
        state.forget_gone();
    }
}

/// Serves callers; its stop waits for the requests in flight.
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
            let state = registry.find::<EntryState>(STATE)?;
            let active_settings = Rc::clone(&state.active_settings);
            let bounds = move || caller_bounds(&active_settings.settings().limits);
            let serving = Rc::clone(&state);
            let handler = move |req: Request| http::handle(Rc::clone(&serving), req);
            let server = HttpServer::bind(state.config.listen, bounds, handler).await;
            let server = server.map_err(|e| KernelError::Failed {
                name: self.name(),
                source: Box::new(e),
            })?;
            self.running.replace(Some((server, state)));
            Ok(())
        }
        .boxed_local()
    }

    /// Callers are told to close their connections while requests on those
    /// that are open are still served. Then requests are refused that could
    /// not end in time, and the last ones end.
    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        async move {
            let running = self.running.take();
            let Some((server, state)) = running else {
                return;
            };
            state.stop();
            let within = state
                .active_settings
                .settings()
                .limits
                .drain
                .mul_f64(DRAIN_USED);
            let last_requests = within.mul_f64(LAST_REQUESTS);
            let served = async {
                let unused = async {
                    server.unused().await;
                    state.idle().await;
                };
                let noticed = NOTICED_AFTER.min(last_requests);
                futures::future::join(actix_rt::time::sleep(noticed), unused).await;
            };
            if actix_rt::time::timeout(last_requests, served)
                .await
                .is_err()
            {
                state.end();
            }
            server.close();
            let ended = actix_rt::time::timeout(within - last_requests, state.idle());
            if ended.await.is_err() {
                warn!(
                    state.log,
                    "requests were still in flight when the drain time ended"
                );
            }
        }
        .boxed_local()
    }
}

fn caller_bounds(limits: &Limits) -> HttpBounds {
    HttpBounds {
        connections: limits.connections as usize,
        head_timeout: limits.caller_timeout,
        write_timeout: limits.caller_write_timeout,
        keep_alive: limits.caller_idle,
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
