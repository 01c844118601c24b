//! The upstreams that are there now.
//!
//! They come from the settings or from a platform's discovery.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::name::Name;
use crate::settings::Upstream;

/// Upstreams by name.
pub type Upstreams = BTreeMap<Name, Upstream>;

/// Holds the upstreams that are there now.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: RefCell<Rc<Upstreams>>,
    changes: watch::Sender<u64>,
}

impl Directory {
    /// A directory without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// The upstreams that are there now.
    pub fn upstreams(&self) -> Rc<Upstreams> {
        Rc::clone(&self.upstreams.borrow())
    }

    /// The upstream `name`.
    pub fn get(&self, name: &Name) -> Option<Upstream> {
        self.upstreams.borrow().get(name).cloned()
    }

    /// Puts other upstreams in place of the present ones.
    pub fn set(&self, upstreams: Upstreams) {
        self.upstreams.replace(Rc::new(upstreams));
        self.changes.send_modify(|count| *count += 1);
    }

    /// A receiver that is told of every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Has the directory hold the upstreams of the settings in force.
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
