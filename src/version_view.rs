//! Whether an entry that has started knows all versions at which streams can have begun.
//!
//! The store keeps the versions, but can be restored from a copy that is older than some of
//! them. Their upstreams register again within a short time. The stored record names the
//! timeline of the store in which it was complete: in a later one, an entry that knows nothing
//! but the record may lack versions until that time has passed.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::object_store::Timeline;
use crate::registrations::REREGISTRATION_TIME;

#[cfg(test)]
mod tests;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The record has not been read.
    Unread,
    /// Upstreams whose registrations the store has lost may be missing.
    Partial {
        /// Until when.
        until: Timestamp,
    },
    /// All versions are known.
    Complete,
}

/// Whether an entry knows all versions.
#[derive(Debug)]
pub struct VersionView {
    state: State,
    /// The timeline in which the record was last complete; `None` if it is not known, or if
    /// the store names none.
    complete_in: Option<Timeline>,
}

impl VersionView {
    /// Creates the view of an entry that keeps no record, and so compares with nothing.
    pub fn new() -> Self {
        Self {
            state: State::Complete,
            complete_in: None,
        }
    }

    /// Returns the view of an entry that will read a record.
    pub fn with_record() -> Self {
        Self {
            state: State::Unread,
            complete_in: None,
        }
    }

    /// Records that the store has no record yet, so that no entry has begun a stream before.
    pub fn begin(&mut self) {
        self.state = State::Complete;
    }

    /// Records that the record was read, which was complete in `recorded`. The store is in
    /// `current`; one that names no timeline is not restored.
    pub fn restore(
        &mut self,
        now: Timestamp,
        recorded: Option<Timeline>,
        current: Option<Timeline>,
    ) {
        self.complete_in = recorded;
        self.state = match current {
            Some(_) if current != recorded => State::Partial {
                until: now + REREGISTRATION_TIME,
            },
            _ => State::Complete,
        };
    }

    /// Records that the store was restored. What an entry with a complete view knows stays
    /// known.
    pub fn store_restored(&mut self, now: Timestamp) {
        if let State::Partial { until } = &mut self.state
            && now < *until
        {
            *until = now + REREGISTRATION_TIME;
        }
    }

    /// Returns the time for which versions may be missing; `None` if none is.
    pub fn missing_for(&self, now: Timestamp) -> Option<Duration> {
        match self.state {
            State::Unread => Some(REREGISTRATION_TIME),
            State::Partial { until } if now < until => Some(now.until(until)),
            State::Partial { .. } | State::Complete => None,
        }
    }

    /// Returns the timeline to name in a record that is written now, while the store is in
    /// `current`.
    pub fn complete_in(&self, now: Timestamp, current: Option<Timeline>) -> Option<Timeline> {
        match self.missing_for(now) {
            None => current,
            Some(_) => self.complete_in,
        }
    }
}

impl Default for VersionView {
    fn default() -> Self {
        Self::new()
    }
}
