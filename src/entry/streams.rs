//! Finds the software version that began a stream, at this entry or at others.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::directory::Directory;
use crate::directory::SoftwareVersion;
use crate::entry::peers::DatagramKind;
use crate::entry::peers::Peers;
use crate::name::Name;
use crate::stream_origins::Origin;
use crate::stream_origins::Standing;
use crate::stream_origins::StreamId;
use crate::stream_origins::StreamOrigins;
use crate::stream_origins::StreamRecord;
use crate::units::millis;
use crate::wire::streams::StreamMessage;
use crate::wire::streams::StreamQuery;
use crate::wire::streams::StreamReply;
use crate::wire::streams::decode;
use crate::wire::streams::encode;

/// The number of other entries that get the record of a stream.
const COPIES: usize = 4;

/// The number of other entries that are asked for a record. It is larger than `COPIES`,
/// because the entries may disagree on who is running.
const ASKED: usize = 8;

/// The time for which records are collected before they are sent together.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// The maximum number of records in one datagram.
const MAX_BATCH: usize = 1000;

/// The time after which a query is repeated to those that have not replied.
const QUERY_RETRY: Duration = Duration::from_millis(60);

/// The number of times that a query is sent.
const QUERY_ATTEMPTS: u32 = 3;

/// The streams of this entry and what others have sent of theirs.
pub struct Streams {
    origins: RefCell<StreamOrigins>,
    directory: Rc<Directory>,
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
    /// The number of entries that were asked.
    asked: usize,
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
            directory,
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

    /// Follows the versions of upstreams, and sends records that are due, until the task
    /// is aborted.
    pub async fn run(self: Rc<Self>) {
        let mut changes = self.directory.subscribe();
        loop {
            tokio::select! {
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let upstreams = self.directory.upstreams();
                    self.origins.borrow_mut().observe(self.clock.now(), &upstreams);
                }
                () = self.due.notified() => {}
            }
            if self.origins.borrow().has_unsent() {
                actix_rt::time::sleep(BATCH_TIME).await;
                self.send_due().await;
            }
        }
    }

    /// Records that this entry begins a stream at an upstream of `service`.
    pub fn begin(
        &self,
        stream: StreamId,
        service: &Name,
        version: SoftwareVersion,
        timeout: Duration,
    ) {
        let mut origins = self.origins.borrow_mut();
        origins.begin(self.clock.now(), stream, service, version, timeout);
        if origins.has_unsent() {
            self.due.notify_one();
        }
    }

    /// Returns the version that began a stream, or `None` if that can't be told. Asks
    /// other entries if this one doesn't know.
    pub async fn find(
        &self,
        service: &Name,
        stream: Option<StreamId>,
        timeout: Duration,
    ) -> Option<SoftwareVersion> {
        let found = {
            let origins = self.origins.borrow();
            origins.find(self.clock.now(), service, stream, timeout)
        };
        let seen = match found {
            Origin::Known(version) => return Some(version),
            Origin::Unknown(seen) => seen,
        };
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
            return Some(record.version);
        }
        let versions: BTreeSet<SoftwareVersion> = seen.union(&answer.versions).cloned().collect();
        info!(self.log, "no entry knows where a stream began";
            "service" => %service,
            "versions" => versions.len(),
            "asked" => answer.asked,
            "unanswered" => answer.unanswered.len(),
            "view_ms" => self.directory.age().map(millis));
        if versions.len() != 1 || !self.standing(&answer).is_in_step() {
            return None;
        }
        versions.into_iter().next()
    }

    fn standing(&self, answer: &PendingQuery) -> Standing {
        let peers = self.peers.get().and_then(Weak::upgrade);
        Standing {
            asked: answer.asked,
            replied: answer.asked - answer.unanswered.len(),
            reachable_fraction: peers.map_or(1.0, |peers| peers.reachable_fraction()),
            view_age: self.directory.age(),
        }
    }

    /// Asks other entries until one knows the stream, all have replied or the time is
    /// over.
    async fn ask(&self, query: StreamQuery) -> PendingQuery {
        let Some(peers) = self.peers.get().and_then(Weak::upgrade) else {
            return PendingQuery::default();
        };
        let asked = closest(query.stream, peers.reachable(), ASKED);
        let replied = Rc::<Notify>::default();
        let pending = PendingQuery {
            asked: asked.len(),
            unanswered: asked.iter().copied().collect(),
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

    /// Returns the entries that have not replied to a query; none if the answer is known.
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
                if origins.has_unsent() {
                    self.due.notify_one();
                }
                None
            }
            Ok(StreamMessage::Query(query)) => {
                let origins = self.origins.borrow();
                let record = query.stream.and_then(|s| origins.get(now, s));
                Some(encode(&StreamMessage::Reply(StreamReply {
                    number: query.number,
                    record,
                    versions: origins.versions_within(now, &query.service, query.timeout),
                })))
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

    /// Sends the records that are due to the entries that are to keep them.
    async fn send_due(&self) {
        let records = self.origins.borrow_mut().take_unsent(self.clock.now());
        let Some(peers) = self.peers.get().and_then(Weak::upgrade) else {
            return;
        };
        let reachable = peers.reachable();
        let mut batches: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
        for record in records {
            for peer in closest(Some(record.stream), reachable.clone(), COPIES) {
                batches.entry(peer).or_default().push(record.clone());
            }
        }
        for (peer, batch) in batches {
            for part in batch.chunks(MAX_BATCH) {
                let message = encode(&StreamMessage::Began(part.to_vec()));
                peers.send(DatagramKind::Streams, &message, &[peer]).await;
            }
        }
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

/// Returns the `count` entries that come first in the order of this stream, which is the
/// same at all entries (rendezvous hashing).
fn closest(stream: Option<StreamId>, mut peers: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
    if peers.len() > count {
        peers.sort_by_cached_key(|peer| order(stream, *peer));
        peers.truncate(count);
    }
    peers
}

fn order(stream: Option<StreamId>, peer: SocketAddr) -> [u8; 32] {
    let id = stream.map_or(0, |s| s.0);
    Sha256::new()
        .chain_update(id.to_le_bytes())
        .chain_update(peer.to_string())
        .finalize()
        .into()
}
