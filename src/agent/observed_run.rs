//! Which run of the upstream serves, as far as its reports tell.

use crate::agent::load::LoadReport;
use crate::agent::load::ReadError;

#[cfg(test)]
mod tests;

/// The run of the upstream that has answered the last read of its report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ObservedRun {
    /// Not known: the report could not be read, or tells no start.
    #[default]
    Unknown,
    /// None: no process listens at the address. The one that listens next is another run.
    None,
    /// The run that has started at this time, in Unix milliseconds by its own clock.
    Started(u64),
}

impl ObservedRun {
    /// Returns what the result of a read tells.
    pub fn from_report(report: &Result<LoadReport, ReadError>) -> Self {
        match report {
            Ok(report) => report.started.map_or(Self::Unknown, Self::Started),
            Err(ReadError::Refused) => Self::None,
            // An overloaded upstream must not lose its requests for that.
            Err(ReadError::Unreadable) => Self::Unknown,
        }
    }

    /// Returns whether a ticket may be granted that only the run may serve that has started
    /// at `run_start`; any if `None`.
    pub fn may_serve(self, run_start: Option<u64>) -> bool {
        match (run_start, self) {
            (None, _) | (_, Self::Unknown) => true,
            (Some(_), Self::None) => false,
            (Some(needed), Self::Started(started)) => needed == started,
        }
    }
}
