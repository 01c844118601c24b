//! The account of one organisation at one entry.

use std::collections::VecDeque;
use std::time::Duration;

use super::CHANGED_REPORTS;
use super::MAX_RETRY_AFTER;
use super::MIN_RETRY_AFTER;
use super::WINDOW_PARTS;
use super::loans::Loan;
use crate::clock::Timestamp;

/// Fraction of what remains of a quota that all entries together spend between two
/// reports, without loans. A report can arrive as late as the next one is sent, so two
/// such fractions, and two of [`super::loans::LOAN_FRACTION`], must not exceed the whole.
pub(super) const CREDIT_FRACTION: f64 = 0.2;

/// Fraction of the credits that is divided equally among the entries; the rest is
/// divided in proportion to their recent spending.
const EQUAL_CREDIT_FRACTION: f64 = 0.5;

/// Fraction of the recent spending that still counts as recent at the next report.
const RECENT_KEPT: f64 = 0.9;

/// Spending of one organisation.
///
/// Invariants: `spendings` is ordered by expiry; `sum` is the total of its
/// counted units.
#[derive(Debug)]
pub(super) struct Account {
    /// Units that callers can spend in a window at the current rate; 0 before the first
    /// request.
    pub(super) allowed: f64,
    /// Spending in the last window, the earliest first.
    pub(super) spendings: VecDeque<Spending>,
    /// Sum of `spendings`, each counted relative to `allowed`.
    pub(super) sum: f64,
    /// Units spent through this entry since it started.
    pub(super) own_spent: f64,
    /// Number of reports that are still to repeat the total.
    unreported: u32,
    /// Units that this entry can spend before its next report; `None` before the
    /// first request.
    pub(super) credit: Option<f64>,
    /// Units of the largest request so far.
    pub(super) largest_request: f64,
    /// Units spent lately through this entry and through all, which decay with each
    /// report.
    pub(super) own_recent: f64,
    pub(super) recent: f64,
    /// The units that were lent to entries and may not be reported yet, in the order of
    /// lending.
    pub(super) loans: VecDeque<Loan>,
    /// Fraction of `allowed` that all entries together are assumed to have spent
    /// in the window before this one started.
    pub(super) assumed_fraction: f64,
}

/// Units that one organisation spent at one time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spending {
    /// Time at which it leaves the window.
    pub(super) expires_at: Timestamp,
    pub(super) units: f64,
    /// Units that callers could spend in a window at the time of spending.
    pub(super) allowed: f64,
}

impl Spending {
    /// Returns the units it counts for when callers can spend `allowed` units
    /// in a window.
    pub(super) fn counted_units(&self, allowed: f64) -> f64 {
        self.units * self.weight(allowed)
    }

    pub(super) fn weight(&self, allowed: f64) -> f64 {
        match allowed < self.allowed {
            true => allowed / self.allowed,
            false => 1.0,
        }
    }
}

impl Account {
    pub(super) fn new() -> Self {
        Self {
            allowed: 0.0,
            spendings: VecDeque::new(),
            sum: 0.0,
            own_spent: 0.0,
            unreported: 0,
            credit: None,
            largest_request: 0.0,
            own_recent: 0.0,
            recent: 0.0,
            loans: VecDeque::new(),
            assumed_fraction: 0.0,
        }
    }

    /// Sets the units that callers can spend in a window, and recounts the sum. What was
    /// spent before the first request counts as spent at the rate of that request.
    pub(super) fn set_allowed(&mut self, allowed: f64) {
        if !self.is_in_use() {
            self.spendings.iter_mut().for_each(|s| s.allowed = allowed);
        }
        if allowed != self.allowed {
            self.allowed = allowed;
            self.sum = self
                .spendings
                .iter()
                .map(|s| s.counted_units(allowed))
                .sum();
        }
    }

    /// Returns whether a request has asked for units.
    pub(super) fn is_in_use(&self) -> bool {
        self.allowed > 0.0
    }

    pub(super) fn spend_own(&mut self, units: f64) {
        self.spend_lent(units);
        if let Some(credit) = &mut self.credit {
            *credit -= units;
        }
    }

    /// Records units that were spent without using credit.
    pub(super) fn spend_lent(&mut self, units: f64) {
        self.own_spent += units;
        self.unreported = CHANGED_REPORTS;
        self.own_recent = (self.own_recent + units).max(0.0);
    }

    /// Returns whether the next report has to hold the total, and counts that report.
    pub(super) fn take_unreported(&mut self) -> bool {
        let is_unreported = self.unreported > 0;
        self.unreported = self.unreported.saturating_sub(1);
        is_unreported
    }

    /// Adds the credit of the time until the next report, given the units that
    /// remain of the quota. Unused credit is kept for the next request only.
    pub(super) fn add_credit(&mut self, remaining: f64, entries: f64) {
        let own_part = match self.recent > 0.0 {
            true => (self.own_recent / self.recent).min(1.0),
            false => 1.0 / entries,
        };
        self.own_recent *= RECENT_KEPT;
        self.recent *= RECENT_KEPT;
        let part = EQUAL_CREDIT_FRACTION / entries + (1.0 - EQUAL_CREDIT_FRACTION) * own_part;
        let added = remaining * CREDIT_FRACTION * part;
        let kept = self.credit.unwrap_or_default();
        self.credit = Some((kept + added).min(added.max(self.largest_request)));
    }

    /// Returns the units that count as spent by all entries in the last
    /// window.
    pub(super) fn window_sum(&self, unobserved_fraction: f64) -> f64 {
        self.sum + self.allowed * self.assumed_fraction * unobserved_fraction
    }

    pub(super) fn add(&mut self, expires_at: Timestamp, units: f64) {
        if units > 0.0 {
            let expiring_later = self
                .spendings
                .iter()
                .rev()
                .take_while(|s| s.expires_at > expires_at);
            let index = self.spendings.len() - expiring_later.count();
            let spending = Spending {
                expires_at,
                units,
                allowed: self.allowed,
            };
            self.spendings.insert(index, spending);
            self.sum += units;
            self.recent += units;
        }
    }

    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        while let Some(first) = self.spendings.front() {
            if first.expires_at > now {
                break;
            }
            self.sum -= first.counted_units(self.allowed);
            self.spendings.pop_front();
        }
        if self.spendings.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Removes `units` of the latest spending.
    pub(super) fn remove_latest(&mut self, units: f64) {
        let mut left = units;
        while left > 0.0 {
            let Some(last) = self.spendings.back_mut() else {
                return;
            };
            let removed = left.min(last.units);
            last.units -= removed;
            left -= removed;
            self.sum -= removed * last.weight(self.allowed);
            if last.units <= 0.0 {
                self.spendings.pop_back();
            }
        }
    }

    /// Raises the sum to that of an entry that has observed the last window, which
    /// replaces the assumption. What is missing was spent within the last `span`.
    pub(super) fn raise_to(
        &mut self,
        now: Timestamp,
        window_sum: f64,
        span: Duration,
        window: Duration,
    ) {
        self.assumed_fraction = 0.0;
        self.add_evenly(now, window_sum - self.sum, span, window);
    }

    /// Returns whether the sum is that of an entry that has observed the last window.
    pub(super) fn is_sum_known(&self) -> bool {
        self.assumed_fraction == 0.0
    }

    /// Adds what is still in the window of `units` that were spent in the last `span`, as
    /// if they were spent evenly.
    pub(super) fn add_evenly(
        &mut self,
        now: Timestamp,
        units: f64,
        span: Duration,
        window: Duration,
    ) {
        for part in 0..WINDOW_PARTS {
            let age = span * part / WINDOW_PARTS;
            if age < window {
                let expires_at = now + (window - age);
                self.add(expires_at, units / f64::from(WINDOW_PARTS));
            }
        }
    }

    /// Returns the time until spending that counts for `units` has left the
    /// window, within the bounds for suggested retry delays.
    pub(super) fn retry_after(&self, now: Timestamp, units: f64) -> Duration {
        let mut left = units;
        for spending in &self.spendings {
            left -= spending.counted_units(self.allowed);
            if left <= 0.0 {
                return now
                    .until(spending.expires_at)
                    .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            }
        }
        MAX_RETRY_AFTER
    }
}
