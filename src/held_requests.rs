//! Which requests an entry holds, and which gives way when it is full.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Timestamp;
use crate::ids::RequestId;

#[cfg(test)]
mod tests;

/// The bounds of an entry.
#[derive(Clone, Copy, Debug)]
pub struct HeldRequestBounds {
    /// Requests at most.
    pub requests: usize,
    /// Bytes of bodies at most.
    pub bytes: u64,
}

/// Whether a request was taken in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldResult {
    /// It is held; these waiting requests of lower tiers give way for it.
    Held(Vec<RequestId>),
    /// There is no room, and none can be made.
    Full,
}

/// The requests that an entry holds.
///
/// Invariants: `waiting` holds those of `held` that were not dispatched;
/// `bytes` is the sum over `held`.
pub struct HeldRequests {
    held: HashMap<RequestId, Held>,
    waiting: BTreeSet<(u8, Timestamp, RequestId)>,
    bytes: u64,
}

struct Held {
    order: u8,
    deadline: Timestamp,
    bytes: u64,
}

impl HeldRequests {
    /// An entry that holds nothing.
    pub fn new() -> Self {
        Self {
            held: HashMap::new(),
            waiting: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// The number of requests held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Takes in a request whose body has `bytes`. Where there is no room,
    /// waiting requests of lower tiers give way, the lowest tier and then the
    /// latest deadline first; they are no longer held.
    pub fn insert(
        &mut self,
        bounds: HeldRequestBounds,
        request: RequestId,
        order: u8,
        deadline: Timestamp,
        bytes: u64,
    ) -> HoldResult {
        let Some(yielding) = self.yielding(bounds, order, bytes) else {
            return HoldResult::Full;
        };
        let yielding: Vec<RequestId> = yielding.into_iter().map(|(_, _, r)| r).collect();
        yielding.iter().for_each(|r| self.release(*r));
        let held = Held {
            order,
            deadline,
            bytes,
        };
        self.held.insert(request, held);
        self.waiting.insert((order, deadline, request));
        self.bytes += bytes;
        HoldResult::Held(yielding)
    }

    /// Notes that a request was dispatched and can no longer give way.
    pub fn mark_dispatched(&mut self, request: RequestId) {
        if let Some(held) = self.held.get(&request) {
            self.waiting.remove(&(held.order, held.deadline, request));
        }
    }

    /// Notes that a request, dispatched before, waits again.
    pub fn mark_waiting(&mut self, request: RequestId) {
        if let Some(held) = self.held.get(&request) {
            self.waiting.insert((held.order, held.deadline, request));
        }
    }

    /// Notes that a request has ended.
    pub fn release(&mut self, request: RequestId) {
        if let Some(held) = self.held.remove(&request) {
            self.waiting.remove(&(held.order, held.deadline, request));
            self.bytes -= held.bytes;
        }
    }

    /// The waiting requests that give way for one of tier `order`; none if
    /// room can't be made.
    fn yielding(
        &self,
        bounds: HeldRequestBounds,
        order: u8,
        bytes: u64,
    ) -> Option<Vec<(u8, Timestamp, RequestId)>> {
        let mut count = self.held.len() + 1;
        let mut total = self.bytes + bytes;
        let mut yielding = Vec::new();
        let mut candidates = self.waiting.iter().rev();
        while count > bounds.requests || total > bounds.bytes {
            let key = candidates.next().filter(|(lower, _, _)| *lower > order)?;
            count -= 1;
            total -= self.held.get(&key.2).map_or(0, |h| h.bytes);
            yielding.push(*key);
        }
        Some(yielding)
    }
}

impl Default for HeldRequests {
    fn default() -> Self {
        Self::new()
    }
}
