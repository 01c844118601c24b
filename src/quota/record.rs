//! What survives a start of all entries: a record of what was spent.
//!
//! One of the entries writes the record to the platform's store at short
//! intervals. An entry that starts takes it for what was spent, as if written
//! just now, and assumes a part more for what was spent since.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Account;
use super::PARTS;
use super::Quota;
use crate::clock::Timestamp;
use crate::ids::Incarnation;
use crate::name::Name;

/// The time between two records: what is spent in it stays within what is kept
/// of the users' tolerance, also where an organisation sends several times its
/// usual.
pub const RECORD_EVERY: Duration = Duration::from_millis(500);

/// What an entry of this age has spent is in the record, but for the last of
/// it: two intervals and the writing.
pub(super) const RECORD_LAG: Duration = Duration::from_millis(1500);

/// A record that is older says too little of the window.
const RECORD_VALID: Duration = Duration::from_secs(5);

/// The part of a quota that may have been spent after the last record.
const UNRECORDED: f64 = 0.15;

/// What was spent by all entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaRecord {
    /// When it was written, in Unix milliseconds on the writer's clock.
    pub written_millis: u64,
    /// Units by organisation, and by the part of the window in which they
    /// leave it, the next one first.
    pub spends: BTreeMap<Name, Vec<f64>>,
}

/// A record that was read at the start.
#[derive(Debug)]
pub(super) struct Recalled {
    at: Timestamp,
    /// The part of a quota that may have been spent since it was written.
    assumed: f64,
    spends: BTreeMap<Name, Vec<f64>>,
}

impl Recalled {
    /// Counts what was recorded of an organisation, in place of what was
    /// assumed.
    pub(super) fn apply(
        &self,
        now: Timestamp,
        organisation: &Name,
        account: &mut Account,
        window: Duration,
    ) {
        account.assumed = self.assumed;
        let parts = self.spends.get(organisation).into_iter().flatten();
        for (part, units) in (1..).zip(parts) {
            let leaves = self.at + window * part / PARTS;
            if leaves > now {
                account.spend(leaves, *units);
            }
        }
    }
}

impl Quota {
    /// Whether this entry keeps the record: of those that hear each other,
    /// one.
    pub fn keeps_record(&self, now: Timestamp, own: Incarnation) -> bool {
        let mut heard = self.peers.iter().filter(|(_, p)| !p.is_silent(now));
        heard.all(|(life, _)| own.0 < life.0)
    }

    /// The record as of now; none while nothing was spent in the window.
    pub fn record(
        &mut self,
        now: Timestamp,
        window: Duration,
        written_millis: u64,
    ) -> Option<QuotaRecord> {
        let mut spends = BTreeMap::new();
        for (organisation, account) in &mut self.organisations {
            account.forget(now);
            if !account.spends.is_empty() {
                spends.insert(organisation.clone(), account.parts(now, window));
            }
        }
        (!spends.is_empty()).then_some(QuotaRecord {
            written_millis,
            spends,
        })
    }

    /// Takes in the record that was found at the start, and says whether it is
    /// recent enough. What was recorded counts as if it was written now: it
    /// leaves the window somewhat late.
    pub fn restore(
        &mut self,
        now: Timestamp,
        window: Duration,
        now_millis: u64,
        record: QuotaRecord,
    ) -> bool {
        let age = Duration::from_millis(now_millis.abs_diff(record.written_millis));
        if age > RECORD_VALID {
            return false;
        }
        let unknown = age.as_secs_f64() / window.as_secs_f64();
        let recalled = Recalled {
            at: now,
            assumed: (UNRECORDED + unknown).min(1.0),
            spends: record.spends,
        };
        for (organisation, account) in &mut self.organisations {
            // Others account for what entries that have run for long know.
            if account.assumed == 1.0 {
                recalled.apply(now, organisation, account, window);
            }
        }
        self.recalled = Some(recalled);
        true
    }
}

impl Account {
    /// What was spent, by the part of the window in which it leaves.
    fn parts(&self, now: Timestamp, window: Duration) -> Vec<f64> {
        let mut parts = vec![0.0; PARTS as usize];
        let last = parts.len() - 1;
        for spending in &self.spends {
            let left = now.until(spending.leaves).as_secs_f64();
            let part = left / window.as_secs_f64() * f64::from(PARTS);
            parts[(part as usize).min(last)] += spending.units;
        }
        parts
    }
}
