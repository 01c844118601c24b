//! Reads the files of a settings folder and merges them in the order of their
//! names.

use std::collections::BTreeMap;
use std::fs;
use std::io;
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

/// Maximum size of a settings file that is reviewed, in bytes: 64 times what the store
/// accepts for all files together, so that a wrong file doesn't fill the memory.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// Settings file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct File {
    /// File name without a path.
    pub name: Name,
    /// Content of the file, in TOML.
    pub text: String,
}

/// Files of a settings folder, in the order of their names.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Files, sorted by name; names are unique.
    pub files: Vec<File>,
}

impl Document {
    /// Creates a document. Sorts the files and keeps the first of each name.
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

/// Files of a settings folder that could be read, and problems with the others.
#[derive(Clone, Debug, Default)]
pub struct FolderContents {
    /// Files that could be read.
    pub document: Document,
    /// Problems with the other files, sorted by file name.
    pub problems: Vec<Problem>,
}

impl FolderContents {
    /// Reads every `.toml` file directly inside `folder`. Fails only if the folder can't
    /// be listed.
    pub fn read(folder: &Path) -> Result<Self, SettingsError> {
        let failed = |source| SettingsError::Read {
            path: folder.to_owned(),
            source,
        };
        let mut files = Vec::new();
        let mut problems = Vec::new();
        for entry in fs::read_dir(folder).map_err(failed)? {
            let path = entry.map_err(failed)?.path();
            if path.extension().is_none_or(|e| e != EXTENSION) {
                continue;
            }
            let name = Name::new(&path.file_name().unwrap_or_default().to_string_lossy());
            match read_text(&path) {
                Ok(text) => files.push(File { name, text }),
                Err(e) => problems.push(Problem {
                    file: Some(name),
                    key: String::new(),
                    reason: Reason::Unreadable(e.to_string()),
                }),
            }
        }
        problems.sort_by(|a, b| a.file.cmp(&b.file));
        Ok(Self {
            document: Document::new(files),
            problems,
        })
    }
}

/// Reads a regular file of bounded size. Opening a pipe or a device could block forever.
fn read_text(path: &Path) -> io::Result<String> {
    let metadata = fs::metadata(path)?;
    if !metadata.is_file() {
        return Err(io::Error::other("not a regular file"));
    }
    if metadata.len() > MAX_FILE_BYTES {
        let limit = format!("larger than {MAX_FILE_BYTES} bytes");
        return Err(io::Error::other(limit));
    }
    String::from_utf8(fs::read(path)?).map_err(|e| io::Error::other(e.utf8_error()))
}

/// Merged values, with the file that set each of them last.
#[derive(Clone, Debug, Default)]
pub struct MergedFiles {
    /// Merged values.
    pub table: Table,
    /// File that set each value and table, by dotted path.
    pub origins: BTreeMap<String, Name>,
    /// Problems found while merging. A key that is a table in one file and a
    /// value in another keeps its value of the earlier file.
    pub problems: Vec<Problem>,
}

impl MergedFiles {
    /// Merges the files of `document` in their order. Tables are merged key by
    /// key; any other value replaces that of an earlier file.
    pub fn new(document: &Document) -> Self {
        let mut merged = Self::default();
        for f in &document.files {
            match f.text.parse::<Table>() {
                Ok(table) => merged.add_file(&f.name, table),
                Err(e) => merged.problems.push(Problem {
                    file: Some(f.name.clone()),
                    key: line_label(&f.text, e.span().map_or(0, |s| s.start)),
                    reason: Reason::Syntax(e.message().to_owned()),
                }),
            }
        }
        merged
    }

    /// Returns the file that set `key` or, if unknown, its nearest enclosing
    /// table.
    pub fn origin(&self, key: &str) -> Option<Name> {
        let mut key = key;
        loop {
            if let Some(file) = self.origins.get(key) {
                return Some(file.clone());
            }
            key = key.rsplit_once('.')?.0;
        }
    }

    fn add_file(&mut self, file: &Name, table: Table) {
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
                    self.report_table_conflict(file, path);
                }
                (_, new) => {
                    self.record_origin(file, &path, &new);
                    target.insert(key, new);
                }
            }
        }
    }

    fn report_table_conflict(&mut self, file: &Name, key: String) {
        let other = self.origin(&key).unwrap_or_else(|| file.clone());
        self.problems.push(Problem {
            file: Some(file.clone()),
            key,
            reason: Reason::TableConflict(other),
        });
    }

    fn record_origin(&mut self, file: &Name, path: &str, value: &Value) {
        self.origins.insert(path.to_owned(), file.clone());
        if let Value::Table(table) = value {
            for (key, value) in table {
                self.record_origin(file, &join(path, key), value);
            }
        }
    }
}

/// Appends a key to a dotted path, quoted unless it is a bare TOML key.
pub(crate) fn join(path: &str, key: &str) -> String {
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

fn line_label(text: &str, offset: usize) -> String {
    let before = text.as_bytes().iter().take(offset);
    let line = 1 + before.filter(|b| **b == b'\n').count();
    format!("line {line}")
}
