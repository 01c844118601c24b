//! Tracks the discovered upstreams, also across outages of the platform.
//!
//! Registrations can expire while the platform is unreachable, although their
//! upstreams are still running. After an outage that was long enough for that,
//! upstreams without a registration are kept for a short time in which a running
//! upstream registers again. After a shorter one, a missing registration means that
//! its upstream has left.
//!
//! A platform that was restored from an older copy can also list upstreams that
//! have left since, or list them as not leaving yet. A process does not go back
//! on what it knew: an upstream that leaves keeps leaving until its end, and one
//! whose registration was removed shortly before the restore gets no work until
//! it is seen to be alive. Its registration then changes, or is not removed although
//! the platform removes those of silent upstreams.

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
/// platform: the two seconds that the platform specifies, plus a margin for the
/// registration to be reported.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2200);

/// The time for which a removed registration is remembered. It is several times
/// the age of the copies from which a platform is restored.
const REMOVAL_MEMORY: Duration = Duration::from_secs(30);

/// The registered upstreams, and those kept after an outage of the platform.
#[derive(Debug, Default)]
pub struct Registrations {
    registered: BTreeMap<Name, DiscoveredUpstream>,
    /// The upstreams whose registrations were removed recently, with the times.
    removed: BTreeMap<Name, (DiscoveredUpstream, Timestamp)>,
    /// The removed upstreams that an older copy of the platform's state lists again,
    /// as it lists them.
    outdated: BTreeMap<Name, DiscoveredUpstream>,
    /// Until when they stay so if they are listed unchanged; `None` if there are none.
    outdated_until: Option<Timestamp>,
    /// Whether the platform was restored from an older copy since the last update.
    restored: bool,
    /// Upstreams whose registration is missing since the last outage.
    missing: BTreeMap<Name, DiscoveredUpstream>,
    /// Whether the platform has been unreachable since the last update.
    unreachable: bool,
    /// When the platform last answered.
    last_contact: Timestamp,
    /// The shortest time without the platform after which registrations can have
    /// expired.
    shortest_lapse: Duration,
    /// The time with the platform after which the registration of a silent upstream is certain
    /// to have expired; `None` if it never is.
    longest_lapse: Option<Duration>,
    /// Until when the missing upstreams are kept; `None` outside of that time.
    keep_until: Option<Timestamp>,
}

impl Registrations {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the shortest time without the platform after which registrations of
    /// running upstreams can have expired. Without it, any time is enough.
    pub fn with_shortest_lapse(mut self, shortest_lapse: Duration) -> Self {
        self.shortest_lapse = shortest_lapse;
        self
    }

    /// Sets the time with the platform after which the registration of a silent upstream is
    /// certain to have expired.
    pub fn with_longest_lapse(mut self, longest_lapse: Option<Duration>) -> Self {
        self.longest_lapse = longest_lapse;
        self
    }

    /// Records that the platform answered that nothing has changed. After an outage in
    /// which registrations can have expired, they can still be removed.
    pub fn confirm(&mut self, now: Timestamp) {
        self.end_outage(now);
    }

    /// Records that the platform can't be reached.
    pub fn mark_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// Records that the platform was restored from an older copy. Registrations
    /// that the copy lacks are written again, as after an outage.
    pub fn mark_restored(&mut self) {
        self.restored = true;
    }

    /// Replaces the registered upstreams with `listed`. For
    /// [`REREGISTRATION_TIME`] after an outage in which registrations can have
    /// expired, upstreams that are not in `listed` are kept.
    pub fn update(&mut self, now: Timestamp, listed: Vec<DiscoveredUpstream>) {
        self.end_outage(now);
        let mut listed: BTreeMap<Name, DiscoveredUpstream> =
            listed.into_iter().map(|d| (d.name.clone(), d)).collect();
        self.mark_outdated(now, &listed);
        for (name, discovered) in &mut listed {
            discovered.leaving |= self.is_known_to_leave(discovered);
            self.removed.remove(name);
        }
        let before = std::mem::replace(&mut self.registered, listed);
        let gone = before
            .into_iter()
            .filter(|(name, _)| !self.registered.contains_key(name));
        match self.keep_until.is_some_and(|until| now < until) {
            true => self.missing.extend(gone),
            false => self.removed.extend(gone.map(|(name, d)| (name, (d, now)))),
        }
        self.missing
            .retain(|name, _| !self.registered.contains_key(name));
        self.tick(now);
    }

    /// Records that the platform answers. Keeps missing upstreams for some time if
    /// registrations can have expired since its last answer.
    fn end_outage(&mut self, now: Timestamp) {
        if self.may_have_lapsed(now) {
            self.keep_until = Some(now + REREGISTRATION_TIME);
        }
        if self.unreachable && self.outdated_until.is_some() {
            // Registrations may not have expired meanwhile.
            self.outdated_until = self.longest_lapse.map(|lapse| now + lapse);
        }
        self.unreachable = false;
        self.last_contact = now;
    }

    /// Returns whether registrations of running upstreams can be missing in a
    /// listing received now.
    fn may_have_lapsed(&self, now: Timestamp) -> bool {
        let away = now.since(self.last_contact);
        self.restored || (self.unreachable && away >= self.shortest_lapse)
    }

    /// Finds the registrations that were removed before a restore of the platform and
    /// that its older copy lists. They count as outdated until they change.
    fn mark_outdated(&mut self, now: Timestamp, listed: &BTreeMap<Name, DiscoveredUpstream>) {
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMOVAL_MEMORY);
        self.outdated
            .retain(|name, outdated| listed.get(name) == Some(outdated));
        if std::mem::take(&mut self.restored) {
            let reappeared = listed.values().filter(|d| {
                let removed = self.removed.get(&d.name);
                removed.is_some_and(|(r, _)| r.started == d.started)
            });
            let reappeared = reappeared.map(|d| (d.name.clone(), d.clone()));
            self.outdated.extend(reappeared);
            self.outdated_until = self.longest_lapse.map(|lapse| now + lapse);
        }
        if self.outdated.is_empty() {
            self.outdated_until = None;
        }
    }

    /// Returns whether this process has known the same run of the upstream as
    /// leaving.
    fn is_known_to_leave(&self, listed: &DiscoveredUpstream) -> bool {
        let name = &listed.name;
        let known = self.registered.get(name).or(self.missing.get(name));
        known.is_some_and(|k| k.leaving && k.started == listed.started)
    }

    /// Drops the missing upstreams once their time has elapsed, and uses the outdated ones that
    /// are still listed after theirs. Returns whether anything has changed. While the platform
    /// is unreachable nothing does, because registrations can't be renewed or removed.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        let is_over = |until: Option<Timestamp>| until.is_some_and(|until| until <= now);
        let mut has_changed = false;
        if !self.unreachable && is_over(self.keep_until) {
            self.keep_until = None;
            let dropped = std::mem::take(&mut self.missing);
            has_changed |= !dropped.is_empty();
            self.removed
                .extend(dropped.into_iter().map(|(name, d)| (name, (d, now))));
        }
        if !self.unreachable && is_over(self.outdated_until) {
            self.outdated_until = None;
            has_changed |= !std::mem::take(&mut self.outdated).is_empty();
        }
        has_changed
    }

    /// Returns when `tick` is due next.
    pub fn next_tick(&self) -> Option<Timestamp> {
        let ticks = [self.keep_until, self.outdated_until];
        let next = ticks.into_iter().flatten().min();
        next.filter(|_| !self.unreachable)
    }

    /// Returns the names of the upstreams that are kept without a registration.
    pub fn kept(&self) -> Vec<&Name> {
        self.missing.keys().collect()
    }

    /// Returns the registered and kept upstreams, with the properties that the
    /// settings give their services.
    pub fn upstreams(&self, settings: &Settings) -> Upstreams {
        let candidates = self.registered.values().chain(self.missing.values());
        // Those of other services name no upstream that could have taken an address.
        let known = candidates.filter(|d| settings.services.contains_key(&d.service));
        let latest = latest_at_each_address(known);
        latest
            .values()
            .filter_map(|d| Some((d.name.clone(), self.to_upstream(settings, d)?)))
            .collect()
    }

    /// Combines a discovered upstream with the settings of its service. Returns
    /// `None` if the settings don't define the service.
    fn to_upstream(
        &self,
        settings: &Settings,
        discovered: &DiscoveredUpstream,
    ) -> Option<Upstream> {
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
            started: discovered.started,
            version: discovered.version.clone(),
            cold_left: discovered.cold_left,
            leaving: discovered.leaving || self.outdated.contains_key(&discovered.name),
            event_tokens: service.event_tokens,
            serves: vec![discovered.service.clone()],
            loads: Vec::new(),
            slots: discovered.slots.unwrap_or(service.slots),
            cache_tokens: 0,
            memory_tokens: service.memory_tokens,
            fencing: Fencing::Ignored,
        })
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
