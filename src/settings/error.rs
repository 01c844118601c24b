//! Errors in settings.

use std::fmt;
use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::name::Name;

/// Reason for which a key is not accepted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Reason {
    /// The file is not TOML.
    #[error("not valid TOML: {0}")]
    Syntax(String),
    /// The file can't be read as text.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// The key is not a known setting.
    #[error("unknown key")]
    UnknownKey,
    /// The value has the wrong type, format or range.
    #[error("{0}")]
    Value(String),
    /// The key is a table in one file and a value in another.
    #[error("is a table in one file and a value in {0}")]
    TableConflict(Name),
    /// The value names an entry that does not exist in the section it refers to.
    #[error("no {section} named {name}")]
    Dangling {
        /// Section that is referred to.
        section: &'static str,
        /// Name that does not exist there.
        name: Name,
    },
    /// Two organisations share an API key, or their names differ only in case.
    #[error("duplicates organisation {0}")]
    DuplicateOrganisation(Name),
    /// The value conflicts with that of another key.
    #[error("contradicts {0}")]
    Contradiction(String),
    /// The section or the list needs at least one entry.
    #[error("at least one is required")]
    Empty,
}

/// Problem with one key, and the file that set it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// File that set the key last; absent for a problem of the whole folder.
    pub file: Option<Name>,
    /// Key as a dotted path; the line number for a syntax error.
    pub key: String,
    /// Reason for which the key is not accepted.
    pub reason: Reason,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.as_ref().map_or("settings", Name::as_str);
        write!(f, "{file}: {}: {}", self.key, self.reason)
    }
}

/// Reason for which settings were not accepted.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The folder or a file in it could not be read.
    #[error("cannot read {path}")]
    Read {
        /// Path of the folder or file.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The settings are not valid; lists all problems found.
    #[error("{}", join_lines(.0))]
    Invalid(Vec<Problem>),
}

fn join_lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
