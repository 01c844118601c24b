//! What an entry concludes from the lagging list of hosts.
//!
//! A few entries a zone, chosen by rendezvous hashing over the list, watch
//! the platform for all others, so that its load does not grow with the
//! fleet. Entries that see different lists may choose different watchers; a
//! watcher too many costs calls, and one too few is covered by the others.

use std::collections::BTreeSet;

use crate::claims::Digest;
use crate::host_list::Host;
use crate::host_list::HostState;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Watchers in each availability zone.
pub const WATCHERS_PER_ZONE: usize = 2;

/// What the list says that concerns an entry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    /// Whether this entry watches the platform for the others.
    pub watches: bool,
    /// Hosts that are about to be taken away.
    pub leaving: BTreeSet<Name>,
}

impl Membership {
    /// An entry without a list of hosts: it watches for itself.
    pub fn single_entry() -> Self {
        Self {
            watches: true,
            leaving: BTreeSet::new(),
        }
    }

    /// Reads the list as the entry `name`. `is_entry` tells entries from
    /// other hosts. An entry that the list does not hold yet watches too.
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
        peers.sort_by_cached_key(|peer| rank(zone, peer));
        let listed = peers.contains(&name);
        let chosen = peers.iter().take(WATCHERS_PER_ZONE).any(|p| *p == name);
        Self {
            watches: chosen || !listed,
            leaving: leaving.map(|h| h.name.clone()).collect(),
        }
    }
}

/// The rendezvous hash of a host for the watch over a zone.
fn rank(zone: &Name, host: &Name) -> Digest {
    Digest::new(&[zone.as_bytes(), host.as_bytes()])
}
