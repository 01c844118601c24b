//! A part of prompts or a request that was present at crashes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::CrashId;
use super::SUCCESS_MEMORY;
use super::SuspectId;
use crate::clock::Timestamp;

/// Crashes closer to each other than this count as one moment, such as the failure of a
/// rack.
const MOMENT: Duration = Duration::from_millis(50);

/// The number of moments with a crash from which a suspect is convicted.
const CONVICTING_MOMENTS: usize = 3;

/// The number of crashes from which a part is convicted, even at one moment.
const CONVICTING_CRASHES: usize = 5;

/// The number of crashes from which a request is convicted, even at one moment. Few sound
/// ones run several times at once.
const CONVICTING_REQUEST_CRASHES: usize = 3;

/// The number of moments with a crash, and the least time between two of them, from which
/// a suspect that has succeeded lately is one nevertheless.
const TURNING_MOMENTS: usize = 5;
const TURNING_GAP: Duration = Duration::from_secs(1);

/// The maximum number of crashes kept since the last success: as many of the first ones
/// and of the last ones.
const MAX_FIRST_CRASHES: usize = 8;
const MAX_LAST_CRASHES: usize = 8;

/// The maximum number of crashes kept from before the last success. Reports that give a
/// later time for them must not count.
const MAX_RETIRED: usize = 8;

/// The time for which a suspect is kept after its last crash, or a later success.
const SUSPECT_MEMORY: Duration = Duration::from_secs(3600);

/// The time for which one is kept whose crashes convict it, if they are not explained.
const CONVICT_MEMORY: Duration = Duration::from_secs(26 * 3600);

/// The times between a crash and the next probe: after the conviction, and after one, two
/// and more probes that have failed.
const PROBE_INTERVALS: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(120),
    Duration::from_secs(600),
    Duration::from_secs(24 * 3600),
];

/// The time between a crash and a probe that tells suspects apart, and between two of these.
const EARLY_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// The shortest time between two crashes of which the later one was a probe's.
const PROBE_GAP: Duration = Duration::from_secs(15);

/// The crashes and the last success of a suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// The crashes and their times: at most [`MAX_FIRST_CRASHES`] and [`MAX_LAST_CRASHES`]
    /// since the last success, and the latest [`MAX_RETIRED`] before it.
    crashes: BTreeMap<CrashId, Timestamp>,
    last_success: Option<Timestamp>,
    /// When this entry last sent a probe.
    last_probe: Option<Timestamp>,
}

impl Suspect {
    /// Creates a suspect that was present at no crash.
    pub(super) fn new(last_success: Option<Timestamp>) -> Self {
        Self {
            last_success,
            ..Self::default()
        }
    }

    /// Returns the crashes and their times.
    pub(super) fn crashes(&self) -> &BTreeMap<CrashId, Timestamp> {
        &self.crashes
    }

    /// Returns the time of the last success.
    pub(super) fn last_success(&self) -> Option<Timestamp> {
        self.last_success
    }

    /// Records a crash.
    pub(super) fn record_crash(&mut self, crash: CrashId, at: Timestamp) {
        let first = self.crashes.entry(crash).or_insert(at);
        *first = at.min(*first);
        self.drop_surplus();
    }

    /// Records a complete answer.
    pub(super) fn record_success(&mut self, at: Timestamp) {
        self.last_success = self.last_success.max(Some(at));
        self.drop_surplus();
    }

    /// Records that this entry sends a probe.
    pub(super) fn record_probe(&mut self, at: Timestamp) {
        self.last_probe = Some(at);
    }

    fn drop_surplus(&mut self) {
        let (retired, counted): (Vec<_>, Vec<_>) = self
            .by_time()
            .into_iter()
            .partition(|(at, _)| !self.counts(*at));
        let old = retired.len().saturating_sub(MAX_RETIRED);
        let between = counted.len().saturating_sub(MAX_LAST_CRASHES);
        let surplus = counted.iter().take(between).skip(MAX_FIRST_CRASHES);
        for (_, id) in retired.iter().take(old).chain(surplus) {
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
    pub(super) fn counted(&self) -> impl Iterator<Item = (CrashId, Timestamp)> {
        let crashes = self.crashes.iter().map(|(id, at)| (*id, *at));
        crashes.filter(|(_, at)| self.counts(*at))
    }

    /// Returns the times of the crashes since the last success, in order.
    fn counted_times(&self) -> Vec<Timestamp> {
        let mut times: Vec<Timestamp> = self.counted().map(|(_, at)| at).collect();
        times.sort_unstable();
        times
    }

    /// Returns whether there was no success lately.
    pub(super) fn has_no_late_success(&self, now: Timestamp) -> bool {
        self.last_success
            .is_none_or(|at| now.since(at) >= SUCCESS_MEMORY)
    }

    /// Returns whether the suspect has turned bad since its last success, as with a new
    /// software version: it was present at several crashes at some distance, and others
    /// that were present have succeeded since. `others_succeeded` says so of a crash.
    pub(super) fn has_turned_bad<F>(&self, others_succeeded: F) -> bool
    where
        F: Fn(CrashId, Timestamp) -> bool,
    {
        if moments(&self.counted_times(), TURNING_GAP) < TURNING_MOMENTS {
            return false;
        }
        let mut counted: Vec<(Timestamp, CrashId)> =
            self.counted().map(|(id, at)| (at, id)).collect();
        counted.sort_unstable();
        let turning = counted
            .into_iter()
            .filter(|(at, id)| others_succeeded(*id, *at));
        let times: Vec<Timestamp> = turning.map(|(at, _)| at).collect();
        moments(&times, TURNING_GAP) >= TURNING_MOMENTS
    }

    /// Returns whether the crashes would convict the suspect `id` if none were explained.
    pub(super) fn is_convicted_alone(&self, id: SuspectId) -> bool {
        let times = self.counted_times();
        let convicting_crashes = match id {
            SuspectId::Part(_) => CONVICTING_CRASHES,
            SuspectId::Request(_) => CONVICTING_REQUEST_CRASHES,
        };
        times.len() >= convicting_crashes || moments(&times, MOMENT) >= CONVICTING_MOMENTS
    }

    /// Returns the time of the last of the crashes that are kept.
    pub(super) fn last_crash(&self) -> Timestamp {
        self.crashes.values().max().copied().unwrap_or_default()
    }

    /// Returns whether the suspect `id` can be forgotten. A success is kept as long as
    /// crashes, since another entry may still report those before it.
    pub(super) fn is_expired(&self, now: Timestamp, id: SuspectId) -> bool {
        let memory = match self.is_convicted_alone(id) {
            true => CONVICT_MEMORY,
            false => SUSPECT_MEMORY,
        };
        let last = self.last_crash().max(self.last_success.unwrap_or_default());
        now.since(last) >= memory
    }

    /// Returns when the next probe may be sent. The interval grows with each probe that
    /// fails. It is `patience` times as long.
    pub(super) fn next_probe(&self, patience: u32) -> Timestamp {
        let interval = PROBE_INTERVALS[self.failed_probes().min(PROBE_INTERVALS.len() - 1)];
        let last = self.last_probe.unwrap_or_default().max(self.last_crash());
        last + interval * patience
    }

    /// Returns when the next probe may be sent that tells this suspect from others. Once one
    /// has crashed an upstream, the suspects differ.
    pub(super) fn next_early_probe(&self) -> Timestamp {
        let last_crash = self.last_crash();
        match self.last_probe {
            Some(probe) if probe < last_crash && last_crash.since(probe) < PROBE_GAP => {
                self.next_probe(1)
            }
            probe => probe.unwrap_or_default().max(last_crash) + EARLY_PROBE_INTERVAL,
        }
    }

    /// Returns whether all crashes of `other` since its last success are crashes of this one.
    pub(super) fn explains(&self, other: &Self) -> bool {
        let mut crashes = other.counted();
        crashes.all(|(id, _)| self.crashes.contains_key(&id))
    }

    /// Returns the number of crashes that were those of probes: these come long after the
    /// crash before.
    fn failed_probes(&self) -> usize {
        let times = self.counted_times();
        let gaps = times.windows(2).map(|pair| pair[1].since(pair[0]));
        gaps.filter(|gap| *gap >= PROBE_GAP).count()
    }
}

/// Returns the number of moments with crashes at these times, which are in order. Moments
/// are `gap` apart at least.
fn moments(times: &[Timestamp], gap: Duration) -> usize {
    let mut count = 0;
    let mut last_begin = None;
    for at in times {
        if last_begin.is_none_or(|begin| at.since(begin) >= gap) {
            last_begin = Some(*at);
            count += 1;
        }
    }
    count
}
