//! What an entry has just learnt of the wait for a service.
//!
//! In a burst most requests are refused. One that would be is refused by what
//! another was told a moment ago, without asking any agent, so that turning
//! requests away costs next to nothing.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// How long what was learnt is believed: several of the times in which a slot
/// of a busy upstream becomes free.
const BELIEVED: Duration = Duration::from_millis(100);

/// Whose requests wait for what.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Line {
    /// The model or service.
    pub service: Name,
    /// The rank of the tier.
    pub order: u8,
    /// The organisation.
    pub organisation: Name,
}

/// The expected waits that were learnt last.
#[derive(Debug, Default)]
pub struct Pressure {
    waits: HashMap<Line, (Moment, Duration)>,
}

impl Pressure {
    /// Nothing is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that requests of this kind are expected to wait for `wait`.
    pub fn note(&mut self, now: Moment, line: Line, wait: Duration) {
        self.waits.insert(line, (now, wait));
    }

    /// The expected wait, where it was learnt just now.
    pub fn wait(&mut self, now: Moment, line: &Line) -> Option<Duration> {
        let (at, wait) = *self.waits.get(line)?;
        if now.since(at) < BELIEVED {
            return Some(wait);
        }
        self.waits.remove(line);
        None
    }
}
