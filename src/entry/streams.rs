//! Keeps where streams began, shares it with other processes and archives it.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use slog::Logger;
use slog::warn;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::datagram::DatagramKind;
use crate::directory::Directory;
use crate::directory::SoftwareVersion;
use crate::entry::peers::Peers;
use crate::name::Name;
use crate::object_store::Timeline;
use crate::stream_archive::StreamArchive;
use crate::stream_holders::Holder;
use crate::stream_holders::Holders;
use crate::stream_origins::StreamId;
use crate::stream_origins::StreamOrigins;
use crate::stream_origins::StreamRecord;
use crate::stream_origins::VersionHistory;
use crate::version_view::VersionView;
use crate::wire::streams::StreamMessage;
use crate::wire::streams::decode;
use crate::wire::streams::encode;

mod archive;
mod lookup;

use lookup::PendingQuery;

/// The time for which records are collected before they are sent together. Those of streams
/// that began later than this before the entry dies may be lost.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// The interval at which the records of running streams are sent again beside several
/// versions. That an agent has been restarted is not noticed otherwise.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The maximum number of records in one datagram.
const MAX_BATCH: usize = 1000;

/// The streams of this entry and what others have sent of theirs.
pub struct Streams {
    origins: RefCell<StreamOrigins>,
    holders: RefCell<Holders>,
    /// The records that this entry writes to the store.
    archive: RefCell<StreamArchive>,
    /// Notified when there may be segments to write.
    archive_due: Notify,
    /// Notified when there may be shards to read.
    archive_wanted: Notify,
    /// Notified when a shard was read.
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

    /// Stores records of other entries, and archives those that are due.
    fn learn(&self, records: &[StreamRecord]) {
        let now = self.clock.now();
        let mut origins = self.origins.borrow_mut();
        let mut is_newly_mixed = false;
        for record in records {
            is_newly_mixed |= origins.learn(now, record);
        }
        // Those that came before are not sent again.
        let all = is_newly_mixed.then(|| origins.records(now));
        drop(origins);
        self.archive_own(all.as_deref().unwrap_or(records));
        self.notify_due();
    }

    /// Updates the other entries that can keep records. Where another one archives a shard
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
            .set_owned(now, &holders.own_shards());
        drop(holders);
        self.origins.borrow_mut().mark_all_due(now);
        self.notify_due();
    }

    /// Handles a message of another entry and returns the reply to send, if any.
    pub fn receive(&self, message: &[u8], peer: SocketAddr) -> Option<Vec<u8>> {
        let now = self.clock.now();
        match decode(message) {
            Ok(StreamMessage::Began(records)) => {
                self.learn(&records);
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
                self.receive_reply(reply, peer);
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
