//! Which discovered upstreams are there, also after the platform was away.
//!
//! Registrations may lapse while the platform is away, though their upstreams
//! live. After its return those that are missing stay for a short time, in
//! which a living upstream registers again.

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

/// The time in which living upstreams register again after the platform's
/// return: the two seconds that it states, and the time of a report.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2500);

/// The upstreams that are there.
#[derive(Debug, Default)]
pub struct Registrations {
    known: BTreeMap<Name, DiscoveredUpstream>,
    /// Upstreams that are missing since the platform's return.
    missing: BTreeMap<Name, DiscoveredUpstream>,
    away: bool,
    /// Until when missing upstreams stay.
    kept_until: Option<Timestamp>,
}

impl Registrations {
    /// No upstreams are known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the platform could not be reached.
    pub fn mark_unreachable(&mut self) {
        self.away = true;
    }

    /// Takes in all upstreams that are registered now.
    pub fn update(&mut self, now: Timestamp, listed: Vec<DiscoveredUpstream>) {
        if std::mem::take(&mut self.away) {
            self.kept_until = Some(now + REREGISTRATION_TIME);
        }
        let listed = listed.into_iter().map(|d| (d.name.clone(), d));
        let before = std::mem::replace(&mut self.known, listed.collect());
        let keeps = self.kept_until.is_some_and(|until| now < until);
        if keeps {
            self.missing.extend(before);
        }
        self.missing
            .retain(|name, _| !self.known.contains_key(name));
        self.tick(now);
    }

    /// Drops the missing upstreams once their time is over; says whether any
    /// were dropped.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        if self.kept_until.is_none_or(|until| now < until) {
            return false;
        }
        self.kept_until = None;
        !std::mem::take(&mut self.missing).is_empty()
    }

    /// When `tick` has something to do.
    pub fn next_tick(&self) -> Option<Timestamp> {
        self.kept_until
    }

    /// The upstreams that are there, with what the settings say of them.
    pub fn upstreams(&self, settings: &Settings) -> Upstreams {
        let there = self.known.values().chain(self.missing.values());
        let newest = newest(there);
        newest
            .values()
            .map(|d| (&d.name, *d))
            .filter_map(|(name, d)| Some((name.clone(), upstream(settings, d)?)))
            .collect()
    }
}

/// The latest upstream at each address. One that has crashed stays registered
/// for a while beside the one that has started in its place.
fn newest<'a, I>(there: I) -> BTreeMap<SocketAddr, &'a DiscoveredUpstream>
where
    I: Iterator<Item = &'a DiscoveredUpstream>,
{
    let mut newest: BTreeMap<SocketAddr, &DiscoveredUpstream> = BTreeMap::new();
    for discovered in there {
        let other = newest.entry(discovered.address).or_insert(discovered);
        if discovered.started > other.started {
            *other = discovered;
        }
    }
    newest
}

/// A discovered upstream; none if the settings don't name its service.
fn upstream(settings: &Settings, discovered: &DiscoveredUpstream) -> Option<Upstream> {
    let service = settings.services.get(&discovered.service)?;
    Some(Upstream {
        kind: service.kind,
        zone: discovered.zone.clone(),
        address: discovered.address,
        // Agents stand beside model engines only.
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
