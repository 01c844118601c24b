//! The agent: the only way to the upstream beside which it runs.

mod listener;
mod load;
mod metrics;
mod orders;
mod rpc;
mod state;

use std::rc::Rc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use slog::Logger;

pub use listener::reader_options;
pub use load::EngineLoad;
pub use load::LoadReport;
pub use load::LoadSource;

use crate::active_settings::ActiveSettings;
use crate::agent::orders::Orders;
use crate::agent::state::AgentState;
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

/// The name under which `AgentState` is published.
const STATE: &str = "agent-state";

/// The parts of an agent that differ between the product alone and a platform.
pub struct AgentParts {
    /// The operators' settings.
    pub active_settings: Rc<ActiveSettings>,
    /// Holds the agent's own upstream.
    pub directory: Rc<Directory>,
    /// How the upstream tells its load.
    pub load: Rc<dyn LoadSource>,
}

/// Runs an agent of the product alone until it is told to stop.
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

/// Runs an agent of these parts until it is told to stop. `source` brings in
/// settings and upstream.
pub async fn run_with(
    config: AgentConfig,
    parts: AgentParts,
    source: Box<dyn Service>,
    log: Logger,
) -> Result<(), DaemonError> {
    let kernel = Kernel::new()
        .with_boxed(source)
        .with_service(StateService {
            config,
            parts,
            log: log.clone(),
        })
        .with_service(HealthService::<AgentState>::new(STATE))
        .with_service(ListenerService::new());
    daemon::run(kernel, log).await
}

/// Holds the state of the agent and runs its timers.
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
            actix_rt::spawn(load::follow(Rc::clone(&state), Rc::clone(&self.parts.load)));
            if let Some(base) = &self.config.store {
                let store = HttpObjectStore::new(base);
                actix_rt::spawn(Orders::new(Rc::clone(&state), store).run());
            }
            registry.publish(self.name(), state)
        }
        .boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        futures::future::ready(()).boxed_local()
    }
}

/// Serves entries; its stop hands their tickets back.
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
            self.state.get_or_init(|| state);
            Ok(())
        }
        .boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        async move {
            // Entries send and pass on by themselves; nothing waits for the
            // agent but tickets, and those are handed back.
            if let Some(state) = self.state.get() {
                state.drain();
            }
        }
        .boxed_local()
    }
}
