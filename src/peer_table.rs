//! What an entry knows of the other entries: which may be running, and which of them does
//! a job that only one does.
//!
//! Each entry sends reports to all others. One that has been silent for a short time can't
//! be reached; only after a long one is it taken for stopped, since it may be cut off and
//! still serve callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use crate::clock::Timestamp;
use crate::ids::Incarnation;
use crate::ids::id_of_digest;
use crate::quota::REPORT_TIMEOUT;

#[cfg(test)]
mod tests;

/// Time without a report after which an entry counts as stopped.
const STOPPED_TIME: Duration = Duration::from_secs(300);

/// The other entries, by address.
#[derive(Debug)]
pub struct PeerTable {
    /// The address of this entry.
    own: SocketAddr,
    /// The hash of that address.
    own_hash: u64,
    peers: BTreeMap<SocketAddr, Peer>,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// The hash of its address.
    hash: u64,
    /// When it last sent a report, or became known.
    last_heard: Timestamp,
    /// Its incarnation; `None` before its first report.
    run: Option<Incarnation>,
    /// The incarnation that has announced its stop.
    leaving: Option<Incarnation>,
}

impl Peer {
    fn is_reachable(&self, now: Timestamp) -> bool {
        now.since(self.last_heard) < REPORT_TIMEOUT
    }

    fn may_be_running(&self, now: Timestamp) -> bool {
        self.leaving.is_none() && now.since(self.last_heard) < STOPPED_TIME
    }
}

impl PeerTable {
    /// Creates the table of the entry at `own`, which knows no other.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            own_hash: hash(own.to_string().as_bytes()),
            peers: BTreeMap::new(),
        }
    }

    /// Returns the address of this entry.
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Adds an entry. Returns whether it is another one that was not known.
    pub fn add(&mut self, now: Timestamp, peer: SocketAddr) -> bool {
        if peer == self.own || self.peers.contains_key(&peer) {
            return false;
        }
        let added = Peer {
            hash: hash(peer.to_string().as_bytes()),
            last_heard: now,
            run: None,
            leaving: None,
        };
        self.peers.insert(peer, added);
        true
    }

    /// Records a report of an entry that is known. Returns whether it is the first one of
    /// its process.
    pub fn record_report(&mut self, now: Timestamp, peer: SocketAddr, from: Incarnation) -> bool {
        let Some(peer) = self.peers.get_mut(&peer) else {
            return false;
        };
        peer.last_heard = now;
        // A new process has taken the place of one that was stopping.
        peer.leaving = peer.leaving.filter(|leaving| *leaving == from);
        peer.run.replace(from) != Some(from)
    }

    /// Records that an entry has announced its stop.
    pub fn record_leaving(&mut self, peer: SocketAddr, from: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.leaving = Some(from);
        }
    }

    /// Returns the number of all entries that were ever known, with this one.
    pub fn entries(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the addresses of all other entries.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the other entries that have not been silent.
    pub fn reachable(&self, now: Timestamp) -> Vec<SocketAddr> {
        let reachable = self.peers.iter().filter(|(_, p)| p.is_reachable(now));
        reachable.map(|(address, _)| *address).collect()
    }

    /// Returns the other entries that have not been silent, with their incarnations.
    pub fn reachable_runs(&self, now: Timestamp) -> Vec<(SocketAddr, Option<Incarnation>)> {
        let reachable = self.peers.iter().filter(|(_, p)| p.is_reachable(now));
        reachable.map(|(address, p)| (*address, p.run)).collect()
    }

    /// Returns the part of the entries that this one can reach, of those that may be
    /// running and have not announced their stop.
    pub fn reachable_fraction(&self, now: Timestamp) -> f64 {
        let running = self.peers.values().filter(|p| p.may_be_running(now));
        let (mut reachable, mut all) = (1, 1);
        for peer in running {
            reachable += u32::from(peer.is_reachable(now));
            all += 1;
        }
        f64::from(reachable) / f64::from(all)
    }

    /// Returns whether this entry comes before all others that can be reached in the order
    /// of a key.
    pub fn is_closest(&self, now: Timestamp, key: &[u8]) -> bool {
        let key = hash(key);
        let own_order = order(key, self.own_hash);
        let mut reachable = self.peers.values().filter(|p| p.is_reachable(now));
        reachable.all(|p| own_order < order(key, p.hash))
    }

    /// Returns the other entry that does the job of a key, or `None` if this one does: the
    /// first in the order of the key that can be reached and has not announced its stop.
    /// `is_leaving` says whether this one has.
    pub fn holder(&self, now: Timestamp, key: &[u8], is_leaving: bool) -> Option<SocketAddr> {
        let key = hash(key);
        let staying = |peer: &Peer| peer.is_reachable(now) && peer.leaving.is_none();
        let peers = self.peers.iter().filter(|(_, p)| staying(p));
        let peers = peers.map(|(address, p)| (order(key, p.hash), *address));
        let (first, address) = peers.min()?;
        let is_own = !is_leaving && order(key, self.own_hash) < first;
        (!is_own).then_some(address)
    }

    /// Returns the entries to which this one forwards what it hears on a key: its children in
    /// the tree over all reachable entries in the order of the key. The first entry is the
    /// root, and each has `fanout` children at most.
    pub fn children(&self, now: Timestamp, key: &[u8], fanout: usize) -> Vec<SocketAddr> {
        let key = hash(key);
        let own_order = order(key, self.own_hash);
        let reachable = self.peers.iter().filter(|(_, p)| p.is_reachable(now));
        let mut ordered: Vec<(u64, SocketAddr)> = reachable
            .map(|(address, p)| (order(key, p.hash), *address))
            .collect();
        ordered.sort_unstable();
        let position = ordered.partition_point(|(o, _)| *o < own_order);
        // `ordered` lacks this entry, so the entry at position `i` behind it has index `i - 1`.
        let children = ordered.iter().skip(position * fanout).take(fanout);
        children.map(|(_, address)| *address).collect()
    }
}

/// Returns a hash that is the same at all entries.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    id_of_digest(&Sha256::digest(bytes))
}

/// Returns the position of an entry in the order of a key (rendezvous hashing). Mixes the
/// hashes with the finalizer of SplitMix64.
pub(crate) fn order(key: u64, entry: u64) -> u64 {
    let mut mixed = key ^ entry;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
