//! When versions of services appeared.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::directory::SoftwareVersion;
use crate::directory::Upstreams;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Time in which a version that appears beside another one gets nothing, so that an order
/// for it is known before its first request.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// When the listed versions of each service appeared.
#[derive(Debug, Default)]
pub struct Appearances {
    /// The time of appearance of the versions that appeared beside another one; `None` for
    /// those that were there first.
    services: BTreeMap<Name, BTreeMap<SoftwareVersion, Option<Timestamp>>>,
}

impl Appearances {
    /// Records the listed upstreams.
    pub fn observe(&mut self, now: Timestamp, upstreams: &Upstreams) {
        let mut listed: BTreeMap<Name, BTreeSet<SoftwareVersion>> = BTreeMap::new();
        for upstream in upstreams.values() {
            for service in &upstream.serves {
                let versions = listed.entry(service.clone()).or_default();
                versions.insert(upstream.version.clone());
            }
        }
        let earlier = std::mem::take(&mut self.services);
        for (service, versions) in listed {
            let known = earlier.get(&service);
            let appeared = versions.into_iter().map(|version| {
                let at = match known {
                    Some(known) => known.get(&version).copied().unwrap_or(Some(now)),
                    None => None,
                };
                (version, at)
            });
            self.services.insert(service, appeared.collect());
        }
    }

    /// Returns the versions of a service that get nothing yet.
    pub fn held(&self, now: Timestamp, service: &Name) -> Vec<SoftwareVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        let held = versions.filter(|(_, at)| at.is_some_and(|at| now.since(at) < HOLD_TIME));
        held.map(|(version, _)| version.clone()).collect()
    }
}
