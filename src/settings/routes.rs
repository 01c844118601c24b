//! Routes by name, with an index by host and path.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use crate::name::Name;
use crate::settings::Route;
use crate::settings::RouteKind;

#[cfg(test)]
mod tests;

/// Routes by name. A request finds its route without a walk over all routes.
#[derive(Clone, Default)]
pub struct Routes {
    by_name: BTreeMap<Name, Rc<Route>>,
    /// Routes of each host, by its name in lower case.
    by_host: HashMap<Name, PathIndex>,
    /// Routes without a host.
    any_host: PathIndex,
    /// The shortest `pause` among the routes of each service.
    shortest_pauses: BTreeMap<Name, Duration>,
}

/// Routes of one host.
#[derive(Clone, Default)]
struct PathIndex {
    /// Routes by their path without trailing slashes.
    by_path: HashMap<Name, Vec<(Name, Rc<Route>)>>,
    /// Length of the longest path without trailing slashes, in bytes.
    longest: usize,
}

impl Routes {
    /// Adds a route. Returns whether it is the only one with its name, and the only
    /// one with its host and path.
    pub fn insert(&mut self, name: &Name, route: &Rc<Route>) -> bool {
        let paths = match &route.host {
            Some(host) => self.by_host.entry(lowercase(host)).or_default(),
            None => &mut self.any_host,
        };
        let is_new_path = paths.insert(name, route);
        if let Some(pause) = route.pause {
            for service in route.service.iter().chain(route.split.keys()) {
                let shortest = self.shortest_pauses.entry(service.clone());
                let shortest = shortest.or_insert(pause);
                *shortest = pause.min(*shortest);
            }
        }
        let replaced = self.by_name.insert(name.clone(), Rc::clone(route));
        is_new_path && replaced.is_none()
    }

    /// Returns the shortest pause between two events of a stream that counts as on time on
    /// the routes of a service; `None` if they set none.
    pub fn shortest_pause(&self, service: &Name) -> Option<Duration> {
        self.shortest_pauses.get(service).copied()
    }

    /// Finds the route of a path on a host. A route with exactly this path takes
    /// precedence, then the one with the longest prefix that ends at a slash, then
    /// the last by name.
    pub fn find(&self, host: Option<&str>, path: &str) -> Option<(&Name, &Rc<Route>)> {
        let of_host = host.and_then(|h| self.by_host.get(h.to_ascii_lowercase().as_str()));
        let indexes = of_host.into_iter().chain([&self.any_host]);
        indexes
            .flat_map(|index| index.matching(path))
            .max_by_key(|(name, route)| (path == route.path.as_str(), route.path.len(), *name))
    }
}

impl PathIndex {
    fn insert(&mut self, name: &Name, route: &Rc<Route>) -> bool {
        let key = route.path.trim_end_matches('/');
        self.longest = self.longest.max(key.len());
        let routes = self.by_path.entry(Name::new(key)).or_default();
        let is_same = |other: &Route| other.path == route.path && other.host == route.host;
        let is_new = !routes.iter().any(|(_, other)| is_same(other));
        routes.push((name.clone(), Rc::clone(route)));
        is_new
    }

    /// Returns the routes that match `path`. The number of lookups is bounded by the
    /// longest path of a route, however many slashes a request has.
    fn matching(&self, path: &str) -> impl Iterator<Item = (&Name, &Rc<Route>)> {
        let slashes = path.match_indices('/').map(|(i, _)| i);
        let ends = slashes.chain([path.len()]);
        let prefixes = ends.take_while(|end| *end <= self.longest);
        let candidates = prefixes.filter_map(|end| self.by_path.get(&path[..end]));
        let candidates = candidates.flatten().map(|(name, route)| (name, route));
        candidates.filter(move |(_, route)| matches_path(route, path))
    }
}

impl Deref for Routes {
    type Target = BTreeMap<Name, Rc<Route>>;

    fn deref(&self) -> &Self::Target {
        &self.by_name
    }
}

impl FromIterator<(Name, Rc<Route>)> for Routes {
    fn from_iter<I>(routes: I) -> Self
    where
        I: IntoIterator<Item = (Name, Rc<Route>)>,
    {
        let mut collected = Self::default();
        for (name, route) in routes {
            collected.insert(&name, &route);
        }
        collected
    }
}

impl fmt::Debug for Routes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.by_name.fmt(f)
    }
}

/// Returns whether `path` is that of `route`, or lies below it where the route's path
/// is a prefix. A prefix that ends with a slash begins the path, byte for byte.
fn matches_path(route: &Route, path: &str) -> bool {
    let rest = path.strip_prefix(route.path.as_str());
    match route.kind {
        _ if route.path.ends_with('/') => rest.is_some(),
        RouteKind::Model => rest.is_some_and(str::is_empty),
        RouteKind::Service => rest.is_some_and(|r| r.is_empty() || r.starts_with('/')),
    }
}

fn lowercase(host: &Name) -> Name {
    match host.bytes().any(|b| b.is_ascii_uppercase()) {
        true => Name::new(&host.to_ascii_lowercase()),
        false => host.clone(),
    }
}
