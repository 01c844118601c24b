//! The entry's use of the balance between availability zones: it counts the load, reports it,
//! publishes the rows of zones that it aggregates, and places requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelValue;
use rand::RngExt;
use slog::info;
use slog::warn;

use crate::admission::AdmissionControl;
use crate::clock::Timestamp;
use crate::dispatch::Dispatch;
use crate::entry::request::Admission;
use crate::entry::request::Job;
use crate::entry::state::EntryState;
use crate::gossip::Aged;
use crate::gossip::Topic;
use crate::name::Name;
use crate::settings::ZoneBalancing;
use crate::ticket::OfferResult;
use crate::units::millis;
use crate::zone_balance::LoadMeter;
use crate::zone_balance::MAX_ROW_AGE;
use crate::zone_balance::Placement;
use crate::zone_balance::ZoneBalancer;
use crate::zone_balance::ZoneLoad;

/// The shortest time between two reports, which is a round of the damping of shares.
const ROUND_MIN: Duration = Duration::from_millis(200);

/// The increase of the round for each entry, so that rows of many zones take a bounded part
/// of the traffic in a large fleet.
const ROUND_PER_ENTRY: Duration = Duration::from_millis(10);

/// The longest round. Two of them are not longer than rows count.
const ROUND_MAX: Duration = Duration::from_secs(1);

/// Time for which an entry reports after a zone has last lacked room. It covers the calm
/// between two swings of the demand.
const AWAKE_TIME: Duration = Duration::from_secs(15);

/// Why a request was sent to its zone. The variants are spelt as in metrics and logs.
#[derive(Clone, Copy, Debug, Default, EncodeLabelValue, Eq, Hash, PartialEq)]
#[allow(non_camel_case_types)]
pub enum ZoneCause {
    /// By the usual order of upstreams: the own zone first.
    #[default]
    usual,
    /// By the share of its class that spills over.
    share,
    /// By the long wait quoted for a request of its class a moment before.
    recent_wait,
    /// By the long wait quoted for itself.
    long_wait,
}

impl ZoneCause {
    /// Returns the name as in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::usual => "usual",
            Self::share => "share",
            Self::recent_wait => "recent_wait",
            Self::long_wait => "long_wait",
        }
    }
}

/// Where a request is offered, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placed {
    /// Where it is offered.
    pub placement: Placement,
    /// Why.
    pub cause: ZoneCause,
}

impl Default for Placed {
    fn default() -> Self {
        Self {
            placement: Placement::Home,
            cause: ZoneCause::usual,
        }
    }
}

impl Placed {
    fn away(zone: Name, cause: ZoneCause) -> Self {
        let placement = Placement::Away(zone);
        Self { placement, cause }
    }
}

/// What the entry keeps for the balance between zones.
pub struct ZoneState {
    balancer: RefCell<ZoneBalancer>,
    meter: RefCell<LoadMeter>,
    /// The admission of requests that are placed in other zones. Waits there are independent
    /// of those at home.
    pub(super) away_admission: RefCell<AdmissionControl>,
    /// The entry reports until then.
    awake_until: Cell<Timestamp>,
    /// Zones whose row was logged as absurd.
    logged: RefCell<BTreeSet<Name>>,
}

impl ZoneState {
    /// Creates the state of an entry in the zone `own`.
    pub fn new(own: Name) -> Self {
        Self {
            balancer: RefCell::new(ZoneBalancer::new(own)),
            meter: RefCell::default(),
            away_admission: RefCell::default(),
            awake_until: Cell::default(),
            logged: RefCell::default(),
        }
    }
}

/// Balances zones, a round at a time, until the task is aborted.
pub async fn balance_zones(state: Rc<EntryState>) {
    loop {
        // The quota keeps the number of running entries.
        let entries = state.quota.borrow().entries();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let round = ROUND_PER_ENTRY.saturating_mul(entries);
        actix_rt::time::sleep(round.clamp(ROUND_MIN, ROUND_MAX)).await;
        state.run_zone_round();
    }
}

impl EntryState {
    /// Decides where the request of `admission` for `service` is offered, and counts it if it
    /// is refused.
    ///
    /// # Errors
    ///
    /// Returns the expected wait if the request is refused without asking any scheduler.
    pub fn place(&self, admission: &Admission, service: &Name) -> Result<Placed, Duration> {
        let rank = admission.rank;
        let class = admission.request_class(service);
        let max_wait = admission.urgency().max_expected_wait();
        let share = match self.balancer_place(service, rank) {
            Placement::Away(zone) => Some(Placed::away(zone, ZoneCause::share)),
            Placement::Home => None,
        };
        if let Some(placed) = share
            && self
                .refuse_early(&placed.placement, &class, max_wait)
                .is_none()
        {
            return Ok(placed);
        }
        let placed = Placed::default();
        let Some(wait) = self.refuse_early(&placed.placement, &class, max_wait) else {
            return Ok(placed);
        };
        if let Some(zone) = self.fallback(service, rank) {
            let placed = Placed::away(zone, ZoneCause::recent_wait);
            if self
                .refuse_early(&placed.placement, &class, max_wait)
                .is_none()
            {
                return Ok(placed);
            }
        }
        self.record_demand(admission, service);
        Err(wait)
    }

    /// Returns the zone to ask before a request is refused, if there is one.
    pub fn fallback(&self, service: &Name, rank: u8) -> Option<Name> {
        let draw = self.rng.borrow_mut().random_range(0.0..1.0);
        self.zones.balancer.borrow().fallback(service, rank, draw)
    }

    fn balancer_place(&self, service: &Name, rank: u8) -> Placement {
        let draw = self.rng.borrow_mut().random_range(0.0..1.0);
        self.zones.balancer.borrow().place(service, rank, draw)
    }

    /// Counts a request that was accepted or refused, once for each. One whose caller comes back
    /// after a refusal was counted then.
    pub fn record_demand(&self, admission: &Admission, service: &Name) {
        if admission.urgency().is_overdue() {
            return;
        }
        let mut meter = self.zones.meter.borrow_mut();
        meter.record_arrival(self.now(), service, admission.rank);
    }

    /// Counts the shortest wait that upstreams of the own zone expect for `job`.
    pub fn record_home_wait(&self, job: &Job, wait: Duration) {
        let mut meter = self.zones.meter.borrow_mut();
        meter.record_wait(self.now(), &job.target, job.admission.rank, wait);
    }

    /// Counts the reply of an upstream to a ticket. Returns the wait that it expects, if it is
    /// in the own zone.
    pub fn record_reply(&self, upstream: &Name, offered: &OfferResult) -> Option<Duration> {
        if !self.is_home(upstream) {
            return None;
        }
        let (is_full, wait) = match offered {
            OfferResult::Granted(_) => (false, Duration::ZERO),
            OfferResult::Queued(quote) => (true, quote.wait),
            OfferResult::Refused(refusal) => (true, refusal.retry_after),
        };
        let mut meter = self.zones.meter.borrow_mut();
        meter.record_offer(self.now(), is_full);
        Some(wait)
    }

    /// Counts a complete answer of an upstream, which took `time` from the sending on.
    pub fn record_service_time(&self, job: &Job, upstream: &Name, time: Duration) {
        if self.is_home(upstream) {
            let mut meter = self.zones.meter.borrow_mut();
            meter.record_end(self.now(), &job.target, job.admission.rank, time);
        }
    }

    fn is_home(&self, upstream: &Name) -> bool {
        let upstream = self.directory.get(upstream);
        upstream.is_some_and(|u| u.zone == self.config.zone)
    }

    /// Counts a request that is sent to `upstream`.
    pub fn record_zone(&self, upstream: &Name, cause: ZoneCause) {
        if let Some(upstream) = self.directory.get(upstream) {
            self.metrics.record_zone(&upstream.zone, cause);
        }
    }

    /// Applies the placement of `job` to its dispatch.
    pub fn placed_dispatch(&self, job: &Job, dispatch: Dispatch) -> Dispatch {
        let limits = &self.active_settings.settings().limits;
        if limits.zone_balancing == ZoneBalancing::Off {
            return dispatch;
        }
        let dispatch = dispatch.with_fallback(limits.cross_zone_cost);
        let rank = job.admission.rank;
        let dispatch = match self.zones.balancer.borrow().ask_above(&job.target, rank) {
            Some(wait) => dispatch.with_overflow(wait),
            None => dispatch,
        };
        match &job.admission.placed.placement {
            Placement::Away(zone) => dispatch.with_zone(zone.clone(), limits.cross_zone_cost),
            Placement::Home => dispatch,
        }
    }

    /// Reports the load, publishes the rows of the zones that this entry aggregates, and
    /// computes the shares.
    fn run_zone_round(&self) {
        let settings = self.active_settings.settings();
        let cost = settings.limits.cross_zone_cost;
        let zones = self.upstream_zones();
        let has_others = zones.iter().any(|zone| *zone != self.config.zone);
        if settings.limits.zone_balancing == ZoneBalancing::Off || !has_others {
            self.update_shares(&BTreeMap::new());
            return;
        }
        let now = self.now();
        let rows = self.valid_rows();
        let mut fresh = rows.values().filter(|row| row.age <= MAX_ROW_AGE);
        let is_asked = fresh.any(|row| row.value.asks(cost));
        if is_asked || self.zones.meter.borrow().is_tense(now) {
            self.zones.awake_until.set(now + AWAKE_TIME);
        }
        if now < self.zones.awake_until.get() {
            let slots = self.home_slots();
            let report = self.zones.meter.borrow_mut().report(now, &slots);
            let own = &self.config.zone;
            if let Err(e) = self.gossip.report(Topic::ZoneLoad, own, &report) {
                warn!(self.log, "could not report the load of the zone"; "error" => %e);
            }
        }
        // Entries can be in zones without upstreams.
        for zone in zones.iter().chain([&self.config.zone]) {
            self.publish_zone(zone);
        }
        self.zones.balancer.borrow_mut().set_cost(cost);
        self.update_shares(&rows);
    }

    /// Publishes the row of a zone, if this entry aggregates it and its entries report.
    fn publish_zone(&self, zone: &Name) {
        let reports = self.gossip.reports::<ZoneLoad>(Topic::ZoneLoad, zone);
        let reports = reports.into_iter().map(|(_, report)| report);
        let reports: Vec<Aged<ZoneLoad>> = reports
            .filter(|r| r.age <= MAX_ROW_AGE && r.value.is_valid())
            .collect();
        // To find the aggregator takes a hash for each entry, so reports are looked for first.
        if reports.is_empty() || !self.gossip.is_aggregator(Topic::ZoneLoad, zone) {
            return;
        }
        let row = ZoneLoad::sum(&reports).limited();
        if let Err(e) = self.gossip.publish(Topic::ZoneLoad, zone, &row) {
            warn!(self.log, "could not publish the load of a zone"; "zone" => %zone, "error" => %e);
        }
    }

    /// Returns the rows without absurd ones, each of which is logged once for its zone.
    fn valid_rows(&self) -> BTreeMap<Name, Aged<ZoneLoad>> {
        let mut rows = self.gossip.all::<ZoneLoad>(Topic::ZoneLoad);
        rows.retain(|zone, row| {
            let is_valid = row.value.is_valid();
            if !is_valid && self.zones.logged.borrow_mut().insert(zone.clone()) {
                warn!(self.log, "ignored an absurd load of a zone"; "zone" => %zone);
            }
            is_valid
        });
        rows
    }

    fn update_shares(&self, rows: &BTreeMap<Name, Aged<ZoneLoad>>) {
        let mut balancer = self.zones.balancer.borrow_mut();
        for change in balancer.update(rows) {
            let ages = rows
                .iter()
                .map(|(zone, row)| format!("{zone}:{}", millis(row.age)));
            let ages: Vec<String> = ages.collect();
            info!(self.log, "spillover to other zones changed";
                "service" => %change.service,
                "rank" => change.rank,
                "spills" => change.desired > 0.0,
                "desired_share" => change.desired,
                "demand_per_second" => change.demand,
                "room_per_second" => change.room,
                "wait_ms" => millis(change.wait),
                "row_ages_ms" => ages.join(" "));
        }
        self.metrics.record_zone_shares(&balancer.shares());
    }

    /// Returns the zones of all upstreams.
    fn upstream_zones(&self) -> BTreeSet<Name> {
        let upstreams = self.directory.upstreams();
        upstreams.values().map(|u| u.zone.clone()).collect()
    }

    /// Returns the slots of the upstreams in the own zone that take requests, by service.
    fn home_slots(&self) -> BTreeMap<Name, u32> {
        let now = self.now();
        let upstreams = self.directory.upstreams();
        let outliers = self.outliers.borrow();
        let leaving = self.leaving_hosts.borrow();
        let usable = upstreams.iter().filter(|(name, u)| {
            u.zone == self.config.zone
                && !u.leaving
                && !leaving.contains(*name)
                && !outliers.is_ejected(now, name)
                && self.notices.wait(name).is_none()
        });
        let mut slots = BTreeMap::new();
        for (_, upstream) in usable {
            for service in &upstream.serves {
                let total: &mut u32 = slots.entry(service.clone()).or_default();
                *total = total.saturating_add(upstream.slots);
            }
        }
        slots
    }
}
