//! Differences between two documents, by file.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::settings::Document;
use crate::settings::File;

/// Difference that turns one document into another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Files that are new or whose text differs.
    pub changed: Vec<File>,
    /// Names of the files that no longer exist.
    pub removed: BTreeSet<Name>,
}

impl Delta {
    /// Returns the difference that turns `before` into `after`.
    pub fn new(before: &Document, after: &Document) -> Self {
        let changed = after.files.iter().filter(|f| !before.files.contains(f));
        let kept = |f: &&File| after.files.iter().any(|other| other.name == f.name);
        let removed = before.files.iter().filter(|f| !kept(f));
        Self {
            changed: changed.cloned().collect(),
            removed: removed.map(|f| f.name.clone()).collect(),
        }
    }

    /// Applies the difference to `before` and returns the result.
    pub fn apply(&self, before: &Document) -> Document {
        let replaced = |f: &&File| {
            let changed = self.changed.iter().any(|c| c.name == f.name);
            changed || self.removed.contains(&f.name)
        };
        let kept = before.files.iter().filter(|f| !replaced(f));
        Document::new(kept.chain(&self.changed).cloned().collect())
    }
}
