//! Differences between two documents, by file.

use std::collections::BTreeMap;
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
        let texts_before = texts(before);
        let texts_after = texts(after);
        let differs = |f: &&File| texts_before.get(&f.name) != Some(&f.text.as_str());
        let changed = after.files.iter().filter(differs);
        let is_gone = |f: &&File| !texts_after.contains_key(&f.name);
        let removed = before.files.iter().filter(is_gone);
        Self {
            changed: changed.cloned().collect(),
            removed: removed.map(|f| f.name.clone()).collect(),
        }
    }

    /// Applies the difference to `before` and returns the result.
    pub fn apply(&self, before: &Document) -> Document {
        let changed: BTreeSet<&Name> = self.changed.iter().map(|f| &f.name).collect();
        let replaced = |f: &&File| changed.contains(&f.name) || self.removed.contains(&f.name);
        let kept = before.files.iter().filter(|f| !replaced(f));
        Document::new(kept.chain(&self.changed).cloned().collect())
    }
}

fn texts(document: &Document) -> BTreeMap<&Name, &str> {
    let files = document.files.iter();
    files.map(|f| (&f.name, f.text.as_str())).collect()
}
