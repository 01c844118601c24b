//! The agent: the only way to the upstream beside which it runs.

mod answer;
mod listener;
mod load;
mod metrics;
mod orders;
mod rpc;
mod state;
mod upstream;

use std::rc::Rc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use slog::Logger;
use slog::warn;

pub use listener::reader_options;

use crate::agent::orders::Orders;
use crate::agent::state::AgentState;
use crate::config::AgentConfig;
use crate::current::Current;
use crate::daemon;
use crate::daemon::DaemonError;
use crate::health::HealthService;
use crate::ids::Incarnation;
use crate::kernel::Kernel;
use crate::kernel::KernelError;
use crate::kernel::Registry;
use crate::kernel::Service;
use crate::name::Name;
use crate::object_store::HttpObjectStore;
use crate::settings_service::SETTINGS;
use crate::settings_service::SettingsService;

/// The name under which `AgentState` is published.
const STATE: &str = "agent-state";

/// Runs an agent until it is told to stop.
pub async fn run(config: AgentConfig, log: Logger) -> Result<(), DaemonError> {
    let current = Rc::new(Current::new());
    let (source, store) = (config.settings.clone(), config.store.clone());
    let kernel = Kernel::new()
        .with_service(SettingsService::new(source, store, current, log.clone()))
        .with_service(StateService::new(config, log.clone()))
        .with_service(HealthService::<AgentState>::new(STATE))
        .with_service(ListenerService::new());
    daemon::run(kernel, log).await
}

/// Holds the state of the agent and runs its timers.
struct StateService {
    config: AgentConfig,
    log: Logger,
}

impl StateService {
    fn new(config: AgentConfig, log: Logger) -> Self {
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
            let incarnation = Incarnation::new(&mut rand::rng());
            let state =
                AgentState::new(self.config.clone(), incarnation, current, self.log.clone());
            let state = Rc::new(state);
            actix_rt::spawn(Rc::clone(&state).run_timer());
            actix_rt::spawn(Rc::clone(&state).follow_settings());
            actix_rt::spawn(load::follow(Rc::clone(&state)));
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

/// Serves entries; its stop drains the agent.
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
            let Some(state) = self.state.get() else {
                return;
            };
            state.drain();
            let within = state.current.settings().limits.drain;
            if actix_rt::time::timeout(within, state.idle()).await.is_err() {
                warn!(
                    state.log,
                    "requests were still in flight when the drain time ended"
                );
            }
        }
        .boxed_local()
    }
}
