//! Keeps the settings in force up to date from their source.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use rand::RngExt;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::active_settings::Revision;
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
use crate::stored_settings::CONFIG_OBJECT;
use crate::stored_settings::StoredSettings;

/// The name under which `ActiveSettings` is published.
pub const SETTINGS: &str = "settings";

/// The name under which is published whether this process watches the store.
pub const WATCHES: &str = "watches";

/// The revision of a folder, which is read once.
const FOLDER_REVISION: Revision = Revision(1);

/// The time for which one watch waits at the store.
const WATCH: Duration = Duration::from_secs(30);

/// The time between two looks of a process for which others watch. It hears
/// of changes from its peers long before.
const UNWATCHED_POLL: Duration = Duration::from_secs(60);

/// The time between tries while the store can't be reached.
const RETRY: Duration = Duration::from_secs(1);

/// Reads the settings and follows their changes.
pub struct SettingsService {
    source: SettingsSource,
    store: Option<Name>,
    active_settings: Rc<ActiveSettings>,
    directory: Option<Rc<Directory>>,
    log: Logger,
}

impl SettingsService {
    /// A service that puts the settings of `source` in force in `active_settings`.
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

    /// The same service, which has `directory` hold the settings' upstreams.
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
            // A process without a list of hosts watches for itself.
            let watches = Rc::new(watch::Sender::new(true));
            match &self.source {
                SettingsSource::Folder(folder) => {
                    let document = Document::read(folder).map_err(|e| self.failed(e))?;
                    let adopted = self.active_settings.adopt(FOLDER_REVISION, document);
                    adopted.map_err(|e| self.failed(e))?;
                }
                SettingsSource::Store => {
                    let store = HttpObjectStore::new(self.store.as_deref().unwrap_or_default());
                    let follower = Follower {
                        store,
                        active_settings: Rc::clone(&self.active_settings),
                        watches: watches.subscribe(),
                        log: self.log.clone(),
                    };
                    actix_rt::spawn(follower.run());
                }
                SettingsSource::Peers => {}
            }
            if let Some(directory) = &self.directory {
                let directory = Rc::clone(directory);
                directory.set(self.active_settings.settings().upstreams.clone());
                actix_rt::spawn(directory.follow_settings(Rc::clone(&self.active_settings)));
            }
            registry.publish(Name::new(WATCHES), watches)?;
            registry.publish(self.name(), Rc::clone(&self.active_settings))
        }
        .boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        futures::future::ready(()).boxed_local()
    }
}

/// Brings settings from the store into force.
struct Follower<S> {
    store: S,
    active_settings: Rc<ActiveSettings>,
    watches: watch::Receiver<bool>,
    log: Logger,
}

impl<S> Follower<S>
where
    S: ObjectStore,
{
    /// Watches the store, or looks now and then while others watch it. While
    /// it can't be reached, the settings in force stay so.
    async fn run(mut self) {
        let mut known = None;
        let mut reachable = true;
        loop {
            let wait = match *self.watches.borrow_and_update() {
                true => WATCH,
                false => Duration::ZERO,
            };
            match self.look(known.clone(), wait).await {
                Ok(object) => {
                    reachable = true;
                    if let Some(object) = object {
                        adopt(&object, &self.active_settings, &self.log);
                        known = Some(object.version);
                    }
                }
                Err(e) => {
                    if reachable {
                        warn!(self.log, "settings cannot be read"; "error" => %e);
                    }
                    reachable = false;
                    actix_rt::time::sleep(RETRY).await;
                    continue;
                }
            }
            if wait.is_zero() {
                let pause = UNWATCHED_POLL.mul_f64(rand::rng().random_range(0.75..1.0));
                let changed = self.watches.changed();
                // Becoming a watcher ends the pause early.
                let _ = actix_rt::time::timeout(pause, changed).await;
            }
        }
    }

    async fn look(
        &self,
        known: Option<Version>,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError> {
        let name = Name::new(CONFIG_OBJECT);
        match wait.is_zero() {
            true => self.store.get(name).await,
            false => self.store.watch(name, known, wait).await,
        }
    }
}

fn adopt(object: &Object, active_settings: &ActiveSettings, log: &Logger) {
    let stored = match StoredSettings::parse(&object.value) {
        Ok(stored) => stored,
        Err(e) => {
            error!(log, "stored settings cannot be read"; "error" => %e);
            return;
        }
    };
    let revision = stored.revision;
    match active_settings.adopt(revision, stored.document) {
        Ok(true) => info!(log, "settings adopted"; "revision" => revision.0),
        Ok(false) => {}
        Err(e) => error!(log, "stored settings are not valid"; "error" => %e),
    }
}
