//! Finds the software version that began a stream, at this entry or at others.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::datagram::DatagramKind;
use crate::directory::Directory;
use crate::directory::SoftwareVersion;
use crate::entry::peers::Peers;
use crate::name::Name;
use crate::object_store::Timeline;
use crate::stream_archive::SegmentId;
use crate::stream_archive::StoredSegment;
use crate::stream_archive::StreamArchive;
use crate::stream_holders::Holder;
use crate::stream_holders::Holders;
use crate::stream_origins::Standing;
use crate::stream_origins::StreamId;
use crate::stream_origins::StreamOrigins;
use crate::stream_origins::StreamRecord;
use crate::stream_origins::VersionHistory;
use crate::units::millis;
use crate::version_view::VersionView;
use crate::wire::streams::StreamMessage;
use crate::wire::streams::StreamQuery;
use crate::wire::streams::decode;
use crate::wire::streams::encode;

/// The time for which records are collected before they are sent together. Those of streams
/// that began later than this before the entry dies may be lost.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// The interval at which the records of running streams are sent again beside several
/// versions. That an agent has been restarted is not noticed otherwise.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The longest time for which a request waits for the history of the versions, which an
/// entry reads when it starts.
const HISTORY_WAIT: Duration = Duration::from_millis(500);

/// The time after which a caller can come back whose stream's version can't be told.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The maximum number of records in one datagram.
const MAX_BATCH: usize = 1000;

/// The time after which a query is repeated to those that have not replied.
const QUERY_RETRY: Duration = Duration::from_millis(60);

/// The number of times that a query is sent.
const QUERY_ATTEMPTS: u32 = 3;

/// Where a stream began, as far as a request that resumes it needs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FoundOrigin {
    /// The service.
    pub service: Name,
    /// The software version of the upstream.
    pub version: SoftwareVersion,
}

impl From<StreamRecord> for FoundOrigin {
    fn from(record: StreamRecord) -> Self {
        Self {
            service: record.service,
            version: record.version,
        }
    }
}

/// The version that began a stream can't be told.
#[derive(Clone, Copy, Debug)]
pub struct UnknownOrigin {
    /// The time after which it may be known.
    pub retry_after: Duration,
}

/// The streams of this entry and what others have sent of theirs.
pub struct Streams {
    origins: RefCell<StreamOrigins>,
    holders: RefCell<Holders>,
    /// The records that this entry writes to the store.
    archive: RefCell<StreamArchive>,
    /// Notified when there may be segments to write.
    archive_due: Notify,
    /// Notified when there may be slots to read.
    archive_wanted: Notify,
    /// Notified when a slot was read.
    archive_read: Notify,
    directory: Rc<Directory>,
    /// Whether the versions of the time before this entry started are known.
    view: RefCell<VersionView>,
    /// Whether the record of these versions was read.
    has_read_history: watch::Sender<bool>,
    /// The other entries; not set if this entry has no address for them.
    peers: OnceCell<Weak<Peers>>,
    queries: RefCell<HashMap<u64, PendingQuery>>,
    last_query: Cell<u64>,
    /// Notified when there are records to send.
    due: Notify,
    clock: Clock,
    log: Logger,
}

/// A query that waits for replies.
#[derive(Default)]
struct PendingQuery {
    /// The entries that were asked.
    entries: BTreeSet<SocketAddr>,
    /// The entries and agents that have not replied.
    unanswered: BTreeSet<SocketAddr>,
    record: Option<StreamRecord>,
    versions: BTreeSet<SoftwareVersion>,
    replied: Rc<Notify>,
}

impl Streams {
    /// Creates the state of an entry that starts.
    pub fn new(directory: Rc<Directory>, clock: Clock, log: Logger) -> Self {
        Self {
            origins: RefCell::new(StreamOrigins::new()),
            holders: RefCell::new(Holders::new()),
            archive: RefCell::new(StreamArchive::new()),
            archive_due: Notify::new(),
            archive_wanted: Notify::new(),
            archive_read: Notify::new(),
            directory,
            view: RefCell::new(VersionView::new()),
            has_read_history: watch::Sender::new(true),
            peers: OnceCell::new(),
            queries: RefCell::default(),
            last_query: Cell::new(0),
            due: Notify::new(),
            clock,
            log,
        }
    }

    /// Sets the other entries. Later calls have no effect.
    pub fn set_peers(&self, peers: &Rc<Peers>) {
        let _ = self.peers.set(Rc::downgrade(peers));
    }

    /// Lets requests wait for the history of the versions, which a store keeps.
    pub fn await_history(&self) {
        self.view.replace(VersionView::with_record());
        self.has_read_history.send_replace(false);
    }

    /// Sends the records of running streams to the processes that are to keep them and have
    /// started or come since.
    pub fn send_to_new_holders(&self) {
        self.origins.borrow_mut().mark_all_due(self.clock.now());
        self.notify_due();
    }

    /// Sends the records of running streams once more to all that are to keep them, some of
    /// which may have lost them. Streams that outlast the stop of this entry are resumed elsewhere.
    pub fn send_again(&self) {
        self.origins.borrow_mut().forget_copies(self.clock.now());
        self.notify_due();
    }

    /// Records that the store keeps no history of the versions yet.
    pub fn begin_history(&self) {
        self.view.borrow_mut().begin();
        self.has_read_history.send_replace(true);
    }

    /// Adds the history of the versions that was stored `age` ago and was complete in the
    /// timeline `recorded` of the store, which is now in `current`.
    pub fn restore_history(
        &self,
        history: &VersionHistory,
        age: Duration,
        recorded: Option<Timeline>,
        current: Option<Timeline>,
    ) {
        let now = self.clock.now();
        self.origins.borrow_mut().restore(now, history, age);
        self.view.borrow_mut().restore(now, recorded, current);
        self.has_read_history.send_replace(true);
        self.notify_due();
    }

    /// Records that the store was restored from an older copy.
    pub fn store_restored(&self) {
        self.view.borrow_mut().store_restored(self.clock.now());
    }

    /// Returns the timeline of the store in which the history is complete, while the store is
    /// in `current`.
    pub fn complete_in(&self, current: Option<Timeline>) -> Option<Timeline> {
        self.view.borrow().complete_in(self.clock.now(), current)
    }

    /// Returns the versions that streams can have begun at.
    pub fn history(&self) -> VersionHistory {
        self.origins.borrow().history(self.clock.now())
    }

    /// Follows the versions of upstreams, and sends records that are due, until the task
    /// is aborted.
    pub async fn run(self: Rc<Self>) {
        let mut changes = self.directory.subscribe();
        changes.mark_changed();
        let mut repeat = actix_rt::time::interval(REPEAT_INTERVAL);
        loop {
            tokio::select! {
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.follow_upstreams();
                }
                () = self.due.notified() => {}
                _ = repeat.tick() => self.repeat_mixed(),
            }
            if self.origins.borrow().has_unsent() {
                actix_rt::time::sleep(BATCH_TIME).await;
                self.send_due().await;
            }
        }
    }

    /// Sends the records of running streams again beside several versions, and looks for
    /// entries that have come or gone.
    fn repeat_mixed(&self) {
        self.origins
            .borrow_mut()
            .forget_mixed_copies(self.clock.now());
        if let Some(peers) = self.peers.get().and_then(Weak::upgrade) {
            self.follow_entries(&peers);
        }
    }

    /// Observes the versions and the agents of the listed upstreams.
    fn follow_upstreams(&self) {
        let now = self.clock.now();
        let upstreams = self.directory.upstreams();
        let is_newly_mixed = self.origins.borrow_mut().observe(now, &upstreams);
        if is_newly_mixed {
            // Those that came before are not sent again.
            let records = self.origins.borrow().records(now);
            self.archive_own(&records);
        }
        let agents = upstreams.values().filter_map(|upstream| {
            let address = upstream.agent?;
            let run = upstream.started.unwrap_or_default();
            Some(Holder { address, run })
        });
        if self.holders.borrow_mut().set_agents(agents) {
            self.origins.borrow_mut().mark_all_due(now);
        }
        self.notify_due();
    }

    /// Records that this entry begins or resumes a stream at an upstream of `service`.
    pub fn begin(
        &self,
        stream: StreamId,
        service: &Name,
        version: SoftwareVersion,
        timeout: Duration,
    ) {
        let now = self.clock.now();
        let mut origins = self.origins.borrow_mut();
        origins.begin(now, stream, service, version, timeout);
        drop(origins);
        self.notify_due();
    }

    /// Records that the caller has got a whole stream.
    pub fn end(&self, stream: StreamId) {
        self.origins.borrow_mut().end(self.clock.now(), stream);
    }

    /// Wakes the task that sends records, if there are any to send.
    fn notify_due(&self) {
        if self.origins.borrow().has_unsent() {
            self.due.notify_one();
        }
    }

    /// Returns where a stream of a route to `service` began. Asks other entries if this one
    /// doesn't know. A route that `is_split` leads to other services too.
    ///
    /// # Errors
    ///
    /// Fails if that can't be told.
    pub async fn find(
        &self,
        service: &Name,
        is_split: bool,
        stream: Option<StreamId>,
        timeout: Duration,
    ) -> Result<FoundOrigin, UnknownOrigin> {
        if let Some(record) = self.record_of(stream) {
            return Ok(record.into());
        }
        let query = StreamQuery {
            number: self.last_query.get() + 1,
            stream,
            service: service.clone(),
            timeout,
        };
        self.last_query.set(query.number);
        let answer = self.ask(query).await;
        if let Some(record) = answer.record {
            self.origins.borrow_mut().learn(self.clock.now(), &record);
            return Ok(record.into());
        }
        self.wait_for_history().await;
        if let Some(record) = self.find_archived(service, stream, timeout).await {
            return Ok(record.into());
        }
        let now = self.clock.now();
        let seen = self.origins.borrow().versions_within(now, service, timeout);
        let versions: BTreeSet<SoftwareVersion> = seen.union(&answer.versions).cloned().collect();
        let missing_for = self.view.borrow().missing_for(now);
        info!(self.log, "nobody knows where a stream began";
            "service" => %service,
            "versions" => versions.len(),
            "incomplete_ms" => missing_for.map(millis),
            "asked_entries" => answer.entries.len(),
            "unanswered" => answer.unanswered.len(),
            "view_ms" => self.directory.age().map(millis));
        let retry_after = missing_for.unwrap_or(UNKNOWN_RETRY_AFTER);
        let is_certain = versions.len() == 1 && missing_for.is_none() && !is_split;
        let only = versions
            .into_iter()
            .next()
            .filter(|_| is_certain && self.standing(&answer).is_in_step());
        let found = only.map(|version| FoundOrigin {
            service: service.clone(),
            version,
        });
        found.ok_or(UnknownOrigin { retry_after })
    }

    fn record_of(&self, stream: Option<StreamId>) -> Option<StreamRecord> {
        self.origins.borrow().get(self.clock.now(), stream?)
    }

    /// Waits until the history of the versions was read, if the store answers soon.
    async fn wait_for_history(&self) {
        let mut has_read = self.has_read_history.subscribe();
        let read = has_read.wait_for(|has_read| *has_read);
        // Otherwise the view stays incomplete.
        let _ = actix_rt::time::timeout(HISTORY_WAIT, read).await;
    }

    fn standing(&self, answer: &PendingQuery) -> Standing {
        let peers = self.peers.get().and_then(Weak::upgrade);
        let entries = answer.entries.iter();
        let replied = entries.filter(|e| !answer.unanswered.contains(e));
        Standing {
            asked: answer.entries.len(),
            replied: replied.count(),
            reachable_fraction: peers.map_or(1.0, |peers| peers.reachable_fraction()),
            view_age: self.directory.age(),
        }
    }

    /// Asks agents and other entries until one knows the stream, all have replied or the
    /// time is over.
    async fn ask(&self, query: StreamQuery) -> PendingQuery {
        let Some(peers) = self.peers.get().and_then(Weak::upgrade) else {
            return PendingQuery::default();
        };
        self.follow_entries(&peers);
        let (agents, entries) = {
            let holders = self.holders.borrow();
            let agents = holders.asked_agents(query.stream);
            (agents, holders.asked_entries(query.stream))
        };
        let replied = Rc::<Notify>::default();
        let pending = PendingQuery {
            unanswered: agents.iter().chain(&entries).copied().collect(),
            entries: entries.into_iter().collect(),
            replied: Rc::clone(&replied),
            ..PendingQuery::default()
        };
        let number = query.number;
        self.queries.borrow_mut().insert(number, pending);
        let _guard = QueryGuard {
            streams: self,
            number,
        };
        let message = encode(&StreamMessage::Query(query));
        for _ in 0..QUERY_ATTEMPTS {
            let unanswered = Vec::from_iter(self.unanswered(number));
            if unanswered.is_empty() {
                break;
            }
            peers
                .send(DatagramKind::Streams, &message, &unanswered)
                .await;
            let all_replied = async {
                while !self.unanswered(number).is_empty() {
                    replied.notified().await;
                }
            };
            // Those that have not replied are asked again.
            let _ = actix_rt::time::timeout(QUERY_RETRY, all_replied).await;
        }
        self.queries
            .borrow_mut()
            .remove(&number)
            .unwrap_or_default()
    }

    /// Updates the other entries that can keep records. Where another one archives a slot
    /// now, it gets the records of running streams.
    fn follow_entries(&self, peers: &Peers) {
        let now = self.clock.now();
        let mut holders = self.holders.borrow_mut();
        let archivists = holders.archivists().to_vec();
        if !holders.set_entries(peers.holders()) || holders.archivists() == archivists {
            return;
        }
        self.archive
            .borrow_mut()
            .set_owned(now, &holders.own_slots());
        drop(holders);
        self.origins.borrow_mut().mark_all_due(now);
        self.notify_due();
    }

    /// Returns the processes that have not replied to a query; none if the answer is known.
    fn unanswered(&self, number: u64) -> BTreeSet<SocketAddr> {
        let queries = self.queries.borrow();
        let pending = queries.get(&number).filter(|q| q.record.is_none());
        pending.map(|q| q.unanswered.clone()).unwrap_or_default()
    }

    /// Handles a message of another entry and returns the reply to send, if any.
    pub fn receive(&self, message: &[u8], peer: SocketAddr) -> Option<Vec<u8>> {
        let now = self.clock.now();
        match decode(message) {
            Ok(StreamMessage::Began(records)) => {
                let mut origins = self.origins.borrow_mut();
                records.iter().for_each(|record| origins.learn(now, record));
                drop(origins);
                self.archive_own(&records);
                self.notify_due();
                None
            }
            Ok(StreamMessage::Query(query)) if self.awaits_archive(&query) => {
                // The sender asks again.
                None
            }
            Ok(StreamMessage::Query(query)) => {
                let reply = self.origins.borrow().answer(now, &query);
                Some(encode(&StreamMessage::Reply(reply)))
            }
            Ok(StreamMessage::Reply(reply)) => {
                if let Some(pending) = self.queries.borrow_mut().get_mut(&reply.number) {
                    pending.unanswered.remove(&peer);
                    pending.versions.extend(reply.versions);
                    pending.record = pending.record.take().or(reply.record);
                    pending.replied.notify_one();
                }
                None
            }
            Err(e) => {
                warn!(self.log, "could not decode a message on streams";
                    "peer" => %peer,
                    "error" => %e);
                None
            }
        }
    }

    /// Sends the records that are due to the processes that are to keep them.
    async fn send_due(&self) {
        let Some(peers) = self.peers.get().and_then(Weak::upgrade) else {
            return;
        };
        self.follow_entries(&peers);
        let batches = {
            let holders = self.holders.borrow();
            let now = self.clock.now();
            self.origins.borrow_mut().take_unsent(now, &holders)
        };
        for (holder, batch) in batches {
            if self.holders.borrow().is_this_entry(&holder) {
                self.archive_own(&batch);
                continue;
            }
            for part in batch.chunks(MAX_BATCH) {
                let message = encode(&StreamMessage::Began(part.to_vec()));
                let receiver = [holder.address];
                peers.send(DatagramKind::Streams, &message, &receiver).await;
            }
        }
    }
}

/// The archive of streams in the store, see [`crate::stream_archive`].
impl Streams {
    /// Lets this entry archive streams, for which others know it by `peers`.
    pub fn begin_archive(&self, peers: &Peers) {
        self.holders.borrow_mut().set_own(peers.own_holder());
        let owned = self.holders.borrow().own_slots();
        self.archive
            .borrow_mut()
            .set_owned(self.clock.now(), &owned);
    }

    /// Returns the number of slots of the archive.
    pub fn archive_slots(&self) -> u32 {
        self.holders.borrow().slots()
    }

    /// Sets the number of slots that a stored archive has.
    pub fn restore_archive_slots(&self, slots: u32) {
        let mut holders = self.holders.borrow_mut();
        holders.raise_slots(slots);
        let owned = holders.own_slots();
        self.archive
            .borrow_mut()
            .set_owned(self.clock.now(), &owned);
    }

    /// Adds the records to the archive of which this entry is the archivist, of services with
    /// several versions.
    fn archive_own(&self, records: &[StreamRecord]) {
        let now = self.clock.now();
        let holders = self.holders.borrow();
        let mut archive = self.archive.borrow_mut();
        let mut has_new = false;
        let origins = self.origins.borrow();
        let is_due = |r: &&StreamRecord| {
            holders.is_own(r.stream) && origins.has_several_versions(&r.service)
        };
        for record in records.iter().filter(is_due) {
            has_new |= archive.add(now, holders.slot(record.stream), record);
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
    /// read its slot yet.
    fn awaits_archive(&self, query: &StreamQuery) -> bool {
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

    /// Asks for the slot of a stream, if this entry archives it. Returns since when it is
    /// awaited; `None` if there is nothing to wait for.
    fn want_archived(&self, stream: StreamId) -> Option<Timestamp> {
        let holders = self.holders.borrow();
        if !holders.is_own(stream) {
            return None;
        }
        let slot = holders.slot(stream);
        let since = self.archive.borrow_mut().want(self.clock.now(), slot)?;
        self.archive_wanted.notify_one();
        Some(since)
    }

    /// Returns the record of a stream that this entry archives, if it has been archived and the
    /// store answers soon.
    async fn find_archived(
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

    /// Waits until there may be a slot to read.
    pub async fn archive_wanted(&self) {
        self.archive_wanted.notified().await;
    }

    /// Returns a slot to read.
    pub fn next_slot_to_read(&self) -> Option<u32> {
        self.archive.borrow_mut().next_to_read(self.clock.now())
    }

    /// Returns whether this entry writes a slot.
    pub fn writes_slot(&self, slot: u32) -> bool {
        self.archive.borrow().owns(slot)
    }

    /// Adds the stored segments of a slot.
    pub fn restore_archived(&self, slot: u32, segments: &[Vec<StreamRecord>]) {
        let now = self.clock.now();
        let mut origins = self.origins.borrow_mut();
        for record in segments.iter().flatten() {
            origins.learn(now, record);
        }
        drop(origins);
        self.archive
            .borrow_mut()
            .finish_reading(now, slot, segments);
        self.archive_read.notify_waiters();
        self.notify_archive_due();
        self.notify_due();
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

    /// Makes a slot due to be read again, of which another entry has written a segment.
    pub fn read_slot_again(&self, slot: u32) {
        self.archive.borrow_mut().read_again(self.clock.now(), slot);
        self.archive_wanted.notify_one();
    }

    /// Makes all segments due to be written after a restore of the store.
    pub fn mark_archive_lost(&self) {
        self.archive.borrow_mut().mark_all_due();
    }
}

/// Forgets a query that has ended or whose caller has left.
struct QueryGuard<'a> {
    streams: &'a Streams,
    number: u64,
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.streams.queries.borrow_mut().remove(&self.number);
    }
}
