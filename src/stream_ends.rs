//! What is known of the ends of streams that have ended with their connection: whether those
//! of a service are complete.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// The time for which an early end is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// The number of confirmed ends in a row after which other ends of a service count as complete.
/// If one in twenty were early, 64 in a row would be one in 27.
const TRUSTED_ENDS: u32 = 64;

/// The ends of streams that were confirmed or shown to be early, by service.
#[derive(Debug, Default)]
pub struct StreamEnds {
    services: BTreeMap<Name, ServiceEnds>,
}

#[derive(Debug, Default)]
struct ServiceEnds {
    /// The number of confirmed ends since the last early one.
    ///
    /// Invariant: at most [`TRUSTED_ENDS`].
    confirmed: u32,
    /// When the last early end was found.
    last_early: Option<Timestamp>,
}

impl StreamEnds {
    /// Creates a record without any ends.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that nothing has followed the end of a stream of `service`.
    pub fn record_confirmed(&mut self, service: &Name) {
        let ends = self.services.entry(service.clone()).or_default();
        ends.confirmed = (ends.confirmed + 1).min(TRUSTED_ENDS);
    }

    /// Records that more events have followed the end of a stream of `service`.
    pub fn record_early(&mut self, now: Timestamp, service: &Name) {
        let ends = self.services.entry(service.clone()).or_default();
        ends.confirmed = 0;
        ends.last_early = Some(now);
    }

    /// Returns whether streams of `service` count as complete when they end with their
    /// connection: the last ones were, and none has ended early lately.
    pub fn is_trusted(&self, now: Timestamp, service: &Name) -> bool {
        let ends = self.services.get(service);
        ends.is_some_and(|e| e.confirmed >= TRUSTED_ENDS) && !self.is_doubted(now, service)
    }

    /// Returns whether a stream of `service` has ended early lately.
    pub fn is_doubted(&self, now: Timestamp, service: &Name) -> bool {
        let last_early = self.services.get(service).and_then(|e| e.last_early);
        last_early.is_some_and(|at| now.since(at) < MEMORY)
    }
}
