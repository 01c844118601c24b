//! Selection of the agents to which an entry keeps connections.
//!
//! A full mesh would need too much memory and traffic in a large fleet. For each
//! model and service, an entry connects to a fixed number of agents, selected by
//! rendezvous hashing of the names of entry and upstream. Each agent thus gets a
//! similar number of entries, and a change of the fleet moves few connections.
//! If a model or service has no more agents than that, the entry connects to all
//! of them. Where a request can run at few of the selected upstreams, [`crate::spare_links`]
//! adds to them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::claims::Digest;
use crate::name::Name;
use crate::settings::Upstream;

#[cfg(test)]
mod tests;

/// Returns the upstreams to which `entry` in `zone` connects through their
/// agents: at most `links` for each model and service. If there are more, half of
/// `links` come from its own zone, as far as it has that many, and the rest from
/// any zone. Upstreams that are leaving get no requests and are not selected.
pub fn select_upstreams(
    entry: &Name,
    zone: &Name,
    upstreams: &BTreeMap<Name, Upstream>,
    links: usize,
) -> BTreeSet<Name> {
    let mut by_service: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
    for (name, upstream) in upstreams.iter().filter(|(_, u)| !u.leaving) {
        for service in &upstream.serves {
            by_service.entry(service).or_default().push(name);
        }
    }
    let mut selected = BTreeSet::new();
    for mut names in by_service.into_values() {
        if names.len() > links {
            names.sort_by_cached_key(|name| rendezvous_hash(entry, name));
            let in_zone = |name: &&Name| upstreams[*name].zone == *zone;
            let same_zone: Vec<&Name> = names
                .iter()
                .copied()
                .filter(in_zone)
                .take(links / 2)
                .collect();
            names.retain(|name| !same_zone.contains(name));
            names.splice(0..0, same_zone);
            names.truncate(links);
        }
        selected.extend(names.into_iter().cloned());
    }
    selected
}

/// Returns the position of `upstream` in the order of `entry`.
pub(crate) fn rendezvous_hash(entry: &Name, upstream: &Name) -> Digest {
    Digest::new(&[entry.as_bytes(), upstream.as_bytes()])
}
