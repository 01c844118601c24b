//! Reads and writes the shards of the archive of streams that this entry is responsible for.
//!
//! No stream waits for a write. A stream whose origin nobody knows waits for a read, for a
//! short time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::entry::stored_record::StoredRecord;
use crate::entry::streams::Streams;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::stream_archive::SegmentId;
use crate::stream_archive::StoredSegment;
use crate::stream_origins::StreamRecord;
use crate::units::millis;
use crate::units::since_epoch;

/// The time for which records are collected before they are written together. Those of streams
/// that began later than this before the end of all processes are lost.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which segments that no stream needs are emptied.
const PURGE_INTERVAL: Duration = Duration::from_secs(5);

/// The time after a failed write before the next one.
const WRITE_RETRY: Duration = Duration::from_secs(1);

/// Reads and writes the archive.
pub struct StreamArchiver {
    /// The object store.
    pub store: Rc<dyn ObjectStore>,
    /// The streams, with the records that are due.
    pub streams: Rc<Streams>,
    /// The stored objects of the segments.
    objects: RefCell<BTreeMap<SegmentId, StoredRecord>>,
    log: Logger,
}

impl StreamArchiver {
    /// Creates an archiver that has read nothing.
    pub fn new(store: Rc<dyn ObjectStore>, streams: Rc<Streams>, log: Logger) -> Self {
        Self {
            store,
            streams,
            objects: RefCell::default(),
            log,
        }
    }

    /// Reads shards that are wanted and writes segments that are due, until the task is aborted.
    pub async fn run(self) {
        futures::future::join(self.read_shards(), self.write_segments()).await;
    }

    async fn read_shards(&self) {
        loop {
            match self.streams.next_shard_to_read() {
                Some(shard) => self.read_shard(shard).await,
                None => {
                    let wanted = self.streams.archive_wanted();
                    // A shard that was taken over is read after some time.
                    let _ = actix_rt::time::timeout(PURGE_INTERVAL, wanted).await;
                }
            }
        }
    }

    async fn read_shard(&self, shard: u32) {
        let mut segments: Vec<Vec<StreamRecord>> = Vec::new();
        let mut objects = Vec::new();
        loop {
            let id = SegmentId {
                shard,
                index: segments.len(),
            };
            let mut object = self.new_object(id);
            let is_needed = || self.streams.writes_shard(shard);
            let Some(value) = object.read(is_needed).await else {
                break;
            };
            segments.push(self.decode(id, &value));
            objects.push((id, object));
        }
        if !self.streams.writes_shard(shard) {
            return;
        }
        info!(self.log, "archived streams read";
            "shard" => shard,
            "segments" => segments.len(),
            "streams" => segments.iter().map(Vec::len).sum::<usize>());
        self.objects.borrow_mut().extend(objects);
        self.streams.restore_archived(shard, &segments);
    }

    fn new_object(&self, id: SegmentId) -> StoredRecord {
        StoredRecord::new(Rc::clone(&self.store), &id.object_name())
    }

    /// Decodes a segment. One that another writer has stored is empty.
    fn decode(&self, id: SegmentId, value: &[u8]) -> Vec<StreamRecord> {
        match serde_json::from_slice::<StoredSegment>(value) {
            Ok(segment) => segment.records(millis(since_epoch())),
            Err(e) => {
                warn!(self.log, "could not decode archived streams";
                    "object" => id.object_name(),
                    "error" => %e);
                Vec::new()
            }
        }
    }

    async fn write_segments(&self) {
        let mut timelines = self.store.timelines();
        timelines.mark_unchanged();
        let mut has_failed = false;
        loop {
            tokio::select! {
                changed = timelines.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    // What this entry knows of the objects is not valid any more.
                    self.objects.borrow_mut().clear();
                    self.streams.mark_archive_lost();
                }
                () = self.streams.archive_due() => {}
                () = actix_rt::time::sleep(PURGE_INTERVAL) => {}
            }
            actix_rt::time::sleep(WRITE_INTERVAL).await;
            match self.write_due().await {
                Ok(()) => has_failed = false,
                Err(e) => {
                    if !std::mem::replace(&mut has_failed, true) {
                        warn!(self.log, "could not write archived streams"; "error" => %e);
                    }
                    actix_rt::time::sleep(WRITE_RETRY).await;
                    self.streams.notify_archive_due();
                }
            }
        }
    }

    /// Writes the segments that are due. Those that fail stay due.
    async fn write_due(&self) -> Result<(), StoreError> {
        let mut result = Ok(());
        for (id, segment) in self.streams.take_due_segments(millis(since_epoch())) {
            if let Err(e) = self.write(id, &segment).await {
                self.streams.mark_segment_due(id);
                if e == StoreError::Conflict {
                    // Another entry writes the shard too. Its records are not to be lost.
                    self.streams.read_shard_again(id.shard);
                }
                result = Err(e);
            }
        }
        result
    }

    async fn write(&self, id: SegmentId, segment: &StoredSegment) -> Result<(), StoreError> {
        let Ok(value) = serde_json::to_vec(segment) else {
            return Err(StoreError::TooLarge);
        };
        let object = self.objects.borrow_mut().remove(&id);
        let mut object = object.unwrap_or_else(|| self.new_object(id));
        let written = object.write(Bytes::from(value)).await;
        self.objects.borrow_mut().insert(id, object);
        written
    }
}
