//! The currently known upstreams, from the settings or from a platform's
//! discovery.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::name::Name;
use crate::settings::Upstream;

/// Upstreams by name.
pub type Upstreams = BTreeMap<Name, Upstream>;

/// Holds the currently known upstreams.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: RefCell<Rc<Upstreams>>,
    /// The number of changes so far.
    changes: watch::Sender<u64>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current upstreams.
    pub fn upstreams(&self) -> Rc<Upstreams> {
        Rc::clone(&self.upstreams.borrow())
    }

    /// Returns the upstream `name`, or `None` if it is not known.
    pub fn get(&self, name: &Name) -> Option<Upstream> {
        self.upstreams.borrow().get(name).cloned()
    }

    /// Replaces all upstreams.
    pub fn set(&self, upstreams: Upstreams) {
        self.upstreams.replace(Rc::new(upstreams));
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Keeps the directory equal to the upstreams of the active settings.
    /// Returns when no further settings can arrive.
    pub async fn follow_settings(self: Rc<Self>, active_settings: Rc<ActiveSettings>) {
        let mut revisions = active_settings.subscribe();
        loop {
            revisions.mark_unchanged();
            self.set(active_settings.settings().upstreams.clone());
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }
}
