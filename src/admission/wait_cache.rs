//! Cache of the expected waits that agents reported to an entry.
//!
//! In a burst most requests are refused. If the recent wait quoted to another
//! request of its class is too long, the entry refuses a request without asking
//! any agent, so that a refusal costs very little.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::RequestClass;
use crate::clock::Timestamp;

#[cfg(test)]
mod tests;

/// Age from which a cached wait is no longer used: several of the intervals at
/// which a busy upstream frees a slot.
const MAX_AGE: Duration = Duration::from_millis(100);

/// The latest expected wait of each request class, with the time it was
/// recorded.
#[derive(Debug, Default)]
pub struct WaitCache {
    waits: HashMap<RequestClass, (Timestamp, Duration)>,
}

impl WaitCache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that requests of this class are expected to wait for `wait`.
    pub fn insert(&mut self, now: Timestamp, request_class: RequestClass, wait: Duration) {
        self.waits.insert(request_class, (now, wait));
    }

    /// Returns the expected wait if it is recent, and removes it otherwise.
    pub fn get(&mut self, now: Timestamp, request_class: &RequestClass) -> Option<Duration> {
        let (recorded_at, wait) = *self.waits.get(request_class)?;
        if now.since(recorded_at) < MAX_AGE {
            return Some(wait);
        }
        self.waits.remove(request_class);
        None
    }
}
