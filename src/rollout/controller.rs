//! Decisions of the acting entry on the share of the target.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::name::Name;
use crate::rollout::RolloutEvidence;
use crate::rollout::RolloutLimits;
use crate::rollout::RolloutOrder;
use crate::rollout::RolloutRow;
use crate::rollout::RolloutState;
use crate::rollout::comparison::Span;
use crate::rollout::judge::Judge;
use crate::rollout::judge::Verdict;

#[cfg(test)]
mod tests;

/// Part of the canary share that is used, so that the draws of all entries stay below it.
const CANARY_PART: f64 = 0.8;

/// Part of the duration for which the canary lasts.
const CANARY_TIME: f64 = 0.6;

/// Part of the duration until the end of which good versions should be complete.
const COMPLETE_TIME: f64 = 0.9;

/// Time before the end at which it is decided with what is known. The last step must show its
/// effect, and requests at old upstreams end; with 1.6 s, rows that were lost once led to answers
/// that were cut off.
const LAST_STEP: Duration = Duration::from_secs(2);

/// Part of the duration after which a rollout is complete although requests still run at old
/// upstreams.
const LAST_TIME: f64 = 0.96;

/// Shares of the steps after the canary.
const STEPS: [f64; 3] = [0.25, 0.5, 1.0];

/// Share at which a target is compared again after a doubtful last step.
const DOUBT_SHARE: f64 = 0.5;

/// Least time at a step.
const MIN_STEP: Duration = Duration::from_secs(1);

/// Time from a decision until its effect shows in the evidence: a row and a report take up to
/// 800 and 400 ms.
const EFFECT_TIME: Duration = Duration::from_millis(1200);

/// Time after which an entry that has begun to act has the reports of the others, also if some
/// are lost.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// Time for which a step lasts within the bounds before it can be taken back.
const STEP_RISK: Duration = Duration::from_millis(2400);

/// Part of the slack that planned steps use. Reports that were lost hide some requests.
const SLACK_PART: f64 = 0.5;

/// Least time between two windows of evidence. Entries report every 400 ms at most.
const WINDOW: Duration = Duration::from_millis(350);

/// Requests that the canary would have got, from which it is noticed if it got none. Random
/// draws give none of ten once in 20,000 times.
const MIN_EXPECTED: f64 = 10.0;

/// Bad answers from which the limit on the time of the rollback runs.
const BAD_ANSWERS: u64 = 50;

/// Part of that time after which less evidence suffices for a rollback. Rows take some of it.
const ROLLBACK_PART: f64 = 0.4;

/// Reason of a rollout without requests that show a difference.
const FEW_REQUESTS: &str = "complete, few requests";

/// Decides on the share of the target from the sum of all entries' evidence.
///
/// Invariant: a final state never changes.
#[derive(Clone, Debug)]
pub struct RolloutController {
    row: RolloutRow,
    limits: RolloutLimits,
    /// The time and the elapsed time at which this entry began to act.
    begun_at: Timestamp,
    begun_elapsed: Duration,
    judge: Judge,
    /// Whether any upstream has the version.
    has_upstreams: bool,
    window_at: Timestamp,
    /// Requests sent to the target and to all versions, as far as known.
    sent_target: u64,
    sent: u64,
    /// When the share was last changed.
    stepped_at: Timestamp,
    /// Requests of the target that were answered since the effect of that showed.
    fresh: u64,
    /// Whether no requests were sent to the old versions in the last window.
    is_old_idle: bool,
    /// When enough bad answers for the limit of the rollback were known.
    bad_since: Option<Timestamp>,
    /// Whether the target failed more at the last step than the others before.
    is_doubtful: bool,
    /// Whether the evidence sufficed to exclude a fault.
    was_clear: bool,
}

impl RolloutController {
    /// Creates the controller of an order that was given now.
    pub fn new(order: RolloutOrder, limits: RolloutLimits, now: Timestamp) -> Self {
        let row = RolloutRow {
            order,
            elapsed: Duration::ZERO,
            step: 0,
            share: limits.canary_share.clamp(0.0, 1.0) * CANARY_PART,
            state: RolloutState::InProgress,
            reason: "canary".into(),
            bad: 0,
        };
        Self::resume(&row, limits, now)
    }

    /// Creates the controller of an order that another entry has acted on, from its last row,
    /// which must be adjusted by its age.
    pub fn resume(row: &RolloutRow, limits: RolloutLimits, now: Timestamp) -> Self {
        Self {
            row: row.clone(),
            limits,
            begun_at: now,
            begun_elapsed: row.elapsed,
            judge: Judge::default(),
            has_upstreams: true,
            window_at: now,
            sent_target: 0,
            sent: 0,
            stepped_at: now,
            fresh: 0,
            is_old_idle: false,
            bad_since: None,
            is_doubtful: false,
            was_clear: false,
        }
    }

    /// Sets whether any upstream has the version. Without any, the order is reverted at its end,
    /// also if there are too few requests to notice.
    pub fn set_has_upstreams(&mut self, has_upstreams: bool) {
        self.has_upstreams = has_upstreams;
    }

    /// Decides on the share and state. `evidence` is the sum of the last reports of all
    /// entries.
    pub fn decide(&mut self, now: Timestamp, evidence: &RolloutEvidence) -> RolloutRow {
        self.row.elapsed = self.begun_elapsed + now.since(self.begun_at);
        let is_window = now.since(self.window_at) >= WINDOW;
        if is_window && evidence.order == self.row.order.id {
            self.add_window(now, evidence);
        }
        if self.row.state == RolloutState::InProgress {
            self.judge_target(now, evidence);
        }
        self.row.clone()
    }

    /// Takes back the last decision, which could not be recorded: share and state are again
    /// those of `before`, the controller before the decision. The evidence stays.
    pub fn take_back(&mut self, before: &Self) {
        let (elapsed, bad) = (self.row.elapsed, self.row.bad);
        self.row = before.row.clone();
        self.row.elapsed = elapsed;
        self.row.bad = bad;
        self.stepped_at = before.stepped_at;
        self.fresh = self.fresh.max(before.fresh);
        self.was_clear = before.was_clear;
    }

    fn add_window(&mut self, now: Timestamp, evidence: &RolloutEvidence) {
        self.window_at = now;
        let is_past = !self.begun_elapsed.is_zero() && now.since(self.begun_at) <= EFFECT_TIME;
        let span = match is_past {
            true => Span::Past,
            false => Span::Window,
        };
        let window = self.judge.add_window(evidence, span);
        self.sent_target += window.target.sent;
        self.sent += window.target.sent + window.others.sent;
        self.is_old_idle = window.others.sent == 0;
        if now.since(self.stepped_at) >= EFFECT_TIME.min(MIN_STEP) {
            self.fresh += window.target.answered;
        }
        let bad = evidence.routes.values().map(|r| r.target.bad).sum();
        self.row.bad = self.row.bad.max(bad);
        if self.row.bad >= BAD_ANSWERS {
            self.bad_since.get_or_insert(now);
        }
    }

    fn judge_target(&mut self, now: Timestamp, evidence: &RolloutEvidence) {
        let verdict = self.judge.verdict();
        let fault = match &verdict {
            Verdict::Bad(fault) => Some(fault.clone()),
            Verdict::Suspicious(_) | Verdict::Unclear | Verdict::Good => None,
        };
        let is_last = self.row.elapsed >= self.decision_time(&verdict);
        let is_due = is_last && self.is_settled(now) || self.is_overdue(now);
        let fault = fault.or_else(|| self.judge.final_fault().filter(|_| is_due));
        if let Some(fault) = fault {
            return self.revert(&fault);
        }
        if is_last && self.is_settled(now) && self.is_without_target() {
            return self.revert("no requests reached the version");
        }
        if !self.is_settled(now) {
            return;
        }
        if self.row.elapsed >= self.part(LAST_TIME) {
            return match verdict {
                Verdict::Suspicious(fault) if self.is_doubtful && self.judge.is_doubtful() => {
                    self.revert(&fault)
                }
                _ => self.complete(),
            };
        }
        if self.row.share >= 1.0 && self.may_complete(now, evidence, &verdict) {
            return self.complete();
        }
        if self.row.share >= 1.0 && self.judge.is_unlike_earlier() {
            // Only requests to both versions at the same time tell a fault from a burst.
            self.is_doubtful = true;
            return self.change_share(now, DOUBT_SHARE, "more bad answers than before");
        }
        if is_last {
            let latest = self.part(LAST_TIME).saturating_sub(LAST_STEP);
            let may_step = self.may_step(now) || self.row.elapsed >= latest;
            if may_step && !self.is_doubtful {
                self.change_share(now, 1.0, "last step");
            }
            return;
        }
        match verdict {
            Verdict::Bad(_) => {}
            Verdict::Suspicious(fault) => {
                self.was_clear = false;
                self.step_within_bounds(now, &fault);
            }
            Verdict::Unclear => self.step_within_bounds(now, "unclear"),
            Verdict::Good => {
                self.was_clear = true;
                self.step_up(now);
            }
        }
    }

    /// Returns whether no upstream has the version, or none of them gets its requests.
    fn is_without_target(&self) -> bool {
        let canary = self.limits.canary_share * CANARY_PART;
        let is_expected = self.sent as f64 * canary >= MIN_EXPECTED;
        !self.has_upstreams || (self.sent_target == 0 && is_expected)
    }

    /// Returns whether the time in which a bad target must be reverted is about to end.
    fn is_overdue(&self, now: Timestamp) -> bool {
        let limit = self.limits.rollback.mul_f64(ROLLBACK_PART);
        self.bad_since.is_some_and(|at| now.since(at) >= limit)
    }

    /// Returns whether this entry has the reports of the others. One that has just begun to act
    /// on an earlier order does not.
    fn is_settled(&self, now: Timestamp) -> bool {
        self.begun_elapsed.is_zero() || now.since(self.begun_at) >= SETTLE_TIME
    }

    /// Returns whether a step was taken long enough ago and showed its effect.
    fn may_step(&self, now: Timestamp) -> bool {
        let is_canary_over = self.row.elapsed >= self.part(CANARY_TIME);
        is_canary_over && now.since(self.stepped_at) >= MIN_STEP
    }

    fn step_up(&mut self, now: Timestamp) {
        let next = STEPS.into_iter().find(|s| *s > self.row.share);
        if let Some(share) = next.filter(|_| self.may_step(now) && self.fresh > 0) {
            self.change_share(now, share, "no fault found");
        }
    }

    /// Chooses the largest share with which even a bad version would stay within the bounds.
    fn step_within_bounds(&mut self, now: Timestamp, reason: &str) {
        if self.row.elapsed < self.part(CANARY_TIME) {
            return;
        }
        let current = self.row.share;
        let canary = self.limits.canary_share.clamp(0.0, 1.0) * CANARY_PART;
        if current > canary && !self.is_within_bounds(current, EFFECT_TIME) {
            let lower = STEPS.into_iter().rev().filter(|s| *s < current);
            let mut fitting = lower.filter(|s| self.is_within_bounds(*s, EFFECT_TIME));
            let share = fitting.next().unwrap_or(canary);
            self.change_share(now, share, reason);
        } else if let Some(next) = STEPS.into_iter().find(|s| *s > current)
            && self.may_step(now)
            && self.is_within_bounds(next, STEP_RISK)
        {
            self.change_share(now, next, reason);
        }
    }

    /// Returns whether the target can get a share for some time, while its requests stay within
    /// its part of all those expected until the end.
    fn is_within_bounds(&self, share: f64, time: Duration) -> bool {
        // Requests of the last moments are not reported yet.
        let reported = self.row.elapsed.saturating_sub(EFFECT_TIME);
        let per_second = self.sent as f64 / reported.as_secs_f64().max(0.1);
        let rest = self
            .row
            .order
            .duration
            .saturating_sub(reported)
            .as_secs_f64();
        let expected = self.sent as f64 + per_second * rest;
        let slack = f64::from(self.limits.canary_slack) * SLACK_PART;
        let allowed = self.limits.canary_share * expected + slack;
        // The evidence does not show yet what the current share leads to.
        let unseen = self.row.share * per_second * EFFECT_TIME.as_secs_f64();
        let coming = share * per_second * time.as_secs_f64();
        self.sent_target as f64 + unseen + coming <= allowed
    }

    fn may_complete(&self, now: Timestamp, evidence: &RolloutEvidence, verdict: &Verdict) -> bool {
        let is_sound = match verdict {
            Verdict::Bad(_) | Verdict::Suspicious(_) => false,
            Verdict::Unclear | Verdict::Good => !self.judge.is_unlike_earlier(),
        };
        let is_long_enough = now.since(self.stepped_at) >= MIN_STEP.max(EFFECT_TIME);
        let is_drained = self.is_old_idle && evidence.running_old == 0;
        is_sound && is_long_enough && is_drained
    }

    fn change_share(&mut self, now: Timestamp, share: f64, reason: &str) {
        if (share - self.row.share).abs() < f64::EPSILON {
            return;
        }
        self.row.share = share;
        self.row.step += 1;
        self.row.reason = reason.into();
        self.stepped_at = now;
        self.fresh = 0;
        self.judge.forget_earlier();
    }

    fn complete(&mut self) {
        self.row.state = RolloutState::Complete;
        self.row.step += 1;
        self.row.reason = match self.was_clear {
            true => "complete".into(),
            false => FEW_REQUESTS.into(),
        };
    }

    fn revert(&mut self, fault: &str) {
        self.row.state = RolloutState::Reverted;
        self.row.share = 0.0;
        self.row.step += 1;
        self.row.reason = Name::new(fault);
    }

    /// Returns the elapsed time at which it is decided with what is known. Where a fault is not
    /// excluded, more evidence is waited for.
    fn decision_time(&self, verdict: &Verdict) -> Duration {
        let end = match verdict {
            Verdict::Good => COMPLETE_TIME,
            Verdict::Unclear | Verdict::Bad(_) | Verdict::Suspicious(_) => LAST_TIME,
        };
        let last = self.part(end).saturating_sub(LAST_STEP);
        last.max(self.part(CANARY_TIME))
    }

    fn part(&self, part: f64) -> Duration {
        self.row.order.duration.mul_f64(part)
    }
}
