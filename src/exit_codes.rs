//! Exit codes of the programs.

use std::process::ExitCode as ProcessCode;

/// The result of a program. The numbers are part of its interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded.
    Success = 0,
    /// An error occurred while the program ran.
    Failure = 1,
    /// The command line or the settings are not valid.
    Invalid = 2,
    /// The change conflicts with another operator's change. Nothing was written.
    Conflict = 3,
    /// A part of the input was missing, such as processes that could not be
    /// reached or log lines that could not be read. The output is partial.
    Partial = 4,
    /// The settings are valid, but a part has no effect or contradicts another.
    Warnings = 5,
}

impl From<ExitCode> for ProcessCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
