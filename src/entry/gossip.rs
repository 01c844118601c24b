//! The entry's use of rows and reports that entries exchange.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;

use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::Logger;
use slog::warn;

use crate::clock::Clock;
use crate::entry::peers::Peers;
use crate::gossip::Aged;
use crate::gossip::Gossip;
use crate::gossip::GossipError;
use crate::gossip::Message;
use crate::gossip::Subject;
use crate::gossip::Topic;
use crate::ids::Incarnation;
use crate::name::Name;

/// The rows and reports of one entry.
pub struct EntryGossip {
    gossip: RefCell<Gossip>,
    /// Rows to forward in the next round.
    news: RefCell<BTreeSet<Subject>>,
    /// Reports to send in the next round, by subject.
    reports: RefCell<BTreeMap<Subject, Message>>,
    is_leaving: Cell<bool>,
    /// The other entries; not set if this entry has no address for them.
    peers: OnceCell<Weak<Peers>>,
    clock: Clock,
    log: Logger,
}

impl EntryGossip {
    /// Creates the state of an entry that starts.
    pub fn new(incarnation: Incarnation, clock: Clock, log: Logger) -> Self {
        Self {
            gossip: RefCell::new(Gossip::new(incarnation)),
            news: RefCell::default(),
            reports: RefCell::default(),
            is_leaving: Cell::default(),
            peers: OnceCell::new(),
            clock,
            log,
        }
    }

    /// Sets the other entries. Later calls have no effect.
    pub fn set_peers(&self, peers: &Rc<Peers>) {
        let _ = self.peers.set(Rc::downgrade(peers));
    }

    /// Records that this entry is stopping: others aggregate from now on.
    pub fn set_leaving(&self) {
        self.is_leaving.set(true);
    }

    /// Publishes a row to all entries.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be encoded or is too large.
    pub fn publish<T>(&self, topic: Topic, subject: &Name, value: &T) -> Result<(), GossipError>
    where
        T: Serialize,
    {
        let subject = Subject::new(topic, subject);
        let now = self.clock.now();
        self.gossip
            .borrow_mut()
            .publish(now, subject.clone(), value)?;
        self.news.borrow_mut().insert(subject);
        Ok(())
    }

    /// Returns the latest row on a subject and its age; `None` if there is none, it has
    /// expired, or it does not have the form of a `T`.
    pub fn latest<T>(&self, topic: Topic, subject: &Name) -> Option<Aged<T>>
    where
        T: DeserializeOwned,
    {
        let subject = Subject::new(topic, subject);
        self.gossip.borrow().latest(self.clock.now(), &subject)
    }

    /// Returns all rows of a topic that have not expired, by name.
    pub fn all<T>(&self, topic: Topic) -> BTreeMap<Name, Aged<T>>
    where
        T: DeserializeOwned,
    {
        self.gossip.borrow().all(self.clock.now(), topic)
    }

    /// Reports to the entry that aggregates a subject. A later report on it before the next
    /// round replaces this one.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be encoded or is too large.
    pub fn report<T>(&self, topic: Topic, subject: &Name, value: &T) -> Result<(), GossipError>
    where
        T: Serialize,
    {
        let subject = Subject::new(topic, subject);
        let now = self.clock.now();
        let mut gossip = self.gossip.borrow_mut();
        let message = gossip.report(now, subject.clone(), value)?;
        self.reports.borrow_mut().insert(subject, message);
        Ok(())
    }

    /// Returns the last reports of all entries on a subject, with this entry's own. They are
    /// complete only at the aggregating entry.
    pub fn reports<T>(&self, topic: Topic, subject: &Name) -> Vec<(Incarnation, Aged<T>)>
    where
        T: DeserializeOwned,
    {
        let subject = Subject::new(topic, subject);
        self.gossip.borrow().reports(self.clock.now(), &subject)
    }

    /// Returns whether this entry aggregates a subject. It does where it knows no other.
    pub fn is_aggregator(&self, topic: Topic, subject: &Name) -> bool {
        let peers = self.peers.get().and_then(Weak::upgrade);
        let key = Subject::new(topic, subject).key();
        peers.is_none_or(|peers| peers.holder(&key, self.is_leaving.get()).is_none())
    }

    /// Returns the messages of a round, each with its receivers.
    pub fn next_messages(&self, peers: &Peers) -> Vec<(Vec<u8>, Vec<SocketAddr>)> {
        let now = self.clock.now();
        self.gossip.borrow_mut().expire(now);
        let mut messages = Vec::new();
        for subject in std::mem::take(&mut *self.news.borrow_mut()) {
            let children = peers.children(&subject.key());
            let message = self.gossip.borrow().rows_message(now, [&subject]);
            messages.extend(message.map(|m| (m, children)));
        }
        for (subject, message) in std::mem::take(&mut *self.reports.borrow_mut()) {
            let aggregator = peers.holder(&subject.key(), self.is_leaving.get());
            messages.extend(aggregator.map(|a| (message, vec![a])));
        }
        if let Some(message) = self.gossip.borrow_mut().repair_message(now) {
            messages.push((message, peers.one_of_reachable()));
        }
        let encoded = messages.into_iter().filter_map(|(message, receivers)| {
            match serde_json::to_vec(&message) {
                Ok(bytes) => Some((bytes, receivers)),
                Err(e) => {
                    warn!(self.log, "could not encode a message to other entries"; "error" => %e);
                    None
                }
            }
        });
        encoded.collect()
    }

    /// Handles the message of another entry.
    pub fn receive(&self, message: &[u8]) {
        match serde_json::from_slice(message) {
            Ok(message) => {
                let now = self.clock.now();
                let news = self.gossip.borrow_mut().receive(now, message);
                self.news.borrow_mut().extend(news);
            }
            Err(e) => {
                warn!(self.log, "could not decode a message of another entry"; "error" => %e);
            }
        }
    }
}
