//! How long a request may wait, from what its caller wants.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum time that a request waits for a grant, in objectives. It exceeds 1 because
/// an answer that starts late is still useful.
const MAX_WAIT_OBJECTIVES: f64 = 1.3;

/// Longest expected wait for a grant, in objectives. The rest of the objective is left
/// for processing the prompt.
const MAX_EXPECTED_WAIT_OBJECTIVES: f64 = 0.4;

/// The same times for a request that resumes a stream. Its caller has a part of the answer, which
/// is lost if it is refused: it has used a try, and few upstreams may run the version.
const RESUMED_MAX_WAIT_OBJECTIVES: f64 = 3.0;
const RESUMED_EXPECTED_WAIT_OBJECTIVES: f64 = 2.0;

/// Part of the objective after arrival within which a refusal costs the caller nothing.
const FREE_REFUSAL_DIVISOR: u32 = 8;

/// Shortest time in which another zone can reply to a ticket. Zones of one region are 1 to 2 ms
/// apart.
const MIN_ASKING_TIME: Duration = Duration::from_millis(4);

/// The times of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Urgency {
    /// The time from the first attempt within which the answer should start.
    pub objective: Duration,
    /// The time from arrival within which the answer is useful.
    pub deadline: Duration,
    /// How long the caller has been trying: zero at its first attempt.
    pub tried_for: Duration,
    /// Whether the request resumes a stream.
    pub resumes: bool,
}

impl Urgency {
    /// Returns whether the objective had passed before the request arrived, because
    /// its caller comes back after a refusal.
    pub fn is_overdue(&self) -> bool {
        self.tried_for >= self.objective
    }

    /// Returns the time from arrival within which the answer should start; zero if the
    /// request is overdue.
    pub fn objective_left(&self) -> Duration {
        self.objective.saturating_sub(self.tried_for)
    }

    /// Returns the maximum time that the request waits for a grant.
    pub fn max_wait(&self) -> Duration {
        let objectives = match self.resumes {
            true => RESUMED_MAX_WAIT_OBJECTIVES,
            false => MAX_WAIT_OBJECTIVES,
        };
        self.objective.mul_f64(objectives).min(self.deadline)
    }

    /// Returns the time in which other zones can be asked after `waited`, so that a refusal is not
    /// delayed by it; `None` if it is shorter than the own zone took to reply, since the others
    /// will hardly be faster.
    pub fn asking_time(&self, waited: Duration) -> Option<Duration> {
        let left = (self.objective / FREE_REFUSAL_DIVISOR).saturating_sub(waited);
        (left >= waited.max(MIN_ASKING_TIME)).then_some(left)
    }

    /// Returns the longest expected wait for a grant. If the request is expected to
    /// wait longer, it is refused instead of queued.
    pub fn max_expected_wait(&self) -> Duration {
        let objectives = match self.resumes {
            true => RESUMED_EXPECTED_WAIT_OBJECTIVES,
            false => MAX_EXPECTED_WAIT_OBJECTIVES,
        };
        self.objective.mul_f64(objectives)
    }
}
