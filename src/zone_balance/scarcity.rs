//! Scarcity: all zones together lack the capacity for the demand of a service.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::zone_balance::fill::LONG_WAIT;
use crate::zone_balance::fill::ServiceZones;
use crate::zone_balance::fill::room_of;

/// Part of the room of all zones above which a service is scarce, as for a single zone.
const SCARCE_ABOVE: f64 = 0.95;

/// Part of the room of all zones below which a scarcity ends. Up to it, zones may be filled by
/// others.
const PLENTY_BELOW: f64 = 0.9;

/// Wait in every zone below which a scarcity ends, if the room suffices.
const SHORT_WAIT: Duration = Duration::from_millis(50);

/// Returns whether all zones together lack room for a service, given whether they did before:
/// the demand of all ranks takes it, or requests wait for long in every zone, whatever the
/// estimate of room says. A request that is sent to another zone displaces one there then.
pub(super) fn is_scarce(zones: &ServiceZones, was_scarce: bool) -> bool {
    let (part, wait) = match was_scarce {
        true => (PLENTY_BELOW, SHORT_WAIT),
        false => (SCARCE_ABOVE, LONG_WAIT),
    };
    let longest = zones
        .values()
        .map(|ranks| ranks.values().map(|c| c.wait).max());
    let shortest = longest.map(Option::unwrap_or_default).min();
    used(zones) > part || shortest.is_some_and(|shortest| shortest > wait)
}

/// Returns the part of the room of all zones that the demand of all ranks takes. Ranks of which
/// no room is known don't count.
fn used(zones: &ServiceZones) -> f64 {
    let ranks: BTreeSet<u8> = zones.values().flat_map(|r| r.keys().copied()).collect();
    let of_rank = |rank: u8| {
        let classes = zones.values().filter_map(|ranks| ranks.get(&rank));
        let demand: f64 = classes.map(|class| class.demand).sum();
        let rooms = zones.keys().filter_map(|zone| room_of(zones, zone, rank));
        let room = rooms.reduce(|a, b| a + b);
        match room {
            Some(room) if demand > 0.0 => demand / room,
            _ => 0.0,
        }
    };
    ranks.into_iter().map(of_rank).sum()
}
