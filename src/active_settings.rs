//! The settings in force in this process.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::watch;

use crate::settings::Delta;
use crate::settings::Document;
use crate::settings::Settings;
use crate::settings::SettingsError;

#[cfg(test)]
mod tests;

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
pub struct SettingsSnapshot {
    /// Its number; 0 before any was adopted.
    pub revision: Revision,
    /// Its checked settings.
    pub settings: Rc<Settings>,
    /// Its files, as they are handed on to other processes.
    pub document: Rc<Document>,
}

/// Revisions of which the files are kept, to hand over only what changed.
const HISTORY: usize = 8;

/// Settings as they are handed to a process that has an older revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SettingsUpdate {
    /// The revision that the receiver has to have; 0 for any.
    pub base: Revision,
    /// The revision that it will have.
    pub revision: Revision,
    /// What has changed from the base.
    pub delta: Delta,
}

/// Why settings were not adopted.
#[derive(Debug, Error)]
pub enum AdoptError {
    /// They are not valid.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
    /// They change a revision that this process does not have.
    #[error("the settings change revision {0}, which is not in force here")]
    UnknownBase(Revision),
}

/// Holds the configuration in force. Its revision never falls.
pub struct ActiveSettings {
    accepted: RefCell<SettingsSnapshot>,
    /// The last revisions before the one in force, the oldest first.
    history: RefCell<VecDeque<(Revision, Rc<Document>)>>,
    revisions: watch::Sender<Revision>,
}

impl ActiveSettings {
    /// A process without a configuration.
    pub fn new() -> Self {
        let accepted = SettingsSnapshot {
            revision: Revision::default(),
            settings: Rc::default(),
            document: Rc::default(),
        };
        Self {
            accepted: RefCell::new(accepted),
            history: RefCell::default(),
            revisions: watch::Sender::new(Revision::default()),
        }
    }

    /// The configuration in force.
    pub fn get(&self) -> SettingsSnapshot {
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

    /// Waits `within` this time until settings are in force; says whether they
    /// are.
    pub async fn wait_for_settings(&self, within: Duration) -> bool {
        if self.is_ready() {
            return true;
        }
        let mut revisions = self.subscribe();
        let settled = revisions.wait_for(|revision| *revision > Revision::default());
        let settled = actix_rt::time::timeout(within, settled).await;
        settled.is_ok_and(|revision| revision.is_ok())
    }

    /// Puts a configuration in force if its revision is higher than the
    /// present one, and says whether it was.
    pub fn adopt(&self, revision: Revision, document: Document) -> Result<bool, SettingsError> {
        if revision <= self.revision() {
            return Ok(false);
        }
        let settings = Settings::new(&document)?;
        let before = self.accepted.replace(SettingsSnapshot {
            revision,
            settings: Rc::new(settings),
            document: Rc::new(document),
        });
        let mut history = self.history.borrow_mut();
        history.push_back((before.revision, before.document));
        if history.len() > HISTORY {
            history.pop_front();
        }
        self.revisions.send_replace(revision);
        Ok(true)
    }

    /// What a process with revision `theirs` needs to have the one in force:
    /// what has changed since, or everything where that is not known.
    pub fn update_since(&self, theirs: Revision) -> SettingsUpdate {
        let accepted = self.accepted.borrow();
        let history = self.history.borrow();
        let known = history.iter().find(|(revision, _)| *revision == theirs);
        let empty = Rc::<Document>::default();
        let (base, before) = match known {
            Some((revision, document)) => (*revision, document),
            None => (Revision::default(), &empty),
        };
        SettingsUpdate {
            base,
            revision: accepted.revision,
            delta: Delta::new(before, &accepted.document),
        }
    }

    /// Adopts what another process has handed over.
    pub fn apply_update(&self, update: &SettingsUpdate) -> Result<bool, AdoptError> {
        let base = update.base;
        let document = match base == Revision::default() {
            true => update.delta.apply(&Document::default()),
            false if base == self.revision() => {
                let before = Rc::clone(&self.accepted.borrow().document);
                update.delta.apply(&before)
            }
            false => return Err(AdoptError::UnknownBase(base)),
        };
        Ok(self.adopt(update.revision, document)?)
    }

    /// A receiver that is told of every new revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revisions.subscribe()
    }
}

impl Default for ActiveSettings {
    fn default() -> Self {
        Self::new()
    }
}
