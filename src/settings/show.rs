//! Shows merged settings with the file of each value, and how two differ.

use std::collections::BTreeMap;
use std::fmt;

use toml::Value;

use crate::name::Name;
use crate::settings::Merged;
use crate::settings::merge::join;

/// A value that differs between two folders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The key, as a dotted path.
    pub key: String,
    /// The value before; absent if the key is new.
    pub before: Option<String>,
    /// The value after; absent if the key is gone.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {key} = {before} -> {after}"),
            (Some(before), None) => write!(f, "- {key} = {before}"),
            (None, Some(after)) => write!(f, "+ {key} = {after}"),
            (None, None) => write!(f, "  {key}"),
        }
    }
}

/// One line a value: its key, the value, and the file that set it.
pub fn show(merged: &Merged) -> String {
    let lines = leaves(merged).into_iter().map(|(key, value)| {
        let file = merged.origin(&key);
        let file = file.as_ref().map_or("", Name::as_str);
        format!("{key} = {value}  # {file}\n")
    });
    lines.collect()
}

/// The values that differ, in the order of their keys.
pub fn diff(before: &Merged, after: &Merged) -> Vec<Change> {
    let mut before = leaves(before);
    let mut changes: Vec<Change> = Vec::new();
    for (key, value) in leaves(after) {
        let old = before.remove(&key);
        if old.as_ref() != Some(&value) {
            changes.push(Change {
                key,
                before: old,
                after: Some(value),
            });
        }
    }
    changes.extend(before.into_iter().map(|(key, value)| Change {
        key,
        before: Some(value),
        after: None,
    }));
    changes.sort_by(|a, b| a.key.cmp(&b.key));
    changes
}

fn leaves(merged: &Merged) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    for (key, value) in &merged.table {
        collect(join("", key), value, &mut found);
    }
    found
}

fn collect(path: String, value: &Value, found: &mut BTreeMap<String, String>) {
    match value {
        Value::Table(table) => table
            .iter()
            .for_each(|(key, value)| collect(join(&path, key), value, found)),
        value => {
            found.insert(path, value.to_string());
        }
    }
}
