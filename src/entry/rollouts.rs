//! The entry's part in roll-outs of new versions: which version serves a request, what
//! became of the requests, and the orders that this entry knows.
//!
//! [`acting`] decides on roll-outs while this entry is the one that aggregates their
//! services, and [`follow`] keeps the orders, rows and reports up to date.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;

use crate::active_settings::ActiveSettings;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::directory::Directory;
use crate::directory::SoftwareVersion;
use crate::directory::Upstreams;
use crate::discovery::FoundRollout;
use crate::discovery::RolloutStore;
use crate::entry::gossip::EntryGossip;
use crate::entry::request::Job;
use crate::gossip::Aged;
use crate::name::Name;
use crate::rollout::RolloutLimits;
use crate::rollout::RolloutOrder;
use crate::rollout::RolloutRow;
use crate::rollout::RolloutState;
use crate::rollout::VersionTotals;
use crate::settings::Upstream;

use self::service::ServiceRollout;
use self::versions::Appearances;

mod acting;
mod follow;
mod metrics;
mod record;
mod rule;
mod sent;
mod service;
mod versions;

pub use self::metrics::RolloutMetrics;
pub use self::rule::Serving;
pub use self::rule::VersionRule;
pub use self::sent::SentRequest;

/// Time after the start in which an entry without the list of orders reports itself as not
/// ready. A store that is away for longer must not keep the entry from serving.
const ORDERS_WAIT: Duration = Duration::from_secs(2);

/// Draw of a request that gets the target only if all requests do.
pub const LAST_DRAW: f64 = 1.0 - f64::EPSILON;

/// The roll-outs that one entry knows of.
pub struct Rollouts {
    /// The orders; `None` if this process follows none.
    store: Option<Rc<dyn RolloutStore>>,
    /// The roll-outs by service. A service without an order has none.
    services: RefCell<BTreeMap<Name, ServiceRollout>>,
    appearances: RefCell<Appearances>,
    /// The upstreams that `appearances` has observed.
    observed: RefCell<Rc<Upstreams>>,
    /// Requests that run, by service and version; every count is above zero.
    running: RefCell<BTreeMap<(Name, SoftwareVersion), u32>>,
    /// Whether the orders were listed at least once.
    is_listed: Cell<bool>,
    metrics: RolloutMetrics,
    directory: Rc<Directory>,
    active_settings: Rc<ActiveSettings>,
    gossip: Rc<EntryGossip>,
    clock: Clock,
    log: Logger,
}

/// The parts of an entry that roll-outs use.
pub struct RolloutParts {
    /// The orders; `None` if this process follows none.
    pub store: Option<Rc<dyn RolloutStore>>,
    /// The known upstreams.
    pub directory: Rc<Directory>,
    /// The operators' settings.
    pub active_settings: Rc<ActiveSettings>,
    /// Rows and reports between entries.
    pub gossip: Rc<EntryGossip>,
    /// The clock of the entry.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

impl Rollouts {
    /// Creates the state of an entry that starts and knows no orders.
    pub fn new(parts: RolloutParts) -> Self {
        Self {
            store: parts.store,
            services: RefCell::default(),
            appearances: RefCell::default(),
            observed: RefCell::default(),
            running: RefCell::default(),
            is_listed: Cell::default(),
            metrics: RolloutMetrics::new(),
            directory: parts.directory,
            active_settings: parts.active_settings,
            gossip: parts.gossip,
            clock: parts.clock,
            log: parts.log,
        }
    }

    /// Returns the metrics of versions.
    pub fn metrics(&self) -> &RolloutMetrics {
        &self.metrics
    }

    /// Returns whether the orders are known, or were not within [`ORDERS_WAIT`].
    pub fn is_ready(&self) -> bool {
        // Timestamps count from the start of the entry's clock.
        let has_waited = self.clock.now() >= Timestamp::new(ORDERS_WAIT);
        self.store.is_none() || self.is_listed.get() || has_waited
    }

    /// Returns the limits that the settings set; `None` if roll-outs are off.
    fn limits(&self) -> Option<RolloutLimits> {
        let limits = &self.active_settings.settings().limits;
        Some(RolloutLimits {
            canary_share: limits.canary_share?,
            canary_slack: limits.canary_slack,
            rollback: limits.rollback,
        })
    }

    /// Returns which versions may serve a request for `service`; `None` if any may. `draw`
    /// is a random number below 1 that the request keeps.
    pub fn rule(&self, service: &Name, draw: f64) -> Option<VersionRule> {
        self.limits()?;
        let now = self.clock.now();
        self.observe_versions(now);
        let held = self.appearances.borrow().held(now, service);
        let mut services = self.services.borrow_mut();
        let rollout = services.get_mut(service);
        let rule = match rollout {
            Some(rollout) => rollout.rule(now, draw, held),
            None => VersionRule::new().with_blocked(held),
        };
        (!rule.is_open()).then_some(rule)
    }

    /// Returns whether a roll-out of the service is known.
    pub fn is_deciding(&self, service: &Name) -> bool {
        self.services.borrow().contains_key(service)
    }

    /// Records which versions the upstreams have, if they have changed.
    fn observe_versions(&self, now: Timestamp) {
        let upstreams = self.directory.upstreams();
        if !Rc::ptr_eq(&upstreams, &self.observed.borrow()) {
            self.appearances.borrow_mut().observe(now, &upstreams);
            self.observed.replace(upstreams);
        }
    }

    /// Records that a request is sent to `upstream`; `None` if roll-outs are off.
    pub fn record_sent(self: &Rc<Self>, job: &Job, upstream: &Upstream) -> Option<SentRequest> {
        self.limits()?;
        let service = job.target.clone();
        let version = upstream.version.clone();
        let key = (service.clone(), version.clone());
        *self.running.borrow_mut().entry(key).or_default() += 1;
        self.metrics.record_sent(&service, &version);
        let mut services = self.services.borrow_mut();
        let order = services.get_mut(&service).map(|rollout| {
            rollout.record_sent(&job.admission.route_name, &version);
            rollout.order.id.clone()
        });
        let is_cold = upstream.cold_left.is_some_and(|left| !left.is_zero());
        Some(SentRequest::new(
            Rc::clone(self),
            service,
            version,
            job.admission.route_name.clone(),
            order,
            is_cold,
        ))
    }

    /// Takes over the orders that the store lists. Orders that it no longer lists were
    /// withdrawn.
    fn adopt_listed(self: &Rc<Self>, listed: Vec<FoundRollout>) {
        self.is_listed.set(true);
        let mut services = self.services.borrow_mut();
        for (service, rollout) in services.iter_mut() {
            let is_listed = listed.iter().any(|f| f.order.service == *service);
            if !is_listed && !std::mem::replace(&mut rollout.is_withdrawn, true) {
                info!(self.log, "order to roll out a version withdrawn";
                    "service" => %service,
                    "order" => %rollout.order.id);
            }
        }
        drop(services);
        for found in listed {
            self.adopt_found(found);
        }
    }

    /// Takes over an order as it was found in the store.
    fn adopt_found(self: &Rc<Self>, found: FoundRollout) {
        self.adopt_order(found.order.clone());
        let mut services = self.services.borrow_mut();
        if let Some(rollout) = services.get_mut(&found.order.service) {
            rollout.is_withdrawn = false;
            rollout.found = Some(found);
        }
    }

    /// Replaces the order for a service, unless this is the present one.
    fn adopt_order(self: &Rc<Self>, order: RolloutOrder) {
        let now = self.clock.now();
        let mut services = self.services.borrow_mut();
        let earlier = services.remove(&order.service);
        let is_new_service = earlier.is_none();
        let service = order.service.clone();
        let rollout = match earlier {
            Some(earlier) if earlier.order.id == order.id => earlier,
            earlier => {
                info!(self.log, "order to roll out a version";
                    "service" => %service,
                    "order" => %order.id,
                    "target" => %order.target,
                    "replaces" => earlier.as_ref().map(|e| e.order.id.to_string()),
                    "over_ms" => crate::units::millis(order.duration));
                ServiceRollout::new(now, order, earlier)
            }
        };
        services.insert(service.clone(), rollout);
        drop(services);
        if is_new_service {
            actix_rt::spawn(Rc::clone(self).act(service));
        }
    }

    /// Follows the row of the acting entry on a service, and adopts its order if this entry
    /// has not replaced that by a newer one.
    fn follow_row(self: &Rc<Self>, service: &Name, row: Aged<RolloutRow>) {
        if row.value.order.service != *service {
            warn!(self.log, "row on a roll-out names another service";
                "service" => %service,
                "named" => %row.value.order.service);
            return;
        }
        let is_stale = self.services.borrow().get(service).is_some_and(|rollout| {
            rollout.is_superseded(&row.value.order.id)
                || (rollout.is_withdrawn && rollout.order.id == row.value.order.id)
        });
        if is_stale {
            return;
        }
        self.adopt_order(row.value.order.clone());
        let published_at = self.clock.now().before(row.age);
        if let Some(rollout) = self.services.borrow_mut().get_mut(service) {
            rollout.follow(&self.log, published_at, row.value);
        }
    }

    /// Returns the requests that run at other versions of a service than `target`.
    fn running_old(&self, service: &Name, target: &Name) -> u32 {
        let running = self.running.borrow();
        let old = running
            .iter()
            .filter(|((s, version), _)| s == service && version.as_ref() != Some(target));
        old.map(|(_, count)| *count).sum()
    }

    /// Reports what this entry knows of each roll-out to the acting entry.
    fn report(&self) {
        let now = self.clock.now();
        for (service, rollout) in self.services.borrow_mut().iter_mut() {
            rollout.log_stop(&self.log);
            let running = self.running_old(service, &rollout.order.target);
            // After the end of an order only what still runs at old upstreams matters.
            let state = rollout.state();
            let has_ended = state.is_some_and(|s| s != RolloutState::InProgress);
            let is_over = now.since(rollout.known_since) > rollout.order.duration;
            if !(has_ended && is_over) {
                rollout.report(&self.gossip, &self.log, running);
            }
            self.metrics.record_share(service, rollout);
        }
    }

    /// Drops withdrawn roll-outs whose target no upstream has any more.
    fn drop_ended(&self) {
        let upstreams = self.directory.upstreams();
        self.services.borrow_mut().retain(|service, rollout| {
            let mut of_service = upstreams.values().filter(|u| u.serves.contains(service));
            let target = &rollout.order.target;
            !rollout.is_withdrawn
                || (!rollout.is_complete()
                    && of_service.any(|u| u.version.as_ref() == Some(target)))
        });
    }
}

/// Adds up totals of all routes.
fn sum<'a, I>(totals: I) -> VersionTotals
where
    I: Iterator<Item = &'a VersionTotals>,
{
    totals.fold(VersionTotals::default(), |mut sum, totals| {
        sum.sent += totals.sent;
        sum.answered += totals.answered;
        sum.bad += totals.bad;
        sum
    })
}
