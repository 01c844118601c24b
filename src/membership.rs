//! Derives the watchers of the platform and the leaving hosts from the host
//! list.
//!
//! A few entries in each zone, selected by rendezvous hashing over the list,
//! watch the platform for all others, so that the platform's load does not grow
//! with the fleet. The list lags, so entries can see different lists and select
//! different watchers. A surplus watcher only costs additional calls; a missing
//! one is covered by the remaining watchers.

use std::collections::BTreeSet;

use crate::claims::Digest;
use crate::host_list::Host;
use crate::host_list::HostState;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// The number of watchers in each availability zone.
pub const WATCHERS_PER_ZONE: usize = 2;

/// What the host list implies for one entry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    /// Whether this entry watches the platform for the others.
    pub is_watcher: bool,
    /// Hosts that are about to be removed.
    pub leaving: BTreeSet<Name>,
}

impl Membership {
    /// Returns the membership of an entry without a host list, which watches
    /// the platform for itself.
    pub fn single_entry() -> Self {
        Self {
            is_watcher: true,
            leaving: BTreeSet::new(),
        }
    }

    /// Derives the membership of the entry `name` from the list. `is_entry`
    /// distinguishes entries from other hosts. An entry that is not on the
    /// list yet is a watcher.
    pub fn new<F>(name: &Name, zone: &Name, hosts: &[Host], is_entry: F) -> Self
    where
        F: Fn(&Host) -> bool,
    {
        let leaving = hosts.iter().filter(|h| h.state == HostState::Leaving);
        let mut peers: Vec<&Name> = hosts
            .iter()
            .filter(|h| h.state == HostState::Live && h.zone == *zone && is_entry(h))
            .map(|h| &h.name)
            .collect();
        peers.sort_by_cached_key(|peer| watcher_rank(zone, peer));
        let listed = peers.contains(&name);
        let selected = peers.iter().take(WATCHERS_PER_ZONE).any(|p| *p == name);
        Self {
            is_watcher: selected || !listed,
            leaving: leaving.map(|h| h.name.clone()).collect(),
        }
    }
}

/// Returns the rendezvous hash of a host for a zone. The hosts with the lowest
/// hashes are the watchers.
fn watcher_rank(zone: &Name, host: &Name) -> Digest {
    Digest::new(&[zone.as_bytes(), host.as_bytes()])
}
