//! Quotas of organisations, shared by all entries.
//!
//! In any window, an organisation can spend its rate times the window's length,
//! plus its burst. Each entry reports the total that it has spent to the
//! others, so that every entry can compute what was spent in the last window.
//! Entries that can't be reached may be spending too, so an equal share of the
//! quota is reserved for each of them. An entry that starts takes the sum of
//! the window from the entries that have observed it, and the times of spending
//! from the record that one of them keeps in the platform's object store: what
//! the record lacks was spent since. Without the times, a burst would leave the
//! window early. If no entry has observed the window, as after a restart of all,
//! it adds a margin to the record; without a recent record it assumes that the
//! quota is spent.
//!
//! Between two of its reports, an entry spends only a part of what remained of a
//! quota at the first one, in proportion to its part of the recent spending. So
//! entries that spend at the same time, before they hear of each other, do not
//! spend what remains several times. What is larger than an entry's part is borrowed from
//! the one that lends the units of the organisation.
//!
//! When a quota is lowered, earlier spending counts as the same fraction of
//! the new quota as it was of the old one, so that an organisation within its
//! quota is not locked out for a window.
//!
//! Operators can tolerate some use beyond a quota. A fraction of that
//! tolerance is available to callers; the rest covers what is spent between
//! two reports and after the last record.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::settings::QuotaRate;
use crate::settings::QuotaUnit;

use self::account::Account;
use self::record::RECORD_LAG;
use self::record::RestoredRecord;

mod account;
mod loans;
mod record;
#[cfg(test)]
mod tests;

pub use loans::Borrower;
pub use loans::SpendError;
pub use record::QuotaRecord;
pub use record::RECORD_INTERVAL;

/// Time without a report after which an entry counts as unreachable: several
/// times the longest interval between reports.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a report after which a peer is removed. It is longer than the
/// network partitions from which a peer is expected to reconnect, so that the
/// peer can still report what it spent in the meantime.
const PEER_RETENTION: Duration = Duration::from_secs(300);

/// The number of reports that repeat a total which has changed, against losses.
const CHANGED_REPORTS: u32 = 3;

/// One in so many reports holds all totals, whether they have changed or not.
const FULL_REPORT_INTERVAL: u32 = 10;

/// Time for which all reports are full after an entry has become known, which needs the
/// totals of all organisations.
const FULL_REPORT_TIME: Duration = Duration::from_secs(2);

/// Fraction of the tolerance relative to the quota (`over`) that callers can
/// use.
const USABLE_OVER: f64 = 0.4;

/// Fraction of the tolerance in tokens (`slack`) that callers can use.
const USABLE_SLACK: f64 = 0.45;

/// Number of equal parts of a time, such as a window, over which a sum is spread if the
/// times of spending are unknown.
const WINDOW_PARTS: u32 = 16;

/// Retry delay for a caller whose organisation has quota left, but whose entry has
/// used its credit: the longest time between two reports.
const CREDIT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Longest retry delay that is suggested to a caller whose organisation has
/// exhausted its quota.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Shortest retry delay that is suggested.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Window over which quotas are measured, and the tolerated use beyond them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window over which spending is summed.
    pub window: Duration,
    /// Tolerated excess in a window, as a fraction of the quota; 0.1 is a tenth.
    pub over: f64,
    /// Tolerated excess in a window as a number of tokens, in addition to
    /// `over`; not applied to quotas in requests.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the units that callers can spend in a window.
    pub fn allowed(self, rate: QuotaRate) -> f64 {
        let quota = self.quota(rate);
        quota + quota * self.over * USABLE_OVER + self.slack(rate) * USABLE_SLACK
    }

    fn quota(self, rate: QuotaRate) -> f64 {
        rate.per_second * self.window.as_secs_f64() + rate.burst
    }

    fn slack(self, rate: QuotaRate) -> f64 {
        match rate.unit {
            QuotaUnit::Tokens => self.slack,
            QuotaUnit::Requests => 0.0,
        }
    }
}

/// Spending of one organisation as reported by one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct SpendTotals {
    /// Organisation that spent the units.
    pub organisation: Name,
    /// Units spent through the reporting entry since it started.
    pub spent: f64,
    /// Units spent through all entries in the last window, as known to the
    /// reporting entry.
    pub window_sum: f64,
}

/// Report of one entry on the spending of all organisations.
#[derive(Clone, Debug)]
pub struct QuotaReport {
    /// Incarnation of the reporting entry.
    pub from: Incarnation,
    /// Time since the reporting entry started.
    pub age: Duration,
    /// Spending of each organisation with a quota.
    pub totals: Vec<SpendTotals>,
}

/// The quota accounts of one entry and the reports of its peers.
#[derive(Debug)]
pub struct Quota {
    started: Timestamp,
    organisations: HashMap<Name, Account>,
    peers: HashMap<Incarnation, Peer>,
    /// Spending recorded before this entry started.
    restored: Option<RestoredRecord>,
    /// Number of running entries, including this one.
    entries: usize,
    /// Number of reports so far.
    reports: u32,
    /// Time until which all reports are full.
    full_until: Timestamp,
}

/// The latest reports of another entry.
#[derive(Debug)]
struct Peer {
    /// Time of its latest report.
    last_report: Timestamp,
    /// Its age at that time.
    age: Duration,
    /// Its latest report on each organisation.
    totals: HashMap<Name, SpendTotals>,
}

impl Quota {
    /// Creates the quota accounts of an entry that starts now.
    pub fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            organisations: HashMap::new(),
            peers: HashMap::new(),
            restored: None,
            entries: 1,
            reports: 0,
            full_until: now + FULL_REPORT_TIME,
        }
    }

    /// Sets the number of running entries, including this one.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Returns the time since this entry started.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.started)
    }

    /// Returns the number of running entries, including this one.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Spends `units` of an organisation's quota.
    ///
    /// # Errors
    ///
    /// Fails if the quota is used up, or if the units must be borrowed first.
    pub fn spend(
        &mut self,
        now: Timestamp,
        organisation: &Name,
        rate: QuotaRate,
        bounds: QuotaBounds,
        units: f64,
    ) -> Result<(), SpendError> {
        let reachable_fraction = self.reachable_fraction(now);
        let allowed = bounds.allowed(rate);
        let unobserved_fraction = self.unobserved_fraction(now, bounds.window);
        let entries = self.entries;
        let Some(account) = self.account(now, organisation, bounds.window) else {
            return Err(SpendError::Exhausted(MAX_RETRY_AFTER));
        };
        account.remove_expired(now);
        account.set_allowed(allowed);
        // A request larger than the quota passes if nothing else was spent.
        let available = allowed * (1.0 - account.assumed_fraction * unobserved_fraction);
        let remaining = available * reachable_fraction - account.sum;
        if remaining < units && (account.sum > 0.0 || unobserved_fraction > 0.0) {
            let retry_after = account.retry_after(now, units - remaining);
            return Err(SpendError::Exhausted(retry_after));
        }
        account.largest_request = account.largest_request.max(units);
        let first_credit = (remaining * account::CREDIT_FRACTION / entries as f64).max(units);
        let credit = *account.credit.get_or_insert(first_credit);
        if entries > 1 && credit < units {
            return Err(SpendError::NoCredit);
        }
        account.add(now + bounds.window, units);
        account.spend_own(units);
        Ok(())
    }

    /// Returns the account of an organisation, which is created if absent.
    fn account(
        &mut self,
        now: Timestamp,
        organisation: &Name,
        window: Duration,
    ) -> Option<&mut Account> {
        if !self.organisations.contains_key(organisation) {
            let account = self.new_account(now, organisation, window);
            self.organisations.insert(organisation.clone(), account);
        }
        self.organisations.get_mut(organisation)
    }

    /// Refunds the units of a request that was not run.
    pub fn refund(&mut self, organisation: &Name, units: f64) {
        if let Some(account) = self.organisations.get_mut(organisation) {
            account.spend_own(-units);
            account.remove_latest(units);
        }
    }

    /// Merges the report of another entry into the accounts.
    pub fn merge_report(&mut self, now: Timestamp, window: Duration, report: &QuotaReport) {
        self.settle_loans(report.from, report.age);
        let is_older = report.age > now.since(self.started);
        let known = self.peers.get(&report.from);
        let silence = known.map_or(Duration::ZERO, |peer| now.since(peer.last_report));
        let undated_span = self.undated_span(now, window);
        let is_observer = self.is_observer(report.age, window);
        if known.is_none() {
            self.full_until = now + FULL_REPORT_TIME;
        }
        let peer = self.peers.entry(report.from).or_insert_with(|| Peer {
            last_report: now,
            age: report.age,
            totals: HashMap::new(),
        });
        peer.last_report = now;
        peer.age = report.age;
        let mut without_account = Vec::new();
        for spend in &report.totals {
            let organisation = spend.organisation.clone();
            let before = peer.totals.insert(organisation, spend.clone());
            let Some(account) = self.organisations.get_mut(&spend.organisation) else {
                without_account.push(spend.organisation.clone());
                continue;
            };
            let increase = spend.spent - before.as_ref().map_or(0.0, |b| b.spent);
            match before {
                // This is the first report of an entry that started earlier.
                // What it spent before this entry started is included in the
                // window sum that it or another one reports.
                None if is_older && is_observer => {
                    account.raise_to(now, spend.window_sum, undated_span, window);
                }
                None if is_older && account.is_sum_known() => {}
                // The peer refunded more units than it spent since its last
                // report.
                _ if increase < 0.0 => account.remove_latest(-increase),
                // The times of spending during the silence are unknown.
                _ if silence >= REPORT_TIMEOUT => {
                    account.add_evenly(now, increase, silence, window);
                }
                _ => account.add(now + window, increase),
            }
        }
        // With the record, an account has the times of what was spent so far. It is
        // created now, so that it gets those of what is spent from now on.
        if self.restored.is_some() {
            for organisation in without_account {
                let account = self.new_account(now, &organisation, window);
                self.organisations.insert(organisation, account);
            }
        }
        self.peers
            .retain(|_, peer| now.since(peer.last_report) < PEER_RETENTION);
    }

    /// Returns this entry's report to the other entries. Most reports hold only the totals
    /// that have changed lately.
    pub fn report(&mut self, now: Timestamp, window: Duration, from: Incarnation) -> QuotaReport {
        self.settle_loans(from, now.since(self.started));
        let unobserved_fraction = self.unobserved_fraction(now, window);
        let reachable_fraction = self.reachable_fraction(now);
        let entries = self.entries as f64;
        let is_full = now < self.full_until || self.reports.is_multiple_of(FULL_REPORT_INTERVAL);
        self.reports = self.reports.wrapping_add(1);
        let spend = |(organisation, account): (&Name, &mut Account)| {
            account.remove_expired(now);
            if !account.is_in_use() {
                return None;
            }
            let available = account.allowed * reachable_fraction;
            let remaining = available - account.window_sum(unobserved_fraction);
            account.add_credit(remaining.max(0.0), entries);
            if !account.take_unreported() && !is_full {
                return None;
            }
            Some(SpendTotals {
                organisation: organisation.clone(),
                spent: account.own_spent,
                window_sum: account.window_sum(unobserved_fraction),
            })
        };
        QuotaReport {
            from,
            age: now.since(self.started),
            totals: self.organisations.iter_mut().filter_map(spend).collect(),
        }
    }

    /// Returns the fraction of the entries that are reachable, including this
    /// one.
    fn reachable_fraction(&self, now: Timestamp) -> f64 {
        let reachable = self
            .peers
            .values()
            .filter(|p| !p.is_unreachable(now))
            .count()
            + 1;
        reachable.min(self.entries) as f64 / self.entries as f64
    }

    /// Returns the fraction of the last window that precedes this entry's
    /// start.
    fn unobserved_fraction(&self, now: Timestamp, window: Duration) -> f64 {
        let windows_run = now.since(self.started).as_secs_f64() / window.as_secs_f64();
        (1.0 - windows_run).max(0.0)
    }

    /// Returns the time in which spending took place that the restored record does not
    /// hold; without a record, the whole window.
    fn undated_span(&self, now: Timestamp, window: Duration) -> Duration {
        let since_record = self.restored.as_ref().map(|r| now.since(r.read_at()));
        since_record.map_or(window, |since| since.min(window))
    }

    /// Returns whether an entry of this age knows what was spent in the last window: it
    /// has run for a window, or has started with the record and has heard of all others
    /// since.
    fn is_observer(&self, age: Duration, window: Duration) -> bool {
        age >= window || (self.restored.is_some() && age >= RECORD_LAG)
    }

    /// Creates an account with what the restored record holds, and with the window sum
    /// that peers report or else with an estimate of what may have been spent.
    fn new_account(&self, now: Timestamp, organisation: &Name, window: Duration) -> Account {
        let mut account = Account::new();
        account.assumed_fraction = 1.0;
        if let Some(restored) = &self.restored {
            restored.apply(now, organisation, &mut account, window);
        }
        let reachable = || self.peers.values().filter(|p| !p.is_unreachable(now));
        let spent = |p: &Peer| p.totals.get(organisation).cloned();
        let observers = reachable().filter(|p| self.is_observer(p.age, window));
        let known = observers.filter_map(|p| Some(spent(p)?.window_sum));
        if let Some(known) = known.reduce(f64::max) {
            account.raise_to(now, known, self.undated_span(now, window), window);
            return account;
        }
        for spend in reachable().filter_map(spent) {
            account.add(now + window, spend.spent);
        }
        account
    }
}

impl Peer {
    fn is_unreachable(&self, now: Timestamp) -> bool {
        now.since(self.last_report) >= REPORT_TIMEOUT
    }
}
