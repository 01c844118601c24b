//! Loans: units of a quota that one entry spends with the leave of another one.
//!
//! The credit of an entry is a small part of what remains of a quota: the more entries,
//! the smaller. A long prompt can be larger than all of it although the quota has room.
//! The entry then asks the one that lends the units of the organisation, which all others
//! ask too, so that together they stay within a part of what remains.

use std::time::Duration;

use super::Account;
use super::CREDIT_RETRY_AFTER;
use super::MAX_RETRY_AFTER;
use super::Quota;
use super::QuotaBounds;
use crate::clock::Timestamp;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::settings::QuotaRate;

/// Fraction of what remains of a quota that can be lent before the borrowers report what
/// they have spent. Two entries can lend at the same time for a moment, and credits may be
/// spent up to twice, which together must not exceed the whole.
pub(super) const LOAN_FRACTION: f64 = 0.3;

/// Time after which a loan no longer counts although no report of its borrower has come,
/// which is then unreachable.
const LOAN_MEMORY: Duration = Duration::from_secs(2);

/// The entry that asks for a loan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Borrower {
    /// Its incarnation.
    pub entry: Incarnation,
    /// Its age from which its reports include the loan.
    pub reports_from: Duration,
}

/// Units that were lent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loan {
    at: Timestamp,
    borrower: Borrower,
    units: f64,
}

/// Why units can't be spent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpendError {
    /// The quota is used up; holds the time after which to try again.
    Exhausted(Duration),
    /// The quota has room, but the entry has used its credit.
    NoCredit,
}

impl SpendError {
    /// Returns the time after which to try again.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::Exhausted(retry_after) => retry_after,
            Self::NoCredit => CREDIT_RETRY_AFTER,
        }
    }
}

impl Quota {
    /// Lends `units` of an organisation's quota to an entry, which will report them.
    ///
    /// # Errors
    ///
    /// Fails with the time after which to ask again.
    pub fn lend(
        &mut self,
        now: Timestamp,
        organisation: &Name,
        rate: QuotaRate,
        bounds: QuotaBounds,
        units: f64,
        borrower: Borrower,
    ) -> Result<(), Duration> {
        let reachable_fraction = self.reachable_fraction(now);
        let unobserved_fraction = self.unobserved_fraction(now, bounds.window);
        let Some(account) = self.account(now, organisation, bounds.window) else {
            return Err(MAX_RETRY_AFTER);
        };
        account.remove_expired(now);
        account.set_allowed(bounds.allowed(rate));
        let available = account.allowed * reachable_fraction;
        let remaining = available - account.window_sum(unobserved_fraction);
        let lent = account.lent(now);
        if remaining < units {
            return Err(account.retry_after(now, units - remaining));
        }
        if remaining * LOAN_FRACTION < lent + units {
            return Err(CREDIT_RETRY_AFTER);
        }
        account.loans.push_back(Loan {
            at: now,
            borrower,
            units,
        });
        Ok(())
    }

    /// Forgets the loans that a report includes. It was sent by an entry of this `age`.
    pub(super) fn settle_loans(&mut self, from: Incarnation, age: Duration) {
        for account in self.organisations.values_mut() {
            account
                .loans
                .retain(|loan| loan.borrower.entry != from || age < loan.borrower.reports_from);
        }
    }

    /// Spends `units` of an organisation's quota that another entry has lent.
    pub fn spend_lent(
        &mut self,
        now: Timestamp,
        organisation: &Name,
        bounds: QuotaBounds,
        units: f64,
    ) {
        if let Some(account) = self.account(now, organisation, bounds.window) {
            account.add(now + bounds.window, units);
            account.spend_lent(units);
        }
    }
}

impl Account {
    /// Returns the units that were lent lately and may not be reported yet.
    fn lent(&mut self, now: Timestamp) -> f64 {
        while let Some(loan) = self.loans.front() {
            if now.since(loan.at) < LOAN_MEMORY {
                break;
            }
            self.loans.pop_front();
        }
        self.loans.iter().map(|loan| loan.units).sum()
    }
}
