//! Finds requests and parts of prompts that crash upstreams (queries of death).
//!
//! A crash takes all requests on the upstream along, so sound requests, and parts of sound
//! prompts, are present at each crash as well. They differ from the cause by their
//! successes: what has succeeded lately is no suspect. Among the suspects, the one that is
//! present at most crashes explains these; others are convicted only by crashes that are
//! left unexplained. Several can explain the same crashes, as long as none has succeeded: a
//! request with some of them only is probed early, since it tells them apart. What has succeeded lately and goes on crashing upstreams, while others
//! that were present at the crashes succeed, is a suspect too.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Timestamp;
use crate::prompt_parts::PartId;
use crate::upstream_request::RequestDigest;

mod report;
mod successes;
mod suspect;
#[cfg(test)]
mod tests;

pub use report::SuspectReport;
pub use report::SuspectRow;
use successes::Successes;
use suspect::Suspect;

/// The time for which a success shows that a part or a request is sound.
pub const SUCCESS_MEMORY: Duration = Duration::from_secs(120);

/// The number of crashes that no other suspect explains, without which a suspect is not
/// convicted.
const MIN_UNEXPLAINED: usize = 2;

/// The number of crashes of a suspect from which a request is not sent again.
const SUSPICIOUS_CRASHES: usize = 2;

/// The maximum number of suspects. Those with the fewest crashes go first.
pub const MAX_SUSPECTS: usize = 256;

/// The number of other entries to which news of suspects are sent at a time. These pass
/// them on, so that the messages of an entry don't grow with the number of entries.
pub const NEWS_FANOUT: usize = 4;

/// The shortest time that is given to the next probe.
const MIN_PROBE_WAIT: Duration = Duration::from_secs(30);

/// The same for a request that tells suspects apart.
const MIN_EARLY_PROBE_WAIT: Duration = Duration::from_secs(2);

/// How many times longer a request with several convicted suspects waits to be a probe. One
/// with a single suspect can show which of them is sound.
const JOINT_PROBE_PATIENCE: u32 = 4;

/// Identifies a crash at all entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(pub u64);

/// What requests can have in common that crashes upstreams.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SuspectId {
    /// A part of their prompts.
    Part(PartId),
    /// All that an upstream gets: a request that is repeated.
    Request(RequestDigest),
}

impl fmt::Display for SuspectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part {part}"),
            Self::Request(digest) => write!(f, "request {digest}"),
        }
    }
}

/// Change of what is believed of a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It was present at a crash and has not succeeded lately.
    Suspected(SuspectId),
    /// Requests with it are refused from now on.
    Convicted(SuspectId),
    /// Requests with it are no longer refused.
    Cleared(SuspectId),
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Neither the request nor a part of its prompt is convicted.
    Sound,
    /// The request may be sent, to find out whether what is convicted still crashes
    /// upstreams.
    Probe(SuspectId),
    /// The request must not be sent; holds the time to the next probe.
    Refused(SuspectId, Duration),
}

/// The requests and parts of prompts that were present at crashes.
///
/// Invariants: there are at most [`MAX_SUSPECTS`] of them; all convicted ones are among
/// them, and none of these has succeeded within [`SUCCESS_MEMORY`], unless it has turned bad
/// since.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: BTreeMap<SuspectId, Suspect>,
    convicted: BTreeSet<SuspectId>,
    /// The last successes, of suspects or not.
    successes: Successes,
}

impl CrashSuspects {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether nothing was present at a crash.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the convicted suspects.
    pub fn convicted(&self) -> &BTreeSet<SuspectId> {
        &self.convicted
    }

    /// Records the complete answer to a request with these ids.
    pub fn record_success(&mut self, now: Timestamp, ids: &[SuspectId]) -> Vec<Change> {
        let mut is_known = false;
        for id in ids {
            self.successes.record(now, *id);
            if let Some(suspect) = self.suspects.get_mut(id) {
                suspect.record_success(now);
                is_known = true;
            }
        }
        match is_known {
            true => self.review(now),
            false => Vec::new(),
        }
    }

    /// Records a crash under a request with these ids.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        crash: CrashId,
        ids: &[SuspectId],
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for id in ids {
            if !self.suspects.contains_key(id) && !self.has_succeeded_lately(now, *id) {
                changes.push(Change::Suspected(*id));
            }
            self.suspect(*id).record_crash(crash, now);
        }
        changes.extend(self.review(now));
        changes
    }

    /// Drops what is too old. Must be called from time to time.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Change> {
        self.review(now)
    }

    /// Returns whether a request under which an upstream has crashed must not be sent
    /// again, because it or a part of its prompt may be the cause.
    pub fn may_crash_next(&self, now: Timestamp, ids: &[SuspectId]) -> bool {
        ids.iter().any(|id| {
            let suspect = self.suspects.get(id);
            suspect.is_some_and(|s| {
                self.is_suspect(now, *id, s) && s.counted().count() >= SUSPICIOUS_CRASHES
            })
        })
    }

    /// Decides on a request. `is_prober` returns whether this entry is the one that may
    /// probe a suspect.
    pub fn verdict<F>(&self, now: Timestamp, ids: &[SuspectId], is_prober: F) -> Verdict
    where
        F: Fn(SuspectId) -> bool,
    {
        let convicted: BTreeSet<SuspectId> = self.convicted_among(ids).collect();
        let Some(first) = convicted.first().copied() else {
            return Verdict::Sound;
        };
        let tells_apart = self.tells_apart(&convicted);
        let suspects = convicted.iter().filter_map(|id| self.suspects.get(id));
        let next_probes = suspects.map(|s| match (tells_apart, convicted.len()) {
            (true, _) => s.next_early_probe(),
            (false, 1) => s.next_probe(1),
            (false, _) => s.next_probe(JOINT_PROBE_PATIENCE),
        });
        let next_probe = next_probes.max().unwrap_or_default();
        if now >= next_probe && is_prober(first) {
            return Verdict::Probe(first);
        }
        let shortest = match tells_apart {
            true => MIN_EARLY_PROBE_WAIT,
            false => MIN_PROBE_WAIT,
        };
        Verdict::Refused(first, now.until(next_probe).max(shortest))
    }

    /// Returns whether a request with just these convicted suspects tells them from others
    /// that explain all of their crashes.
    fn tells_apart(&self, convicted: &BTreeSet<SuspectId>) -> bool {
        let others = self.convicted.difference(convicted);
        let others: Vec<&Suspect> = others.filter_map(|id| self.suspects.get(id)).collect();
        convicted.iter().all(|id| {
            let suspect = self.suspects.get(id);
            suspect.is_some_and(|s| others.iter().any(|other| other.explains(s)))
        })
    }

    /// Records that a request with these ids is sent as a probe.
    pub fn record_probe(&mut self, now: Timestamp, ids: &[SuspectId]) {
        let convicted: Vec<SuspectId> = self.convicted_among(ids).collect();
        for id in convicted {
            if let Some(suspect) = self.suspects.get_mut(&id) {
                suspect.record_probe(now);
            }
        }
    }

    fn convicted_among(&self, ids: &[SuspectId]) -> impl Iterator<Item = SuspectId> {
        let ids = ids.iter().copied();
        ids.filter(|id| self.convicted.contains(id))
    }

    fn suspect(&mut self, id: SuspectId) -> &mut Suspect {
        let last_success = self.successes.last(id);
        let suspect = self.suspects.entry(id);
        suspect.or_insert_with(|| Suspect::new(last_success))
    }

    /// Returns whether `suspect` has not succeeded lately, or has turned bad since.
    fn is_suspect(&self, now: Timestamp, id: SuspectId, suspect: &Suspect) -> bool {
        let others_succeeded = |crash: CrashId, at: Timestamp| {
            let mut others = self.suspects.iter().filter(|(other, _)| **other != id);
            others.any(|(_, s)| s.crashes().contains_key(&crash) && s.last_success() > Some(at))
        };
        suspect.has_no_late_success(now) || suspect.has_turned_bad(others_succeeded)
    }

    fn has_succeeded_lately(&self, now: Timestamp, id: SuspectId) -> bool {
        let last = self.successes.last(id);
        last.is_some_and(|at| now.since(at) < SUCCESS_MEMORY)
    }

    /// Drops what is too old or too much, and finds out who is convicted.
    fn review(&mut self, now: Timestamp) -> Vec<Change> {
        self.suspects.retain(|id, s| !s.is_expired(now, *id));
        self.drop_surplus(now);
        let convicted = self.convict(now);
        let new = convicted.difference(&self.convicted);
        let mut changes: Vec<Change> = new.copied().map(Change::Convicted).collect();
        let cleared = self.convicted.difference(&convicted);
        changes.extend(cleared.copied().map(Change::Cleared));
        self.convicted = convicted;
        changes
    }

    fn drop_surplus(&mut self, now: Timestamp) {
        while self.suspects.len() > MAX_SUSPECTS {
            let weight = |(id, s): &(&SuspectId, &Suspect)| {
                let crashes = s.counted().count();
                (self.is_suspect(now, **id, s), crashes, s.last_crash(), **id)
            };
            let Some((id, _)) = self.suspects.iter().min_by_key(weight) else {
                return;
            };
            let id = *id;
            self.suspects.remove(&id);
        }
    }

    /// Returns what the crashes convict. Each time, the suspects that are present at most
    /// of the unexplained crashes explain these.
    fn convict(&self, now: Timestamp) -> BTreeSet<SuspectId> {
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|(id, s)| self.is_suspect(now, **id, s));
        let mut candidates: Vec<(SuspectId, BTreeMap<CrashId, Timestamp>)> = suspects
            .filter(|(id, s)| s.is_convicted_alone(**id))
            .map(|(id, s)| (*id, s.counted().collect()))
            .collect();
        let mut convicted = BTreeSet::new();
        loop {
            candidates.retain(|(_, crashes)| crashes.len() >= MIN_UNEXPLAINED);
            let Some((_, most)) = candidates.iter().max_by_key(|(_, c)| c.len()) else {
                return convicted;
            };
            let explained: BTreeSet<CrashId> = most.keys().copied().collect();
            let explains = |c: &BTreeMap<CrashId, Timestamp>| c.keys().eq(explained.iter());
            let causes = candidates.iter().filter(|(_, c)| explains(c));
            convicted.extend(causes.map(|(id, _)| *id));
            for (_, crashes) in &mut candidates {
                crashes.retain(|crash, _| !explained.contains(crash));
            }
        }
    }
}
