//! Permits to send requests to an upstream that names a rate limit.
//!
//! One entry issues the permits of an upstream for all entries, so that they keep to its
//! limit together, however requests fall on them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::pacing::Pacing;
use crate::clock::Timestamp;
use crate::ids::Incarnation;

/// The time for which an issued permit is remembered, since the request for it is repeated
/// if the answer is lost.
const REPEAT_TIME: Duration = Duration::from_secs(2);

/// The time for which an entry counts as short of permits after it was denied one.
const DENIED_TIME: Duration = Duration::from_secs(1);

/// Identifies a request for a permit.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PermitId {
    /// The entry that asks.
    pub entry: Incarnation,
    /// Unique within that entry.
    pub number: u64,
}

/// Request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitRequest {
    /// The id of the request.
    pub id: PermitId,
    /// The scheduling rank; 0 is the highest.
    pub rank: u8,
    /// The longest time that the entry waits.
    pub max_wait: Duration,
}

/// The answer to a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitAnswer {
    /// The request may be sent now.
    Granted,
    /// The permit will be granted later, or not at all within the longest wait.
    Queued,
    /// There will be none within the longest wait; holds the expected wait.
    Denied(Duration),
}

/// Issues the permits of one upstream.
///
/// Invariants: a permit is issued once for each id; higher ranks get theirs first.
#[derive(Debug)]
pub struct PermitIssuer {
    pacing: Pacing,
    /// The waiting requests by rank and order of arrival.
    waiting: BTreeMap<(u8, u64), Waiting>,
    arrived: u64,
    /// The permits issued lately, the earliest first.
    issued: VecDeque<(Timestamp, PermitId)>,
    /// When each entry was last denied a permit.
    denied: BTreeMap<Incarnation, Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: PermitId,
    until: Timestamp,
}

impl PermitIssuer {
    /// Creates an issuer. The first permit is issued after one `interval`, since others
    /// may have been issued elsewhere.
    pub fn new(now: Timestamp, interval: Duration) -> Self {
        Self {
            pacing: Pacing::new(now, interval),
            waiting: BTreeMap::new(),
            arrived: 0,
            issued: VecDeque::new(),
            denied: BTreeMap::new(),
        }
    }

    /// Sets the time between two permits.
    pub fn set_interval(&mut self, interval: Duration) {
        self.pacing.set_interval(interval);
    }

    /// Answers a request, which may be a repeated one.
    pub fn request(&mut self, now: Timestamp, request: PermitRequest) -> PermitAnswer {
        self.forget(now);
        let id = request.id;
        if self.issued.iter().any(|(_, issued)| *issued == id) {
            return PermitAnswer::Granted;
        }
        if self.waiting.values().any(|w| w.id == id) {
            return PermitAnswer::Queued;
        }
        let key = (request.rank, self.arrived);
        let ahead = self.waiting.range(..key).count();
        let wait = now.until(self.pacing.due_at(ahead));
        if wait > request.max_wait {
            self.denied.insert(id.entry, now);
            return PermitAnswer::Denied(wait);
        }
        if ahead == 0 && self.pacing.is_due(now, 0) {
            self.record(now, id);
            return PermitAnswer::Granted;
        }
        self.arrived += 1;
        let until = now + request.max_wait;
        self.waiting.insert(key, Waiting { id, until });
        PermitAnswer::Queued
    }

    fn record(&mut self, now: Timestamp, id: PermitId) {
        self.pacing.record(now);
        self.issued.push_back((now, id));
    }

    /// Issues the permits that are due, and returns the requests that got them.
    pub fn issue(&mut self, now: Timestamp) -> Vec<PermitId> {
        self.forget(now);
        let mut granted = Vec::new();
        while self.pacing.is_due(now, 0) {
            let Some((_, waiting)) = self.waiting.pop_first() else {
                break;
            };
            self.record(now, waiting.id);
            granted.push(waiting.id);
        }
        granted
    }

    /// Returns when the next permit is due, if a request waits for it.
    pub fn next_due(&self) -> Option<Timestamp> {
        (!self.waiting.is_empty()).then(|| self.pacing.due_at(0))
    }

    /// Returns the number of entries other than `entry` that are short of permits: their
    /// requests wait, or were denied lately.
    pub fn other_entries(&self, entry: Incarnation) -> usize {
        let waiting = self.waiting.values().map(|w| w.id.entry);
        let short: BTreeSet<Incarnation> = waiting.chain(self.denied.keys().copied()).collect();
        short.iter().filter(|other| **other != entry).count()
    }

    fn forget(&mut self, now: Timestamp) {
        self.waiting.retain(|_, w| w.until >= now);
        self.denied.retain(|_, at| now.since(*at) < DENIED_TIME);
        while let Some((at, _)) = self.issued.front() {
            if now.since(*at) < REPEAT_TIME {
                return;
            }
            self.issued.pop_front();
        }
    }
}
