//! The currently known upstreams, from the settings or from a platform's
//! discovery.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::active_settings::ActiveSettings;
use crate::name::Name;
use crate::settings::Upstream;

/// A version of an upstream's software; `None` if the upstream reports none.
pub type SoftwareVersion = Option<Name>;

/// Upstreams by name.
pub type Upstreams = BTreeMap<Name, Upstream>;

/// Holds the currently known upstreams.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: RefCell<Rc<Upstreams>>,
    /// The number of changes so far.
    changes: watch::Sender<u64>,
    /// When a platform last confirmed the upstreams; `None` if they come from the
    /// settings.
    confirmed_at: Cell<Option<Instant>>,
    /// The number of upstreams that are kept without a registration.
    kept: Cell<usize>,
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

    /// Records that the platform has just confirmed the current upstreams.
    pub fn confirm(&self) {
        self.confirmed_at.set(Some(Instant::now()));
    }

    /// Returns the time since the platform last confirmed the upstreams; `None` if
    /// they come from the settings.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|at| at.elapsed())
    }

    /// Sets the number of upstreams that are kept without a registration.
    pub fn set_kept(&self, count: usize) {
        self.kept.set(count);
    }

    /// Returns the number of upstreams that are kept without a registration.
    pub fn kept(&self) -> usize {
        self.kept.get()
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
            self.set((*active_settings.settings().upstreams).clone());
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }
}
