//! The settings as an object in the platform's store.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::current::Revision;
use crate::settings::Document;

/// The name of the object.
pub const CONFIG_OBJECT: &str = "almondramp-settings";

/// The object's value can't be read.
#[derive(Debug, Error)]
#[error("the stored settings are malformed")]
pub struct MalformedSettings(#[source] serde_json::Error);

/// The value of the object, in JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoredSettings {
    /// Grows by one with every write.
    pub revision: Revision,
    /// Drawn at random by the writer, which recognises its own write by it
    /// when the reply was lost.
    pub nonce: u64,
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
}
