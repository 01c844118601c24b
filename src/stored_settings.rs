//! Format of the settings object in the platform's store.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::active_settings::Revision;
use crate::settings::Document;

/// Name of the settings object.
pub const SETTINGS_OBJECT: &str = "almondramp-settings";

/// Number of recent writes that are recorded. A writer whose reply was lost finds
/// its own write among them, unless this many writes have followed it.
const RECENT_WRITES: usize = 64;

/// The object's value can't be encoded or decoded.
#[derive(Debug, Error)]
#[error("the stored settings are malformed")]
pub struct MalformedSettings(#[source] serde_json::Error);

/// One write of the settings object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Write {
    /// Revision that the write created.
    pub revision: Revision,
    /// Random number by which the writer recognises its own write.
    pub nonce: u64,
}

/// Value of the settings object, stored as JSON.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StoredSettings {
    /// Revision, which grows by one with every write.
    pub revision: Revision,
    /// Most recent writes, latest last; at most `RECENT_WRITES`.
    pub recent: Vec<Write>,
    /// Settings files.
    pub document: Document,
}

impl StoredSettings {
    /// Decodes the object's value.
    pub fn parse(value: &[u8]) -> Result<Self, MalformedSettings> {
        serde_json::from_slice(value).map_err(MalformedSettings)
    }

    /// Encodes the object's value.
    pub fn to_json(&self) -> Result<Vec<u8>, MalformedSettings> {
        serde_json::to_vec(self).map_err(MalformedSettings)
    }

    /// Returns the revision that the write with `nonce` created, if it is among
    /// the recent writes.
    pub fn revision_of(&self, nonce: u64) -> Option<Revision> {
        let written = self.recent.iter().find(|w| w.nonce == nonce);
        written.map(|w| w.revision)
    }

    /// Returns the settings object of the next revision, which holds `document`
    /// and records the write with `nonce`.
    pub fn next(&self, document: Document, nonce: u64) -> Self {
        let revision = Revision(self.revision.0 + 1);
        let mut recent = self.recent.clone();
        recent.push(Write { revision, nonce });
        let surplus = recent.len().saturating_sub(RECENT_WRITES);
        recent.drain(..surplus);
        Self {
            revision,
            recent,
            document,
        }
    }
}
