//! Finds where a stream began, at this entry or at others.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use slog::info;
use tokio::sync::Notify;

use super::Streams;
use crate::datagram::DatagramKind;
use crate::directory::SoftwareVersion;
use crate::name::Name;
use crate::stream_origins::Standing;
use crate::stream_origins::StreamId;
use crate::stream_origins::StreamRecord;
use crate::units::millis;
use crate::wire::streams::StreamMessage;
use crate::wire::streams::StreamQuery;
use crate::wire::streams::StreamReply;
use crate::wire::streams::encode;

/// The longest time for which a request waits for the history of the versions, which an
/// entry reads when it starts.
pub(super) const HISTORY_WAIT: Duration = Duration::from_millis(500);

/// The time after which a caller can come back whose stream's version can't be told.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

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

/// A query that waits for replies.
#[derive(Default)]
pub(super) struct PendingQuery {
    /// The entries that were asked.
    entries: BTreeSet<SocketAddr>,
    /// The entries and agents that have not replied.
    unanswered: BTreeSet<SocketAddr>,
    record: Option<StreamRecord>,
    versions: BTreeSet<SoftwareVersion>,
    replied: Rc<Notify>,
}

impl Streams {
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
        let shards = self.archive_shards();
        let mut answer = self.ask(service, stream, timeout).await;
        if answer.record.is_none() {
            self.wait_for_history().await;
            if self.archive_shards() != shards {
                // Only now is it known who archives the stream.
                answer = self.ask(service, stream, timeout).await;
            }
        }
        if let Some(record) = answer.record {
            self.learn(std::slice::from_ref(&record));
            return Ok(record.into());
        }
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

    pub(super) fn record_of(&self, stream: Option<StreamId>) -> Option<StreamRecord> {
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
    async fn ask(
        &self,
        service: &Name,
        stream: Option<StreamId>,
        timeout: Duration,
    ) -> PendingQuery {
        let query = StreamQuery {
            number: self.last_query.get() + 1,
            stream,
            service: service.clone(),
            timeout,
        };
        self.last_query.set(query.number);
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

    /// Returns the processes that have not replied to a query; none if the answer is known.
    fn unanswered(&self, number: u64) -> BTreeSet<SocketAddr> {
        let queries = self.queries.borrow();
        let pending = queries.get(&number).filter(|q| q.record.is_none());
        pending.map(|q| q.unanswered.clone()).unwrap_or_default()
    }

    /// Handles the reply of another process to a query.
    pub(super) fn receive_reply(&self, reply: StreamReply, peer: SocketAddr) {
        if let Some(pending) = self.queries.borrow_mut().get_mut(&reply.number) {
            pending.unanswered.remove(&peer);
            pending.versions.extend(reply.versions);
            pending.record = pending.record.take().or(reply.record);
            pending.replied.notify_one();
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
