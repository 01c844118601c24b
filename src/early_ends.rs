//! Services of which streams have ended with their connection before their last event, as asking
//! for the rest has shown. Without a confirmation, no further end of theirs is believed for a
//! time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// The time for which an early end is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// The services whose streams have ended early, and when the last one did.
///
/// Invariant: at most one entry for each service that was configured in the last [`MEMORY`].
#[derive(Debug, Default)]
pub struct EarlyEnds {
    services: BTreeMap<Name, Timestamp>,
}

impl EarlyEnds {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that more events have followed the end of a stream of `service`.
    pub fn record(&mut self, now: Timestamp, service: &Name) {
        self.services.retain(|_, at| now.since(*at) < MEMORY);
        self.services.insert(service.clone(), now);
    }

    /// Returns whether a stream of `service` has ended early lately.
    pub fn contains(&self, now: Timestamp, service: &Name) -> bool {
        let at = self.services.get(service);
        at.is_some_and(|at| now.since(*at) < MEMORY)
    }
}
