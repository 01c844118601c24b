//! Formats merged settings with the file of each value, and compares two sets of
//! settings.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use toml::Value;

use crate::name::Name;
use crate::settings::MergedFiles;
use crate::settings::merge::join;

/// Value that differs between two settings folders.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Key as a dotted path.
    pub key: String,
    /// Value before; absent if the key is new.
    pub before: Option<String>,
    /// Value after; absent if the key has been removed.
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

/// Formats one line per value: its key, the value, and the file that set it.
pub fn show(merged: &MergedFiles) -> String {
    let lines = leaves(merged).into_iter().map(|(key, value)| {
        let file = merged.origin(&key);
        let file = file.as_ref().map_or("", Name::as_str);
        format!("{key} = {value}  # {file}\n")
    });
    lines.collect()
}

/// Returns the values that differ, in the order of their keys.
pub fn diff(before: &MergedFiles, after: &MergedFiles) -> Vec<Change> {
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

fn leaves(merged: &MergedFiles) -> BTreeMap<String, String> {
    let mut leaves_by_key = BTreeMap::new();
    for (key, value) in &merged.table {
        collect_leaves(join("", key), value, &mut leaves_by_key);
    }
    leaves_by_key
}

fn collect_leaves(path: String, value: &Value, leaves_by_key: &mut BTreeMap<String, String>) {
    match value {
        Value::Table(table) => table
            .iter()
            .for_each(|(key, value)| collect_leaves(join(&path, key), value, leaves_by_key)),
        value => {
            leaves_by_key.insert(path, value.to_string());
        }
    }
}
