//! Finds parts of prompts that crash upstreams (queries of death).
//!
//! A crash takes all requests on the upstream along, so parts of sound prompts are present
//! at each crash as well. They differ from the cause by their successes: a part that has
//! succeeded lately is no suspect. Among the suspects, the part that is present at most
//! crashes explains these; others are convicted only by crashes that are left unexplained.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Timestamp;
use crate::prompt_parts::PartId;

mod report;
mod successes;
#[cfg(test)]
mod tests;

pub use report::SuspectReport;
pub use report::SuspectRow;
use successes::Successes;

/// The time for which a success with a part shows that the part is sound.
pub const SUCCESS_MEMORY: Duration = Duration::from_secs(120);

/// Crashes closer to each other than this count as one moment, such as the failure of a
/// rack.
const MOMENT: Duration = Duration::from_millis(50);

/// The number of moments with a crash from which a suspect is convicted.
const CONVICTING_MOMENTS: usize = 3;

/// The number of crashes from which a suspect is convicted, even at one moment.
const CONVICTING_CRASHES: usize = 5;

/// The number of crashes that no other suspect explains, without which a suspect is not
/// convicted.
const MIN_UNEXPLAINED: usize = 2;

/// The number of crashes from which a request with the part is not sent again.
const SUSPICIOUS_CRASHES: usize = 2;

/// The maximum number of crashes kept of a part since its last success; later ones don't
/// matter.
const MAX_CRASHES: usize = 16;

/// The maximum number of crashes kept of a part from before its last success. Reports that
/// give a later time for them must not count.
const MAX_RETIRED: usize = 8;

/// The maximum number of suspects. Those with the fewest crashes go first.
pub const MAX_SUSPECTS: usize = 256;

/// The time for which a part is kept after its last crash, or a later success.
const SUSPECT_MEMORY: Duration = Duration::from_secs(3600);

/// The shortest time between the last crash of a part and a probe of it.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// The longest time between two probes of a part.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1800);

/// How many times longer a request with several convicted parts waits to be a probe. One
/// with a single part can show which of them is sound.
const JOINT_PROBE_PATIENCE: u32 = 4;

/// Identifies a crash at all entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(pub u64);

/// Change of what is believed of a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The part was present at a crash and has not succeeded lately.
    Suspected(PartId),
    /// Requests with the part are refused from now on.
    Convicted(PartId),
    /// Requests with the part are no longer refused.
    Cleared(PartId),
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No part of the prompt is convicted.
    Sound,
    /// The request may be sent, to find out whether a convicted part still crashes
    /// upstreams.
    Probe(PartId),
    /// The request must not be sent; holds the time to the next probe.
    Refused(PartId, Duration),
}

/// The parts that were present at crashes.
///
/// Invariants: there are at most [`MAX_SUSPECTS`] of them; all convicted parts are among
/// them, and none of these has succeeded within [`SUCCESS_MEMORY`].
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: BTreeMap<PartId, Suspect>,
    convicted: BTreeSet<PartId>,
    /// The last successes of parts, suspects or not.
    successes: Successes,
}

/// A part that was present at a crash.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// The crashes and their times: at most [`MAX_CRASHES`] since the last success, the
    /// earliest, and [`MAX_RETIRED`] before it, the latest.
    crashes: BTreeMap<CrashId, Timestamp>,
    last_success: Option<Timestamp>,
    /// When this entry last sent a probe.
    last_probe: Option<Timestamp>,
}

impl CrashSuspects {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no part was present at a crash.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the convicted parts.
    pub fn convicted(&self) -> &BTreeSet<PartId> {
        &self.convicted
    }

    /// Records the complete answer to a prompt with these parts.
    pub fn record_success(&mut self, now: Timestamp, parts: &[PartId]) -> Vec<Change> {
        let mut is_known = false;
        for part in parts {
            self.successes.record(now, *part);
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.record_success(now);
                is_known = true;
            }
        }
        match is_known {
            true => self.review(now),
            false => Vec::new(),
        }
    }

    /// Records a crash under a prompt with these parts.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        crash: CrashId,
        parts: &[PartId],
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for part in parts {
            if !self.suspects.contains_key(part) && !self.has_succeeded_lately(now, *part) {
                changes.push(Change::Suspected(*part));
            }
            self.suspect(*part).record_crash(crash, now);
        }
        changes.extend(self.review(now));
        changes
    }

    /// Drops what is too old. Must be called from time to time.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Change> {
        self.review(now)
    }

    /// Returns whether a request under which an upstream has crashed must not be sent
    /// again, because one of its parts may be the cause.
    pub fn may_crash_next(&self, now: Timestamp, parts: &[PartId]) -> bool {
        parts.iter().any(|part| {
            let suspect = self.suspects.get(part);
            suspect.is_some_and(|s| s.is_suspect(now) && s.counted().count() >= SUSPICIOUS_CRASHES)
        })
    }

    /// Decides on a request. `is_prober` returns whether this entry is the one that may
    /// probe a part.
    pub fn verdict<F>(&self, now: Timestamp, parts: &[PartId], is_prober: F) -> Verdict
    where
        F: Fn(PartId) -> bool,
    {
        let convicted: BTreeSet<PartId> = self.convicted_among(parts).collect();
        let Some(first) = convicted.first().copied() else {
            return Verdict::Sound;
        };
        let patience = match convicted.len() {
            1 => 1,
            _ => JOINT_PROBE_PATIENCE,
        };
        let suspects = convicted.iter().filter_map(|part| self.suspects.get(part));
        let next_probe = suspects.map(|s| s.next_probe(patience)).max();
        let next_probe = next_probe.unwrap_or_default();
        if now >= next_probe && is_prober(first) {
            return Verdict::Probe(first);
        }
        let wait = now.until(next_probe).max(MIN_PROBE_INTERVAL);
        Verdict::Refused(first, wait)
    }

    /// Records that a request with these parts is sent as a probe.
    pub fn record_probe(&mut self, now: Timestamp, parts: &[PartId]) {
        let convicted: Vec<PartId> = self.convicted_among(parts).collect();
        for part in convicted {
            if let Some(suspect) = self.suspects.get_mut(&part) {
                suspect.last_probe = Some(now);
            }
        }
    }

    fn convicted_among(&self, parts: &[PartId]) -> impl Iterator<Item = PartId> {
        let parts = parts.iter().copied();
        parts.filter(|part| self.convicted.contains(part))
    }

    fn suspect(&mut self, part: PartId) -> &mut Suspect {
        let last_success = self.successes.last(part);
        self.suspects.entry(part).or_insert_with(|| Suspect {
            last_success,
            ..Suspect::default()
        })
    }

    fn has_succeeded_lately(&self, now: Timestamp, part: PartId) -> bool {
        let last = self.successes.last(part);
        last.is_some_and(|at| now.since(at) < SUCCESS_MEMORY)
    }

    /// Drops what is too old or too much, and finds out who is convicted.
    fn review(&mut self, now: Timestamp) -> Vec<Change> {
        self.suspects.retain(|_, s| !s.is_expired(now));
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
            let weight = |(part, s): &(&PartId, &Suspect)| {
                let crashes = s.counted().count();
                (s.is_suspect(now), crashes, s.last_crash(), **part)
            };
            let Some((part, _)) = self.suspects.iter().min_by_key(weight) else {
                return;
            };
            let part = *part;
            self.suspects.remove(&part);
        }
    }

    /// Returns the parts that the crashes convict. Each time, the suspects that are
    /// present at most of the unexplained crashes explain these.
    fn convict(&self, now: Timestamp) -> BTreeSet<PartId> {
        let suspects = self.suspects.iter().filter(|(_, s)| s.is_suspect(now));
        let mut candidates: Vec<(PartId, BTreeMap<CrashId, Timestamp>)> = suspects
            .filter(|(_, s)| s.is_convicted_alone())
            .map(|(part, s)| (*part, s.counted().collect()))
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
            convicted.extend(causes.map(|(part, _)| *part));
            for (_, crashes) in &mut candidates {
                crashes.retain(|crash, _| !explained.contains(crash));
            }
        }
    }
}

impl Suspect {
    fn record_crash(&mut self, crash: CrashId, at: Timestamp) {
        let first = self.crashes.entry(crash).or_insert(at);
        *first = at.min(*first);
        self.drop_surplus();
    }

    fn record_success(&mut self, at: Timestamp) {
        self.last_success = self.last_success.max(Some(at));
        self.drop_surplus();
    }

    fn drop_surplus(&mut self) {
        let (retired, counted): (Vec<_>, Vec<_>) = self
            .by_time()
            .into_iter()
            .partition(|(at, _)| !self.counts(*at));
        let old = retired.len().saturating_sub(MAX_RETIRED);
        let surplus = retired.iter().take(old);
        for (_, id) in surplus.chain(counted.iter().skip(MAX_CRASHES)) {
            self.crashes.remove(id);
        }
    }

    fn by_time(&self) -> BTreeSet<(Timestamp, CrashId)> {
        self.crashes.iter().map(|(id, at)| (*at, *id)).collect()
    }

    /// Returns whether a crash at this time is later than the last success.
    fn counts(&self, at: Timestamp) -> bool {
        self.last_success.is_none_or(|success| at > success)
    }

    /// Returns the crashes since the last success.
    fn counted(&self) -> impl Iterator<Item = (CrashId, Timestamp)> {
        let crashes = self.crashes.iter().map(|(id, at)| (*id, *at));
        crashes.filter(|(_, at)| self.counts(*at))
    }

    /// Returns whether the part has not succeeded lately.
    fn is_suspect(&self, now: Timestamp) -> bool {
        self.last_success
            .is_none_or(|at| now.since(at) >= SUCCESS_MEMORY)
    }

    /// Returns whether the crashes would convict the part if none were explained.
    fn is_convicted_alone(&self) -> bool {
        let mut times: Vec<Timestamp> = self.counted().map(|(_, at)| at).collect();
        times.sort_unstable();
        times.len() >= CONVICTING_CRASHES || moments(&times) >= CONVICTING_MOMENTS
    }

    /// Returns the time of the last of the crashes that are kept.
    fn last_crash(&self) -> Timestamp {
        self.crashes.values().max().copied().unwrap_or_default()
    }

    /// Returns whether the part can be forgotten. A success is kept as long as crashes,
    /// since another entry may still report those before it.
    fn is_expired(&self, now: Timestamp) -> bool {
        let last = self.last_crash().max(self.last_success.unwrap_or_default());
        now.since(last) >= SUSPECT_MEMORY
    }

    /// Returns when the part may be probed next. The interval grows with the time since
    /// the first crash, which doubles or more with each probe that fails. It is `patience`
    /// times as long.
    fn next_probe(&self, patience: u32) -> Timestamp {
        let last_crash = self.last_crash();
        let first_crash = self.counted().map(|(_, at)| at).min();
        let suspected_for = last_crash.since(first_crash.unwrap_or_default());
        let interval = (suspected_for * 2).clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        let last = self.last_probe.unwrap_or_default().max(last_crash);
        last + interval * patience
    }
}

/// Returns the number of moments with crashes at these times, which are in order.
fn moments(times: &[Timestamp]) -> usize {
    let mut count = 0;
    let mut last_begin = None;
    for at in times {
        if last_begin.is_none_or(|begin| at.since(begin) >= MOMENT) {
            last_begin = Some(*at);
            count += 1;
        }
    }
    count
}
