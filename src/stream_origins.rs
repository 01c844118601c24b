//! Which software version began a stream, so that it goes on at that version only.
//!
//! What two versions of an upstream's software write doesn't fit together, and upstreams
//! don't check it. An entry records the version of each stream that it begins. While a
//! service has several versions, it sends the records to some other entries, so that the
//! caller can resume the stream there. An entry that has no record asks them. A stream
//! without any record is resumed only where a single version can have begun it. An entry
//! that is cut off or stood still doesn't see the versions that came meanwhile, so it takes
//! the answers of others for that.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use crate::clock::Timestamp;
use crate::directory::SoftwareVersion;
use crate::directory::Upstreams;
use crate::ids::id_of_digest;
use crate::name::Name;

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

#[derive(Debug)]
struct StoredRecord {
    service: Name,
    version: SoftwareVersion,
    expires: Timestamp,
    /// Whether this entry began the stream.
    is_own: bool,
}

/// The streams that began at this entry or were reported by others, and the versions
/// that upstreams have had.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<StreamId, StoredRecord>,
    /// The same records, by the time at which they expire.
    expiries: BTreeSet<(Timestamp, StreamId)>,
    /// Own records that are due to be sent to other entries.
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
    /// second version, the records of its streams become due to be sent.
    pub fn observe(&mut self, now: Timestamp, upstreams: &Upstreams) {
        let mixed_before = self.mixed_services();
        for seen in self.versions.values_mut() {
            for last in seen.values_mut() {
                last.get_or_insert(now);
            }
            seen.retain(|_, last| last.is_none_or(|at| now.since(at) < VERSION_MEMORY));
        }
        for upstream in upstreams.values() {
            for service in &upstream.serves {
                let seen = self.versions.entry(service.clone()).or_default();
                seen.insert(upstream.version.clone(), None);
            }
        }
        self.versions.retain(|_, seen| !seen.is_empty());
        self.mark_due(&(&self.mixed_services() - &mixed_before));
    }

    /// Makes the own records of streams of these services due to be sent.
    fn mark_due(&mut self, services: &BTreeSet<Name>) {
        let own = self.records.iter().filter(|(_, r)| r.is_own);
        let due = own.filter(|(_, r)| services.contains(&r.service));
        self.unsent.extend(due.map(|(id, _)| *id));
    }

    /// Records that this entry begins a stream at an upstream of `service` with this
    /// version. Its request times out after `timeout`.
    pub fn begin(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        service: &Name,
        version: SoftwareVersion,
        timeout: Duration,
    ) {
        if self.is_mixed(service) {
            self.unsent.insert(stream);
        }
        let stored = StoredRecord {
            service: service.clone(),
            version,
            expires: now + timeout + RESUME_TIME,
            is_own: true,
        };
        self.insert(now, stream, stored);
    }

    /// Stores a record that another entry has sent. It also shows a version that this
    /// entry may not know yet, because its view of the upstreams is old.
    pub fn learn(&mut self, now: Timestamp, record: &StreamRecord) {
        let mixed_before = self.mixed_services();
        let seen = self.versions.entry(record.service.clone()).or_default();
        seen.entry(record.version.clone()).or_insert(Some(now));
        self.mark_due(&(&self.mixed_services() - &mixed_before));
        if self.records.contains_key(&record.stream) {
            return;
        }
        let stored = StoredRecord {
            service: record.service.clone(),
            version: record.version.clone(),
            expires: now + record.needed_for,
            is_own: false,
        };
        self.insert(now, record.stream, stored);
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

    /// Returns whether there are records to send.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns the records to send, and marks them as sent.
    pub fn take_unsent(&mut self, now: Timestamp) -> Vec<StreamRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent
            .into_iter()
            .filter_map(|s| self.get(now, s))
            .collect()
    }

    fn insert(&mut self, now: Timestamp, stream: StreamId, stored: StoredRecord) {
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

    fn is_mixed(&self, service: &Name) -> bool {
        self.versions
            .get(service)
            .is_some_and(|seen| seen.len() > 1)
    }

    /// Returns the services of which several versions are remembered.
    fn mixed_services(&self) -> BTreeSet<Name> {
        let mixed = self.versions.keys().filter(|s| self.is_mixed(s));
        mixed.cloned().collect()
    }
}
