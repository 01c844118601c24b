//! What an entry has just learnt of the wait for a service.
//!
//! In a burst most requests are refused. One that would be is refused by what
//! another was told a moment ago, without asking any agent, so that turning
//! requests away costs next to nothing.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// How long what was learnt is believed: several of the times in which a slot
/// of a busy upstream becomes free.
const BELIEVED: Duration = Duration::from_millis(100);

/// Whose requests wait for what.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestClass {
    /// The model or service.
    pub service: Name,
    /// The rank of the tier.
    pub order: u8,
    /// The organisation.
    pub organisation: Name,
}

/// The expected waits that were learnt last.
#[derive(Debug, Default)]
pub struct WaitCache {
    waits: HashMap<RequestClass, (Timestamp, Duration)>,
}

impl WaitCache {
    /// Nothing is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that requests of this kind are expected to wait for `wait`.
    pub fn insert(&mut self, now: Timestamp, request_class: RequestClass, wait: Duration) {
        self.waits.insert(request_class, (now, wait));
    }

    /// The expected wait, where it was learnt just now.
    pub fn get(&mut self, now: Timestamp, request_class: &RequestClass) -> Option<Duration> {
        let (at, wait) = *self.waits.get(request_class)?;
        if now.since(at) < BELIEVED {
            return Some(wait);
        }
        self.waits.remove(request_class);
        None
    }
}
