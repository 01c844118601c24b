//! The entry's part of the retry budgets.

use super::EntryState;
use crate::name::Name;
use crate::retry_budget::RetryBounds;

impl EntryState {
    /// Counts a request towards the retry budget of its service.
    pub fn count_for_retry_budget(&self, service: &Name) {
        let bounds = self.retry_bounds();
        let mut retry_budget = self.retry_budget.borrow_mut();
        retry_budget.record_request(self.now(), service, bounds);
    }

    /// Returns whether the retry budget of `service` allows another attempt,
    /// and counts the attempt if it does.
    pub fn try_retry(&self, service: &Name) -> bool {
        let bounds = self.retry_bounds();
        let mut retry_budget = self.retry_budget.borrow_mut();
        retry_budget.try_retry(self.now(), service, bounds)
    }

    /// Returns whether the retry budget of `service` would allow another attempt.
    pub fn may_retry(&self, service: &Name) -> bool {
        let bounds = self.retry_bounds();
        let mut retry_budget = self.retry_budget.borrow_mut();
        retry_budget.may_retry(self.now(), service, bounds)
    }

    /// Returns whether the retry budget of `service` would allow a question for the rest of a
    /// stream.
    pub fn may_confirm(&self, service: &Name) -> bool {
        let bounds = self.retry_bounds();
        let mut retry_budget = self.retry_budget.borrow_mut();
        retry_budget.may_confirm(self.now(), service, bounds)
    }

    fn retry_bounds(&self) -> RetryBounds {
        let limits = &self.active_settings.settings().limits;
        RetryBounds {
            ratio: limits.retry_ratio,
            slack: limits.retry_slack,
            window: limits.retry_window,
            // The quota keeps the number of running entries.
            entries: self.quota.borrow().entries(),
        }
    }
}
