//! The agents to which an entry keeps connections.
//!
//! A full mesh would not fit a large fleet's memory and traffic. For every
//! model and service an entry connects to a fixed number of agents, chosen by
//! rendezvous hashing over its own name, so that each agent gets a like
//! number of entries, and a change of the fleet moves few connections. Where
//! a model has no more agents than that, the entry connects to all of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::claims::Digest;
use crate::name::Name;
use crate::settings::Upstream;

#[cfg(test)]
mod tests;

/// The upstreams to whose agents the entry `me` in `zone` connects, at most
/// `links` for each model and service, of which half are in its own zone as
/// far as there are any.
pub fn choose(
    me: &Name,
    zone: &Name,
    upstreams: &BTreeMap<Name, Upstream>,
    links: usize,
) -> BTreeSet<Name> {
    let mut by_target: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
    for (name, upstream) in upstreams {
        for target in &upstream.serves {
            by_target.entry(target).or_default().push(name);
        }
    }
    let mut chosen = BTreeSet::new();
    for mut names in by_target.into_values() {
        if names.len() > links {
            names.sort_by_cached_key(|name| rank(me, name));
            let near = |name: &&Name| upstreams[*name].zone == *zone;
            let own: Vec<&Name> = names.iter().copied().filter(near).take(links / 2).collect();
            names.retain(|name| !own.contains(name));
            names.splice(0..0, own);
            names.truncate(links);
        }
        chosen.extend(names.into_iter().cloned());
    }
    chosen
}

fn rank(entry: &Name, upstream: &Name) -> Digest {
    Digest::new(&[entry.as_bytes(), upstream.as_bytes()])
}
