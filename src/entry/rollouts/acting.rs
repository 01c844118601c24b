//! Decisions on a roll-out by the entry that aggregates its service.
//!
//! Whether an order is final is decided by conditional writes of its record. Two entries
//! may act for a moment: the one whose write fails takes over what the other has written.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;

use self::decision::DecisionLog;
use self::decision::is_cautious;
use super::Rollouts;
use super::record::RecordError;
use super::record::RolloutRecord;
use super::service::initial_row;
use crate::clock::Timestamp;
use crate::discovery::FoundRollout;
use crate::discovery::RolloutStore;
use crate::gossip::Topic;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::object_store::TimelineReceiver;
use crate::rollout::RolloutController;
use crate::rollout::RolloutEvidence;
use crate::rollout::RolloutLimits;
use crate::rollout::RolloutOrder;
use crate::rollout::RolloutRow;
use crate::rollout::RolloutState;

mod decision;
mod status;

pub use self::decision::is_change;

/// Time between two decisions. It is a small part of the five seconds in which a bad
/// version is to be rolled back.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two publications of a row without a change. Entries stop sending to the
/// target after 3 s without a row.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two publications of a final row, on which only entries depend that start.
const FINAL_PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of entries whose evidence is kept, with those that have ended. Each start of
/// an entry adds one.
const MAX_ENTRIES: usize = 4096;

/// Time after a take-over in which the last row is kept, until the other entries have
/// reported to this one. They do so every 400 ms at least.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Shortest time between a failed call to the store and the next: the platform allows
/// three calls a second.
const RETRY_INTERVAL: Duration = Duration::from_millis(340);

/// What the acting entry knows of an order.
struct Acting {
    order: RolloutOrder,
    controller: RolloutController,
    /// The row that all entries follow.
    row: RolloutRow,
    /// Whether the record holds `row`, apart from the time.
    is_recorded: bool,
    record: RolloutRecord,
    /// The last evidence of each entry, also of those that have ended since: the totals
    /// must not shrink.
    evidence: BTreeMap<Incarnation, RolloutEvidence>,
    /// When this entry began to act, and how long after the order that was.
    since: Timestamp,
    base_elapsed: Duration,
    published_at: Option<Timestamp>,
    /// Until when the store is not called again after a failure.
    store_after: Timestamp,
    /// Whether a failure of the store was logged and it has not answered since.
    is_failure_logged: bool,
    log: DecisionLog,
}

/// What came of writing the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RecordOutcome {
    /// The record is as this entry wants it.
    Recorded,
    /// Another entry has recorded a later decision, which holds now.
    Adopted,
    /// The record was not written, or it is not known whether it was.
    NotRecorded,
}

/// The sum of the evidence of all entries.
struct Sum {
    evidence: RolloutEvidence,
    /// Entries that have reported lately.
    reporters: usize,
    /// The age of the oldest of these reports.
    oldest: Duration,
}

impl Rollouts {
    /// Decides on the roll-outs of a service while this entry aggregates it. Returns when
    /// there is no order for it any more.
    pub(super) async fn act(self: Rc<Self>, service: Name) {
        let Some(store) = self.store.clone() else {
            return;
        };
        let mut timelines = store.records().timelines();
        timelines.mark_unchanged();
        let mut acting: Option<Acting> = None;
        loop {
            actix_rt::time::sleep(DECISION_INTERVAL).await;
            let (Some(order), Some(limits)) = (self.order_of(&service), self.limits()) else {
                return;
            };
            if !self.acts_on(&service) {
                acting = None;
                continue;
            }
            let current = acting.take().filter(|a| a.order.id == order.id);
            let mut current = match current {
                Some(current) => current,
                None => match self.take_over(&store, &order, limits).await {
                    Some(current) => current,
                    None => continue,
                },
            };
            self.expect_restore(&mut timelines, &mut current);
            self.decide(&mut current, limits).await;
            self.write_status(&store, &mut current).await;
            acting = Some(current);
        }
    }

    fn order_of(&self, service: &Name) -> Option<RolloutOrder> {
        let services = self.services.borrow();
        services.get(service).map(|rollout| rollout.order.clone())
    }

    /// Returns whether this entry decides on a service: it aggregates its reports, and the
    /// order was not withdrawn.
    fn acts_on(&self, service: &Name) -> bool {
        let services = self.services.borrow();
        let is_withdrawn = services.get(service).is_some_and(|r| r.is_withdrawn);
        !is_withdrawn && self.gossip.is_aggregator(Topic::Rollout, service)
    }

    /// Begins to act on an order, from its record or from the last row. Returns `None` if
    /// neither is known because the store does not answer.
    async fn take_over(
        &self,
        store: &Rc<dyn RolloutStore>,
        order: &RolloutOrder,
        limits: RolloutLimits,
    ) -> Option<Acting> {
        let mut record = RolloutRecord::new(Rc::clone(store), &order.service, self.log.clone());
        let read = record.read().await;
        let now = self.clock.now();
        let followed = self.followed_row(now, order);
        if let Err(e) = &read {
            if followed.is_none() {
                actix_rt::time::sleep(RETRY_INTERVAL).await;
                return None;
            }
            warn!(self.log, "roll-out taken over without its record";
                "service" => %order.service,
                "error" => %e);
        }
        let stored = record.stored();
        let stored_row = stored.filter(|s| s.row.order.id == order.id);
        let stored_row = stored_row.map(|s| s.aged_row());
        let is_first_record = stored.is_none() && read.is_ok();
        let status_row = self
            .status_row(order)
            .filter(|_| is_first_record && followed.is_none());
        let is_recorded = stored_row.is_some();
        let base = latest_row(stored_row, followed).or(status_row);
        let since_order = self.known_since(order);
        let controller = match &base {
            Some(row) => RolloutController::resume(row, limits, now),
            None => RolloutController::new(order.clone(), limits, since_order.unwrap_or(now)),
        };
        info!(self.log, "roll-out taken over";
            "service" => %order.service,
            "order" => %order.id,
            "target" => %order.target,
            "recorded" => is_recorded,
            "step" => base.as_ref().map(|row| row.step),
            "state" => base.as_ref().map(|row| format!("{:?}", row.state)));
        Some(Acting {
            order: order.clone(),
            controller,
            // Without a base there is no row to keep for a time.
            since: if base.is_some() {
                now
            } else {
                Timestamp::default()
            },
            base_elapsed: base.as_ref().map_or(Duration::ZERO, |row| row.elapsed),
            row: base.unwrap_or_else(|| initial_row(order)),
            is_recorded,
            record,
            evidence: BTreeMap::new(),
            published_at: None,
            store_after: Timestamp::default(),
            is_failure_logged: false,
            log: DecisionLog::default(),
        })
    }

    /// Returns the last row that this entry has followed on an order, with the time since
    /// its publication added to that since the order.
    fn followed_row(&self, now: Timestamp, order: &RolloutOrder) -> Option<RolloutRow> {
        let services = self.services.borrow();
        let rollout = services.get(&order.service);
        let rollout = rollout.filter(|r| r.order.id == order.id)?;
        let (published_at, row) = rollout.row.as_ref()?;
        let mut row = row.clone();
        if row.state == RolloutState::InProgress {
            row.elapsed += now.since(*published_at);
        }
        Some(row)
    }

    /// Returns the row of an order whose record is lost, but whose status is final.
    fn status_row(&self, order: &RolloutOrder) -> Option<RolloutRow> {
        let state = self.found(order)?.state()?;
        (state != RolloutState::InProgress).then(|| RolloutRow {
            elapsed: order.duration,
            share: if state == RolloutState::Complete {
                1.0
            } else {
                0.0
            },
            state,
            reason: Name::new("status"),
            ..initial_row(order)
        })
    }

    fn known_since(&self, order: &RolloutOrder) -> Option<Timestamp> {
        let services = self.services.borrow();
        services.get(&order.service).map(|r| r.known_since)
    }

    fn found(&self, order: &RolloutOrder) -> Option<FoundRollout> {
        let services = self.services.borrow();
        let found = services.get(&order.service)?.found.clone();
        found.filter(|f| f.order.id == order.id)
    }

    /// Writes the record again if the store was restored from an older copy.
    fn expect_restore(&self, timelines: &mut TimelineReceiver, acting: &mut Acting) {
        if timelines.has_changed().unwrap_or_default() {
            timelines.mark_unchanged();
            acting.is_recorded = false;
        }
    }

    /// Sums the reports of all entries.
    fn sum(&self, acting: &mut Acting) -> Sum {
        let service = &acting.order.service;
        let reports = self
            .gossip
            .reports::<RolloutEvidence>(Topic::Rollout, service);
        let mut sum = RolloutEvidence::new(&acting.order.id);
        let (mut running_old, mut reporters, mut oldest) = (0_u32, 0, Duration::ZERO);
        for (entry, report) in reports {
            if report.value.order != acting.order.id {
                continue;
            }
            running_old = running_old.saturating_add(report.value.running_old);
            reporters += 1;
            oldest = oldest.max(report.age);
            let is_known = acting.evidence.contains_key(&entry);
            if is_known || acting.evidence.len() < MAX_ENTRIES {
                acting.evidence.insert(entry, report.value);
            }
        }
        for evidence in acting.evidence.values() {
            sum.add(evidence);
        }
        // What has run at an entry that has ended runs no more.
        sum.running_old = running_old;
        Sum {
            evidence: sum,
            reporters,
            oldest,
        }
    }

    /// Takes the next decision, and publishes the row that holds after it.
    async fn decide(&self, acting: &mut Acting, limits: RolloutLimits) {
        let now = self.clock.now();
        let is_settled = now.since(acting.since) >= SETTLE_TIME;
        match (acting.row.state, is_settled) {
            (RolloutState::InProgress, true) => self.decide_share(now, acting, limits).await,
            (RolloutState::InProgress, false) => {
                acting.row.elapsed = acting.base_elapsed + now.since(acting.since);
            }
            (RolloutState::Complete | RolloutState::Reverted, _) => {}
        }
        if !acting.is_recorded {
            let row = acting.row.clone();
            self.record(acting, &row, limits).await;
        }
        self.publish_if_due(acting);
    }

    async fn decide_share(&self, now: Timestamp, acting: &mut Acting, limits: RolloutLimits) {
        let sum = self.sum(acting);
        let before = acting.controller.clone();
        let row = acting.controller.decide(now, &sum.evidence);
        acting.log.record(&self.log, &acting.row, &row, &sum);
        if is_cautious(&acting.row, &row) {
            // The row takes effect at once, and is recorded when the store answers.
            acting.is_recorded &= !is_change(&acting.row, &row);
            self.replace_row(acting, row);
            return;
        }
        match self.record(acting, &row, limits).await {
            RecordOutcome::Recorded => self.replace_row(acting, row),
            RecordOutcome::Adopted => {}
            RecordOutcome::NotRecorded => {
                // The share stays as it is until the record is written.
                acting.controller.take_back(&before);
                acting.row.elapsed = row.elapsed;
                acting.row.bad = row.bad;
            }
        }
    }

    fn replace_row(&self, acting: &mut Acting, row: RolloutRow) {
        if is_change(&acting.row, &row) {
            acting.published_at = None;
        }
        acting.row = row;
    }

    /// Writes the record. Takes over that of another entry that has acted meanwhile.
    async fn record(
        &self,
        acting: &mut Acting,
        row: &RolloutRow,
        limits: RolloutLimits,
    ) -> RecordOutcome {
        if self.clock.now() < acting.store_after {
            return RecordOutcome::NotRecorded;
        }
        // A row that takes effect without the record must not wait for it.
        if acting.published_at.is_none() && acting.row.step == row.step {
            self.publish_if_due(acting);
        }
        match acting.record.write(row).await {
            Ok(()) => {
                acting.is_recorded = true;
                acting.is_failure_logged = false;
                RecordOutcome::Recorded
            }
            Err(RecordError::Replaced) => match self.adopt_record(acting, limits) {
                true => RecordOutcome::Adopted,
                false => RecordOutcome::NotRecorded,
            },
            Err(e @ (RecordError::Store(_) | RecordError::Encode(_))) => {
                self.log_failure(acting, &e);
                RecordOutcome::NotRecorded
            }
        }
    }

    fn log_failure(&self, acting: &mut Acting, e: &RecordError) {
        acting.store_after = self.clock.now() + RETRY_INTERVAL;
        if !std::mem::replace(&mut acting.is_failure_logged, true) {
            warn!(self.log, "could not record a roll-out";
                "service" => %acting.order.service,
                "step" => acting.row.step,
                "error" => %e);
        }
    }

    /// Takes over what another entry has recorded on the order, unless that is older than
    /// what this entry knows. Otherwise the record is written over with the next attempt.
    /// Returns whether it was taken over.
    fn adopt_record(&self, acting: &mut Acting, limits: RolloutLimits) -> bool {
        let stored = acting.record.stored();
        let Some(stored) = stored.filter(|s| s.row.order.id == acting.order.id) else {
            return false;
        };
        let row = stored.aged_row();
        let is_final = row.state != RolloutState::InProgress;
        let own_is_final = acting.row.state != RolloutState::InProgress;
        let is_newer = is_final || (!own_is_final && row.step > acting.row.step);
        if !is_newer {
            return false;
        }
        info!(self.log, "roll-out was recorded by another entry";
            "service" => %acting.order.service,
            "step" => row.step,
            "share" => row.share,
            "state" => ?row.state);
        acting.controller = RolloutController::resume(&row, limits, self.clock.now());
        acting.row = row;
        acting.is_recorded = true;
        acting.published_at = None;
        true
    }

    fn publish_if_due(&self, acting: &mut Acting) {
        let now = self.clock.now();
        let interval = match acting.row.state {
            RolloutState::InProgress => PUBLISH_INTERVAL,
            RolloutState::Complete | RolloutState::Reverted => FINAL_PUBLISH_INTERVAL,
        };
        let is_due = acting
            .published_at
            .is_none_or(|at| now.since(at) >= interval);
        if !is_due {
            return;
        }
        acting.published_at = Some(now);
        let service = &acting.order.service;
        if let Err(e) = self.gossip.publish(Topic::Rollout, service, &acting.row) {
            warn!(self.log, "could not publish a roll-out"; "service" => %service, "error" => %e);
        }
        if let Some(rollout) = self.services.borrow_mut().get_mut(service) {
            rollout.follow(&self.log, now, acting.row.clone());
        }
    }
}

/// Returns the row with the state that holds: a final one, or that of the later step. The
/// bad answers and the time that either knows of count.
fn latest_row(stored: Option<RolloutRow>, followed: Option<RolloutRow>) -> Option<RolloutRow> {
    let (stored, followed) = match (stored, followed) {
        (Some(stored), Some(followed)) => (stored, followed),
        (stored, followed) => return stored.or(followed),
    };
    let (bad, elapsed) = (
        stored.bad.max(followed.bad),
        stored.elapsed.min(followed.elapsed),
    );
    let is_stored_final = stored.state != RolloutState::InProgress;
    let is_followed_final = followed.state != RolloutState::InProgress;
    let mut row = match is_stored_final || (!is_followed_final && stored.step > followed.step) {
        true => stored,
        false => followed,
    };
    row.bad = bad;
    row.elapsed = elapsed;
    Some(row)
}
