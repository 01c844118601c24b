//! The settings as an object in the platform's store.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::active_settings::Revision;
use crate::settings::Document;

/// The name of the object.
pub const CONFIG_OBJECT: &str = "almondramp-settings";

/// Writes that are kept. A writer whose reply was lost finds its own
/// among them, unless so many others have written since.
const RECENT_WRITES: usize = 64;

/// The object's value can't be read.
#[derive(Debug, Error)]
#[error("the stored settings are malformed")]
pub struct MalformedSettings(#[source] serde_json::Error);

/// A write of the object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Write {
    /// The revision that it made.
    pub revision: Revision,
    /// Drawn at random by the writer, which recognises its own write by it.
    pub nonce: u64,
}

/// The value of the object, in JSON.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StoredSettings {
    /// Grows by one with every write.
    pub revision: Revision,
    /// The last writes, the latest last.
    pub recent: Vec<Write>,
    /// The files.
    pub document: Document,
}

impl StoredSettings {
    /// Reads the object's value.
    pub fn parse(value: &[u8]) -> Result<Self, MalformedSettings> {
        serde_json::from_slice(value).map_err(MalformedSettings)
    }

    /// Writes the object's value.
    pub fn to_json(&self) -> Result<Vec<u8>, MalformedSettings> {
        serde_json::to_vec(self).map_err(MalformedSettings)
    }

    /// The revision that the writer of `nonce` made, if it is still known.
    pub fn revision_of(&self, nonce: u64) -> Option<Revision> {
        let written = self.recent.iter().find(|w| w.nonce == nonce);
        written.map(|w| w.revision)
    }

    /// The settings that follow on these, written by the writer of `nonce`.
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
