//! Connections to agents beyond the subset of an entry, opened on demand.
//!
//! [`crate::subset`] selects agents for a whole service. A request can need some of its
//! upstreams only: a stream continues at the software version that began it, and selected
//! upstreams can leave, fail, hold requests off or be cut off. If an entry reaches too few
//! of those that can run a request, it connects to the agents of some others, and closes
//! these connections when they have been idle for some time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;
use crate::subset::rendezvous_hash;

#[cfg(test)]
mod tests;

/// The number of upstreams that an entry should be able to choose from for a request.
pub const MIN_CHOICES: usize = 4;

/// The maximum number of spare connections of an entry.
pub const MAX_SPARES: usize = 128;

/// The time for which an unused spare connection is kept.
pub const IDLE_TIME: Duration = Duration::from_secs(10);

/// The time that an agent gets to accept a connection. After it, the agent counts as
/// unreachable, and its upstream is scheduled by the entry itself.
pub const CONNECT_TIME: Duration = Duration::from_millis(500);

/// How an entry reaches an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Over an open connection to its agent, or it has none.
    Open,
    /// Its agent has not accepted the connection yet.
    Connecting,
    /// Its agent does not reply to tickets.
    Silent,
    /// Its agent can't be reached.
    Lost,
    /// The entry does not connect to its agent.
    Unselected,
}

impl Reach {
    /// Returns whether requests can be sent over the connection now or soon.
    fn is_promising(self) -> bool {
        matches!(self, Self::Open | Self::Connecting)
    }
}

/// An upstream that can run a request.
#[derive(Clone, Copy, Debug)]
pub struct SpareCandidate<'a> {
    /// The upstream.
    pub name: &'a Name,
    /// Whether it is in the zone of the entry.
    pub same_zone: bool,
    /// How the entry reaches it.
    pub reach: Reach,
}

/// The spare connections of an entry.
#[derive(Debug)]
pub struct SpareLinks {
    entry: Name,
    /// When each spare connection was last needed.
    needed_at: BTreeMap<Name, Timestamp>,
}

impl SpareLinks {
    /// Creates an entry's set of connections, with none.
    pub fn new(entry: Name) -> Self {
        Self {
            entry,
            needed_at: BTreeMap::new(),
        }
    }

    /// Returns whether there is a spare connection to the agent of `upstream`.
    pub fn contains(&self, upstream: &Name) -> bool {
        self.needed_at.contains_key(upstream)
    }

    /// Returns the number of spare connections.
    pub fn len(&self) -> usize {
        self.needed_at.len()
    }

    /// Returns whether there are no spare connections.
    pub fn is_empty(&self) -> bool {
        self.needed_at.is_empty()
    }

    /// Returns how many of `candidates` are reached without spare connections.
    pub fn reached(&self, candidates: &[SpareCandidate<'_>]) -> usize {
        let reached = candidates.iter().filter(|c| !self.contains(c.name));
        reached.filter(|c| c.reach.is_promising()).count()
    }

    /// Keeps the spare connections to `candidates`, which are all the sound upstreams that can
    /// run a request, and adds others until the entry reaches `needed` of these, but at most
    /// `limit`. Returns whether any was added.
    ///
    /// As far as there are any, half of the new ones are in the entry's zone. The others
    /// follow in an order that differs by entry, which spreads the entries over the agents.
    pub fn extend(
        &mut self,
        now: Timestamp,
        needed: usize,
        limit: usize,
        candidates: &[SpareCandidate<'_>],
    ) -> bool {
        let reached = candidates.iter().filter(|c| c.reach.is_promising());
        let reached = reached.count();
        let mut spares = 0;
        for candidate in candidates {
            if let Some(needed_at) = self.needed_at.get_mut(candidate.name) {
                *needed_at = now;
                spares += 1;
            }
        }
        let missing = needed
            .saturating_sub(reached)
            .min(limit.saturating_sub(spares))
            .min(MAX_SPARES.saturating_sub(self.needed_at.len()));
        if missing == 0 {
            return false;
        }
        let mut others: Vec<&SpareCandidate<'_>> = candidates
            .iter()
            .filter(|c| c.reach == Reach::Unselected)
            .collect();
        others.sort_by_cached_key(|c| rendezvous_hash(&self.entry, c.name));
        let same_zone = others.iter().filter(|c| c.same_zone);
        let same_zone: BTreeSet<&Name> = same_zone
            .take(missing.div_ceil(2))
            .map(|c| c.name)
            .collect();
        // The sort is stable.
        others.sort_by_key(|c| !same_zone.contains(c.name));
        others.truncate(missing);
        for candidate in &others {
            self.needed_at.insert(candidate.name.clone(), now);
        }
        !others.is_empty()
    }

    /// Removes the connections that have been idle for long; `is_used` tells whether requests
    /// wait or run at an upstream. Returns whether any was removed.
    pub fn remove_idle<F>(&mut self, now: Timestamp, is_used: F) -> bool
    where
        F: Fn(&Name) -> bool,
    {
        let before = self.needed_at.len();
        self.needed_at.retain(|name, needed_at| {
            if is_used(name) {
                *needed_at = now;
            }
            now.since(*needed_at) < IDLE_TIME
        });
        self.needed_at.len() < before
    }

    /// Removes the connections for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.needed_at.retain(|name, _| keep(name));
    }
}
