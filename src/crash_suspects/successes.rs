//! The last successes of recently used parts of prompts, and of recent requests.

use std::collections::BTreeSet;
use std::collections::HashMap;

use super::SuspectId;
use crate::clock::Timestamp;

/// The maximum number of parts, and of requests; beyond it, the earliest successes are
/// forgotten.
const MAX_IDS: usize = 4096;

/// Most requests come once only. They are kept apart, so that they don't displace parts.
#[derive(Debug, Default)]
pub struct Successes {
    parts: LastTimes,
    requests: LastTimes,
}

/// Invariant: `last` and `by_time` hold the same times, at most [`MAX_IDS`].
#[derive(Debug, Default)]
struct LastTimes {
    last: HashMap<SuspectId, Timestamp>,
    by_time: BTreeSet<(Timestamp, SuspectId)>,
}

impl Successes {
    /// Records a success.
    pub fn record(&mut self, at: Timestamp, id: SuspectId) {
        match id {
            SuspectId::Part(_) => self.parts.record(at, id),
            SuspectId::Request(_) => self.requests.record(at, id),
        }
    }

    /// Returns the time of the last success.
    pub fn last(&self, id: SuspectId) -> Option<Timestamp> {
        let times = match id {
            SuspectId::Part(_) => &self.parts,
            SuspectId::Request(_) => &self.requests,
        };
        times.last.get(&id).copied()
    }
}

impl LastTimes {
    fn record(&mut self, at: Timestamp, id: SuspectId) {
        let previous = self.last.get(&id).copied();
        if previous.is_some_and(|previous| previous >= at) {
            return;
        }
        if let Some(previous) = previous {
            self.by_time.remove(&(previous, id));
        }
        self.last.insert(id, at);
        self.by_time.insert((at, id));
        while self.by_time.len() > MAX_IDS {
            if let Some((_, earliest)) = self.by_time.pop_first() {
                self.last.remove(&earliest);
            }
        }
    }
}
