//! Service that loads the settings from their source and follows changes.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use rand::RngExt;
use slog::Logger;
use slog::error;
use slog::warn;
use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::active_settings::Revision;
use crate::active_settings::SettingsOrigin;
use crate::active_settings::log_adoption;
use crate::config::SettingsSource;
use crate::directory::Directory;
use crate::kernel::KernelError;
use crate::kernel::Registry;
use crate::kernel::Service;
use crate::name::Name;
use crate::object_store::HttpObjectStore;
use crate::object_store::Object;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::object_store::Version;
use crate::settings::Document;
use crate::stored_settings::SETTINGS_OBJECT;
use crate::stored_settings::StoredSettings;

#[cfg(test)]
mod tests;

/// Name under which the registry publishes `ActiveSettings`.
pub const SETTINGS: &str = "settings";

/// Name under which the registry publishes the `watch::Sender<bool>` that says
/// whether this process watches the store.
pub const WATCHES_STORE: &str = "watches";

/// Revision of settings from a folder, which is read only once.
const FOLDER_REVISION: Revision = Revision(1);

/// Longest time that a watch of the store waits for a change. Until its reply is due,
/// a watch that the store has lost is not noticed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time between two polls of the store by a process that does not watch
/// it. Such a process normally gets changes from its peers much earlier.
const POLL_INTERVAL: Duration = Duration::from_secs(60);

/// Time between attempts while the store can't be reached.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Service that loads the settings and keeps them up to date.
pub struct SettingsService {
    source: SettingsSource,
    store: Option<Name>,
    active_settings: Rc<ActiveSettings>,
    directory: Option<Rc<Directory>>,
    log: Logger,
}

impl SettingsService {
    /// Creates a service that loads the settings of `source` into
    /// `active_settings`.
    pub fn new(
        source: SettingsSource,
        store: Option<Name>,
        active_settings: Rc<ActiveSettings>,
        log: Logger,
    ) -> Self {
        Self {
            source,
            store,
            active_settings,
            directory: None,
            log,
        }
    }

    /// Makes the service update `directory` with the upstreams of the active
    /// settings.
    pub fn with_directory(mut self, directory: Rc<Directory>) -> Self {
        self.directory = Some(directory);
        self
    }

    fn failed<E>(&self, e: E) -> KernelError
    where
        E: std::error::Error + Send + Sync + 'static,
    {
        KernelError::Failed {
            name: self.name(),
            source: Box::new(e),
        }
    }
}

impl Service for SettingsService {
    fn name(&self) -> Name {
        Name::new(SETTINGS)
    }

    fn start<'a>(
        &'a self,
        registry: &'a mut Registry,
    ) -> LocalBoxFuture<'a, Result<(), KernelError>> {
        async move {
            // A process without a host list always watches the store itself.
            let watches_store = Rc::new(watch::Sender::new(true));
            match &self.source {
                SettingsSource::Folder(folder) => {
                    let document = Document::read(folder).map_err(|e| self.failed(e))?;
                    let adopted = self.active_settings.adopt(FOLDER_REVISION, document);
                    adopted.await.map_err(|e| self.failed(e))?;
                }
                SettingsSource::Store => {
                    let store = HttpObjectStore::new(self.store.as_deref().unwrap_or_default());
                    let follower = StoreFollower {
                        store,
                        active_settings: Rc::clone(&self.active_settings),
                        watches_store: watches_store.subscribe(),
                        log: self.log.clone(),
                    };
                    actix_rt::spawn(follower.run());
                }
                SettingsSource::Peers => {}
            }
            if let Some(directory) = &self.directory {
                let directory = Rc::clone(directory);
                directory.set((*self.active_settings.settings().upstreams).clone());
                actix_rt::spawn(directory.follow_settings(Rc::clone(&self.active_settings)));
            }
            registry.publish(Name::new(WATCHES_STORE), watches_store)?;
            registry.publish(self.name(), Rc::clone(&self.active_settings))
        }
        .boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        futures::future::ready(()).boxed_local()
    }
}

/// Reads settings from the store and activates them.
struct StoreFollower<S> {
    store: S,
    active_settings: Rc<ActiveSettings>,
    watches_store: watch::Receiver<bool>,
    log: Logger,
}

impl<S> StoreFollower<S>
where
    S: ObjectStore,
{
    /// Watches the store, or polls it while other processes watch it. While the
    /// store can't be reached, the active settings stay in use.
    async fn run(mut self) {
        let mut known = None;
        let mut reachable = true;
        loop {
            let wait = match *self.watches_store.borrow_and_update() {
                true => WATCH_TIMEOUT,
                false => Duration::ZERO,
            };
            match self.poll_or_watch(known.clone(), wait).await {
                Ok(object) => {
                    reachable = true;
                    if let Some(object) = object {
                        adopt(&object, &self.active_settings, &self.log).await;
                        known = Some(object.version);
                    }
                    self.active_settings.confirm();
                }
                Err(e) => {
                    if reachable {
                        warn!(self.log, "settings could not be read from the store"; "error" => %e);
                    }
                    reachable = false;
                    actix_rt::time::sleep(RETRY_INTERVAL).await;
                    continue;
                }
            }
            if wait.is_zero() {
                let pause = POLL_INTERVAL.mul_f64(rand::rng().random_range(0.75..1.0));
                let changed = self.watches_store.changed();
                // The pause ends early if this process becomes a watcher.
                let _ = actix_rt::time::timeout(pause, changed).await;
            }
        }
    }

    async fn poll_or_watch(
        &self,
        known: Option<Version>,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError> {
        let name = Name::new(SETTINGS_OBJECT);
        match wait.is_zero() {
            true => self.store.get(name).await,
            false => self.store.watch(name, known, wait).await,
        }
    }
}

async fn adopt(object: &Object, active_settings: &ActiveSettings, log: &Logger) {
    let stored = match StoredSettings::parse(&object.value) {
        Ok(stored) => stored,
        Err(e) => {
            error!(log, "stored settings could not be decoded"; "error" => %e);
            return;
        }
    };
    let revision = stored.revision;
    match active_settings.adopt(revision, stored.document).await {
        Ok(Some(adoption)) => log_adoption(log, revision, &adoption, SettingsOrigin::Store),
        Ok(None) => {}
        Err(e) => error!(log, "stored settings are not valid and were not adopted"; "error" => %e),
    }
}
