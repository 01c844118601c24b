//! Which software version began a stream, so that it goes on at that version only.
//!
//! What two versions of an upstream's software write doesn't fit together, and upstreams
//! don't check it. An entry records the version of each stream that it begins, and sends the
//! record to the processes that [`crate::stream_holders`] names, so that the caller can
//! resume the stream at any entry, also after this one has ended. An entry that has no
//! record asks them. A stream without any record is resumed only where a single version can
//! have begun it. An entry that is cut off or stood still doesn't see the versions that came
//! meanwhile, so it takes the answers of others for that. One that has just started doesn't
//! know the versions of before: a [`VersionHistory`] in the store names them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::clock::Timestamp;
use crate::directory::SoftwareVersion;
use crate::directory::Upstreams;
use crate::ids::id_of_digest;
use crate::name::Name;
use crate::stream_holders::Holder;
use crate::stream_holders::Holders;
use crate::units::millis;
use crate::wire::streams::StreamQuery;
use crate::wire::streams::StreamReply;

#[cfg(test)]
mod tests;

/// The time for which records are kept after the timeout of their request, in which
/// callers resume.
const RESUME_TIME: Duration = Duration::from_secs(30);

/// The maximum number of records; beyond it, those that expire first are dropped.
const MAX_RECORDS: usize = 1 << 16;

/// The time for which a version that no upstream has any more is remembered. It is
/// longer than the timeouts of common routes.
const VERSION_MEMORY: Duration = Duration::from_secs(60);

/// The time by which clocks of hosts may differ. The age of a version in a record of another
/// process is trusted only beyond it.
pub(crate) const CLOCK_ERROR: Duration = Duration::from_secs(30);

/// The age up to which a view of the upstreams shows that an entry that reaches only a
/// minority of the others isn't cut off from the platform. Those that it can't reach have
/// been silent for as long.
const FRESH_VIEW: Duration = Duration::from_secs(1);

/// Identifies a stream at all entries: a digest of its organisation and of the id of the
/// request that brought its first event.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream that began with `request`.
    pub fn new(organisation: &Name, request: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(organisation.as_bytes())
            .chain_update([0])
            .chain_update(request.as_bytes())
            .finalize();
        Self(id_of_digest(&digest))
    }
}

/// Where a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamId,
    /// The service of the upstream that began it.
    pub service: Name,
    /// The software version of that upstream.
    pub version: SoftwareVersion,
    /// The time for which the record is needed.
    pub needed_for: Duration,
}

/// What is known about the version of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The version is known.
    Known(SoftwareVersion),
    /// Other entries may know it. This entry has seen these versions, of which one
    /// began the stream unless the entry has started since or is out of step.
    Unknown(BTreeSet<SoftwareVersion>),
}

/// How far what an entry has seen of the versions can be relied on.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// The number of other entries that were asked.
    pub asked: usize,
    /// The number of them that have replied.
    pub replied: usize,
    /// The part of all entries that this one can reach, with itself.
    pub reachable_fraction: f64,
    /// The time since the upstreams were confirmed; `None` if they come from the settings.
    pub view_age: Option<Duration>,
}

impl Standing {
    /// Returns whether a version that neither this entry nor those that have replied have
    /// seen can't have begun a stream.
    pub fn is_in_step(&self) -> bool {
        let has_quorum = (self.replied + 1) * 2 > self.asked + 1;
        if has_quorum && self.reachable_fraction > 0.5 {
            return true;
        }
        // Entries that were asked and are silent may be cut off from this one.
        let is_heard = self.asked == 0 || self.replied > 0;
        is_heard && self.view_age.is_none_or(|age| age <= FRESH_VIEW)
    }
}

/// The versions of services that streams can have begun at, as they are stored for entries
/// that start after all that knew them have ended.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionHistory {
    /// The versions of each service.
    pub services: BTreeMap<Name, Vec<PastVersion>>,
}

impl VersionHistory {
    /// Returns whether both name the same versions and agree on which are listed.
    pub fn has_same_versions(&self, other: &Self) -> bool {
        let outline = |history: &Self| -> BTreeSet<(Name, SoftwareVersion, bool)> {
            let versions = history.services.iter().flat_map(|(service, versions)| {
                let of_service = versions.iter();
                of_service.map(|v| (service.clone(), v.version.clone(), v.gone_millis.is_none()))
            });
            versions.collect()
        };
        outline(self) == outline(other)
    }
}

/// A version of a service in a [`VersionHistory`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PastVersion {
    /// The version.
    pub version: SoftwareVersion,
    /// The time since an upstream was last listed with it; `None` while one is.
    pub gone_millis: Option<u64>,
}

#[derive(Debug)]
struct HeldRecord {
    service: Name,
    version: SoftwareVersion,
    expires: Timestamp,
    /// What this entry keeps for a stream that it began or has resumed.
    own: Option<OwnStream>,
}

/// A stream that this entry began or has resumed.
#[derive(Debug)]
struct OwnStream {
    /// When its request times out at the latest.
    runs_until: Timestamp,
    /// The processes to which its record was sent.
    copies: Vec<Holder>,
}

/// The streams that began at this entry or were reported by others, and the versions
/// that upstreams have had.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<StreamId, HeldRecord>,
    /// The same records, by the time at which they expire.
    expiries: BTreeSet<(Timestamp, StreamId)>,
    /// Own records that may lack copies.
    unsent: BTreeSet<StreamId>,
    /// The versions of each service, with the time at which an upstream was last listed
    /// with them; `None` while one is.
    versions: BTreeMap<Name, BTreeMap<SoftwareVersion, Option<Timestamp>>>,
}

impl StreamOrigins {
    /// Creates the empty set of an entry that starts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the versions from the currently listed upstreams. Where a service gets a
    /// second version, the records of its streams become due to be sent. Returns whether one
    /// has.
    pub fn observe(&mut self, now: Timestamp, upstreams: &Upstreams) -> bool {
        let mixed_before = self.mixed_services();
        for seen in self.versions.values_mut() {
            for last in seen.values_mut() {
                last.get_or_insert(now);
            }
        }
        for upstream in upstreams.values() {
            for service in &upstream.serves {
                let seen = self.versions.entry(service.clone()).or_default();
                seen.insert(upstream.version.clone(), None);
            }
        }
        self.expire_versions(now);
        self.mark_mixed_due(&mixed_before);
        !self.mixed_services().is_subset(&mixed_before)
    }

    fn expire_versions(&mut self, now: Timestamp) {
        for seen in self.versions.values_mut() {
            seen.retain(|_, last| last.is_none_or(|at| now.since(at) < VERSION_MEMORY));
        }
        self.versions.retain(|_, seen| !seen.is_empty());
    }

    /// Returns the versions that streams can have begun at.
    pub fn history(&self, now: Timestamp) -> VersionHistory {
        let past = |(version, last): (&SoftwareVersion, &Option<Timestamp>)| PastVersion {
            version: version.clone(),
            gone_millis: last.map(|at| millis(now.since(at))),
        };
        let services = self.versions.iter();
        let services = services.map(|(name, seen)| (name.clone(), seen.iter().map(past).collect()));
        VersionHistory {
            services: services.collect(),
        }
    }

    /// Adds the versions of a history that was written `age` ago by the clocks of hosts.
    pub fn restore(&mut self, now: Timestamp, history: &VersionHistory, age: Duration) {
        let mixed_before = self.mixed_services();
        for (service, versions) in &history.services {
            let seen = self.versions.entry(service.clone()).or_default();
            for past in versions {
                let gone = past.gone_millis.map(Duration::from_millis);
                let age = gone.map(|gone| (gone + age).saturating_sub(CLOCK_ERROR));
                let last = now.before(age.unwrap_or_default());
                let known = seen.entry(past.version.clone()).or_insert(Some(last));
                *known = known.map(|at| at.max(last));
            }
        }
        self.expire_versions(now);
        self.mark_mixed_due(&mixed_before);
    }

    /// Makes own records due to be sent, where the service has got a second version. Callers
    /// may have lost the end of a stream that was sent whole.
    fn mark_mixed_due(&mut self, mixed_before: &BTreeSet<Name>) {
        let services = &self.mixed_services() - mixed_before;
        if !services.is_empty() {
            let is_own = |r: &HeldRecord| r.own.is_some();
            self.mark_due(|r| is_own(r) && services.contains(&r.service));
        }
    }

    /// Makes the records of all running own streams due to be sent, after a change of the
    /// processes that can keep them.
    pub fn mark_all_due(&mut self, now: Timestamp) {
        self.mark_due(|r| r.own.as_ref().is_some_and(|own| now < own.runs_until));
    }

    /// Makes the records of all running own streams due to be sent once more.
    pub fn forget_copies(&mut self, now: Timestamp) {
        self.forget_copies_of(now, |_| true);
    }

    /// Makes the records of the running own streams of services with several versions due to
    /// be sent once more.
    pub fn forget_mixed_copies(&mut self, now: Timestamp) {
        let mixed = self.mixed_services();
        if !mixed.is_empty() {
            self.forget_copies_of(now, |service| mixed.contains(service));
        }
    }

    fn forget_copies_of<F>(&mut self, now: Timestamp, is_due: F)
    where
        F: Fn(&Name) -> bool,
    {
        for (stream, record) in &mut self.records {
            let is_due = is_due(&record.service);
            if let Some(own) = record.own.as_mut().filter(|own| now < own.runs_until)
                && is_due
            {
                own.copies.clear();
                self.unsent.insert(*stream);
            }
        }
    }

    fn mark_due<F>(&mut self, is_due: F)
    where
        F: Fn(&HeldRecord) -> bool,
    {
        let due = self.records.iter().filter(|(_, r)| is_due(r));
        self.unsent.extend(due.map(|(id, _)| *id));
    }

    /// Records that this entry begins or resumes a stream at an upstream of `service` with
    /// this version. Its request times out after `timeout`.
    pub fn begin(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        service: &Name,
        version: SoftwareVersion,
        timeout: Duration,
    ) {
        self.unsent.insert(stream);
        let runs_until = now + timeout;
        let stored = HeldRecord {
            service: service.clone(),
            version,
            expires: runs_until + RESUME_TIME,
            own: Some(OwnStream {
                runs_until,
                copies: Vec::new(),
            }),
        };
        self.insert(now, stream, stored);
    }

    /// Records that the caller has got a whole stream, so that copies of its record are no
    /// longer replaced.
    pub fn end(&mut self, now: Timestamp, stream: StreamId) {
        let record = self.records.get_mut(&stream);
        if let Some(own) = record.and_then(|r| r.own.as_mut()) {
            own.runs_until = now;
        }
    }

    /// Stores a record that another entry has sent. It also shows a version that this
    /// entry may not know yet, because its view of the upstreams is old. Returns whether its
    /// service gets a second version by it.
    pub fn learn(&mut self, now: Timestamp, record: &StreamRecord) -> bool {
        let mixed_before = self.mixed_services();
        self.expire_versions(now);
        let seen = self.versions.entry(record.service.clone()).or_default();
        seen.entry(record.version.clone()).or_insert(Some(now));
        self.mark_mixed_due(&mixed_before);
        if !self.records.contains_key(&record.stream) {
            let stored = HeldRecord {
                service: record.service.clone(),
                version: record.version.clone(),
                expires: now + record.needed_for,
                own: None,
            };
            self.insert(now, record.stream, stored);
        }
        !mixed_before.contains(&record.service) && self.has_several_versions(&record.service)
    }

    /// Returns the record of a stream.
    pub fn get(&self, now: Timestamp, stream: StreamId) -> Option<StreamRecord> {
        let stored = self.records.get(&stream).filter(|r| now < r.expires)?;
        Some(StreamRecord {
            stream,
            service: stored.service.clone(),
            version: stored.version.clone(),
            needed_for: now.until(stored.expires),
        })
    }

    /// Returns the records of all streams.
    pub fn records(&self, now: Timestamp) -> Vec<StreamRecord> {
        let streams = self.records.keys();
        streams.filter_map(|s| self.get(now, *s)).collect()
    }

    /// Returns what is known of a stream of `service`, which began at most `timeout` ago
    /// and is `None` if its caller doesn't name it.
    pub fn find(
        &self,
        now: Timestamp,
        service: &Name,
        stream: Option<StreamId>,
        timeout: Duration,
    ) -> Origin {
        if let Some(record) = stream.and_then(|s| self.get(now, s)) {
            return Origin::Known(record.version);
        }
        Origin::Unknown(self.versions_within(now, service, timeout))
    }

    /// Returns the versions that upstreams of `service` have had in the last `time`.
    pub fn versions_within(
        &self,
        now: Timestamp,
        service: &Name,
        time: Duration,
    ) -> BTreeSet<SoftwareVersion> {
        let seen = self.versions.get(service).into_iter().flatten();
        let recent = seen.filter(|(_, last)| last.is_none_or(|at| now.since(at) < time));
        recent.map(|(version, _)| version.clone()).collect()
    }

    /// Returns what this process knows in answer to the question of an entry.
    pub fn answer(&self, now: Timestamp, query: &StreamQuery) -> StreamReply {
        StreamReply {
            number: query.number,
            record: query.stream.and_then(|s| self.get(now, s)),
            versions: self.versions_within(now, &query.service, query.timeout),
        }
    }

    /// Returns whether there are records that may lack copies.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns the records to send to each of `holders` that is to keep them, and counts
    /// them as sent.
    pub fn take_unsent(
        &mut self,
        now: Timestamp,
        holders: &Holders,
    ) -> BTreeMap<Holder, Vec<StreamRecord>> {
        let mut batches: BTreeMap<Holder, Vec<StreamRecord>> = BTreeMap::new();
        for stream in std::mem::take(&mut self.unsent) {
            let Some(record) = self.get(now, stream) else {
                continue;
            };
            let keepers = holders.keepers(stream, self.has_several_versions(&record.service));
            let stored = self.records.get_mut(&stream);
            let Some(own) = stored.and_then(|r| r.own.as_mut()) else {
                continue;
            };
            for holder in keepers.iter().filter(|h| !own.copies.contains(h)) {
                batches.entry(*holder).or_default().push(record.clone());
            }
            own.copies = keepers;
        }
        batches
    }

    fn insert(&mut self, now: Timestamp, stream: StreamId, stored: HeldRecord) {
        let expires = stored.expires;
        if let Some(old) = self.records.insert(stream, stored) {
            self.expiries.remove(&(old.expires, stream));
        }
        self.expiries.insert((expires, stream));
        while let Some((expires, first)) = self.expiries.first().copied() {
            if now < expires && self.records.len() <= MAX_RECORDS {
                break;
            }
            self.expiries.pop_first();
            self.records.remove(&first);
        }
    }

    /// Returns whether several versions of a service are remembered.
    pub fn has_several_versions(&self, service: &Name) -> bool {
        self.versions
            .get(service)
            .is_some_and(|seen| seen.len() > 1)
    }

    /// Returns the services of which several versions are remembered.
    fn mixed_services(&self) -> BTreeSet<Name> {
        let mixed = self
            .versions
            .keys()
            .filter(|s| self.has_several_versions(s));
        mixed.cloned().collect()
    }
}
