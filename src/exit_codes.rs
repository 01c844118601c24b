//! The exit codes of the programs.

use std::process::ExitCode as ProcessCode;

/// How a program ended, as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// All was done.
    Success = 0,
    /// Something failed while running.
    Failure = 1,
    /// The command line or the settings are not valid.
    Invalid = 2,
    /// The change lost a race with another operator; nothing was written.
    Conflict = 3,
    /// A part of the fleet could not be reached; the answer is partial.
    Partial = 4,
}

impl From<ExitCode> for ProcessCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
