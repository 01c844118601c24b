//! Accounting of requests against the concurrency limit and the quota of their
//! organisation.

use std::rc::Rc;

use crate::entry::error::CallerError;
use crate::entry::loans::quota_of;
use crate::entry::request::Job;
use crate::entry::state::EntryState;
use crate::name::Name;
use crate::quota::SpendError;
use crate::settings::QuotaUnit;

impl EntryState {
    /// Counts a request towards the concurrency limit of an organisation.
    /// Returns `None` if the limit is reached at this entry. The request is
    /// counted until the permit is dropped.
    pub fn acquire_permit(self: &Rc<Self>, organisation: &Name) -> Option<ConcurrencyPermit> {
        let settings = self.active_settings.settings();
        let configured = settings.organisations.get(organisation);
        let limit = configured.and_then(|o| o.concurrency);
        let mut concurrency = self.concurrency.borrow_mut();
        let count = concurrency.entry(organisation.clone()).or_default();
        if limit.is_some_and(|limit| *count >= limit) {
            return None;
        }
        *count += 1;
        Some(ConcurrencyPermit {
            state: Rc::clone(self),
            organisation: organisation.clone(),
        })
    }

    fn release_permit(&self, organisation: &Name) {
        let mut concurrency = self.concurrency.borrow_mut();
        if let Some(count) = concurrency.get_mut(organisation) {
            *count -= 1;
            if *count == 0 {
                concurrency.remove(organisation);
            }
        }
    }

    /// Charges the units of `job` to its organisation's quota, and borrows them from
    /// another entry if this one has no credit for them. Fails with
    /// `CallerError::OverQuota` if the quota is used up.
    pub async fn charge_quota(self: &Rc<Self>, job: &Job) -> Result<QuotaCharge, CallerError> {
        let settings = self.active_settings.settings();
        let organisation = &job.admission.organisation;
        let Some((rate, bounds)) = quota_of(&settings, organisation) else {
            return Ok(QuotaCharge::none(self));
        };
        let units = match (rate.unit, job.max_total_tokens) {
            (QuotaUnit::Requests, _) => 1.0,
            // A request without a token count is charged the configured `plain` units.
            (QuotaUnit::Tokens, 0) => rate.plain as f64,
            (QuotaUnit::Tokens, tokens) => tokens as f64,
        };
        let now = self.now();
        let spent = self
            .quota
            .borrow_mut()
            .spend(now, organisation, rate, bounds, units);
        let charged = match spent {
            Ok(()) => Ok(()),
            Err(SpendError::Exhausted(retry_after)) => Err(retry_after),
            Err(SpendError::NoCredit) => self.loans.borrow(organisation, units).await,
        };
        charged.map_err(CallerError::OverQuota)?;
        Ok(QuotaCharge {
            state: Rc::clone(self),
            units: Some((organisation.clone(), units)),
        })
    }
}

/// The units charged to a quota for a request. They are refunded on drop, unless
/// the charge was committed.
pub struct QuotaCharge {
    state: Rc<EntryState>,
    units: Option<(Name, f64)>,
}

impl QuotaCharge {
    fn none(state: &Rc<EntryState>) -> Self {
        Self {
            state: Rc::clone(state),
            units: None,
        }
    }

    /// Makes the charge final, because the request may have run.
    pub fn commit(&mut self) {
        self.units = None;
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if let Some((organisation, units)) = &self.units {
            let mut quota = self.state.quota.borrow_mut();
            quota.refund(organisation, *units);
        }
    }
}

/// Counts a request towards its organisation's concurrency limit until dropped.
pub struct ConcurrencyPermit {
    state: Rc<EntryState>,
    organisation: Name,
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        self.state.release_permit(&self.organisation);
    }
}
