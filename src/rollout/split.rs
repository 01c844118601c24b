//! Split of an entry's requests between the versions of a service.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;
use crate::rollout::RolloutEvidence;
use crate::rollout::RolloutOrder;
use crate::rollout::RolloutRow;
use crate::rollout::RolloutState;

#[cfg(test)]
mod tests;

/// Age from which a row no longer allows requests to the target. Rows are published at least
/// once a second.
const ROW_TIMEOUT: Duration = Duration::from_secs(3);

/// Bad answers of the target with which an entry stops by itself.
const STOP_BAD_ANSWERS: u64 = 10;

/// How many times as many bad answers per request as the others the target must have for a stop.
const STOP_RATIO: f64 = 10.0;

/// Time after which an entry that has stopped by itself follows a share that is still above
/// zero. The controller has its report and has judged by then.
const STOP_TIME: Duration = Duration::from_secs(3);

/// Versions that may serve a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionChoice {
    /// All versions.
    Any,
    /// Only this one.
    Only(Name),
    /// All but this one.
    AllBut(Name),
}

/// Reason for which an entry sends nothing more to the target by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Many of its own requests got bad answers from the target, but not from other versions.
    BadAnswers {
        /// Bad answers of the target at this entry.
        bad: u64,
        /// All answers of the target at this entry.
        answered: u64,
    },
}

/// Answers and bad ones.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    answered: u64,
    bad: u64,
}

/// Splits the requests of a service at one entry, and counts them.
///
/// Invariant: `running_old` and `running_target` together are the requests that were sent and
/// have not ended, whatever orders came in between.
#[derive(Clone, Debug, Default)]
pub struct VersionSplit {
    followed: Option<Followed>,
    running_old: u32,
    running_target: u32,
    /// Requests to the target of an earlier order that still run. They say nothing of this one.
    stale_targets: u32,
}

/// What is known of the order that counts.
#[derive(Clone, Debug)]
struct Followed {
    order: RolloutOrder,
    /// The last row and when it was published; `None` while only the order is known.
    row: Option<(Timestamp, RolloutRow)>,
    evidence: RolloutEvidence,
    /// Answers since the order, or since the last stop ended.
    target: Answers,
    others: Answers,
    stop: Option<StopReason>,
    /// When the stop was first noticed.
    stopped_at: Option<Timestamp>,
}

impl Followed {
    fn new(order: &RolloutOrder) -> Self {
        Self {
            order: order.clone(),
            row: None,
            evidence: RolloutEvidence::new(&order.id),
            target: Answers::default(),
            others: Answers::default(),
            stop: None,
            stopped_at: None,
        }
    }

    fn state(&self) -> RolloutState {
        let state = self.row.as_ref().map(|(_, row)| row.state);
        state.unwrap_or(RolloutState::InProgress)
    }

    /// Returns whether a row says something that this entry may go over to.
    fn accepts(&self, published_at: Timestamp, row: &RolloutRow) -> bool {
        let Some((known_at, known)) = &self.row else {
            return true;
        };
        match (known.state, row.state) {
            // The same row again does not become younger.
            (RolloutState::InProgress, RolloutState::InProgress) => {
                published_at >= *known_at && row != known
            }
            (RolloutState::InProgress, RolloutState::Complete | RolloutState::Reverted) => true,
            // A rollback is published before it is written, `Complete` only afterwards.
            (RolloutState::Reverted, RolloutState::Complete) => true,
            (RolloutState::Complete | RolloutState::Reverted, _) => false,
        }
    }

    /// Ends a stop if rows published long after it still give the target a share.
    fn end_stop(&mut self, now: Timestamp) {
        if self.stop.is_none() {
            return;
        }
        let stopped_at = *self.stopped_at.get_or_insert(now);
        let published_at = self.row.as_ref().map(|(at, _)| *at);
        if published_at.is_some_and(|at| at.since(stopped_at) > STOP_TIME) {
            self.stop = None;
            self.stopped_at = None;
            self.target = Answers::default();
            self.others = Answers::default();
        }
    }

    fn count_answer(&mut self, is_target: bool, is_bad: bool) {
        let counted = match is_target {
            true => &mut self.target,
            false => &mut self.others,
        };
        counted.answered += 1;
        counted.bad += u64::from(is_bad);
        let Answers { answered, bad } = self.target;
        if self.stop.is_none() && bad >= STOP_BAD_ANSWERS {
            let others = self.others.bad as f64 / (self.others.answered as f64).max(1.0);
            if others * STOP_RATIO < bad as f64 / answered as f64 {
                self.stop = Some(StopReason::BadAnswers { bad, answered });
            }
        }
    }
}

impl VersionSplit {
    /// Creates the split of an entry that knows of no order.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over an order of which no row is known yet: nothing is sent to the target until
    /// then. Changes nothing if the order is known.
    pub fn follow_order(&mut self, order: &RolloutOrder) {
        if self
            .followed
            .as_ref()
            .is_none_or(|f| f.order.id != order.id)
        {
            self.followed = Some(Followed::new(order));
            self.stale_targets = self.stale_targets.max(self.running_target);
        }
    }

    /// Takes over a row that was published at `published_at`, by the clock of this entry.
    pub fn follow(&mut self, published_at: Timestamp, row: &RolloutRow) {
        self.follow_order(&row.order);
        let followed = self.followed.as_mut();
        if let Some(followed) = followed.filter(|f| f.accepts(published_at, row)) {
            followed.row = Some((published_at, row.clone()));
        }
    }

    /// Forgets an order that was withdrawn.
    pub fn withdraw(&mut self) {
        self.followed = None;
    }

    /// Returns which versions may serve the next request. `draw` is a random number from 0 to 1.
    pub fn choose(&mut self, now: Timestamp, draw: f64) -> VersionChoice {
        let Some(followed) = &mut self.followed else {
            return VersionChoice::Any;
        };
        followed.end_stop(now);
        let target = followed.order.target.clone();
        match followed.state() {
            RolloutState::Complete => return VersionChoice::Only(target),
            RolloutState::Reverted => return VersionChoice::AllBut(target),
            RolloutState::InProgress => {}
        }
        let row = followed.row.as_ref();
        let fresh = row.filter(|(at, _)| now.since(*at) <= ROW_TIMEOUT);
        let share = fresh.map_or(0.0, |(_, row)| row.share);
        match followed.stop {
            None if draw < share => VersionChoice::Only(target),
            None | Some(_) => VersionChoice::AllBut(target),
        }
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, route: &Name, is_target: bool) {
        let running = match is_target {
            true => &mut self.running_target,
            false => &mut self.running_old,
        };
        *running = running.saturating_add(1);
        if let Some(followed) = &mut self.followed {
            let totals = followed.evidence.route_mut(route).version_mut(is_target);
            totals.sent = totals.sent.saturating_add(1);
        }
    }

    /// Records the end of a request. `is_target` is as when it was sent; `start` is the time to
    /// the first byte, or `None` if there was none or the upstream is still warming up.
    pub fn record_answer(
        &mut self,
        route: &Name,
        is_target: bool,
        is_bad: bool,
        start: Option<Duration>,
    ) {
        let running = match (is_target, self.running_target, self.running_old) {
            (true, 1.., _) | (false, _, 0) => &mut self.running_target,
            (true, 0, _) | (false, _, 1..) => &mut self.running_old,
        };
        *running = running.saturating_sub(1);
        if is_target && self.stale_targets > 0 {
            self.stale_targets -= 1;
            return;
        }
        let Some(followed) = &mut self.followed else {
            return;
        };
        followed.count_answer(is_target, is_bad);
        let totals = followed.evidence.route_mut(route).version_mut(is_target);
        totals.answered = totals.answered.saturating_add(1);
        totals.bad = totals.bad.saturating_add(u64::from(is_bad));
        if let Some(start) = start.filter(|_| !is_bad) {
            totals.add_start(start);
        }
    }

    /// Returns the totals since the order became known, in a form that fits in a report. The
    /// order is empty if none is known.
    pub fn evidence(&self) -> RolloutEvidence {
        let evidence = self.followed.as_ref().map(|f| f.evidence.clone());
        let mut evidence = evidence.unwrap_or_else(|| RolloutEvidence::new(&Name::new("")));
        evidence.running_old = self.running_old.saturating_add(self.stale_targets);
        evidence.compact()
    }

    /// Returns why this entry sends nothing to the target, if it has stopped by itself.
    pub fn stop_reason(&self) -> Option<StopReason> {
        self.followed.as_ref().and_then(|f| f.stop)
    }
}
