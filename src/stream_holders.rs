//! Which processes keep the records of where streams began.
//!
//! Entries can all end at the same time, while agents go on, and an entry that has just
//! started knows the agents from the directory. So agents keep the records, and other
//! entries do beside several versions, when more depends on them. The archivist of a stream
//! then also writes its record to the store, for the end of all processes.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::peer_table::hash;
use crate::peer_table::order;
use crate::stream_archive::MAX_SHARDS;
use crate::stream_archive::shards_for;
use crate::stream_origins::StreamId;

#[cfg(test)]
mod tests;

/// The number of agents, or of other entries where no agents are known, that get the record of
/// a stream while its service has one version. It is needed if the entry dies: others can't tell
/// its death from a cut, behind which it may know of a second version.
const SPARE_COPIES: usize = 2;

/// The number of agents and of other entries that get the record of a stream beside
/// several versions.
const AGENT_COPIES: usize = 3;
const ENTRY_COPIES: usize = 2;

/// The number of other entries that get a record where no agents are known.
const LONE_ENTRY_COPIES: usize = 4;

/// The number of agents and of other entries that are asked for a record. They are more
/// than keep it, because entries may disagree on which are running.
const ASKED_AGENTS: usize = 6;
const ASKED_ENTRIES: usize = 5;

/// The number of other entries that are asked where no agents are known.
const ASKED_LONE_ENTRIES: usize = 8;

/// A process that can keep records.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holder {
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Tells a process from the one before it at the same address, as far as is known.
    pub run: u64,
}

/// Processes in an order that differs by stream and is the same at all entries
/// (rendezvous hashing).
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Ring {
    /// The processes with the hashes of their addresses, ordered by address, which is
    /// unique.
    holders: Vec<(u64, Holder)>,
}

impl Ring {
    /// Replaces the processes. Returns whether they have changed.
    fn set<I>(&mut self, holders: I) -> bool
    where
        I: IntoIterator<Item = Holder>,
    {
        let mut holders: Vec<Holder> = holders.into_iter().collect();
        holders.sort_unstable();
        holders.dedup_by_key(|h| h.address);
        if self.holders.iter().map(|(_, h)| h).eq(&holders) {
            return false;
        }
        let hash_of = |h: &Holder| hash(h.address.to_string().as_bytes());
        self.holders = holders.into_iter().map(|h| (hash_of(&h), h)).collect();
        true
    }

    /// Returns the first `count` processes in the order of a stream.
    fn first(&self, stream: Option<StreamId>, count: usize) -> Vec<Holder> {
        let key = stream.map_or(0, |s| s.0);
        let mut first: Vec<(u64, Holder)> = Vec::with_capacity(count + 1);
        for (hash, holder) in &self.holders {
            let place = (order(key, *hash), *holder);
            if first.len() == count && first.last().is_none_or(|last| *last < place) {
                continue;
            }
            first.insert(first.partition_point(|f| *f < place), place);
            first.truncate(count);
        }
        first.into_iter().map(|(_, holder)| holder).collect()
    }
}

/// The processes that can keep records for an entry.
#[derive(Clone, Debug)]
pub struct Holders {
    agents: Ring,
    /// The other entries.
    entries: Ring,
    /// This entry; `None` if others can't reach it.
    own: Option<Holder>,
    /// The entry that writes each shard of the archive; empty before `own` is set.
    archivists: Vec<Holder>,
    /// The number of shards, a power of two. It grows with the site, and is kept when entries
    /// end, since records are where they were written.
    shards: u32,
}

impl Holders {
    /// Creates the empty set of an entry that starts.
    pub fn new() -> Self {
        Self {
            agents: Ring::default(),
            entries: Ring::default(),
            own: None,
            archivists: Vec::new(),
            shards: 1,
        }
    }

    /// Replaces the agents. Returns whether they have changed.
    pub fn set_agents<I>(&mut self, agents: I) -> bool
    where
        I: IntoIterator<Item = Holder>,
    {
        self.agents.set(agents)
    }

    /// Replaces the other entries. Returns whether they have changed.
    pub fn set_entries<I>(&mut self, entries: I) -> bool
    where
        I: IntoIterator<Item = Holder>,
    {
        let has_changed = self.entries.set(entries);
        if has_changed {
            self.raise_shards(shards_for(self.entries.holders.len() + 1));
            self.assign_shards();
        }
        has_changed
    }

    /// Sets what this entry is to others.
    pub fn set_own(&mut self, own: Holder) {
        self.own = Some(own);
        self.assign_shards();
    }

    /// Raises the number of shards to that of a stored archive.
    pub fn raise_shards(&mut self, shards: u32) {
        if shards > self.shards && shards <= MAX_SHARDS && shards.is_power_of_two() {
            self.shards = shards;
            self.assign_shards();
        }
    }

    /// Returns the number of shards of the archive.
    pub fn shards(&self) -> u32 {
        self.shards
    }

    /// Returns the shard of the archive that has the record of a stream.
    pub fn shard(&self, stream: StreamId) -> u32 {
        // Always below the number of shards, which is far below 2^32.
        (stream.0 % u64::from(self.shards)) as u32
    }

    /// Assigns each shard to the first entry in the order of the shard. An entry that knows no other
    /// one assigns all to itself only if there is one: others are about to be known.
    fn assign_shards(&mut self) {
        let Some(own) = self
            .own
            .filter(|_| self.shards == 1 || !self.entries.holders.is_empty())
        else {
            self.archivists.clear();
            return;
        };
        let mut entries = self.entries.clone();
        entries.set(self.entries.holders.iter().map(|(_, h)| *h).chain([own]));
        let first = |shard| {
            let key = hash(format!("archive {shard}").as_bytes());
            entries.first(Some(StreamId(key)), 1)
        };
        self.archivists = (0..self.shards).flat_map(first).collect();
    }

    /// Returns the entry that archives the record of a stream, which can be this one.
    pub fn archivist(&self, stream: StreamId) -> Option<Holder> {
        self.archivists.get(self.shard(stream) as usize).copied()
    }

    /// Returns the entry that writes each shard of the archive; none before that is known.
    pub fn archivists(&self) -> &[Holder] {
        &self.archivists
    }

    /// Returns whether a process is this entry.
    pub fn is_this_entry(&self, holder: &Holder) -> bool {
        self.own.as_ref() == Some(holder)
    }

    /// Returns whether this entry archives the record of a stream.
    pub fn is_archivist(&self, stream: StreamId) -> bool {
        self.own.is_some() && self.archivist(stream) == self.own
    }

    /// Returns the shards that this entry writes.
    pub fn own_shards(&self) -> BTreeSet<u32> {
        let shards = (0..).zip(&self.archivists);
        let own = shards.filter(|(_, archivist)| Some(**archivist) == self.own);
        own.map(|(shard, _)| shard).collect()
    }

    /// Returns the processes that are to keep the record of a stream. `is_mixed` says
    /// whether its service has several versions.
    pub fn keepers(&self, stream: StreamId, is_mixed: bool) -> Vec<Holder> {
        let has_agents = !self.agents.holders.is_empty();
        let (agents, entries) = match (is_mixed, has_agents) {
            (true, true) => (AGENT_COPIES, ENTRY_COPIES),
            (true, false) => (0, LONE_ENTRY_COPIES),
            (false, true) => (SPARE_COPIES, 0),
            (false, false) => (0, SPARE_COPIES),
        };
        let mut keepers = self.agents.first(Some(stream), agents);
        keepers.extend(self.entries.first(Some(stream), entries));
        let archivist = self.archivist(stream).filter(|_| is_mixed);
        keepers.extend(archivist.filter(|a| !keepers.contains(a)));
        keepers
    }

    /// Returns the agents that are asked for the record of a stream.
    pub fn asked_agents(&self, stream: Option<StreamId>) -> Vec<SocketAddr> {
        let asked = self.agents.first(stream, ASKED_AGENTS);
        asked.into_iter().map(|h| h.address).collect()
    }

    /// Returns the other entries that are asked for the record of a stream.
    pub fn asked_entries(&self, stream: Option<StreamId>) -> Vec<SocketAddr> {
        let count = match self.agents.holders.is_empty() {
            true => ASKED_LONE_ENTRIES,
            false => ASKED_ENTRIES,
        };
        let mut asked = self.entries.first(stream, count);
        let archivist = stream.and_then(|s| self.archivist(s));
        let other = archivist.filter(|a| Some(*a) != self.own && !asked.contains(a));
        asked.extend(other);
        asked.into_iter().map(|h| h.address).collect()
    }
}

impl Default for Holders {
    fn default() -> Self {
        Self::new()
    }
}
