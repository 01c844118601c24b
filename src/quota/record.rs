//! Record of spending that survives a restart of all entries.
//!
//! One of the entries writes the record to the platform's object store at short
//! intervals. An entry that starts counts the recorded spending as if it were
//! written at that moment, and adds a margin for what was spent since.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Account;
use super::Quota;
use super::WINDOW_PARTS;
use crate::clock::Timestamp;
use crate::ids::Incarnation;
use crate::name::Name;

/// Time between two records. What is spent in this time stays within the
/// tolerance that is reserved for it, even if an organisation sends several
/// times its usual load.
pub const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// Age of an entry from which the record includes what it spent, except for the
/// most recent spending: two intervals and the time to write the record.
pub(super) const RECORD_LAG: Duration = Duration::from_millis(1500);

/// Greatest age of a usable record; an older one covers too little of the
/// window.
const MAX_RECORD_AGE: Duration = Duration::from_secs(5);

/// Fraction of a quota that may have been spent after the last record.
const UNRECORDED_FRACTION: f64 = 0.15;

/// Spending of all entries, as stored by one of them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaRecord {
    /// Time of writing, in Unix milliseconds on the writer's clock.
    pub written_millis: u64,
    /// Units of each organisation, one element for each part of a window. The
    /// first element counts the units that leave the window in the part that
    /// follows the writing, the next one those that leave it in the part after.
    pub spends: BTreeMap<Name, Vec<f64>>,
}

/// A record that was read when the entry started.
#[derive(Debug)]
pub(super) struct RestoredRecord {
    /// Time at which it was read; the recorded spending counts from this time.
    read_at: Timestamp,
    /// Fraction of a quota that may have been spent since it was written.
    assumed_fraction: f64,
    spends: BTreeMap<Name, Vec<f64>>,
}

impl RestoredRecord {
    /// Returns the time from which the recorded spending counts.
    pub(super) fn read_at(&self) -> Timestamp {
        self.read_at
    }

    /// Adds the recorded spending of an organisation to its account, and
    /// replaces the fraction that was assumed without a record.
    pub(super) fn apply(
        &self,
        now: Timestamp,
        organisation: &Name,
        account: &mut Account,
        window: Duration,
    ) {
        account.assumed_fraction = self.assumed_fraction;
        let parts = self.spends.get(organisation).into_iter().flatten();
        for (part, units) in (1..).zip(parts) {
            let expires_at = self.read_at + window * part / WINDOW_PARTS;
            if expires_at > now {
                account.add(expires_at, *units);
            }
        }
    }
}

impl Quota {
    /// Returns whether this entry writes the record: of the entries that can
    /// reach each other, the one with the lowest incarnation does.
    pub fn is_record_writer(&self, now: Timestamp, own: Incarnation) -> bool {
        let mut reachable = self.peers.iter().filter(|(_, p)| !p.is_unreachable(now));
        reachable.all(|(incarnation, _)| own.0 < incarnation.0)
    }

    /// Returns the record as of `now`; `None` if nothing was spent in the
    /// window.
    pub fn make_record(
        &mut self,
        now: Timestamp,
        window: Duration,
        written_millis: u64,
    ) -> Option<QuotaRecord> {
        let mut spends = BTreeMap::new();
        for (organisation, account) in &mut self.organisations {
            account.remove_expired(now);
            if !account.spendings.is_empty() {
                spends.insert(organisation.clone(), account.units_by_part(now, window));
            }
        }
        (!spends.is_empty()).then_some(QuotaRecord {
            written_millis,
            spends,
        })
    }

    /// Restores the record that was found at startup, and returns whether it
    /// is recent enough to be used. The recorded spending counts as if it were
    /// written now, so it leaves the window slightly late.
    pub fn restore(
        &mut self,
        now: Timestamp,
        window: Duration,
        now_millis: u64,
        record: QuotaRecord,
    ) -> bool {
        let age = Duration::from_millis(now_millis.abs_diff(record.written_millis));
        if age > MAX_RECORD_AGE {
            return false;
        }
        let elapsed_fraction = age.as_secs_f64() / window.as_secs_f64();
        let restored = RestoredRecord {
            read_at: now,
            assumed_fraction: (UNRECORDED_FRACTION + elapsed_fraction).min(1.0),
            spends: record.spends,
        };
        for (organisation, account) in &mut self.organisations {
            // Any other account already holds the window sum that a peer
            // reported.
            if account.assumed_fraction == 1.0 {
                restored.apply(now, organisation, account, window);
            }
        }
        self.restored = Some(restored);
        true
    }
}

impl Account {
    /// Returns the units spent as [`QuotaRecord::spends`] stores them: one
    /// element for each part of a window, in which the units leave the window.
    fn units_by_part(&self, now: Timestamp, window: Duration) -> Vec<f64> {
        let mut parts = vec![0.0; WINDOW_PARTS as usize];
        let last = parts.len() - 1;
        for spending in &self.spendings {
            let remaining = now.until(spending.expires_at).as_secs_f64();
            let part = remaining / window.as_secs_f64() * f64::from(WINDOW_PARTS);
            parts[(part as usize).min(last)] += spending.units;
        }
        parts
    }
}
