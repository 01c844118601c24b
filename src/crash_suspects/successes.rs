//! The last successes of recently used parts of prompts.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Timestamp;
use crate::prompt_parts::PartId;

/// The maximum number of parts; beyond it, the earliest successes are forgotten.
const MAX_PARTS: usize = 4096;

/// Invariant: `last` and `by_time` hold the same successes, at most [`MAX_PARTS`].
#[derive(Debug, Default)]
pub struct Successes {
    last: HashMap<PartId, Timestamp>,
    by_time: BTreeSet<(Timestamp, PartId)>,
}

impl Successes {
    /// Records a success.
    pub fn record(&mut self, at: Timestamp, part: PartId) {
        let previous = self.last.get(&part).copied();
        if previous.is_some_and(|previous| previous >= at) {
            return;
        }
        if let Some(previous) = previous {
            self.by_time.remove(&(previous, part));
        }
        self.last.insert(part, at);
        self.by_time.insert((at, part));
        while self.by_time.len() > MAX_PARTS {
            if let Some((_, earliest)) = self.by_time.pop_first() {
                self.last.remove(&earliest);
            }
        }
    }

    /// Returns the time of the last success.
    pub fn last(&self, part: PartId) -> Option<Timestamp> {
        self.last.get(&part).copied()
    }
}
