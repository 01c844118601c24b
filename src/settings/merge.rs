//! Reads the files of a folder and merges them in the order of their names.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use toml::Table;
use toml::Value;

use crate::name::Name;
use crate::settings::Problem;
use crate::settings::Reason;
use crate::settings::SettingsError;

const EXTENSION: &str = "toml";

/// One settings file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct File {
    /// The file's name, without a folder.
    pub name: Name,
    /// The file's text.
    pub text: String,
}

/// The files of a folder, in the order of their names.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Sorted by name; no name stands twice.
    pub files: Vec<File>,
}

impl Document {
    /// A document of these files.
    pub fn new(mut files: Vec<File>) -> Self {
        files.sort_by(|a, b| a.name.cmp(&b.name));
        files.dedup_by(|a, b| a.name == b.name);
        Self { files }
    }

    /// Reads every `.toml` file directly inside `folder`.
    pub fn read(folder: &Path) -> Result<Self, SettingsError> {
        let failed = |path: &Path| {
            let path = path.to_owned();
            move |source| SettingsError::Read { path, source }
        };
        let mut files = Vec::new();
        for entry in fs::read_dir(folder).map_err(failed(folder))? {
            let path = entry.map_err(failed(folder))?.path();
            if path.extension().is_none_or(|e| e != EXTENSION) {
                continue;
            }
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            let text = fs::read_to_string(&path).map_err(failed(&path))?;
            files.push(File {
                name: Name::new(&name),
                text,
            });
        }
        Ok(Self::new(files))
    }
}

/// The merged values and the file that set each of them last.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    /// The merged values.
    pub table: Table,
    /// The file of each value and table, by dotted path.
    pub origins: BTreeMap<String, Name>,
    /// Problems met on the way; the values concerned keep their earlier form.
    pub problems: Vec<Problem>,
}

impl Merged {
    /// Merges the files of `document`. Tables merge key by key; any other
    /// value of a later file replaces that of an earlier one.
    pub fn new(document: &Document) -> Self {
        let mut merged = Self::default();
        for f in &document.files {
            match f.text.parse::<Table>() {
                Ok(table) => merged.add(&f.name, table),
                Err(e) => merged.problems.push(Problem {
                    file: Some(f.name.clone()),
                    key: line_of(&f.text, e.span().map_or(0, |s| s.start)),
                    reason: Reason::Syntax(e.message().to_owned()),
                }),
            }
        }
        merged
    }

    /// The file that set `key`, or the nearest table around it.
    pub fn origin(&self, key: &str) -> Option<Name> {
        let mut key = key;
        loop {
            if let Some(file) = self.origins.get(key) {
                return Some(file.clone());
            }
            key = key.rsplit_once('.')?.0;
        }
    }

    fn add(&mut self, file: &Name, table: Table) {
        let mut target = std::mem::take(&mut self.table);
        self.merge_table(file, "", &mut target, table);
        self.table = target;
    }

    fn merge_table(&mut self, file: &Name, path: &str, target: &mut Table, source: Table) {
        for (key, value) in source {
            let path = join(path, &key);
            match (target.get_mut(&key), value) {
                (Some(Value::Table(old)), Value::Table(new)) => {
                    self.merge_table(file, &path, old, new);
                }
                (Some(old), new) if old.is_table() != new.is_table() => {
                    self.report_shape(file, path);
                }
                (_, new) => {
                    self.note_origin(file, &path, &new);
                    target.insert(key, new);
                }
            }
        }
    }

    fn report_shape(&mut self, file: &Name, key: String) {
        let other = self.origin(&key).unwrap_or_else(|| file.clone());
        self.problems.push(Problem {
            file: Some(file.clone()),
            key,
            reason: Reason::Shape(other),
        });
    }

    fn note_origin(&mut self, file: &Name, path: &str, value: &Value) {
        self.origins.insert(path.to_owned(), file.clone());
        if let Value::Table(table) = value {
            for (key, value) in table {
                self.note_origin(file, &join(path, key), value);
            }
        }
    }
}

/// Extends a dotted path by a key, quoted where it is not bare.
pub(super) fn join(path: &str, key: &str) -> String {
    let bare = !key.is_empty()
        && key
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_');
    let key = if bare {
        key.to_owned()
    } else {
        format!("{key:?}")
    };
    if path.is_empty() {
        return key;
    }
    format!("{path}.{key}")
}

fn line_of(text: &str, offset: usize) -> String {
    let before = text.as_bytes().iter().take(offset);
    let line = 1 + before.filter(|b| **b == b'\n').count();
    format!("line {line}")
}
