//! The settings that this process currently applies.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use thiserror::Error;
use tokio::sync::Mutex;
use tokio::sync::watch;

use crate::name::Name;
use crate::pieces::PiecesDone;
use crate::pieces::run_in_pieces;
use crate::settings::BuiltSettings;
use crate::settings::Delta;
use crate::settings::Document;
use crate::settings::Settings;
use crate::settings::SettingsBuild;
use crate::settings::SettingsError;
use crate::units::millis;

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
    /// Number of files after applying the delta; `None` from a process that doesn't
    /// send it. Processes of different software versions can convert the same revision
    /// to different files, to which changes don't apply.
    #[serde(default)]
    pub files: Option<usize>,
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
    /// The sender of the update has other files of the active revision.
    #[error("the settings update applies to other files of revision {0}")]
    BaseDiffers(Revision),
}

/// What it took to adopt settings.
#[derive(Clone, Copy, Debug)]
pub struct Adoption {
    /// Number of files that were decoded; the others are those of the version before.
    pub decoded_files: usize,
    /// Pieces in which the work was done.
    pub pieces: PiecesDone,
}

/// Where a process received settings from.
#[derive(Clone, Copy, Debug)]
pub enum SettingsOrigin<'a> {
    /// The store, or a platform.
    Store,
    /// The agent of this upstream.
    Agent(&'a Name),
    /// An entry.
    Entry,
}

impl fmt::Display for SettingsOrigin<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Agent(upstream) => write!(f, "agent of {upstream}"),
            Self::Entry => f.write_str("entry"),
        }
    }
}

/// Logs that settings were adopted, and what it took.
pub fn log_adoption(
    log: &Logger,
    revision: Revision,
    adoption: &Adoption,
    origin: SettingsOrigin<'_>,
) {
    info!(log, "settings adopted";
        "revision" => revision.0,
        "origin" => %origin,
        "decoded_files" => adoption.decoded_files,
        "pieces" => adoption.pieces.count,
        "work_ms" => millis(adoption.pieces.work),
        "elapsed_ms" => millis(adoption.pieces.elapsed));
}

/// Holds the active settings. Their revision never decreases.
pub struct ActiveSettings {
    active: RefCell<(Revision, BuiltSettings)>,
    /// Revisions before the active one, oldest first; at most `MAX_HISTORY`.
    history: RefCell<VecDeque<(Revision, Rc<Document>)>>,
    /// Encoded updates to the active revision, by their base.
    encoded_updates: RefCell<HashMap<Revision, Bytes>>,
    /// Held while settings are adopted, so that adoptions follow one another.
    adoptions: Mutex<()>,
    revisions: watch::Sender<Revision>,
    /// When the store last confirmed that its revision is active, or when an adoption from
    /// it ended; `None` before the first time.
    confirmed_at: Cell<Option<Instant>>,
}

impl ActiveSettings {
    /// Creates the state of a process that has no settings yet.
    pub fn new() -> Self {
        Self {
            active: RefCell::default(),
            history: RefCell::default(),
            encoded_updates: RefCell::default(),
            adoptions: Mutex::default(),
            revisions: watch::Sender::new(Revision::default()),
            confirmed_at: Cell::default(),
        }
    }

    /// Returns the active settings with their revision and files.
    pub fn get(&self) -> SettingsSnapshot {
        let active = self.active.borrow();
        let (revision, built) = &*active;
        SettingsSnapshot {
            revision: *revision,
            settings: Rc::clone(&built.settings),
            document: Rc::clone(&built.document),
        }
    }

    /// Returns the active settings.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.active.borrow().1.settings)
    }

    /// Returns the active revision.
    pub fn revision(&self) -> Revision {
        self.active.borrow().0
    }

    /// Records that the store has no newer settings than the active ones.
    pub fn confirm(&self) {
        self.confirmed_at.set(Some(Instant::now()));
    }

    /// Returns the time since the store last confirmed the active settings; `None` before
    /// the first time.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|at| at.elapsed())
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

    /// Validates and activates settings if their revision is higher than the active
    /// one. Returns `None` if it is not.
    ///
    /// The work is done in pieces, between which other tasks run; see [`run_in_pieces`].
    /// Earlier settings stay active until all of it is done. Adoptions run one after the
    /// other in the order of the calls, and none is given up for a later one, so that a
    /// series of new versions can't keep a process from adopting any.
    pub async fn adopt(
        &self,
        revision: Revision,
        document: Document,
    ) -> Result<Option<Adoption>, SettingsError> {
        let _adopting = self.adoptions.lock().await;
        self.build_and_activate(revision, document).await
    }

    /// Builds and activates settings. The caller holds `adoptions`.
    async fn build_and_activate(
        &self,
        revision: Revision,
        document: Document,
    ) -> Result<Option<Adoption>, SettingsError> {
        if revision <= self.revision() {
            return Ok(None);
        }
        let mut build = SettingsBuild::new(document, self.active.borrow().1.clone());
        let (built, pieces) = run_in_pieces(|| build.step()).await;
        self.activate(revision, built?);
        Ok(Some(Adoption {
            decoded_files: build.decoded_files(),
            pieces,
        }))
    }

    fn activate(&self, revision: Revision, built: BuiltSettings) {
        let (before, built_before) = self.active.replace((revision, built));
        let mut history = self.history.borrow_mut();
        history.push_back((before, built_before.document));
        if history.len() > MAX_HISTORY {
            history.pop_front();
        }
        self.encoded_updates.borrow_mut().clear();
        self.revisions.send_replace(revision);
    }

    /// Returns the update that brings a process from revision `peer_revision` to
    /// the active one: the changes since, or every file if that revision is no
    /// longer in the history.
    pub fn update_since(&self, peer_revision: Revision) -> SettingsUpdate {
        let active = self.active.borrow();
        let (revision, built) = &*active;
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
            revision: *revision,
            delta: Delta::new(before, &built.document),
            files: Some(built.document.files.len()),
        }
    }

    /// Returns the update of `update_since` as JSON. It is encoded once for all peers
    /// that have the same revision.
    pub fn encoded_update_since(
        &self,
        peer_revision: Revision,
    ) -> Result<Bytes, serde_json::Error> {
        let is_known = |(revision, _): &(Revision, _)| *revision == peer_revision;
        let base = match self.history.borrow().iter().any(is_known) {
            true => peer_revision,
            false => Revision::default(),
        };
        if let Some(encoded) = self.encoded_updates.borrow().get(&base) {
            return Ok(encoded.clone());
        }
        let encoded = Bytes::from(serde_json::to_vec(&self.update_since(base))?);
        let mut updates = self.encoded_updates.borrow_mut();
        updates.insert(base, encoded.clone());
        Ok(encoded)
    }

    /// Adopts an update from another process like `adopt`. Returns `None` if its
    /// revision is not higher than the active one.
    pub async fn apply_update(
        &self,
        update: &SettingsUpdate,
    ) -> Result<Option<Adoption>, AdoptError> {
        let _adopting = self.adoptions.lock().await;
        let base = update.base;
        let document = match base == Revision::default() {
            true => update.delta.apply(&Document::default()),
            false if base == self.revision() => {
                let before = Rc::clone(&self.active.borrow().1.document);
                update.delta.apply(&before)
            }
            false => return Err(AdoptError::BaseNotActive(base)),
        };
        if update.files.is_some_and(|n| n != document.files.len()) {
            return Err(AdoptError::BaseDiffers(base));
        }
        Ok(self.build_and_activate(update.revision, document).await?)
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
