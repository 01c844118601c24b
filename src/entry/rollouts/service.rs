//! The roll-out of one service at one entry.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;

use crate::clock::Timestamp;
use crate::directory::SoftwareVersion;
use crate::discovery::FoundRollout;
use crate::entry::gossip::EntryGossip;
use crate::entry::rollouts::acting::is_change;
use crate::entry::rollouts::rule::VersionRule;
use crate::entry::rollouts::sum;
use crate::gossip::Topic;
use crate::name::Name;
use crate::rollout::RolloutEvidence;
use crate::rollout::RolloutOrder;
use crate::rollout::RolloutRow;
use crate::rollout::RolloutState;
use crate::rollout::VersionChoice;
use crate::rollout::VersionSplit;

/// Number of replaced orders that are remembered. Rows on them can arrive for some seconds
/// from entries that have not seen the newer order.
const MAX_SUPERSEDED: usize = 8;

/// The order for a service, and what this entry knows of it.
pub struct ServiceRollout {
    /// The order.
    pub order: RolloutOrder,
    /// When this entry learnt of the order.
    pub known_since: Timestamp,
    /// The order as it was last found in the store; `None` if only other entries have
    /// told of it.
    pub found: Option<FoundRollout>,
    /// The last row that was followed, and when it was published.
    pub row: Option<(Timestamp, RolloutRow)>,
    /// Whether the store no longer lists the order.
    pub is_withdrawn: bool,
    split: VersionSplit,
    /// The ids of the orders that this one has replaced, the latest last.
    superseded: VecDeque<Name>,
    /// The targets of replaced orders that were not completed.
    abandoned: BTreeSet<Name>,
    is_stop_logged: bool,
    /// Whether a report could not be sent, which was logged.
    is_report_failing: bool,
}

impl ServiceRollout {
    /// Creates the state of an order that has become known and replaces `earlier`. Its
    /// target gets nothing until a row says so.
    pub fn new(now: Timestamp, order: RolloutOrder, earlier: Option<Self>) -> Self {
        let mut split = VersionSplit::new();
        split.follow_order(&order);
        let (mut superseded, mut abandoned) = (VecDeque::new(), BTreeSet::new());
        if let Some(earlier) = earlier {
            superseded = earlier.superseded;
            superseded.push_back(earlier.order.id.clone());
            if superseded.len() > MAX_SUPERSEDED {
                superseded.pop_front();
            }
            abandoned = earlier.abandoned;
            if earlier
                .row
                .is_none_or(|(_, row)| row.state != RolloutState::Complete)
            {
                abandoned.insert(earlier.order.target);
            }
        }
        superseded.retain(|id| *id != order.id);
        abandoned.remove(&order.target);
        Self {
            order,
            known_since: now,
            found: None,
            row: None,
            is_withdrawn: false,
            split,
            superseded,
            abandoned,
            is_stop_logged: false,
            is_report_failing: false,
        }
    }

    /// Returns whether this entry has replaced the order of this id by a newer one.
    pub fn is_superseded(&self, id: &Name) -> bool {
        self.superseded.contains(id)
    }

    /// Returns whether the order is complete.
    pub fn is_complete(&self) -> bool {
        self.state() == Some(RolloutState::Complete)
    }

    /// Returns the state in the last row; `None` before the first.
    pub fn state(&self) -> Option<RolloutState> {
        self.row.as_ref().map(|(_, row)| row.state)
    }

    /// Returns the part of the requests that the target is to get.
    pub fn share(&self) -> f64 {
        self.row.as_ref().map_or(0.0, |(_, row)| row.share)
    }

    /// Returns the part of the requests of this entry that the target has got since the
    /// order; 0 without any.
    pub fn actual_share(&self) -> f64 {
        let evidence = self.split.evidence();
        let target = sum(evidence.routes.values().map(|r| &r.target)).sent;
        let others = sum(evidence.routes.values().map(|r| &r.others)).sent;
        match target + others {
            0 => 0.0,
            all => target as f64 / all as f64,
        }
    }

    /// Follows a row that was published at `published_at`. A final state is not left.
    pub fn follow(&mut self, log: &Logger, published_at: Timestamp, row: RolloutRow) {
        if row.order.id != self.order.id {
            return;
        }
        if let Some((at, last)) = &self.row {
            let is_out = match (last.state, row.state) {
                (RolloutState::InProgress, RolloutState::InProgress) => *at > published_at,
                (RolloutState::InProgress, RolloutState::Complete | RolloutState::Reverted) => {
                    false
                }
                // A rollback takes effect before it is recorded.
                (RolloutState::Reverted, RolloutState::Complete) => false,
                (last, next) => last != next,
            };
            if is_out {
                return;
            }
        }
        if self
            .row
            .as_ref()
            .is_none_or(|(_, last)| is_change(last, &row))
        {
            info!(log, "roll-out followed";
                "service" => %row.order.service,
                "target" => %row.order.target,
                "step" => row.step,
                "share" => row.share,
                "state" => ?row.state,
                "reason" => %row.reason);
        }
        self.split.follow(published_at, &row);
        self.row = Some((published_at, row));
    }

    /// Returns which versions may serve a request. The versions in `held` get nothing yet.
    pub fn rule(&mut self, now: Timestamp, draw: f64, held: Vec<SoftwareVersion>) -> VersionRule {
        let target = self.order.target.clone();
        let choice = match self.state() {
            Some(RolloutState::Complete) => VersionChoice::Only(target.clone()),
            Some(RolloutState::Reverted) => VersionChoice::AllBut(target.clone()),
            _ if self.is_withdrawn => VersionChoice::AllBut(target.clone()),
            _ => self.split.choose(now, draw),
        };
        // The order says what the target gets, so that it need not be held.
        let held = held.into_iter().filter(|v| v.as_ref() != Some(&target));
        let abandoned = self.abandoned.iter().cloned().map(Some);
        VersionRule::new()
            .with_choice(choice, self.share())
            .with_blocked(held)
            .with_blocked(abandoned)
    }

    /// Records that a request was sent to an upstream of a version.
    pub fn record_sent(&mut self, route: &Name, version: &SoftwareVersion) {
        let is_target = version.as_ref() == Some(&self.order.target);
        self.split.record_sent(route, is_target);
    }

    /// Records an answer. `start` is the time to its first byte, where it is evidence.
    pub fn record_answer(
        &mut self,
        route: &Name,
        version: &SoftwareVersion,
        is_bad: bool,
        start: Option<Duration>,
    ) {
        let is_target = version.as_ref() == Some(&self.order.target);
        self.split.record_answer(route, is_target, is_bad, start);
    }

    /// Returns what this entry knows of the order. `running` requests run at other
    /// versions; while new ones may still be sent there, one more counts.
    pub fn evidence(&self, running: u32) -> RolloutEvidence {
        let mut evidence = self.split.evidence();
        evidence.order = self.order.id.clone();
        let follows_all = self.share() >= 1.0 || self.is_complete();
        evidence.running_old = running.saturating_add(u32::from(!follows_all));
        evidence
    }

    /// Reports what this entry knows to the acting entry.
    pub fn report(&mut self, gossip: &EntryGossip, log: &Logger, running: u32) {
        let evidence = self.evidence(running);
        let service = &self.order.service;
        let reported = gossip.report(Topic::Rollout, service, &evidence);
        if let Err(e) = reported
            && !std::mem::replace(&mut self.is_report_failing, true)
        {
            warn!(log, "could not report on a roll-out"; "service" => %service, "error" => %e);
        }
    }

    /// Logs, once, that this entry sends nothing more to the target by itself.
    pub fn log_stop(&mut self, log: &Logger) {
        if self.is_stop_logged {
            return;
        }
        if let Some(reason) = self.split.stop_reason() {
            self.is_stop_logged = true;
            warn!(log, "target of a roll-out gets no more requests of this entry";
                "service" => %self.order.service,
                "target" => %self.order.target,
                "reason" => ?reason);
        }
    }
}

/// Returns the row that holds before the acting entry has published one.
pub fn initial_row(order: &RolloutOrder) -> RolloutRow {
    RolloutRow {
        order: order.clone(),
        elapsed: Duration::ZERO,
        step: 0,
        share: 0.0,
        state: RolloutState::InProgress,
        reason: Name::new("ordered"),
        bad: 0,
    }
}
