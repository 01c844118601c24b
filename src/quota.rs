//! Quotas of organisations over all entries.
//!
//! An organisation may use its rate times a window, and its burst, in any
//! window of that length. Each entry tells the others what it has spent in
//! all, so that everyone knows what was spent in the last window. Entries that
//! are silent may be spending too: an equal part of the quota is kept for each
//! of them. An entry that starts anew takes the sum of the window from those
//! that have run for a window. Where there are none, as after a start of all,
//! it goes by the record that one of them keeps in the platform's store, and
//! assumes the quota spent where there is no recent one.
//!
//! Where a quota is lowered, what was spent before counts as the part of the
//! quota that it was when it was spent: an organisation that was within its
//! quota is not shut out for a window.
//!
//! Operators may tolerate some use beyond a quota. A part of that tolerance is
//! given to callers; the rest covers what is spent between two reports and
//! since the last record.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::settings::QuotaRate;
use crate::settings::QuotaUnit;

use self::record::RECORD_LAG;
use self::record::Recalled;

mod record;
#[cfg(test)]
mod tests;

pub use record::QuotaRecord;
pub use record::RECORD_EVERY;

/// The time without a report after which an entry counts as silent: several
/// times the longest interval between reports.
pub const SILENT_AFTER: Duration = Duration::from_secs(1);

/// The time without a report after which an entry is forgotten: longer than
/// a cut after which it may come back with what it spent meanwhile.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(300);

/// The part of the tolerated use beyond a quota that callers get.
const OVER_USED: f64 = 0.4;

/// The part of the tolerated units beyond that part that callers get.
const SLACK_USED: f64 = 0.45;

/// The parts of a window in which a sum that was taken over is let go.
const PARTS: u32 = 16;

/// The longest time after which coming back is suggested to a caller whose
/// organisation has used up its quota.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// The shortest time after which coming back is suggested.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// How operators measure quotas, and what they tolerate beyond them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The window over which use is summed.
    pub window: Duration,
    /// What is tolerated in a window, as a part of the quota.
    pub over: f64,
    /// Tokens that are tolerated in a window beyond that part.
    pub slack: f64,
}

impl QuotaBounds {
    /// The units of a window that callers get.
    fn allowed(self, rate: QuotaRate) -> f64 {
        let quota = self.quota(rate);
        quota + quota * self.over * OVER_USED + self.slack(rate) * SLACK_USED
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

/// What one entry says of one organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Spend {
    /// The organisation.
    pub organisation: Name,
    /// Units spent by the entry since its start.
    pub spent: f64,
    /// Units spent by all entries in the last window, as far as it knows.
    pub window: f64,
}

/// What one entry says of all organisations.
#[derive(Clone, Debug)]
pub struct QuotaReport {
    /// The life of the entry.
    pub from: Incarnation,
    /// The time since its start.
    pub age: Duration,
    /// One for each organisation with a quota.
    pub spends: Vec<Spend>,
}

/// What one entry knows of the use of quotas.
#[derive(Debug)]
pub struct Quota {
    started: Timestamp,
    organisations: HashMap<Name, Account>,
    peers: HashMap<Incarnation, Peer>,
    /// What was recorded before this entry started.
    recalled: Option<Recalled>,
    /// Entries that are there, this one included.
    entries: usize,
}

/// What is known of one organisation.
#[derive(Debug)]
struct Account {
    /// The units of a window that callers get by the rate in force.
    allowed: f64,
    /// What was spent, the earliest first.
    spends: VecDeque<Spending>,
    /// What `spends` count by `allowed`.
    sum: f64,
    /// Units spent by this entry since its start.
    own: f64,
    /// The part of `allowed` that may have been spent by all entries in the
    /// window before this one started.
    assumed: f64,
}

#[derive(Clone, Copy, Debug)]
struct Spending {
    /// When it leaves the window.
    leaves: Timestamp,
    units: f64,
    /// The units of a window that callers got when it was spent.
    allowed: f64,
}

impl Spending {
    /// What it counts where callers get `allowed` units of a window.
    fn counted(&self, allowed: f64) -> f64 {
        self.units * self.weight(allowed)
    }

    fn weight(&self, allowed: f64) -> f64 {
        match allowed < self.allowed {
            true => allowed / self.allowed,
            false => 1.0,
        }
    }
}

#[derive(Debug)]
struct Peer {
    heard: Timestamp,
    /// Its age then.
    age: Duration,
    /// Its last word on each organisation.
    spends: HashMap<Name, Spend>,
}

impl Quota {
    /// An entry that starts now.
    pub fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            organisations: HashMap::new(),
            peers: HashMap::new(),
            recalled: None,
            entries: 1,
        }
    }

    /// Sets the number of entries that are there, this one included.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// The number of entries that are there, this one included.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Spends `units` of an organisation, or says when to come back.
    pub fn spend(
        &mut self,
        now: Timestamp,
        organisation: &Name,
        rate: QuotaRate,
        bounds: QuotaBounds,
        units: f64,
    ) -> Result<(), Duration> {
        let heard_part = self.heard_part(now);
        let allowed = bounds.allowed(rate);
        let unforgotten = self.unforgotten(now, bounds.window);
        if !self.organisations.contains_key(organisation) {
            let account = self.new_account(now, organisation, allowed, bounds.window);
            self.organisations.insert(organisation.clone(), account);
        }
        let Some(account) = self.organisations.get_mut(organisation) else {
            return Err(RETRY_MAX);
        };
        account.forget(now);
        account.allow(allowed);
        // A request beyond the quota passes when nothing else was spent.
        let known = allowed * (1.0 - account.assumed * unforgotten);
        let room = known * heard_part - account.sum;
        if room < units && (account.sum > 0.0 || unforgotten > 0.0) {
            return Err(account.room_after(now, units - room));
        }
        account.spend(now + bounds.window, units);
        account.own += units;
        Ok(())
    }

    /// Returns what was spent for a request that was not run.
    pub fn refund(&mut self, organisation: &Name, units: f64) {
        if let Some(account) = self.organisations.get_mut(organisation) {
            account.own -= units;
            account.take_back(units);
        }
    }

    /// Takes in the report of another entry.
    pub fn merge_report(&mut self, now: Timestamp, window: Duration, report: &QuotaReport) {
        let older = report.age > now.since(self.started);
        let known = self.peers.get(&report.from);
        let was_silent = known.is_some_and(|peer| peer.is_silent(now));
        let unforgotten = self.unforgotten(now, window);
        let is_recorded = self.recalled.is_some() && report.age >= RECORD_LAG;
        let peer = self.peers.entry(report.from).or_insert_with(|| Peer {
            heard: now,
            age: report.age,
            spends: HashMap::new(),
        });
        peer.heard = now;
        peer.age = report.age;
        for spend in &report.spends {
            let organisation = spend.organisation.clone();
            let before = peer.spends.insert(organisation, spend.clone());
            let Some(account) = self.organisations.get_mut(&spend.organisation) else {
                continue;
            };
            let since = spend.spent - before.as_ref().map_or(0.0, |b| b.spent);
            match before {
                // What an older entry spent before this one started is in
                // the sum that it reports, or in the record.
                None if older && report.age >= window => {
                    let known = account.window(unforgotten);
                    account.spread(now, spend.window - known, window);
                }
                None if older && is_recorded => {}
                _ if since < 0.0 => account.take_back(-since),
                // Nobody knows when in its silence it was spent.
                _ if was_silent => account.spread(now, since, window),
                _ => account.spend(now + window, since),
            }
        }
        self.peers
            .retain(|_, peer| now.since(peer.heard) < FORGOTTEN_AFTER);
    }

    /// What this entry tells the others.
    pub fn report(&mut self, now: Timestamp, window: Duration, from: Incarnation) -> QuotaReport {
        let unforgotten = self.unforgotten(now, window);
        let spend = |(organisation, account): (&Name, &mut Account)| {
            account.forget(now);
            Spend {
                organisation: organisation.clone(),
                spent: account.own,
                window: account.window(unforgotten),
            }
        };
        QuotaReport {
            from,
            age: now.since(self.started),
            spends: self.organisations.iter_mut().map(spend).collect(),
        }
    }

    /// The part of the entries that is heard, this one included.
    fn heard_part(&self, now: Timestamp) -> f64 {
        let heard = self.peers.values().filter(|p| !p.is_silent(now)).count() + 1;
        heard.min(self.entries) as f64 / self.entries as f64
    }

    /// The part of the window that lies before this entry's start.
    fn unforgotten(&self, now: Timestamp, window: Duration) -> f64 {
        let age = now.since(self.started).as_secs_f64() / window.as_secs_f64();
        (1.0 - age).max(0.0)
    }

    /// An account with what others know to have been spent in the window, or
    /// with what may have been.
    fn new_account(
        &self,
        now: Timestamp,
        organisation: &Name,
        allowed: f64,
        window: Duration,
    ) -> Account {
        let mut account = Account::new(allowed);
        let heard = || self.peers.values().filter(|p| !p.is_silent(now));
        let spent = |p: &Peer| p.spends.get(organisation).cloned();
        let grown_up = heard().filter(|p| p.age >= window);
        let known = grown_up.filter_map(|p| Some(spent(p)?.window));
        if let Some(known) = known.reduce(f64::max) {
            account.spread(now, known, window);
            return account;
        }
        account.assumed = 1.0;
        if let Some(recalled) = &self.recalled {
            recalled.apply(now, organisation, &mut account, window);
        }
        for spend in heard().filter_map(spent) {
            account.spend(now + window, spend.spent);
        }
        account
    }
}

impl Peer {
    fn is_silent(&self, now: Timestamp) -> bool {
        now.since(self.heard) >= SILENT_AFTER
    }
}

impl Account {
    fn new(allowed: f64) -> Self {
        Self {
            allowed,
            spends: VecDeque::new(),
            sum: 0.0,
            own: 0.0,
            assumed: 0.0,
        }
    }

    /// Counts by another rate.
    fn allow(&mut self, allowed: f64) {
        if allowed != self.allowed {
            self.allowed = allowed;
            self.sum = self.spends.iter().map(|s| s.counted(allowed)).sum();
        }
    }

    /// What counts as spent by all entries in the last window.
    fn window(&self, unforgotten: f64) -> f64 {
        self.sum + self.allowed * self.assumed * unforgotten
    }

    fn spend(&mut self, leaves: Timestamp, units: f64) {
        if units > 0.0 {
            let later = self.spends.iter().rev().take_while(|s| s.leaves > leaves);
            let place = self.spends.len() - later.count();
            let spending = Spending {
                leaves,
                units,
                allowed: self.allowed,
            };
            self.spends.insert(place, spending);
            self.sum += units;
        }
    }

    fn forget(&mut self, now: Timestamp) {
        while let Some(first) = self.spends.front() {
            if first.leaves > now {
                break;
            }
            self.sum -= first.counted(self.allowed);
            self.spends.pop_front();
        }
        if self.spends.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Takes back the latest spending.
    fn take_back(&mut self, units: f64) {
        let mut left = units;
        while left > 0.0 {
            let Some(last) = self.spends.back_mut() else {
                return;
            };
            let taken = left.min(last.units);
            last.units -= taken;
            left -= taken;
            self.sum -= taken * last.weight(self.allowed);
            if last.units <= 0.0 {
                self.spends.pop_back();
            }
        }
    }

    /// Spends `units` as if evenly in the last window.
    fn spread(&mut self, now: Timestamp, units: f64, window: Duration) {
        for part in 1..=PARTS {
            let leaves = now + window * part / PARTS;
            self.spend(leaves, units / f64::from(PARTS));
        }
    }

    /// The time until spending that counts `units` has left the window.
    fn room_after(&self, now: Timestamp, units: f64) -> Duration {
        let mut left = units;
        for spending in &self.spends {
            left -= spending.counted(self.allowed);
            if left <= 0.0 {
                return now.until(spending.leaves).clamp(RETRY_MIN, RETRY_MAX);
            }
        }
        RETRY_MAX
    }
}
