//! Water-filling: the surplus of zones that lack room fills the room of the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::name::Name;
use crate::zone_balance::meter;

/// Part of its room above which a zone lacks room.
pub(super) const LACKS_ABOVE: f64 = 0.95;

/// Part of its room below which a zone no longer lacks room, and to which its surplus is
/// counted. It is lower than [`LACKS_ABOVE`], so that small changes of the demand don't begin
/// and end spillover in turn, and shares shrink to zero before it ends.
const ENOUGH_BELOW: f64 = 0.85;

/// Part of its room to which a zone is filled by others.
const FILLED_TO: f64 = 0.9;

/// Wait at which a zone is short of room whatever the estimate says. Waits this long do not
/// come from bursts of a few requests. The estimate is unsure after a start, when the requests
/// that have ended are the short ones.
pub(super) const LONG_WAIT: Duration = Duration::from_millis(100);

/// Standard deviations of the counted demand by which a zone must be below [`FILLED_TO`] to get
/// requests of others while all zones together lack room. Zones with the same load seem to differ
/// by less for a second, and what is sent then displaces others.
const SCARCE_DEVIATIONS: f64 = 3.0;

/// Load of one service in one zone by requests of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Class {
    /// Requests that arrive a second.
    pub(super) demand: f64,
    /// Requests of this rank alone that the zone finishes a second; `None` if unknown.
    pub(super) room: Option<f64>,
    /// Mean expected wait.
    pub(super) wait: Duration,
}

impl Class {
    /// Returns the part of the zone that the demand takes; 0 if the room is unknown.
    pub(super) fn used(&self) -> f64 {
        match self.room {
            Some(room) if room > 0.0 => self.demand / room,
            _ => 0.0,
        }
    }
}

/// The classes of a service, by zone and rank.
pub(super) type ServiceZones = BTreeMap<Name, BTreeMap<u8, Class>>;

/// Decides whether requests of a rank may be sent from the own zone, with its class, to
/// another with its class.
pub(super) type Gate<'a> = &'a dyn Fn(u8, &Class, &Name, &Class) -> bool;

/// What the own zone does with the requests of one rank.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Plan {
    /// The part of the demand that goes to each other zone.
    pub(super) shares: BTreeMap<Name, f64>,
    /// The zone with the most room that is left, and the part of the own demand for which it
    /// suffices.
    pub(super) fallback: Option<(Name, f64)>,
    /// The waits of the other zones.
    pub(super) waits: BTreeMap<Name, Duration>,
    /// The class in the own zone.
    pub(super) own: Class,
}

/// State of a zone while ranks are filled in, the highest first.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Part of the room that the zone's own requests of the ranks so far take.
    kept: f64,
    /// Part of the room that requests of other zones take.
    incoming: f64,
    /// Variance of the part that the demand takes.
    variance: f64,
}

/// What a zone offers or lacks in one rank, in requests a second.
#[derive(Clone, Copy, Debug, Default)]
struct Balance {
    class: Class,
    room: f64,
    surplus: f64,
    spare: f64,
}

/// Returns the plan of the zone `own` by rank, and the zones that lack room, given those that
/// did before.
///
/// The room for a rank is what the demand of the same and of higher ranks leaves, as in a
/// scheduler: lower ranks don't count. The most urgent requests are placed first, and take
/// their part of the room of other zones from those of lower ranks. While the service is scarce,
/// only zones have spare room whose demand is lower by more than chance.
pub(super) fn fill(
    own: &Name,
    zones: &ServiceZones,
    lacked: &BTreeSet<(Name, u8)>,
    is_scarce: bool,
    gate: Gate<'_>,
) -> (BTreeMap<u8, Plan>, BTreeSet<(Name, u8)>) {
    let ranks: BTreeSet<u8> = zones.values().flat_map(|r| r.keys().copied()).collect();
    let mut levels: BTreeMap<&Name, Level> = zones.keys().map(|z| (z, Level::default())).collect();
    let mut lacking = BTreeSet::new();
    let mut plans = BTreeMap::new();
    for rank in ranks {
        let mut balances: BTreeMap<&Name, Balance> = BTreeMap::new();
        for (zone, level) in &mut levels {
            let Some(room) = room_of(zones, zone, rank) else {
                continue;
            };
            let class = zones[*zone].get(&rank).copied().unwrap_or_default();
            let is_lacking = {
                let used = level.kept + part(class.demand, room);
                let limit = match lacked.contains(&((*zone).clone(), rank)) {
                    true => ENOUGH_BELOW,
                    false => LACKS_ABOVE,
                };
                class.demand > 0.0 && used > limit
            };
            if is_lacking {
                lacking.insert(((*zone).clone(), rank));
            }
            level.variance += part(meter::demand_deviation(class.demand), room).powi(2);
            let margin = match is_scarce {
                true => SCARCE_DEVIATIONS * level.variance.sqrt(),
                false => 0.0,
            };
            balances.insert(zone, balance(*level, class, room, margin, is_lacking));
        }
        let plan = plan_rank(own, rank, &balances, gate);
        apply(own, &balances, &plan, &mut levels);
        plans.insert(rank, plan);
    }
    (plans, lacking)
}

/// Returns the part of the room that a rate takes. Where there is no room, it is more than
/// all.
fn part(rate: f64, room: f64) -> f64 {
    match room > 0.0 {
        true => rate / room,
        false if rate > 0.0 => f64::INFINITY,
        false => 0.0,
    }
}

fn balance(level: Level, class: Class, room: f64, margin: f64, is_lacking: bool) -> Balance {
    let used = level.kept + part(class.demand, room);
    let (surplus, spare) = match is_lacking {
        true if room > 0.0 => (((used - ENOUGH_BELOW) * room).min(class.demand), 0.0),
        true => (class.demand, 0.0),
        false => {
            let left = match FILLED_TO - used > margin {
                true => FILLED_TO - used - level.incoming,
                false => 0.0,
            };
            (0.0, left.max(0.0) * room * trust(class.wait))
        }
    };
    Balance {
        class,
        room,
        surplus,
        spare,
    }
}

/// Returns the part of the spare room that is believed in a zone with this wait.
fn trust(wait: Duration) -> f64 {
    1.0 - wait.div_duration_f64(LONG_WAIT).min(1.0)
}

fn plan_rank(own: &Name, rank: u8, balances: &BTreeMap<&Name, Balance>, gate: Gate<'_>) -> Plan {
    let Some(home) = balances.get(own) else {
        return Plan::default();
    };
    let total_surplus: f64 = balances.values().map(|b| b.surplus).sum();
    let total_spare: f64 = balances.values().map(|b| b.spare).sum();
    let mut plan = Plan {
        own: home.class,
        ..Plan::default()
    };
    if home.class.demand <= 0.0 {
        return plan;
    }
    let waits = balances.iter().filter(|(zone, _)| **zone != own);
    plan.waits = waits
        .map(|(zone, b)| ((*zone).clone(), b.class.wait))
        .collect();
    let own_part = match total_surplus > 0.0 {
        true => home.surplus / total_surplus,
        false => 0.0,
    };
    let filled = (total_surplus / total_spare.max(f64::MIN_POSITIVE)).min(1.0);
    let others = balances
        .iter()
        .filter(|(zone, b)| **zone != own && b.spare > 0.0);
    for (zone, other) in others.clone() {
        // Without upstreams at home there are no waits to compare.
        let may_send = home.room <= 0.0 || gate(rank, &home.class, zone, &other.class);
        let sent = other.spare * filled * own_part;
        if may_send && sent > 0.0 {
            let share = sent / home.class.demand;
            plan.shares.insert((*zone).clone(), share);
        }
    }
    // Every other zone may have requests to place, too.
    let askers = (balances.len() - 1).max(1) as f64;
    let left = others.map(|(zone, b)| (*zone, b.spare * (1.0 - filled) / askers));
    let most = left.max_by(|a, b| a.1.total_cmp(&b.1));
    plan.fallback = most
        .filter(|(_, left)| *left > 0.0)
        .map(|(zone, left)| (zone.clone(), (left / home.class.demand).min(1.0)));
    plan
}

/// Adds the requests of one rank to the levels of the zones.
fn apply(
    own: &Name,
    balances: &BTreeMap<&Name, Balance>,
    plan: &Plan,
    levels: &mut BTreeMap<&Name, Level>,
) {
    let total_surplus: f64 = balances.values().map(|b| b.surplus).sum();
    let total_spare: f64 = balances.values().map(|b| b.spare).sum();
    let filled = (total_surplus / total_spare.max(f64::MIN_POSITIVE)).min(1.0);
    let placed = (total_spare / total_surplus.max(f64::MIN_POSITIVE)).min(1.0);
    for (zone, balance) in balances {
        let Some(level) = levels.get_mut(*zone) else {
            continue;
        };
        let sent = match *zone == own {
            true => plan.shares.values().sum::<f64>() * balance.class.demand,
            false => balance.surplus * placed,
        };
        if balance.room > 0.0 {
            level.kept += (balance.class.demand - sent).max(0.0) / balance.room;
            level.incoming += balance.spare * filled / balance.room;
        }
    }
}

/// Returns the room of a zone for requests of a rank. Where the zone has not seen enough of
/// them, it is derived from another rank whose requests both it and another zone have seen,
/// or else taken to be that of another zone.
pub(super) fn room_of(zones: &ServiceZones, zone: &Name, rank: u8) -> Option<f64> {
    let classes = zones.get(zone)?;
    if let Some(room) = classes.get(&rank).and_then(|c| c.room) {
        return Some(room);
    }
    let known: Vec<(u8, f64)> = classes
        .iter()
        .filter_map(|(r, c)| Some((*r, c.room?)))
        .collect();
    if known.iter().any(|(_, room)| *room <= 0.0) {
        return Some(0.0);
    }
    let others = || {
        let others = zones.iter().filter(|(z, _)| *z != zone).map(|(_, c)| c);
        others.filter_map(|c| Some((c, c.get(&rank)?.room.filter(|room| *room > 0.0)?)))
    };
    let derived = known.iter().find_map(|(known_rank, room)| {
        others().find_map(|(other, of_rank)| {
            let of_known = other.get(known_rank)?.room.filter(|room| *room > 0.0)?;
            Some(room * of_rank / of_known)
        })
    });
    derived.or_else(|| others().map(|(_, room)| room).next())
}
