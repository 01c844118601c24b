//! The log lines of decisions, and which of them need the record.

use std::time::Duration;

use slog::Logger;
use slog::info;

use super::Sum;
use crate::entry::rollouts::sum;
use crate::rollout::RolloutRow;
use crate::rollout::RolloutState;
use crate::units::millis;

/// Returns whether `next` can take effect before it is recorded: the target gets no more
/// than in `current`, and the order is not complete.
pub fn is_cautious(current: &RolloutRow, next: &RolloutRow) -> bool {
    next.share <= current.share && next.state != RolloutState::Complete
}

/// Returns whether `next` gives the target another share or state than `current`.
pub fn is_change(current: &RolloutRow, next: &RolloutRow) -> bool {
    current.step != next.step || current.state != next.state || current.share != next.share
}

/// Logs each decision once.
#[derive(Debug, Default)]
pub struct DecisionLog {
    /// The row that was logged last.
    last: Option<RolloutRow>,
}

impl DecisionLog {
    /// Logs a decision that changes the share or the state, with its inputs and their age.
    pub fn record(&mut self, log: &Logger, current: &RolloutRow, next: &RolloutRow, inputs: &Sum) {
        let is_logged = self
            .last
            .as_ref()
            .is_some_and(|last| !is_change(last, next));
        if !is_change(current, next) || is_logged {
            return;
        }
        self.last = Some(next.clone());
        let routes = inputs.evidence.routes.values();
        let target = sum(routes.clone().map(|r| &r.target));
        let others = sum(routes.map(|r| &r.others));
        info!(log, "roll-out decision";
            "service" => %next.order.service,
            "target" => %next.order.target,
            "order" => %next.order.id,
            "step" => next.step,
            "share" => next.share,
            "state" => ?next.state,
            "reason" => %next.reason,
            "elapsed_ms" => millis(next.elapsed),
            "target_sent" => target.sent,
            "target_answered" => target.answered,
            "target_bad" => target.bad,
            "others_sent" => others.sent,
            "others_answered" => others.answered,
            "others_bad" => others.bad,
            "bad" => next.bad,
            "running_old" => inputs.evidence.running_old,
            "reporters" => inputs.reporters,
            "oldest_ms" => millis(inputs.oldest.min(Duration::MAX)));
    }
}
