//! Leases with fencing numbers, kept as objects in the platform's store.
//!
//! Leases use monotonic clocks only, no wall clock. The term of a holder starts,
//! on its own clock, when it starts the write that is accepted, and is shortened
//! by a margin. Another process takes over only after it has observed the same
//! version itself for a whole term plus the margin. Two processes therefore
//! never hold the lease at the same time as long as the rates of their clocks
//! differ by less than the margin allows. After a pause, a holder finds that its
//! term has expired.
//!
//! A store that is restored from an older copy may have lost the latest holders.
//! Their terms have expired a whole term after the restore, so nobody takes the
//! lease before that. Fencing numbers of different timelines never repeat,
//! because the timeline is their upper part.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Timestamp;
use crate::name::Name;
use crate::object_store::Timeline;
use crate::object_store::Version;

mod acquire;
#[cfg(test)]
mod tests;

pub use acquire::LeaseError;
pub use acquire::acquire;

/// Term of a lease, which starts with each write. The holder counts it shorter
/// and other processes count it longer, each by `CLOCK_MARGIN`.
pub const LEASE_TERM: Duration = Duration::from_secs(10);

/// Margin for clocks that run at different rates: subtracted from the holder's term
/// and added to the time that others wait.
const CLOCK_MARGIN: Duration = Duration::from_secs(1);

/// Number of low bits of a fencing number that count the changes of the holder
/// within one timeline of the store.
const FENCING_COUNT_BITS: u32 = 40;

/// Number that grows with every change of the holder. An upstream that checks
/// fencing numbers refuses orders with a lower one than it has received.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl FencingNumber {
    /// Returns a number below all those of the holders in this timeline and above
    /// all those of earlier ones.
    fn before_first(timeline: Timeline) -> Self {
        Self(timeline.0 << FENCING_COUNT_BITS)
    }

    fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Value of a lease's object in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Incarnation of the process that holds the lease.
    pub holder: Name,
    /// Fencing number of the holder.
    pub fencing: FencingNumber,
    /// Number of writes of this lease. It changes the value on each write, so
    /// that each write has a new version.
    pub writes: u64,
}

/// Next step of a process that wants to hold a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Write this record, on the condition that the store still holds the
    /// observed version.
    Write(LeaseRecord),
    /// Another process holds the lease; read it again at this time.
    Wait(Timestamp),
}

/// State of one lease as one process sees it.
#[derive(Debug)]
pub struct Lease {
    process: Name,
    /// Timeline and version that were read last, and when they were first read.
    observed: Option<(Timeline, Option<Version>, Timestamp)>,
    held: Option<HeldTerm>,
}

#[derive(Clone, Copy, Debug)]
struct HeldTerm {
    fencing: FencingNumber,
    until: Timestamp,
}

impl Lease {
    /// Creates the state of a lease that `process` does not hold. `process` names
    /// the incarnation of this process.
    pub fn new(process: Name) -> Self {
        Self {
            process,
            observed: None,
            held: None,
        }
    }

    /// Processes the record that was read from the store in this timeline and
    /// returns the next step.
    pub fn observe(
        &mut self,
        now: Timestamp,
        timeline: Timeline,
        version: Option<&Version>,
        record: Option<&LeaseRecord>,
    ) -> LeaseAction {
        let unchanged_since = match &self.observed {
            Some((known, same, unchanged_since))
                if *known == timeline && same.as_ref() == version =>
            {
                *unchanged_since
            }
            _ => now,
        };
        self.observed = Some((timeline, version.cloned(), unchanged_since));
        let floor = FencingNumber::before_first(timeline);
        let is_after_restore = record.map_or(timeline > Timeline::default(), |r| r.fencing < floor);
        let takeover_at = unchanged_since + LEASE_TERM + CLOCK_MARGIN;
        let writes = record.map_or(0, |r| r.writes) + 1;
        let next = record.map_or(floor, |r| r.fencing.max(floor)).next();
        match record {
            _ if now >= takeover_at => LeaseAction::Write(self.record(next, writes)),
            // The holder that was lost in the restore may still be active.
            _ if is_after_restore => LeaseAction::Wait(takeover_at),
            None => LeaseAction::Write(self.record(next, writes)),
            Some(record) if record.holder == self.process => {
                LeaseAction::Write(self.record(record.fencing, writes))
            }
            Some(_) => LeaseAction::Wait(takeover_at),
        }
    }

    /// Records that the store accepted a write that started at `started`.
    pub fn record_write(&mut self, started: Timestamp, record: &LeaseRecord) {
        self.held = Some(HeldTerm {
            fencing: record.fencing,
            until: started + (LEASE_TERM - CLOCK_MARGIN),
        });
    }

    /// Returns the fencing number for orders given now; `None` if this process
    /// does not hold the lease or its term has expired on this process's clock.
    pub fn fencing_number(&self, now: Timestamp) -> Option<FencingNumber> {
        self.held.filter(|h| now < h.until).map(|h| h.fencing)
    }

    fn record(&self, fencing: FencingNumber, writes: u64) -> LeaseRecord {
        LeaseRecord {
            holder: self.process.clone(),
            fencing,
            writes,
        }
    }
}
