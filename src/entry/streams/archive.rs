//! What an entry archives of streams, see [`crate::stream_archive`], and what it finds there.

use std::time::Duration;

use super::Streams;
use super::lookup::HISTORY_WAIT;
use crate::clock::Timestamp;
use crate::entry::peers::Peers;
use crate::name::Name;
use crate::stream_archive::SegmentId;
use crate::stream_archive::StoredSegment;
use crate::stream_origins::StreamId;
use crate::stream_origins::StreamRecord;
use crate::wire::streams::StreamQuery;

impl Streams {
    /// Lets this entry archive streams, for which others know it by `peers`.
    pub fn begin_archive(&self, peers: &Peers) {
        self.holders.borrow_mut().set_own(peers.own_holder());
        let owned = self.holders.borrow().own_shards();
        self.archive
            .borrow_mut()
            .set_owned(self.clock.now(), &owned);
    }

    /// Returns the number of shards of the archive.
    pub fn archive_shards(&self) -> u32 {
        self.holders.borrow().shards()
    }

    /// Sets the number of shards that a stored archive has.
    pub fn restore_archive_shards(&self, shards: u32) {
        let mut holders = self.holders.borrow_mut();
        holders.raise_shards(shards);
        let owned = holders.own_shards();
        self.archive
            .borrow_mut()
            .set_owned(self.clock.now(), &owned);
    }

    /// Adds the records to the archive of which this entry is the archivist, of services with
    /// several versions.
    pub(super) fn archive_own(&self, records: &[StreamRecord]) {
        let now = self.clock.now();
        let holders = self.holders.borrow();
        let mut archive = self.archive.borrow_mut();
        let mut has_new = false;
        let origins = self.origins.borrow();
        let is_due = |r: &&StreamRecord| {
            holders.is_archivist(r.stream) && origins.has_several_versions(&r.service)
        };
        for record in records.iter().filter(is_due) {
            has_new |= archive.add(now, holders.shard(record.stream), record);
        }
        if has_new {
            self.archive_due.notify_one();
            self.archive_wanted.notify_one();
        }
    }

    /// Returns whether only the archive may tell where a stream of `service` began.
    fn needs_archive(&self, service: &Name, timeout: Duration) -> bool {
        let now = self.clock.now();
        let versions = self.origins.borrow().versions_within(now, service, timeout);
        versions.len() > 1 || self.view.borrow().missing_for(now).is_some()
    }

    /// Returns whether this entry archives the stream of a query, doesn't know it and has not
    /// read its shard yet.
    pub(super) fn awaits_archive(&self, query: &StreamQuery) -> bool {
        let now = self.clock.now();
        let Some(stream) = query.stream else {
            return false;
        };
        let is_known = self.origins.borrow().get(now, stream).is_some();
        if is_known || !self.needs_archive(&query.service, query.timeout) {
            return false;
        }
        let awaited_since = self.want_archived(stream);
        awaited_since.is_some_and(|since| now.since(since) < HISTORY_WAIT)
    }

    /// Asks for the shard of a stream, if this entry archives it. Returns since when it is
    /// awaited; `None` if there is nothing to wait for.
    fn want_archived(&self, stream: StreamId) -> Option<Timestamp> {
        let holders = self.holders.borrow();
        if !holders.is_archivist(stream) {
            return None;
        }
        let shard = holders.shard(stream);
        let since = self.archive.borrow_mut().want(self.clock.now(), shard)?;
        self.archive_wanted.notify_one();
        Some(since)
    }

    /// Returns the record of a stream that this entry archives, if it has been archived and the
    /// store answers soon.
    pub(super) async fn find_archived(
        &self,
        service: &Name,
        stream: Option<StreamId>,
        timeout: Duration,
    ) -> Option<StreamRecord> {
        let stream = stream.filter(|_| self.needs_archive(service, timeout))?;
        let is_read = async {
            loop {
                let read = self.archive_read.notified();
                if self.want_archived(stream).is_none() {
                    return;
                }
                read.await;
            }
        };
        let _ = actix_rt::time::timeout(HISTORY_WAIT, is_read).await;
        self.record_of(Some(stream))
    }

    /// Waits until there may be a shard to read.
    pub async fn archive_wanted(&self) {
        self.archive_wanted.notified().await;
    }

    /// Returns a shard to read.
    pub fn next_shard_to_read(&self) -> Option<u32> {
        self.archive.borrow_mut().next_to_read(self.clock.now())
    }

    /// Returns whether this entry writes a shard.
    pub fn writes_shard(&self, shard: u32) -> bool {
        self.archive.borrow().owns(shard)
    }

    /// Adds the stored segments of a shard.
    pub fn restore_archived(&self, shard: u32, segments: &[Vec<StreamRecord>]) {
        self.archive
            .borrow_mut()
            .finish_reading(self.clock.now(), shard, segments);
        self.learn(&segments.concat());
        self.archive_read.notify_waiters();
        self.notify_archive_due();
    }

    /// Waits until there may be segments to write.
    pub async fn archive_due(&self) {
        self.archive_due.notified().await;
    }

    /// Wakes the task that writes segments, if any are due.
    pub fn notify_archive_due(&self) {
        if self.archive.borrow().has_due() {
            self.archive_due.notify_one();
        }
    }

    /// Returns the segments to write, as of now in milliseconds since the Unix epoch.
    pub fn take_due_segments(&self, now_millis: u64) -> Vec<(SegmentId, StoredSegment)> {
        let mut archive = self.archive.borrow_mut();
        archive.take_due(self.clock.now(), now_millis)
    }

    /// Makes a segment due that could not be written.
    pub fn mark_segment_due(&self, id: SegmentId) {
        self.archive.borrow_mut().mark_due(id);
    }

    /// Makes a shard due to be read again, of which another entry has written a segment.
    pub fn read_shard_again(&self, shard: u32) {
        self.archive
            .borrow_mut()
            .read_again(self.clock.now(), shard);
        self.archive_wanted.notify_one();
    }

    /// Makes all segments due to be written after a restore of the store.
    pub fn mark_archive_lost(&self) {
        self.archive.borrow_mut().mark_all_due();
    }
}
