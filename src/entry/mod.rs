//! The entry: speaks HTTP to callers and decides for their requests.

mod answer;
mod auth;
mod calls;
mod error;
mod http;
mod keyed;
mod links;
mod membership;
mod metrics;
mod prompt;
mod request;
mod serve;
mod state;
mod waiter;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

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

use crate::config::EntryConfig;
use crate::current::Current;
use crate::daemon;
use crate::daemon::DaemonError;
use crate::entry::links::Links;
use crate::entry::state::EntryState;
use crate::health::HealthService;
use crate::health::Observed;
use crate::host_list::HttpHostList;
use crate::http_server::HttpBounds;
use crate::http_server::HttpServer;
use crate::ids::Incarnation;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::kernel::Registry;
use crate::kernel::Service;
use crate::name::Name;
use crate::settings_service::SETTINGS;
use crate::settings_service::SettingsService;
use crate::settings_service::WATCHES;

/// The name under which `EntryState` is published.
const STATE: &str = "entry-state";

/// Runs an entry until it is told to stop.
pub async fn run(config: EntryConfig, log: Logger) -> Result<(), DaemonError> {
    let current = Rc::new(Current::new());
    let (source, store) = (config.settings.clone(), config.store.clone());
    let kernel = Kernel::new()
        .with_service(SettingsService::new(source, store, current, log.clone()))
        .with_service(StateService::new(config, log.clone()))
        .with_service(HealthService::<EntryState>::new(STATE))
        .with_service(CallerService::new());
    daemon::run(kernel, log).await
}

/// Holds the state of the entry and its connections to agents.
struct StateService {
    config: EntryConfig,
    log: Logger,
}

impl StateService {
    fn new(config: EntryConfig, log: Logger) -> Self {
        Self { config, log }
    }
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
            let current = registry.find::<Current>(SETTINGS)?;
            let watches = registry.find::<watch::Sender<bool>>(WATCHES)?;
            let incarnation = Incarnation::new(&mut rand::rng());
            let links = Rc::new(Links::new(
                self.config.clone(),
                incarnation,
                Rc::clone(&current),
                self.log.clone(),
            ));
            actix_rt::spawn(Rc::clone(&links).run());
            let state = EntryState::new(
                self.config.clone(),
                incarnation,
                current,
                links,
                watches,
                self.log.clone(),
            );
            let state = Rc::new(state);
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
            let limits = state.current.settings().limits.clone();
            let bounds = HttpBounds {
                connections: limits.connections as usize,
                head_timeout: limits.caller_timeout,
                write_timeout: limits.caller_write_timeout,
            };
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

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        async move {
            let running = self.running.take();
            let Some((server, state)) = running else {
                return;
            };
            state.stop();
            let within = state.current.settings().limits.drain;
            let ended = futures::future::join(server.stop(within), state.idle());
            if actix_rt::time::timeout(within, ended).await.is_err() {
                warn!(
                    state.log,
                    "requests were still in flight when the drain time ended"
                );
            }
        }
        .boxed_local()
    }
}

impl Observed for EntryState {
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
