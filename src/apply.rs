//! Writes a folder of settings to the store without overwriting the edits of
//! other operators.
//!
//! Files are merged three ways: the files that the operator last fetched or
//! applied (the base), the operator's local files, and the files in the store.
//! Changes to different files are merged; different changes to the same file are
//! a conflict.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::active_settings::Revision;
use crate::claims::Digest;
use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::object_store::Version;
use crate::settings::Document;
use crate::settings::File;
use crate::settings::Settings;
use crate::settings::SettingsError;
use crate::stored_settings::MalformedSettings;
use crate::stored_settings::SETTINGS_OBJECT;
use crate::stored_settings::StoredSettings;

#[cfg(test)]
mod tests;

/// Maximum number of write attempts, each ended by a conflict or a missing
/// reply.
const MAX_WRITE_ATTEMPTS: u32 = 16;

/// Digest of each file that the operator last fetched or applied, by file name.
/// The base of the next three-way merge.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct MergeBase(pub BTreeMap<Name, Digest>);

impl MergeBase {
    /// Returns the base of an operator whose files equal `document`.
    pub fn new(document: &Document) -> Self {
        let files = document.files.iter();
        Self(files.map(|f| (f.name.clone(), digest(f))).collect())
    }
}

/// Reason for which settings were not applied.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// The settings are not valid after the merge with those in the store.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
    /// Another operator has changed the same files differently. Nothing was
    /// written.
    #[error("files also changed by another operator: {}", join_names(.0))]
    Conflict(Vec<Name>),
    /// The value in the store can't be decoded. Nothing was written.
    #[error(transparent)]
    Malformed(#[from] MalformedSettings),
    /// The store could not be read or did not accept the write. Nothing was
    /// written.
    #[error("the settings were not applied; nothing was written")]
    NotWritten(#[source] StoreError),
    /// The outcome of a write is unknown. Applying again resolves it.
    #[error("the change may have been written; apply again to confirm it")]
    OutcomeUnknown(#[source] StoreError),
}

/// Result of a successful `apply`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApplyOutcome {
    /// Revision of the stored settings that holds the change.
    pub revision: Revision,
    /// Base of the operator's next merge.
    pub base: MergeBase,
    /// Whether a write was needed; false if the store already held these
    /// settings.
    pub written: bool,
}

struct VersionedSettings {
    version: Option<Version>,
    settings: StoredSettings,
}

/// Merges `local` into the stored settings and writes the result.
///
/// `nonce` identifies this call: if a reply was lost, the write is recognised
/// by it when the settings are read again.
pub async fn apply<S>(
    store: &S,
    base: &MergeBase,
    local: &Document,
    nonce: u64,
) -> Result<ApplyOutcome, ApplyError>
where
    S: ObjectStore,
{
    let mut unknown_outcome = None;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let stored = match read_stored(store).await {
            Ok(stored) => stored,
            Err(ApplyError::NotWritten(e)) if unknown_outcome.is_some() => {
                return Err(ApplyError::OutcomeUnknown(e));
            }
            Err(e) => return Err(e),
        };
        if let Some(revision) = stored.settings.revision_of(nonce) {
            let document = &stored.settings.document;
            return Ok(outcome(revision, base, local, document, true));
        }
        let merged = merge(base, local, &stored.settings.document).map_err(ApplyError::Conflict)?;
        Settings::new(&merged)?;
        if merged == stored.settings.document {
            let revision = stored.settings.revision;
            return Ok(outcome(revision, base, local, &merged, false));
        }
        let next = stored.settings.next(merged.clone(), nonce);
        let value = Bytes::from(next.to_json()?);
        let expected = match stored.version {
            Some(version) => Expected::Version(version),
            None => Expected::Absent,
        };
        match store.put(Name::new(SETTINGS_OBJECT), value, expected).await {
            Ok(_) => return Ok(outcome(next.revision, base, local, &merged, true)),
            Err(StoreError::Conflict) => {}
            Err(e @ (StoreError::OutcomeUnknown | StoreError::Restored)) => {
                unknown_outcome = Some(e)
            }
            Err(e) if unknown_outcome.is_some() => return Err(ApplyError::OutcomeUnknown(e)),
            Err(e) => return Err(ApplyError::NotWritten(e)),
        }
    }
    Err(match unknown_outcome {
        Some(e) => ApplyError::OutcomeUnknown(e),
        None => ApplyError::NotWritten(StoreError::Conflict),
    })
}

/// Reads the stored settings with their revision.
pub async fn fetch<S>(store: &S) -> Result<StoredSettings, ApplyError>
where
    S: ObjectStore,
{
    Ok(read_stored(store).await?.settings)
}

async fn read_stored<S>(store: &S) -> Result<VersionedSettings, ApplyError>
where
    S: ObjectStore,
{
    let object = store.get(Name::new(SETTINGS_OBJECT)).await;
    let Some(object) = object.map_err(ApplyError::NotWritten)? else {
        return Ok(VersionedSettings {
            version: None,
            settings: StoredSettings::default(),
        });
    };
    Ok(VersionedSettings {
        settings: StoredSettings::parse(&object.value)?,
        version: Some(object.version),
    })
}

fn outcome(
    revision: Revision,
    base: &MergeBase,
    local: &Document,
    stored: &Document,
    written: bool,
) -> ApplyOutcome {
    let (local, stored) = (by_name(local), by_name(stored));
    let names: BTreeSet<&Name> = local.keys().chain(stored.keys()).copied().collect();
    // The base of a file advances only where the local and the stored texts
    // are equal.
    let digests = names.into_iter().filter_map(|name| {
        let (local, stored) = (local.get(name), stored.get(name));
        let digest = match local.map(|f| &f.text) == stored.map(|f| &f.text) {
            true => local.map(|f| digest(f)),
            false => base.0.get(name).cloned(),
        };
        Some((name.clone(), digest?))
    });
    ApplyOutcome {
        revision,
        base: MergeBase(digests.collect()),
        written,
    }
}

/// Merges `local` and `stored` three ways, file by file. Returns the names of
/// the files that differ from the base on both sides and from each other.
pub fn merge(base: &MergeBase, local: &Document, stored: &Document) -> Result<Document, Vec<Name>> {
    let (local, stored) = (by_name(local), by_name(stored));
    let names: BTreeSet<&Name> = local.keys().chain(stored.keys()).copied().collect();
    let mut files = Vec::new();
    let mut conflicts = Vec::new();
    for name in names {
        let base_digest = base.0.get(name).cloned();
        let (local, stored) = (local.get(name).copied(), stored.get(name).copied());
        let (local_digest, stored_digest) = (local.map(digest), stored.map(digest));
        let kept = if local_digest == base_digest || local_digest == stored_digest {
            stored
        } else if stored_digest == base_digest {
            local
        } else {
            conflicts.push(name.clone());
            None
        };
        files.extend(kept.cloned());
    }
    match conflicts.is_empty() {
        true => Ok(Document::new(files)),
        false => Err(conflicts),
    }
}

fn by_name(document: &Document) -> BTreeMap<&Name, &File> {
    document.files.iter().map(|f| (&f.name, f)).collect()
}

fn digest(f: &File) -> Digest {
    Digest::new(&[f.text.as_bytes()])
}

fn join_names(names: &[Name]) -> String {
    let names: Vec<&str> = names.iter().map(Name::as_str).collect();
    names.join(", ")
}
