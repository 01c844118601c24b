//! What entries say of the load of availability zones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::gossip::Aged;
use crate::gossip::MAX_VALUE_BYTES;
use crate::name::Name;
use crate::units::millis;

/// Maximum number of services in a row or report.
pub const MAX_SERVICES: usize = 8;

/// Maximum number of ranks of a service in a row or report.
pub const MAX_RANKS: usize = 8;

/// Demand or room from which a value is absurd, in requests a second.
const MAX_RATE: f64 = 1e6;

/// Expected wait from which a value is absurd.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Part of its room from which a zone asks the others for their rows. It is below the part at
/// which a zone lacks room, so that the rows are there by then.
const ASKS_ABOVE: f64 = 0.8;

/// Load of one service by requests of one rank.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// The service.
    pub service: Name,
    /// Scheduling rank of the requests; 0 is the highest.
    pub rank: u8,
    /// Requests that arrive at the entries of the zone a second, with those that are refused.
    pub demand: f64,
    /// Requests that the upstreams of the zone finish a second if all are of this rank; 0 if
    /// the zone has no upstreams, `None` if too few requests have ended to tell.
    pub room: Option<f64>,
    /// Mean of the shortest expected waits that the upstreams of the zone quote.
    pub wait: Duration,
}

/// Load of an availability zone: that of one entry in a report, that of all in a row.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "WireLoad", into = "WireLoad")]
pub struct ZoneLoad {
    /// At most one for each service and rank.
    pub services: Vec<ServiceLoad>,
}

/// The form in which a load is sent: rank, demand, room and wait in milliseconds, by service.
/// It is short, so that eight services fit into a row.
type WireLoad = BTreeMap<Name, Vec<(u8, f64, Option<f64>, u64)>>;

impl From<WireLoad> for ZoneLoad {
    fn from(wire: WireLoad) -> Self {
        let services = wire.into_iter().flat_map(|(service, ranks)| {
            ranks
                .into_iter()
                .map(move |(rank, demand, room, wait)| ServiceLoad {
                    service: service.clone(),
                    rank,
                    demand,
                    room,
                    wait: Duration::from_millis(wait),
                })
        });
        Self {
            services: services.collect(),
        }
    }
}

impl From<ZoneLoad> for WireLoad {
    fn from(load: ZoneLoad) -> Self {
        let mut wire = Self::new();
        for l in load.services {
            let row = (
                l.rank,
                rounded(l.demand),
                l.room.map(rounded),
                millis(l.wait),
            );
            wire.entry(l.service).or_default().push(row);
        }
        wire
    }
}

/// Sums of one class over several reports.
#[derive(Default)]
struct Sums {
    demand: f64,
    wait_seconds: f64,
    room: f64,
    room_weight: f64,
}

impl ZoneLoad {
    /// Returns the load of a zone from the reports of its entries on the whole zone: the sum
    /// of the demands, and means of rooms and waits, which count by demand.
    pub fn sum(reports: &[Aged<ZoneLoad>]) -> Self {
        let mut classes: BTreeMap<(Name, u8), Sums> = BTreeMap::new();
        for load in reports.iter().flat_map(|r| &r.value.services) {
            let sums = classes
                .entry((load.service.clone(), load.rank))
                .or_default();
            sums.demand += load.demand;
            sums.wait_seconds += load.demand * load.wait.as_secs_f64();
            if let Some(room) = load.room {
                // An entry without requests still knows that a zone has no upstreams.
                let weight = load.demand.max(f64::EPSILON);
                sums.room += room * weight;
                sums.room_weight += weight;
            }
        }
        let services = classes
            .into_iter()
            .map(|((service, rank), sums)| ServiceLoad {
                service,
                rank,
                demand: sums.demand,
                room: (sums.room_weight > 0.0).then(|| sums.room / sums.room_weight),
                wait: match sums.demand > 0.0 {
                    true => Duration::from_secs_f64(sums.wait_seconds / sums.demand),
                    false => Duration::ZERO,
                },
            });
        Self {
            services: services.collect(),
        }
    }

    /// Returns whether no value is absurd and no class is listed twice.
    pub fn is_valid(&self) -> bool {
        let is_rate = |rate: f64| (0.0..=MAX_RATE).contains(&rate);
        let mut classes = BTreeSet::new();
        self.services.len() <= MAX_SERVICES * MAX_RANKS
            && self.services.iter().all(|l| {
                is_rate(l.demand)
                    && l.room.is_none_or(is_rate)
                    && l.wait <= MAX_WAIT
                    && classes.insert((&l.service, l.rank))
            })
    }

    /// Returns the load without its smallest parts, if it has more services or ranks or takes
    /// more bytes than a row may.
    #[must_use]
    pub fn limited(mut self) -> Self {
        let demands = self.demands();
        let mut services: Vec<(Name, f64)> = demands.into_iter().collect();
        services.sort_by(|a, b| b.1.total_cmp(&a.1));
        services.truncate(MAX_SERVICES);
        self.services
            .retain(|l| services.iter().any(|(name, _)| *name == l.service));
        // The highest ranks are kept: the room of the others depends on them.
        let order = |l: &ServiceLoad| services.iter().position(|(name, _)| *name == l.service);
        self.services.sort_by_key(|l| (order(l), l.rank));
        let mut ranks: BTreeMap<Name, usize> = BTreeMap::new();
        self.services.retain(|l| {
            let count = ranks.entry(l.service.clone()).or_default();
            *count += 1;
            *count <= MAX_RANKS
        });
        while encoded_bytes(&self) > MAX_VALUE_BYTES && self.services.pop().is_some() {}
        self
    }

    /// Returns whether the zone asks the others for their rows: it may lack room soon, or its
    /// requests wait for longer than `cost`.
    pub fn asks(&self, cost: Duration) -> bool {
        let mut used: BTreeMap<&Name, f64> = BTreeMap::new();
        for load in &self.services {
            *used.entry(&load.service).or_default() += match load.room {
                Some(room) if room > 0.0 => load.demand / room,
                Some(_) if load.demand > 0.0 => f64::INFINITY,
                _ => 0.0,
            };
        }
        used.values().any(|u| *u >= ASKS_ABOVE) || self.services.iter().any(|l| l.wait > cost)
    }

    fn demands(&self) -> BTreeMap<Name, f64> {
        let mut demands = BTreeMap::new();
        for load in &self.services {
            *demands.entry(load.service.clone()).or_default() += load.demand;
        }
        demands
    }
}

/// Returns a rate with three digits after the point, to save bytes.
fn rounded(rate: f64) -> f64 {
    (rate * 1e3).round() / 1e3
}

fn encoded_bytes(load: &ZoneLoad) -> usize {
    // A load that can't be encoded has no parts worth keeping.
    serde_json::to_vec(load).map_or(usize::MAX, |bytes| bytes.len())
}
