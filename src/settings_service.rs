//! Keeps the settings in force up to date from their source.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;

use crate::config::SettingsSource;
use crate::current::Current;
use crate::current::Revision;
use crate::kernel::KernelError;
use crate::kernel::Registry;
use crate::kernel::Service;
use crate::name::Name;
use crate::object_store::HttpObjectStore;
use crate::object_store::Object;
use crate::object_store::ObjectStore;
use crate::settings::Document;
use crate::stored_settings::CONFIG_OBJECT;
use crate::stored_settings::StoredSettings;

/// The name under which `Current` is published.
pub const SETTINGS: &str = "settings";

/// The revision of a folder, which is read once.
const FOLDER_REVISION: Revision = Revision(1);

/// The time for which one watch waits at the store.
const WATCH: Duration = Duration::from_secs(30);

/// The time between tries while the store can't be reached.
const RETRY: Duration = Duration::from_secs(1);

/// Reads the settings and follows their changes.
pub struct SettingsService {
    source: SettingsSource,
    store: Option<Name>,
    current: Rc<Current>,
    log: Logger,
}

impl SettingsService {
    /// A service that puts the settings of `source` in force in `current`.
    pub fn new(
        source: SettingsSource,
        store: Option<Name>,
        current: Rc<Current>,
        log: Logger,
    ) -> Self {
        Self {
            source,
            store,
            current,
            log,
        }
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
            match &self.source {
                SettingsSource::Folder(folder) => {
                    let document = Document::read(folder).map_err(|e| self.failed(e))?;
                    let adopted = self.current.adopt(FOLDER_REVISION, document);
                    adopted.map_err(|e| self.failed(e))?;
                }
                SettingsSource::Store => {
                    let store = HttpObjectStore::new(self.store.as_deref().unwrap_or_default());
                    let current = Rc::clone(&self.current);
                    actix_rt::spawn(follow(store, current, self.log.clone()));
                }
                SettingsSource::Peers => {}
            }
            registry.publish(self.name(), Rc::clone(&self.current))
        }
        .boxed_local()
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        futures::future::ready(()).boxed_local()
    }
}

/// Watches the store for new settings. While it can't be reached, those in
/// force stay so.
async fn follow<S>(store: S, current: Rc<Current>, log: Logger)
where
    S: ObjectStore,
{
    let mut known = None;
    let mut reachable = true;
    loop {
        let watched = store.watch(Name::new(CONFIG_OBJECT), known.clone(), WATCH);
        match watched.await {
            Ok(Some(object)) => {
                adopt(&object, &current, &log);
                known = Some(object.version);
                reachable = true;
            }
            Ok(None) => reachable = true,
            Err(e) => {
                if reachable {
                    warn!(log, "settings cannot be watched"; "error" => %e);
                }
                reachable = false;
                actix_rt::time::sleep(RETRY).await;
            }
        }
    }
}

fn adopt(object: &Object, current: &Current, log: &Logger) {
    let stored = match StoredSettings::parse(&object.value) {
        Ok(stored) => stored,
        Err(e) => {
            error!(log, "stored settings cannot be read"; "error" => %e);
            return;
        }
    };
    let revision = stored.revision;
    match current.adopt(revision, stored.document) {
        Ok(true) => info!(log, "settings adopted"; "revision" => revision.0),
        Ok(false) => {}
        Err(e) => error!(log, "stored settings are not valid"; "error" => %e),
    }
}
