//! Tracks the discovered upstreams, also across outages of the platform.
//!
//! Registrations can expire while the platform is unreachable, although their
//! upstreams are still running. After an outage, upstreams without a
//! registration are kept for a short time in which a running upstream
//! registers again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::directory::Upstreams;
use crate::discovery::DiscoveredUpstream;
use crate::name::Name;
use crate::settings::Fencing;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;

#[cfg(test)]
mod tests;

/// The time in which running upstreams register again after an outage of the
/// platform: the two seconds that the platform specifies, plus half a second
/// for the registration to be reported.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2500);

/// The registered upstreams, and those kept after an outage of the platform.
#[derive(Debug, Default)]
pub struct Registrations {
    registered: BTreeMap<Name, DiscoveredUpstream>,
    /// Upstreams whose registration is missing since the last outage.
    missing: BTreeMap<Name, DiscoveredUpstream>,
    /// Whether the platform has been unreachable since the last update.
    unreachable: bool,
    /// Until when the missing upstreams are kept; `None` outside of that time.
    keep_until: Option<Timestamp>,
}

impl Registrations {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the platform can't be reached.
    pub fn mark_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// Replaces the registered upstreams with `listed`. For
    /// [`REREGISTRATION_TIME`] after an outage, upstreams that are not in
    /// `listed` are kept.
    pub fn update(&mut self, now: Timestamp, listed: Vec<DiscoveredUpstream>) {
        if std::mem::take(&mut self.unreachable) {
            self.keep_until = Some(now + REREGISTRATION_TIME);
        }
        let listed = listed.into_iter().map(|d| (d.name.clone(), d));
        let before = std::mem::replace(&mut self.registered, listed.collect());
        let keep_missing = self.keep_until.is_some_and(|until| now < until);
        if keep_missing {
            self.missing.extend(before);
        }
        self.missing
            .retain(|name, _| !self.registered.contains_key(name));
        self.tick(now);
    }

    /// Drops the missing upstreams once their time has elapsed. Returns whether
    /// any were dropped.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        if self.keep_until.is_none_or(|until| now < until) {
            return false;
        }
        self.keep_until = None;
        !std::mem::take(&mut self.missing).is_empty()
    }

    /// Returns when `tick` is due next.
    pub fn next_tick(&self) -> Option<Timestamp> {
        self.keep_until
    }

    /// Returns the registered and kept upstreams, with the properties that the
    /// settings give their services.
    pub fn upstreams(&self, settings: &Settings) -> Upstreams {
        let candidates = self.registered.values().chain(self.missing.values());
        let latest = latest_at_each_address(candidates);
        latest
            .values()
            .map(|d| (&d.name, *d))
            .filter_map(|(name, d)| Some((name.clone(), to_upstream(settings, d)?)))
            .collect()
    }
}

/// Returns the upstream with the latest start at each address. A crashed
/// upstream stays registered for a while after its replacement has started at
/// the same address.
fn latest_at_each_address<'a, I>(candidates: I) -> BTreeMap<SocketAddr, &'a DiscoveredUpstream>
where
    I: Iterator<Item = &'a DiscoveredUpstream>,
{
    let mut latest: BTreeMap<SocketAddr, &DiscoveredUpstream> = BTreeMap::new();
    for discovered in candidates {
        let other = latest.entry(discovered.address).or_insert(discovered);
        if discovered.started > other.started {
            *other = discovered;
        }
    }
    latest
}

/// Combines a discovered upstream with the settings of its service. Returns
/// `None` if the settings don't define the service.
fn to_upstream(settings: &Settings, discovered: &DiscoveredUpstream) -> Option<Upstream> {
    let service = settings.services.get(&discovered.service)?;
    Some(Upstream {
        kind: service.kind,
        zone: discovered.zone.clone(),
        address: discovered.address,
        // Only model engines have agents.
        agent: discovered
            .agent
            .filter(|_| service.kind == UpstreamKind::Model),
        instance: discovered.instance.clone(),
        leaving: discovered.leaving,
        event_tokens: service.event_tokens,
        serves: vec![discovered.service.clone()],
        loads: Vec::new(),
        slots: discovered.slots.unwrap_or(service.slots),
        cache_tokens: 0,
        fencing: Fencing::Ignored,
    })
}
