//! The settings that this process currently applies.

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

/// Number of a version of the settings. The active revision of a process never
/// decreases.
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

/// Adopted settings and their revision.
#[derive(Clone)]
pub struct SettingsSnapshot {
    /// Revision of the settings; 0 before any have been adopted.
    pub revision: Revision,
    /// Validated settings.
    pub settings: Rc<Settings>,
    /// Settings files, in the form in which they are sent to other processes.
    pub document: Rc<Document>,
}

/// Maximum number of past revisions whose files are kept, so that a peer that
/// has one of them is sent only the changes.
const MAX_HISTORY: usize = 8;

/// Settings sent to a process that has an older revision, as a difference.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SettingsUpdate {
    /// Revision that the receiver must have; 0 if the delta holds every file and
    /// applies to any revision.
    pub base: Revision,
    /// Revision that the receiver has after applying the delta.
    pub revision: Revision,
    /// Changes since `base`.
    pub delta: Delta,
}

/// Reason for which settings were not adopted.
#[derive(Debug, Error)]
pub enum AdoptError {
    /// The settings are not valid.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
    /// The base of the update is not the active revision of this process.
    #[error("the settings update applies to revision {0}, which is not active in this process")]
    BaseNotActive(Revision),
}

/// Holds the active settings. Their revision never decreases.
pub struct ActiveSettings {
    snapshot: RefCell<SettingsSnapshot>,
    /// Revisions before the active one, oldest first; at most `MAX_HISTORY`.
    history: RefCell<VecDeque<(Revision, Rc<Document>)>>,
    revisions: watch::Sender<Revision>,
}

impl ActiveSettings {
    /// Creates the state of a process that has no settings yet.
    pub fn new() -> Self {
        let snapshot = SettingsSnapshot {
            revision: Revision::default(),
            settings: Rc::default(),
            document: Rc::default(),
        };
        Self {
            snapshot: RefCell::new(snapshot),
            history: RefCell::default(),
            revisions: watch::Sender::new(Revision::default()),
        }
    }

    /// Returns the active settings with their revision and files.
    pub fn get(&self) -> SettingsSnapshot {
        self.snapshot.borrow().clone()
    }

    /// Returns the active settings.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.snapshot.borrow().settings)
    }

    /// Returns the active revision.
    pub fn revision(&self) -> Revision {
        self.snapshot.borrow().revision
    }

    /// Returns whether settings have been adopted.
    pub fn is_ready(&self) -> bool {
        self.revision() > Revision::default()
    }

    /// Waits until settings are active, for at most `timeout`. Returns whether
    /// they are.
    pub async fn wait_for_settings(&self, timeout: Duration) -> bool {
        if self.is_ready() {
            return true;
        }
        let mut revisions = self.subscribe();
        let first = revisions.wait_for(|revision| *revision > Revision::default());
        let first = actix_rt::time::timeout(timeout, first).await;
        first.is_ok_and(|revision| revision.is_ok())
    }

    /// Validates and activates settings if their revision is higher than the
    /// active one. Returns whether they were activated.
    pub fn adopt(&self, revision: Revision, document: Document) -> Result<bool, SettingsError> {
        if revision <= self.revision() {
            return Ok(false);
        }
        let settings = Settings::new(&document)?;
        let before = self.snapshot.replace(SettingsSnapshot {
            revision,
            settings: Rc::new(settings),
            document: Rc::new(document),
        });
        let mut history = self.history.borrow_mut();
        history.push_back((before.revision, before.document));
        if history.len() > MAX_HISTORY {
            history.pop_front();
        }
        self.revisions.send_replace(revision);
        Ok(true)
    }

    /// Returns the update that brings a process from revision `peer_revision` to
    /// the active one: the changes since, or every file if that revision is no
    /// longer in the history.
    pub fn update_since(&self, peer_revision: Revision) -> SettingsUpdate {
        let snapshot = self.snapshot.borrow();
        let history = self.history.borrow();
        let known = history
            .iter()
            .find(|(revision, _)| *revision == peer_revision);
        let empty = Rc::<Document>::default();
        let (base, before) = match known {
            Some((revision, document)) => (*revision, document),
            None => (Revision::default(), &empty),
        };
        SettingsUpdate {
            base,
            revision: snapshot.revision,
            delta: Delta::new(before, &snapshot.document),
        }
    }

    /// Adopts an update from another process if its revision is higher than the
    /// active one. Returns whether it was adopted.
    pub fn apply_update(&self, update: &SettingsUpdate) -> Result<bool, AdoptError> {
        let base = update.base;
        let document = match base == Revision::default() {
            true => update.delta.apply(&Document::default()),
            false if base == self.revision() => {
                let before = Rc::clone(&self.snapshot.borrow().document);
                update.delta.apply(&before)
            }
            false => return Err(AdoptError::BaseNotActive(base)),
        };
        Ok(self.adopt(update.revision, document)?)
    }

    /// Returns a receiver of the active revision, which is notified of every
    /// change.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revisions.subscribe()
    }
}

impl Default for ActiveSettings {
    fn default() -> Self {
        Self::new()
    }
}
