//! What a request takes of its organisation's limits, and gives back.

use std::rc::Rc;

use crate::entry::error::CallerError;
use crate::entry::request::Job;
use crate::entry::state::EntryState;
use crate::name::Name;
use crate::quota::QuotaBounds;
use crate::settings::QuotaUnit;

impl EntryState {
    /// Counts a request of an organisation; none if it has as many here as it
    /// may. The count ends when the result is dropped.
    pub fn enter(self: &Rc<Self>, organisation: &Name) -> Option<Entered> {
        let settings = self.active_settings.settings();
        let known = settings.organisations.get(organisation);
        let limit = known.and_then(|o| o.concurrency);
        let mut present = self.present.borrow_mut();
        let count = present.entry(organisation.clone()).or_default();
        if limit.is_some_and(|limit| *count >= limit) {
            return None;
        }
        *count += 1;
        Some(Entered {
            state: Rc::clone(self),
            organisation: organisation.clone(),
        })
    }

    fn leave(&self, organisation: &Name) {
        let mut present = self.present.borrow_mut();
        if let Some(count) = present.get_mut(organisation) {
            *count -= 1;
            if *count == 0 {
                present.remove(organisation);
            }
        }
    }

    /// Spends what `job` counts for of its organisation's quota.
    pub fn spend(self: &Rc<Self>, job: &Job) -> Result<Spent, CallerError> {
        let settings = self.active_settings.settings();
        let organisation = &job.admission.organisation;
        let rate = settings.organisations.get(organisation);
        let Some(rate) = rate.and_then(|o| o.quota) else {
            return Ok(Spent::nothing(self));
        };
        let bounds = QuotaBounds {
            window: settings.limits.quota_window,
            over: settings.limits.quota_over,
            slack: settings.limits.quota_slack,
        };
        let units = match (rate.unit, job.most_tokens) {
            (QuotaUnit::Requests, _) => 1.0,
            (QuotaUnit::Tokens, 0) => rate.plain as f64,
            (QuotaUnit::Tokens, tokens) => tokens as f64,
        };
        let now = self.now();
        let spent = self
            .quota
            .borrow_mut()
            .spend(now, organisation, rate, bounds, units);
        spent.map_err(CallerError::OverQuota)?;
        Ok(Spent {
            state: Rc::clone(self),
            units: Some((organisation.clone(), units)),
        })
    }
}

/// What was spent of a quota for a request; returned when dropped, unless the
/// request was run.
pub struct Spent {
    state: Rc<EntryState>,
    units: Option<(Name, f64)>,
}

impl Spent {
    fn nothing(state: &Rc<EntryState>) -> Self {
        Self {
            state: Rc::clone(state),
            units: None,
        }
    }

    /// Notes that the request may have run.
    pub fn keep(&mut self) {
        self.units = None;
    }
}

impl Drop for Spent {
    fn drop(&mut self) {
        if let Some((organisation, units)) = &self.units {
            let mut quota = self.state.quota.borrow_mut();
            quota.refund(organisation, *units);
        }
    }
}

/// A request that counts towards its organisation's limit while this lives.
pub struct Entered {
    state: Rc<EntryState>,
    organisation: Name,
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.state.leave(&self.organisation);
    }
}
