//! Writes a folder of settings to the store without losing others' edits.
//!
//! Files are merged three ways: what the operator last saw, what the operator
//! has now, and what the store holds. Changes to different files merge; two
//! changes to one file are a conflict.

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
use crate::stored_settings::CONFIG_OBJECT;
use crate::stored_settings::MalformedSettings;
use crate::stored_settings::StoredSettings;

#[cfg(test)]
mod tests;

/// Lost races and lost replies after which a write is given up.
const MAX_TRIES: u32 = 16;

/// What an operator last saw of the store: the digest of each file.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct MergeBase(pub BTreeMap<Name, Digest>);

impl MergeBase {
    /// The base of someone who has just seen `document`.
    pub fn new(document: &Document) -> Self {
        let files = document.files.iter();
        Self(files.map(|f| (f.name.clone(), digest(f))).collect())
    }
}

/// Why settings were not applied.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// The settings, merged with those in the store, are not valid.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
    /// Another operator has changed the same files. Nothing was written.
    #[error("changed by another operator too: {}", join(.0))]
    Conflict(Vec<Name>),
    /// What the store holds can't be read. Nothing was written.
    #[error(transparent)]
    Malformed(#[from] MalformedSettings),
    /// The store did not take the change. Nothing was written.
    #[error("nothing was written")]
    NotWritten(#[source] StoreError),
    /// The change may have been written. Applying again settles it.
    #[error("the change may have been written; apply again to settle it")]
    Unclear(#[source] StoreError),
}

/// What applying has led to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Applied {
    /// The revision that holds the change.
    pub revision: Revision,
    /// What the operator has now seen of the store.
    pub base: MergeBase,
    /// Whether anything had to be written.
    pub written: bool,
}

struct Held {
    version: Option<Version>,
    settings: StoredSettings,
}

/// Merges `mine` into the store's settings and writes them.
pub async fn apply<S>(
    store: &S,
    base: &MergeBase,
    mine: &Document,
    nonce: u64,
) -> Result<Applied, ApplyError>
where
    S: ObjectStore,
{
    let mut lost = None;
    for _ in 0..MAX_TRIES {
        let held = match read(store).await {
            Ok(held) => held,
            Err(ApplyError::NotWritten(e)) if lost.is_some() => {
                return Err(ApplyError::Unclear(e));
            }
            Err(e) => return Err(e),
        };
        if let Some(revision) = held.settings.revision_of(nonce) {
            let document = &held.settings.document;
            return Ok(applied(revision, base, mine, document, true));
        }
        let merged = merge(base, mine, &held.settings.document).map_err(ApplyError::Conflict)?;
        Settings::new(&merged)?;
        if merged == held.settings.document {
            let revision = held.settings.revision;
            return Ok(applied(revision, base, mine, &merged, false));
        }
        let next = held.settings.next(merged.clone(), nonce);
        let value = Bytes::from(next.to_json()?);
        let expected = match held.version {
            Some(version) => Expected::Version(version),
            None => Expected::Absent,
        };
        match store.put(Name::new(CONFIG_OBJECT), value, expected).await {
            Ok(_) => return Ok(applied(next.revision, base, mine, &merged, true)),
            Err(StoreError::Conflict) => {}
            Err(e @ StoreError::Unclear) => lost = Some(e),
            Err(e) if lost.is_some() => return Err(ApplyError::Unclear(e)),
            Err(e) => return Err(ApplyError::NotWritten(e)),
        }
    }
    Err(match lost {
        Some(e) => ApplyError::Unclear(e),
        None => ApplyError::NotWritten(StoreError::Conflict),
    })
}

/// Reads the settings that the store holds, and their revision.
pub async fn fetch<S>(store: &S) -> Result<StoredSettings, ApplyError>
where
    S: ObjectStore,
{
    Ok(read(store).await?.settings)
}

async fn read<S>(store: &S) -> Result<Held, ApplyError>
where
    S: ObjectStore,
{
    let object = store.get(Name::new(CONFIG_OBJECT)).await;
    let Some(object) = object.map_err(ApplyError::NotWritten)? else {
        return Ok(Held {
            version: None,
            settings: StoredSettings::default(),
        });
    };
    Ok(Held {
        settings: StoredSettings::parse(&object.value)?,
        version: Some(object.version),
    })
}

fn applied(
    revision: Revision,
    base: &MergeBase,
    mine: &Document,
    stored: &Document,
    written: bool,
) -> Applied {
    let (mine, merged) = (by_name(mine), by_name(stored));
    let names: BTreeSet<&Name> = mine.keys().chain(merged.keys()).copied().collect();
    // The operator has seen a file only where it holds what the store holds.
    let seen = names.into_iter().filter_map(|name| {
        let (ours, stored) = (mine.get(name), merged.get(name));
        let digest = match ours.map(|f| &f.text) == stored.map(|f| &f.text) {
            true => ours.map(|f| digest(f)),
            false => base.0.get(name).cloned(),
        };
        Some((name.clone(), digest?))
    });
    Applied {
        revision,
        base: MergeBase(seen.collect()),
        written,
    }
}

/// Merges three ways by file. Returns the files on which both sides differ
/// from the base and from each other.
pub fn merge(base: &MergeBase, mine: &Document, theirs: &Document) -> Result<Document, Vec<Name>> {
    let (mine, theirs) = (by_name(mine), by_name(theirs));
    let names: BTreeSet<&Name> = mine.keys().chain(theirs.keys()).copied().collect();
    let mut files = Vec::new();
    let mut conflicts = Vec::new();
    for name in names {
        let seen = base.0.get(name).cloned();
        let (ours, stored) = (mine.get(name).copied(), theirs.get(name).copied());
        let (our_digest, stored_digest) = (ours.map(digest), stored.map(digest));
        let kept = if our_digest == seen || our_digest == stored_digest {
            stored
        } else if stored_digest == seen {
            ours
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

fn join(names: &[Name]) -> String {
    let names: Vec<&str> = names.iter().map(Name::as_str).collect();
    names.join(", ")
}
