//! The settings in force in this process.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::settings::Document;
use crate::settings::Settings;
use crate::settings::SettingsError;

/// The number of an accepted configuration; it only grows.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An accepted configuration.
#[derive(Clone)]
pub struct Accepted {
    /// Its number; 0 before any was adopted.
    pub revision: Revision,
    /// Its checked settings.
    pub settings: Rc<Settings>,
    /// Its files, as they are handed on to other processes.
    pub document: Rc<Document>,
}

/// Holds the configuration in force. Its revision never falls.
pub struct Current {
    accepted: RefCell<Accepted>,
    revisions: watch::Sender<Revision>,
}

impl Current {
    /// A process without a configuration.
    pub fn new() -> Self {
        let accepted = Accepted {
            revision: Revision::default(),
            settings: Rc::default(),
            document: Rc::default(),
        };
        Self {
            accepted: RefCell::new(accepted),
            revisions: watch::Sender::new(Revision::default()),
        }
    }

    /// The configuration in force.
    pub fn get(&self) -> Accepted {
        self.accepted.borrow().clone()
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.accepted.borrow().settings)
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.accepted.borrow().revision
    }

    /// Whether a configuration has been adopted.
    pub fn is_ready(&self) -> bool {
        self.revision() > Revision::default()
    }

    /// Puts a configuration in force if its revision is higher than the
    /// present one, and says whether it was.
    pub fn adopt(&self, revision: Revision, document: Document) -> Result<bool, SettingsError> {
        if revision <= self.revision() {
            return Ok(false);
        }
        let settings = Settings::new(&document)?;
        self.accepted.replace(Accepted {
            revision,
            settings: Rc::new(settings),
            document: Rc::new(document),
        });
        self.revisions.send_replace(revision);
        Ok(true)
    }

    /// A receiver that is told of every new revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revisions.subscribe()
    }
}

impl Default for Current {
    fn default() -> Self {
        Self::new()
    }
}
