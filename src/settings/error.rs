//! What can be wrong with a settings folder.

use std::fmt;
use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::name::Name;

/// Why one key is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Reason {
    /// The file is not TOML.
    #[error("not valid TOML: {0}")]
    Syntax(String),
    /// No such key exists.
    #[error("unknown key")]
    UnknownKey,
    /// The value has the wrong type or form.
    #[error("{0}")]
    Value(String),
    /// One file makes a table of what another file made a value.
    #[error("is a table in one file and a value in {0}")]
    Shape(Name),
    /// The name does not stand in the section it refers to.
    #[error("no {section} named {name}")]
    Dangling {
        /// The section.
        section: &'static str,
        /// The name that is missing there.
        name: Name,
    },
    /// Two organisations could be taken for one another.
    #[error("duplicates organisation {0}")]
    DuplicateOrganisation(Name),
    /// Two entries claim what only one can have.
    #[error("contradicts {0}")]
    Contradiction(String),
    /// The section needs at least one entry.
    #[error("at least one is needed")]
    Empty,
}

/// One thing that is wrong, and where.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The file that set the key last; the folder as a whole where absent.
    pub file: Option<Name>,
    /// The key, as a dotted path.
    pub key: String,
    /// What is wrong with it.
    pub reason: Reason,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.as_ref().map_or("settings", Name::as_str);
        write!(f, "{file}: {}: {}", self.key, self.reason)
    }
}

/// Why a settings folder was not accepted.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The folder or a file in it could not be read.
    #[error("cannot read {path}")]
    Read {
        /// The folder or file.
        path: PathBuf,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// All problems that one run found.
    #[error("{}", join(.0))]
    Invalid(Vec<Problem>),
}

fn join(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}
