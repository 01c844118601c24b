//! Upstreams whose streams have ended with their connection before their last event, as asking
//! for the rest has shown. Without a confirmation, no further end of theirs is believed for a
//! time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// The time for which an upstream is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// The upstreams whose streams have ended early, and when the last one did.
///
/// Invariant: at most one entry for each upstream that was listed in the last [`MEMORY`].
#[derive(Debug, Default)]
pub struct EarlyEnds {
    upstreams: BTreeMap<Name, Timestamp>,
}

impl EarlyEnds {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that more events have followed the end of a stream of `upstream`.
    pub fn record(&mut self, now: Timestamp, upstream: Name) {
        self.upstreams.retain(|_, at| now.since(*at) < MEMORY);
        self.upstreams.insert(upstream, now);
    }

    /// Returns whether a stream of `upstream` has ended early lately.
    pub fn contains(&self, now: Timestamp, upstream: &Name) -> bool {
        let at = self.upstreams.get(upstream);
        at.is_some_and(|at| now.since(*at) < MEMORY)
    }
}
