//! Compares the upstreams that serve each service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Effect;
use super::effects::Area;
use crate::name::Name;
use crate::settings::Settings;

/// Upstreams of a service and the requests that they can run at once.
#[derive(Clone, Copy, Default, Eq, PartialEq)]
struct Capacity {
    upstreams: u64,
    slots: u64,
}

/// Returns which services get more or fewer upstreams or slots.
pub fn capacity_effects(before: &Settings, after: &Settings) -> Vec<Effect> {
    let (before, after) = (capacities(before), capacities(after));
    let services: BTreeSet<&Name> = before.keys().chain(after.keys()).collect();
    let mut effects = Vec::new();
    for service in services {
        let of = |capacities: &BTreeMap<Name, Capacity>| {
            let capacity = capacities.get(service);
            capacity.copied().unwrap_or_default()
        };
        let (old, new) = (of(&before), of(&after));
        if old != new {
            let description = format!(
                "gets {} slots at {} upstreams instead of {} at {}",
                new.slots, new.upstreams, old.slots, old.upstreams
            );
            effects.push(Effect::new(Area::Service, service, description));
        }
    }
    effects
}

/// Returns the capacity of each service, without upstreams that are leaving.
fn capacities(settings: &Settings) -> BTreeMap<Name, Capacity> {
    let mut capacities: BTreeMap<Name, Capacity> = BTreeMap::new();
    for upstream in settings.upstreams.values().filter(|u| !u.leaving) {
        for service in upstream.serves.iter().collect::<BTreeSet<_>>() {
            let capacity = capacities.entry(service.clone()).or_default();
            capacity.upstreams += 1;
            capacity.slots += u64::from(upstream.slots);
        }
    }
    capacities
}
