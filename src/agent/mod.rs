//! The agent: schedules all requests to the upstream on its host.

mod handshake_reader;
mod listener;
mod load;
mod metrics;
mod observed_run;
mod orders;
mod rpc;
mod state;
mod stream_records;

use std::rc::Rc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use slog::Logger;

pub use listener::reader_options;
pub use load::EngineLoad;
pub use load::LoadReport;
pub use load::LoadSource;
pub use load::ReadError;

use crate::active_settings::ActiveSettings;
use crate::agent::orders::OrderSender;
use crate::agent::state::AgentState;
use crate::agent::stream_records::RecordKeeper;
use crate::config::AgentConfig;
use crate::daemon;
use crate::daemon::DaemonError;
use crate::directory::Directory;
use crate::health::HealthService;
use crate::ids::Incarnation;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::kernel::Registry;
use crate::kernel::Service;
use crate::name::Name;
use crate::object_store::HttpObjectStore;
use crate::settings_service::SettingsService;

/// The name under which [`AgentState`] is published in the registry.
const STATE: &str = "agent-state";

/// The parts of an agent that differ between a standalone deployment and a
/// platform.
pub struct AgentParts {
    /// The operators' settings.
    pub active_settings: Rc<ActiveSettings>,
    /// The directory that holds the agent's own upstream.
    pub directory: Rc<Directory>,
    /// The source of the upstream's load reports.
    pub load: Rc<dyn LoadSource>,
}

/// Runs a standalone agent until a signal stops it.
pub async fn run(config: AgentConfig, log: Logger) -> Result<(), DaemonError> {
    let active_settings = Rc::new(ActiveSettings::new());
    let directory = Rc::new(Directory::new());
    let (source, store) = (config.settings.clone(), config.store.clone());
    let source = SettingsService::new(source, store, Rc::clone(&active_settings), log.clone())
        .with_directory(Rc::clone(&directory));
    let parts = AgentParts {
        active_settings,
        directory,
        load: Rc::new(EngineLoad::new()),
    };
    run_with(config, parts, Box::new(source), log).await
}

/// Runs an agent with the given parts until a signal stops it. The service
/// `source` supplies the settings and the upstream.
pub async fn run_with(
    config: AgentConfig,
    parts: AgentParts,
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
        .with_service(HealthService::<AgentState>::new(STATE))
        .with_service(ListenerService::new());
    daemon::run(kernel, log).await
}

/// Publishes the state of the agent and spawns its background tasks.
struct StateService {
    config: AgentConfig,
    parts: AgentParts,
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
            let state = AgentState::new(
                self.config.clone(),
                Incarnation::new(&mut rand::rng()),
                Rc::clone(&self.parts.active_settings),
                Rc::clone(&self.parts.directory),
                self.log.clone(),
            );
            let state = Rc::new(state);
            actix_rt::spawn(Rc::clone(&state).run_timer());
            actix_rt::spawn(Rc::clone(&state).follow_settings());
            actix_rt::spawn(load::poll_reports(
                Rc::clone(&state),
                Rc::clone(&self.parts.load),
            ));
            if let Some(base) = &self.config.store {
                let store = HttpObjectStore::new(base);
                actix_rt::spawn(OrderSender::new(Rc::clone(&state), store).run());
            }
            registry.publish(self.name(), state)
        }
        .boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        futures::future::ready(()).boxed_local()
    }
}

/// Serves entries. Stopping it returns their tickets to them.
#[derive(Default)]
struct ListenerService {
    state: std::cell::OnceCell<Rc<AgentState>>,
}

impl ListenerService {
    fn new() -> Self {
        Self::default()
    }
}

impl Service for ListenerService {
    fn name(&self) -> Name {
        Name::new("agent-listener")
    }

    fn start<'a>(
        &'a self,
        registry: &'a mut Registry,
    ) -> LocalBoxFuture<'a, Result<(), KernelError>> {
        async move {
            let state = registry.find::<AgentState>(STATE)?;
            let listening = listener::listen(Rc::clone(&state)).await;
            listening.map_err(|e| KernelError::Failed {
                name: self.name(),
                source: Box::new(e),
            })?;
            actix_rt::spawn(RecordKeeper::new(Rc::clone(&state)).run());
            self.state.get_or_init(|| state);
            Ok(())
        }
        .boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        async move {
            // Entries send requests to the upstream themselves and relay the
            // answers. Only tickets depend on the agent; draining returns them.
            if let Some(state) = self.state.get() {
                state.drain();
            }
        }
        .boxed_local()
    }
}
