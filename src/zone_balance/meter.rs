//! The load that one entry sees: its part of the demand of its zone, and the room and the
//! waits of the zone's upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;
use crate::zone_balance::load::ServiceLoad;
use crate::zone_balance::load::ZoneLoad;

/// Time constant of demand, waits and full upstreams. It is a fraction of the time for which
/// bursts last, and averages enough arrivals at a small entry.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// Time constant of service times, which take seconds and change with the speed of upstreams.
const SERVICE_TIME: Duration = Duration::from_secs(5);

/// Ended requests, by weight, below which their mean service time is not used.
const MIN_ENDED: f64 = 1.0;

/// Maximum number of classes that are counted. Rows hold 64.
const MAX_CLASSES: usize = 256;

/// Weight below which a class is forgotten.
const MIN_WEIGHT: f64 = 0.01;

/// Part of the offers that find an upstream full from which the entry reports. With 9 slots,
/// a tenth of random offers find an upstream full at a use of about 70%.
const TENSE_ABOVE: f64 = 0.1;

/// Offers, by weight, below which the part is not used.
const MIN_OFFERS: f64 = 5.0;

/// Returns the standard deviation of a counted demand whose requests arrive independently of each
/// other.
pub(super) fn demand_deviation(demand: f64) -> f64 {
    (demand / (2.0 * LOAD_TIME.as_secs_f64())).sqrt()
}

/// Sum whose parts lose weight exponentially with their age.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    value: f64,
    updated: Timestamp,
}

impl DecayingSum {
    fn add(&mut self, now: Timestamp, amount: f64, time: Duration) {
        self.value = self.get(now, time) + amount;
        self.updated = now;
    }

    fn get(&self, now: Timestamp, time: Duration) -> f64 {
        let age = now.since(self.updated);
        self.value * (-age.div_duration_f64(time)).exp()
    }
}

/// Counts of one service and rank.
#[derive(Debug, Default)]
struct ClassCounts {
    arrivals: DecayingSum,
    wait_seconds: DecayingSum,
    waits: DecayingSum,
    service_seconds: DecayingSum,
    ended: DecayingSum,
}

impl ClassCounts {
    /// Returns the mean time for which a request occupies a slot, in seconds.
    fn service_seconds(&self, now: Timestamp) -> Option<f64> {
        let ended = self.ended.get(now, SERVICE_TIME);
        let seconds = self.service_seconds.get(now, SERVICE_TIME);
        (ended >= MIN_ENDED && seconds > 0.0).then(|| seconds / ended)
    }

    fn wait(&self, now: Timestamp) -> Duration {
        let waits = self.waits.get(now, LOAD_TIME);
        let seconds = self.wait_seconds.get(now, LOAD_TIME);
        match waits > MIN_WEIGHT {
            true => Duration::from_secs_f64(seconds / waits),
            false => Duration::ZERO,
        }
    }

    fn is_idle(&self, now: Timestamp) -> bool {
        self.arrivals.get(now, LOAD_TIME) < MIN_WEIGHT
            && self.ended.get(now, SERVICE_TIME) < MIN_WEIGHT
    }
}

/// Counts what an entry sees of the load of its zone.
///
/// Invariant: at most [`MAX_CLASSES`] classes; requests of others are not counted.
#[derive(Debug, Default)]
pub struct LoadMeter {
    classes: BTreeMap<(Name, u8), ClassCounts>,
    offers: DecayingSum,
    full: DecayingSum,
}

impl LoadMeter {
    /// Creates a meter without any counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that arrived, also if it is refused at once.
    pub fn record_arrival(&mut self, now: Timestamp, service: &Name, rank: u8) {
        if let Some(counts) = self.counts(service, rank) {
            counts.arrivals.add(now, 1.0, LOAD_TIME);
        }
    }

    /// Counts the shortest wait that upstreams of the zone expect for a request; zero if one
    /// of them has granted it at once.
    pub fn record_wait(&mut self, now: Timestamp, service: &Name, rank: u8, wait: Duration) {
        if let Some(counts) = self.counts(service, rank) {
            counts.waits.add(now, 1.0, LOAD_TIME);
            counts.wait_seconds.add(now, wait.as_secs_f64(), LOAD_TIME);
        }
    }

    /// Counts a complete answer of an upstream of the zone, which took `time` from the sending
    /// of the request.
    pub fn record_end(&mut self, now: Timestamp, service: &Name, rank: u8, time: Duration) {
        if let Some(counts) = self.counts(service, rank) {
            counts.ended.add(now, 1.0, SERVICE_TIME);
            counts
                .service_seconds
                .add(now, time.as_secs_f64(), SERVICE_TIME);
        }
    }

    /// Counts the reply of an upstream of the zone to a ticket.
    pub fn record_offer(&mut self, now: Timestamp, is_full: bool) {
        self.offers.add(now, 1.0, LOAD_TIME);
        self.full.add(now, f64::from(u8::from(is_full)), LOAD_TIME);
    }

    /// Returns whether so many of the zone's upstreams are full that it may lack room soon.
    pub fn is_tense(&self, now: Timestamp) -> bool {
        let offers = self.offers.get(now, LOAD_TIME);
        offers >= MIN_OFFERS && self.full.get(now, LOAD_TIME) > TENSE_ABOVE * offers
    }

    /// Returns what this entry sees of the load of its zone, whose upstreams have these
    /// numbers of slots by service.
    pub fn report(&mut self, now: Timestamp, slots: &BTreeMap<Name, u32>) -> ZoneLoad {
        self.classes.retain(|_, counts| !counts.is_idle(now));
        let mut services: Vec<ServiceLoad> = self
            .classes
            .iter()
            .map(|((service, rank), counts)| ServiceLoad {
                service: service.clone(),
                rank: *rank,
                demand: counts.arrivals.get(now, LOAD_TIME) / LOAD_TIME.as_secs_f64(),
                room: match slots.get(service) {
                    Some(slots) => counts.service_seconds(now).map(|s| f64::from(*slots) / s),
                    None => Some(0.0),
                },
                wait: counts.wait(now),
            })
            .collect();
        // Others learn in this way that a zone without demand has upstreams.
        let is_counted = |service: &Name| services.iter().any(|l| l.service == *service);
        let unused: Vec<ServiceLoad> = slots
            .keys()
            .filter(|service| !is_counted(service))
            .map(|service| ServiceLoad {
                service: service.clone(),
                rank: 0,
                demand: 0.0,
                room: None,
                wait: Duration::ZERO,
            })
            .collect();
        services.extend(unused);
        ZoneLoad { services }.limited()
    }

    fn counts(&mut self, service: &Name, rank: u8) -> Option<&mut ClassCounts> {
        let key = (service.clone(), rank);
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&key) {
            return None;
        }
        Some(self.classes.entry(key).or_default())
    }
}
