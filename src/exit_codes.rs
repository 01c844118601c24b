//! The exit codes of the programs.

use std::process::ExitCode as ProcessCode;

/// How a program ended, as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// All was done.
    Success,
    /// Something failed while running.
    Failure,
    /// The command line or the settings are not valid.
    Invalid,
    /// The change lost a race with another operator; nothing was written.
    Conflict,
    /// A part of the fleet could not be reached; the answer is partial.
    Partial,
}

impl From<ExitCode> for ProcessCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => Self::from(0),
            ExitCode::Failure => Self::from(1),
            ExitCode::Invalid => Self::from(2),
            ExitCode::Conflict => Self::from(3),
            ExitCode::Partial => Self::from(4),
        }
    }
}
