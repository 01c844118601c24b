//! Spillover between availability zones: which part of its requests a zone that lacks room
//! sends to others.
//!
//! Every entry computes the same plan from the rows of all zones (see [`load`]). The plan
//! depends on the demand of each zone, not on where requests were sent before, so that
//! shares have no feedback by which they could oscillate. The decisions do no I/O and take
//! the time and random numbers as arguments.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::gossip::Aged;
use crate::name::Name;

mod fill;
pub mod load;
pub mod meter;
mod scarcity;
#[cfg(test)]
mod tests;

pub use load::ServiceLoad;
pub use load::ZoneLoad;
pub use meter::LoadMeter;

use fill::Class;
use fill::Gate;
use fill::Plan;
use fill::ServiceZones;

/// Age from which a row is not used: its zone may be lost or partitioned.
pub const MAX_ROW_AGE: Duration = Duration::from_secs(2);

/// Caller's time that a request sent to another zone must save, unless the settings name
/// another.
pub const DEFAULT_COST: Duration = Duration::from_millis(20);

/// Time that the ticket, its reply, the request and the first byte take between two zones.
/// Zones of one region are 1 to 2 ms apart.
const NETWORK_TIME: Duration = Duration::from_millis(6);

/// Part of the difference between share and desired share by which a share moves in one
/// update. With rows that are 400 ms old and updates each 200 ms, a larger part overshoots.
const STEP: f64 = 0.25;

/// Share below which nothing spills over.
const MIN_SHARE: f64 = 0.002;

/// Factor on the room of the own zone for each update in which waits are long although the
/// room seems to suffice.
const CORRECTION_DOWN: f64 = 0.96;

/// Factor by which a corrected room recovers in each other update. It is slow, so that a
/// lasting error of the estimate does not make shares oscillate.
const CORRECTION_UP: f64 = 1.002;

/// Smallest correction of a room.
const MIN_CORRECTION: f64 = 0.5;

/// Where the tickets of a request are offered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// As usual: to the upstreams of the own zone first.
    Home,
    /// In equal parts to the upstreams of this zone and to those of the own zone.
    Away(Name),
}

/// Begin or end of the spillover of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The service.
    pub service: Name,
    /// Scheduling rank of the requests.
    pub rank: u8,
    /// Part of the requests that should spill over; 0 at the end.
    pub desired: f64,
    /// Demand of the own zone, in requests a second.
    pub demand: f64,
    /// Room of the own zone for this rank alone, in requests a second; `None` if unknown.
    pub room: Option<f64>,
    /// Mean expected wait in the own zone.
    pub wait: Duration,
}

/// Zone that takes requests which the own zone would refuse.
#[derive(Clone, Debug, PartialEq)]
struct Fallback {
    zone: Name,
    /// Part of the requests of the own zone that it has room for.
    fraction: f64,
    /// Expected wait at home above which it is asked although a request could wait; `None`
    /// unless the own zone makes its requests wait for longer than the way costs.
    ask_above: Option<Duration>,
}

/// What the own zone does with the requests of one class.
#[derive(Clone, Debug, Default)]
struct Spillover {
    /// Damped shares by zone, each above [`MIN_SHARE`]; their sum is at most 1.
    shares: BTreeMap<Name, f64>,
    fallback: Option<Fallback>,
}

impl Spillover {
    /// Returns the zone with the most room that is neither taken by shares nor left to others.
    /// Shares that are still below those desired leave the difference.
    fn choose_fallback(&self, plan: &Plan, cost: Duration) -> Option<Fallback> {
        let missing = plan.shares.iter().map(|(zone, desired)| {
            let share = self.shares.get(zone).copied().unwrap_or_default();
            (zone.clone(), (desired - share).max(0.0))
        });
        let mut fractions: BTreeMap<Name, f64> = missing.collect();
        if let Some((zone, left)) = &plan.fallback {
            *fractions.entry(zone.clone()).or_default() += left;
        }
        let most = fractions.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        let (zone, fraction) = most.filter(|(_, fraction)| *fraction > 0.0)?;
        let wait = plan.waits.get(&zone).copied().unwrap_or_default();
        let worth = wait + NETWORK_TIME + cost;
        Some(Fallback {
            zone,
            fraction: fraction.min(1.0),
            ask_above: (plan.own.wait > worth).then_some(worth),
        })
    }

    /// Moves the shares towards those desired. A share in a zone that may not be used ends
    /// at once.
    fn follow<F>(&mut self, desired: &BTreeMap<Name, f64>, is_usable: F)
    where
        F: Fn(&Name) -> bool,
    {
        let zones: BTreeSet<Name> = self.shares.keys().chain(desired.keys()).cloned().collect();
        for zone in zones {
            let goal = desired.get(&zone).copied().unwrap_or_default();
            let share = self.shares.entry(zone.clone()).or_default();
            *share += STEP * (goal - *share);
            if !is_usable(&zone) || *share < MIN_SHARE {
                self.shares.remove(&zone);
            }
        }
    }
}

/// Decides which requests of a zone are sent to other zones.
#[derive(Debug)]
pub struct ZoneBalancer {
    own: Name,
    cost: Duration,
    classes: BTreeMap<(Name, u8), Spillover>,
    /// The zones that lack room for a class.
    lacking: BTreeMap<Name, BTreeSet<(Name, u8)>>,
    /// The services for which all zones together lack room.
    scarce: BTreeSet<Name>,
    /// Factors on the room of the own zone, by service, each below 1.
    corrections: BTreeMap<Name, f64>,
}

impl ZoneBalancer {
    /// Creates the balancer of an entry in the zone `own`, which sends nothing to others.
    pub fn new(own: Name) -> Self {
        Self {
            own,
            cost: DEFAULT_COST,
            classes: BTreeMap::new(),
            lacking: BTreeMap::new(),
            scarce: BTreeSet::new(),
            corrections: BTreeMap::new(),
        }
    }

    /// Sets the caller's time that a request sent to another zone must save.
    #[must_use]
    pub fn with_cost(mut self, cost: Duration) -> Self {
        self.cost = cost;
        self
    }

    /// Sets the caller's time that a request sent to another zone must save.
    pub fn set_cost(&mut self, cost: Duration) {
        self.cost = cost;
    }

    /// Computes the shares from the rows of all zones. Must be called several times a second;
    /// each call is one round of the damping. Returns the classes whose spillover begins or
    /// ends.
    pub fn update(&mut self, zones: &BTreeMap<Name, Aged<ZoneLoad>>) -> Vec<Change> {
        let fresh = zones.iter().filter(|(_, row)| row.age <= MAX_ROW_AGE);
        let services = by_service(fresh.map(|(zone, row)| (zone, &row.value)));
        self.lacking.retain(|name, _| services.contains_key(name));
        self.scarce.retain(|name| services.contains_key(name));
        self.corrections
            .retain(|name, _| services.contains_key(name));
        let mut plans: BTreeMap<(Name, u8), Plan> = BTreeMap::new();
        for (service, mut zones) in services {
            let is_scarce = scarcity::is_scarce(&zones, self.scarce.contains(&service));
            match is_scarce {
                true => self.scarce.insert(service.clone()),
                false => self.scarce.remove(&service),
            };
            self.correct(&service, &mut zones);
            let gate = |rank, own: &Class, zone: &Name, other: &Class| {
                self.may_send(&service, rank, own, zone, other)
            };
            let gate: Gate<'_> = &gate;
            let lacking = self.lacking.get(&service).cloned().unwrap_or_default();
            let (filled, lacking) = fill::fill(&self.own, &zones, &lacking, is_scarce, gate);
            self.lacking.insert(service.clone(), lacking);
            let plan = filled.into_iter();
            plans.extend(plan.map(|(rank, plan)| ((service.clone(), rank), plan)));
        }
        let is_fresh = |zone: &Name| zones.get(zone).is_some_and(|row| row.age <= MAX_ROW_AGE);
        let mut changes = Vec::new();
        let keys: BTreeSet<(Name, u8)> = self.classes.keys().chain(plans.keys()).cloned().collect();
        for key in keys {
            let plan = plans.remove(&key).unwrap_or_default();
            let spillover = self.classes.entry(key.clone()).or_default();
            let was_active = !spillover.shares.is_empty();
            spillover.follow(&plan.shares, is_fresh);
            spillover.fallback = match self.scarce.contains(&key.0) {
                true => None,
                false => spillover.choose_fallback(&plan, self.cost),
            };
            let is_active = !spillover.shares.is_empty();
            if spillover.shares.is_empty() && spillover.fallback.is_none() {
                self.classes.remove(&key);
            }
            if was_active != is_active {
                let (service, rank) = key;
                changes.push(Change {
                    service,
                    rank,
                    desired: plan.shares.values().sum(),
                    demand: plan.own.demand,
                    room: plan.own.room,
                    wait: plan.own.wait,
                });
            }
        }
        changes
    }

    /// Returns where a request is placed. `draw` is a random number from 0 to 1.
    pub fn place(&self, service: &Name, rank: u8, draw: f64) -> Placement {
        let Some(spillover) = self.classes.get(&(service.clone(), rank)) else {
            return Placement::Home;
        };
        let mut left = draw;
        for (zone, share) in &spillover.shares {
            if left < *share {
                return Placement::Away(zone.clone());
            }
            left -= share;
        }
        Placement::Home
    }

    /// Returns the zone to ask before a request is refused, if one has room for it: that with
    /// the most. `draw` is a random number from 0 to 1, by which the entries of a zone keep
    /// together to the room that is theirs.
    pub fn fallback(&self, service: &Name, rank: u8, draw: f64) -> Option<Name> {
        let spillover = self.classes.get(&(service.clone(), rank))?;
        let fallback = spillover.fallback.as_ref();
        let fallback = fallback.filter(|fallback| draw < fallback.fraction)?;
        Some(fallback.zone.clone())
    }

    /// Returns the expected wait above which the zone of [`ZoneBalancer::fallback`] is asked
    /// although a request could wait at home; `None` while the own zone has room.
    pub fn ask_above(&self, service: &Name, rank: u8) -> Option<Duration> {
        let spillover = self.classes.get(&(service.clone(), rank))?;
        spillover.fallback.as_ref()?.ask_above
    }

    /// Returns the shares of all classes, by service, rank and zone.
    pub fn shares(&self) -> BTreeMap<(Name, u8, Name), f64> {
        let shares = self.classes.iter().flat_map(|((service, rank), s)| {
            let key = |zone: &Name| (service.clone(), *rank, zone.clone());
            s.shares
                .iter()
                .map(move |(zone, share)| (key(zone), *share))
        });
        shares.collect()
    }

    /// Returns whether requests of the own zone may be sent to `zone`: they save more time
    /// there than they cost. Once they are sent, they save less, since the wait at home
    /// shrinks; this goes on unless the other zone makes them wait longer.
    fn may_send(&self, service: &Name, rank: u8, own: &Class, zone: &Name, other: &Class) -> bool {
        let spillover = self.classes.get(&(service.clone(), rank));
        let is_sent = spillover.is_some_and(|s| s.shares.contains_key(zone));
        match is_sent {
            true => own.wait + self.cost >= other.wait,
            false => own.wait > other.wait + NETWORK_TIME + self.cost,
        }
    }

    /// Reduces the room of the own zone where waits show that it is overestimated.
    fn correct(&mut self, service: &Name, zones: &mut ServiceZones) {
        let Some(own) = zones.get_mut(&self.own) else {
            return;
        };
        let used: f64 = own.values().map(Class::used).sum();
        let longest = own.values().map(|class| class.wait).max();
        let is_long = longest.is_some_and(|wait| wait > fill::LONG_WAIT);
        let correction = self.corrections.get(service).copied().unwrap_or(1.0);
        let correction = match is_long && used <= correction * fill::LACKS_ABOVE {
            true => (correction * CORRECTION_DOWN).max(MIN_CORRECTION),
            false => correction * CORRECTION_UP,
        };
        if correction >= 1.0 {
            self.corrections.remove(service);
            return;
        }
        self.corrections.insert(service.clone(), correction);
        for class in own.values_mut() {
            class.room = class.room.map(|room| room * correction);
        }
    }
}

/// Returns the classes of all zones by service, zone and rank.
fn by_service<'a, Z>(zones: Z) -> BTreeMap<Name, ServiceZones>
where
    Z: Iterator<Item = (&'a Name, &'a ZoneLoad)>,
{
    let mut services: BTreeMap<Name, ServiceZones> = BTreeMap::new();
    for (zone, load) in zones {
        for load in &load.services {
            let class = Class {
                demand: load.demand,
                room: load.room,
                wait: load.wait,
            };
            let zones = services.entry(load.service.clone()).or_default();
            let ranks = zones.entry(zone.clone()).or_default();
            ranks.insert(load.rank, class);
        }
    }
    services
}
