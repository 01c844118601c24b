//! Leases with fencing numbers, kept as objects in the platform's store.
//!
//! No wall clock is involved. A holder counts its term from the moment at
//! which it began the write that was accepted, on its own clock, less a
//! margin; another process takes over only after it has itself seen the same
//! version for a whole term and the margin. So two processes never hold the
//! lease at once while their clocks run at rates that differ by less than the
//! margin allows. A process that was paused finds its term over.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Timestamp;
use crate::name::Name;
use crate::object_store::Version;

#[cfg(test)]
mod tests;

/// The time for which a lease is held after it was written.
pub const TERM: Duration = Duration::from_secs(10);

/// Margin for clocks of different rates, as part of the term.
const MARGIN: Duration = Duration::from_secs(1);

/// Grows with every holder; an upstream that checks it refuses older ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

/// The value of a lease's object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The life of the process that holds it.
    pub holder: Name,
    /// The holder's number.
    pub fencing: FencingNumber,
    /// Counts the writes, so that each makes a new version.
    pub writes: u64,
}

/// What a process is to do about a lease that it wants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Write this record in place of the version that was seen.
    Write(LeaseRecord),
    /// Look again at this moment; another process holds it.
    Wait(Timestamp),
}

/// One process's view of one lease.
#[derive(Debug)]
pub struct Lease {
    me: Name,
    /// The version seen last and when it was seen first.
    seen: Option<(Option<Version>, Timestamp)>,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fencing: FencingNumber,
    until: Timestamp,
}

impl Lease {
    /// A lease that the life `me` of a process does not hold yet.
    pub fn new(me: Name) -> Self {
        Self {
            me,
            seen: None,
            held: None,
        }
    }

    /// Says what is to be done after the store was read.
    pub fn observe(
        &mut self,
        now: Timestamp,
        version: Option<&Version>,
        record: Option<&LeaseRecord>,
    ) -> LeaseAction {
        let since = match &self.seen {
            Some((same, since)) if same.as_ref() == version => *since,
            _ => now,
        };
        self.seen = Some((version.cloned(), since));
        let Some(record) = record else {
            return LeaseAction::Write(self.record(FencingNumber(1), 1));
        };
        if record.holder == self.me {
            return LeaseAction::Write(self.record(record.fencing, record.writes + 1));
        }
        let free = since + TERM + MARGIN;
        match now >= free {
            true => {
                let next = FencingNumber(record.fencing.0 + 1);
                LeaseAction::Write(self.record(next, record.writes + 1))
            }
            false => LeaseAction::Wait(free),
        }
    }

    /// Notes that a write that began at `began` was accepted.
    pub fn record_write(&mut self, began: Timestamp, record: &LeaseRecord) {
        self.held = Some(Held {
            fencing: record.fencing,
            until: began + (TERM - MARGIN),
        });
    }

    /// The number under which an order may be given now; none if the lease is
    /// not held, or its term is over on this process's own clock.
    pub fn fencing_number(&self, now: Timestamp) -> Option<FencingNumber> {
        self.held.filter(|h| now < h.until).map(|h| h.fencing)
    }

    fn record(&self, fencing: FencingNumber, writes: u64) -> LeaseRecord {
        LeaseRecord {
            holder: self.me.clone(),
            fencing,
            writes,
        }
    }
}
