//! Requests held by an entry, and the choice of those to evict when it is
//! full.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Timestamp;
use crate::ids::RequestId;

#[cfg(test)]
mod tests;

/// Bounds on the requests held by one entry.
#[derive(Clone, Copy, Debug)]
pub struct HeldRequestBounds {
    /// Greatest number of requests.
    pub requests: usize,
    /// Greatest total size of the bodies, in bytes.
    pub bytes: u64,
}

/// Result of inserting a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldResult {
    /// The request is held; these waiting requests of lower tiers were
    /// evicted.
    Held(Vec<RequestId>),
    /// The entry is full, and evictions can't make enough room.
    Full,
}

/// The requests held by one entry.
///
/// Invariants: `waiting` contains the requests of `held` that are not
/// sent; `bytes` is the sum of the bytes over `held`.
pub struct HeldRequests {
    held: HashMap<RequestId, HeldRequest>,
    waiting: BTreeSet<(u8, Timestamp, RequestId)>,
    bytes: u64,
}

struct HeldRequest {
    rank: u8,
    deadline: Timestamp,
    bytes: u64,
}

impl HeldRequests {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self {
            held: HashMap::new(),
            waiting: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Returns the number of requests held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Inserts a waiting request with a body of `bytes` bytes. If the entry is
    /// full, waiting requests of lower tiers are evicted, the lowest tier
    /// first and within a tier the latest deadline first.
    pub fn insert(
        &mut self,
        bounds: HeldRequestBounds,
        request: RequestId,
        rank: u8,
        deadline: Timestamp,
        bytes: u64,
    ) -> HoldResult {
        let Some(evicted) = self.select_evictions(bounds, rank, bytes) else {
            return HoldResult::Full;
        };
        let evicted: Vec<RequestId> = evicted.into_iter().map(|(_, _, r)| r).collect();
        evicted.iter().for_each(|r| self.release(*r));
        let held = HeldRequest {
            rank,
            deadline,
            bytes,
        };
        self.held.insert(request, held);
        self.waiting.insert((rank, deadline, request));
        self.bytes += bytes;
        HoldResult::Held(evicted)
    }

    /// Marks a request as sent, so that it can't be evicted.
    pub fn mark_sent(&mut self, request: RequestId) {
        if let Some(held) = self.held.get(&request) {
            self.waiting.remove(&(held.rank, held.deadline, request));
        }
    }

    /// Marks a sent request as waiting again, so that it can be evicted.
    pub fn mark_waiting(&mut self, request: RequestId) {
        if let Some(held) = self.held.get(&request) {
            self.waiting.insert((held.rank, held.deadline, request));
        }
    }

    /// Removes a request that has ended.
    pub fn release(&mut self, request: RequestId) {
        if let Some(held) = self.held.remove(&request) {
            self.waiting.remove(&(held.rank, held.deadline, request));
            self.bytes -= held.bytes;
        }
    }

    /// Selects the waiting requests to evict for one of this rank.
    /// Returns `None` if evictions can't make enough room.
    fn select_evictions(
        &self,
        bounds: HeldRequestBounds,
        rank: u8,
        bytes: u64,
    ) -> Option<Vec<(u8, Timestamp, RequestId)>> {
        let mut count = self.held.len() + 1;
        let mut total = self.bytes + bytes;
        let mut evicted = Vec::new();
        let mut candidates = self.waiting.iter().rev();
        while count > bounds.requests || total > bounds.bytes {
            let key = candidates
                .next()
                .filter(|(victim_rank, _, _)| *victim_rank > rank)?;
            count -= 1;
            total -= self.held.get(&key.2).map_or(0, |h| h.bytes);
            evicted.push(*key);
        }
        Some(evicted)
    }
}

impl Default for HeldRequests {
    fn default() -> Self {
        Self::new()
    }
}
