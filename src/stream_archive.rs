//! The records of where streams began, as a few entries keep them in the store.
//!
//! Beside several versions, the record of each stream also goes to the store, which outlasts
//! the end of all processes. The streams are divided into shards, and the records of a shard are
//! written by one entry at a time, in segments: a batch of new records costs the write of the
//! segment that is being filled. A segment is written empty once no stream needs its records,
//! and is then filled again. An entry that takes a shard over reads its segments first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::clock::Timestamp;
use crate::directory::SoftwareVersion;
use crate::name::Name;
use crate::stream_origins::CLOCK_ERROR;
use crate::stream_origins::StreamId;
use crate::stream_origins::StreamRecord;
use crate::units::HexIds;
use crate::units::millis;

#[cfg(test)]
mod tests;

/// The number of entries for each shard. Each sends the shard's writer a batch of records a few
/// dozen times a second at most.
const ENTRIES_PER_SHARD: usize = 32;

/// The maximum number of shards.
pub const MAX_SHARDS: u32 = 32;

/// The maximum number of records in a segment, each of which takes 16 bytes.
const SEGMENT_RECORDS: usize = 1024;

/// The time after which an entry reads a shard that it has taken over, if no stream needs it
/// before. What an earlier writer has left there is removed.
const TAKEOVER_TIME: Duration = Duration::from_secs(5);

/// Returns the number of shards of a site with so many entries, a power of two.
pub fn shards_for(entries: usize) -> u32 {
    let shards = u32::try_from(entries / ENTRIES_PER_SHARD).unwrap_or(MAX_SHARDS);
    shards.clamp(1, MAX_SHARDS).next_power_of_two()
}

/// A segment of a shard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SegmentId {
    /// The shard.
    pub shard: u32,
    /// The position of the segment in its shard. There is no segment behind one that is not
    /// stored.
    pub index: usize,
}

impl SegmentId {
    /// Returns the name of the stored object.
    pub fn object_name(self) -> String {
        format!("streams-{}-{}", self.shard, self.index)
    }
}

/// The content of a stored segment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredSegment {
    /// When it was written, in milliseconds since the Unix epoch.
    pub written_millis: u64,
    /// The streams by service and version.
    pub groups: Vec<StreamGroup>,
}

/// Streams that began at one version of a service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamGroup {
    /// The service.
    pub service: Name,
    /// The version.
    pub version: SoftwareVersion,
    /// The longest time for which one of the records is needed, as of the time of writing.
    pub needed_millis: u64,
    /// The streams.
    #[serde_as(as = "HexIds")]
    pub streams: Vec<u64>,
}

impl StoredSegment {
    /// Returns the records as of now, in milliseconds since the Unix epoch. The clock of the
    /// host that has written them may have been ahead.
    pub fn records(&self, now_millis: u64) -> Vec<StreamRecord> {
        let age = Duration::from_millis(now_millis.saturating_sub(self.written_millis));
        let age = age.saturating_sub(CLOCK_ERROR);
        let groups = self.groups.iter().flat_map(|group| {
            let needed_for = Duration::from_millis(group.needed_millis).saturating_sub(age);
            group.streams.iter().map(move |stream| StreamRecord {
                stream: StreamId(*stream),
                service: group.service.clone(),
                version: group.version.clone(),
                needed_for,
            })
        });
        groups.filter(|r| !r.needed_for.is_zero()).collect()
    }
}

#[derive(Clone, Debug)]
struct ArchivedRecord {
    service: Name,
    version: SoftwareVersion,
    expires: Timestamp,
}

#[derive(Debug, Default)]
struct Segment {
    records: HashMap<StreamId, ArchivedRecord>,
    /// Whether the store may have another content.
    is_due: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reading {
    /// The stored segments have not been asked for.
    Idle,
    /// They were asked for at this time and are not read yet.
    Wanted(Timestamp),
    /// They have been read.
    Done,
}

/// A shard that this entry writes.
#[derive(Debug)]
struct Shard {
    owned_since: Timestamp,
    reading: Reading,
    segments: Vec<Segment>,
    /// The position of the segment that is being filled; that of none before the first.
    open: usize,
    /// Records that came before the stored segments were read.
    early: HashMap<StreamId, ArchivedRecord>,
}

impl Shard {
    fn new(now: Timestamp) -> Self {
        Self {
            owned_since: now,
            reading: Reading::Idle,
            segments: Vec::new(),
            open: 0,
            early: HashMap::new(),
        }
    }

    /// Asks for the stored segments. Returns since when they are awaited.
    fn want(&mut self, now: Timestamp) -> Option<Timestamp> {
        if self.reading == Reading::Idle {
            self.reading = Reading::Wanted(now);
        }
        match self.reading {
            Reading::Wanted(since) => Some(since),
            Reading::Idle | Reading::Done => None,
        }
    }

    fn contains(&self, stream: StreamId) -> bool {
        let mut segments = self.segments.iter();
        self.early.contains_key(&stream) || segments.any(|s| s.records.contains_key(&stream))
    }

    /// Adds a record to the segment that is being filled. An empty one follows a full one.
    fn insert(&mut self, stream: StreamId, record: ArchivedRecord) {
        let open = self.segments.get(self.open);
        if open.is_none_or(|s| s.records.len() >= SEGMENT_RECORDS) {
            let empty = self.segments.iter().position(|s| s.records.is_empty());
            self.open = empty.unwrap_or(self.segments.len());
            if empty.is_none() {
                self.segments.push(Segment::default());
            }
        }
        let segment = &mut self.segments[self.open];
        segment.records.insert(stream, record);
        segment.is_due = true;
    }

    /// Empties the segments of which no record is needed any more.
    fn purge(&mut self, now: Timestamp) {
        self.early.retain(|_, r| now < r.expires);
        for segment in &mut self.segments {
            let is_needed = segment.records.values().any(|r| now < r.expires);
            if !segment.records.is_empty() && !is_needed {
                segment.records.clear();
                segment.is_due = true;
            }
        }
    }
}

/// The shards that this entry writes.
#[derive(Debug, Default)]
pub struct StreamArchive {
    shards: BTreeMap<u32, Shard>,
}

impl StreamArchive {
    /// Creates the archive of an entry that writes no shards yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the shards that this entry writes. Another entry may write the others.
    pub fn set_owned(&mut self, now: Timestamp, owned: &BTreeSet<u32>) {
        self.shards.retain(|shard, _| owned.contains(shard));
        for shard in owned {
            self.shards.entry(*shard).or_insert_with(|| Shard::new(now));
        }
    }

    /// Returns whether this entry writes a shard.
    pub fn owns(&self, shard: u32) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Adds a record to a shard that this entry writes. Returns whether it is a new one.
    pub fn add(&mut self, now: Timestamp, shard: u32, record: &StreamRecord) -> bool {
        let Some(shard) = self.shards.get_mut(&shard) else {
            return false;
        };
        if shard.contains(record.stream) {
            return false;
        }
        let archived = ArchivedRecord {
            service: record.service.clone(),
            version: record.version.clone(),
            expires: now + record.needed_for,
        };
        match shard.reading {
            Reading::Done => shard.insert(record.stream, archived),
            Reading::Idle | Reading::Wanted(_) => {
                shard.early.insert(record.stream, archived);
                shard.want(now);
            }
        }
        true
    }

    /// Asks for the stored segments of a shard. Returns since when they are awaited, or `None` if
    /// they have been read or another entry writes the shard.
    pub fn want(&mut self, now: Timestamp, shard: u32) -> Option<Timestamp> {
        self.shards.get_mut(&shard)?.want(now)
    }

    /// Returns a shard whose stored segments are to be read.
    pub fn next_to_read(&mut self, now: Timestamp) -> Option<u32> {
        for shard in self.shards.values_mut() {
            if shard.reading == Reading::Idle && now.since(shard.owned_since) >= TAKEOVER_TIME {
                shard.want(now);
            }
        }
        let mut wanted = self.shards.iter();
        let (shard, _) = wanted.find(|(_, s)| matches!(s.reading, Reading::Wanted(_)))?;
        Some(*shard)
    }

    /// Records the stored segments of a shard. Records that were added meanwhile are to be
    /// written.
    pub fn finish_reading(&mut self, now: Timestamp, shard: u32, stored: &[Vec<StreamRecord>]) {
        let Some(shard) = self.shards.get_mut(&shard) else {
            return;
        };
        // Segments that this entry had before it was told of another writer.
        for segment in std::mem::take(&mut shard.segments) {
            shard.early.extend(segment.records);
        }
        for records in stored {
            let archived = records.iter().map(|r| {
                let archived = ArchivedRecord {
                    service: r.service.clone(),
                    version: r.version.clone(),
                    expires: now + r.needed_for,
                };
                (r.stream, archived)
            });
            shard.segments.push(Segment {
                records: archived.collect(),
                is_due: false,
            });
        }
        shard.reading = Reading::Done;
        for (stream, record) in std::mem::take(&mut shard.early) {
            if !shard.contains(stream) {
                shard.insert(stream, record);
            }
        }
    }

    /// Reads a shard again: another entry has written one of its segments.
    pub fn read_again(&mut self, now: Timestamp, shard: u32) {
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.reading = Reading::Wanted(now);
        }
    }

    /// Makes all segments due to be written: the store may have lost some.
    pub fn mark_all_due(&mut self) {
        for segment in self.shards.values_mut().flat_map(|s| &mut s.segments) {
            segment.is_due = true;
        }
    }

    /// Makes a segment due to be written again after a failure.
    pub fn mark_due(&mut self, id: SegmentId) {
        let shard = self.shards.get_mut(&id.shard);
        if let Some(segment) = shard.and_then(|s| s.segments.get_mut(id.index)) {
            segment.is_due = true;
        }
    }

    /// Returns whether there is something to write.
    pub fn has_due(&self) -> bool {
        let read = self.shards.values().filter(|s| s.reading == Reading::Done);
        read.flat_map(|s| &s.segments).any(|s| s.is_due)
    }

    /// Returns the segments that are due, as of now in milliseconds since the Unix epoch, and
    /// counts them as written. Those whose records nobody needs any more are empty.
    pub fn take_due(&mut self, now: Timestamp, now_millis: u64) -> Vec<(SegmentId, StoredSegment)> {
        let mut due = Vec::new();
        for (number, shard) in &mut self.shards {
            shard.purge(now);
            if shard.reading != Reading::Done {
                continue;
            }
            for (index, segment) in shard.segments.iter_mut().enumerate() {
                if std::mem::take(&mut segment.is_due) {
                    let id = SegmentId {
                        shard: *number,
                        index,
                    };
                    due.push((id, segment.to_stored(now, now_millis)));
                }
            }
        }
        due
    }
}

impl Segment {
    fn to_stored(&self, now: Timestamp, now_millis: u64) -> StoredSegment {
        let mut groups: BTreeMap<(&Name, &SoftwareVersion), StreamGroup> = BTreeMap::new();
        for (stream, record) in self.records.iter().filter(|(_, r)| now < r.expires) {
            let group = groups.entry((&record.service, &record.version));
            let group = group.or_insert_with(|| StreamGroup {
                service: record.service.clone(),
                version: record.version.clone(),
                needed_millis: 0,
                streams: Vec::new(),
            });
            let needed = millis(now.until(record.expires));
            group.needed_millis = group.needed_millis.max(needed);
            group.streams.push(stream.0);
        }
        StoredSegment {
            written_millis: now_millis,
            groups: groups.into_values().collect(),
        }
    }
}
