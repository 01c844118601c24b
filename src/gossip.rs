//! Rows and reports by which entries inform each other.
//!
//! A *report* goes from each entry to the one entry that aggregates a subject. A *row* of the
//! aggregating entry goes to all others, along a tree that every entry derives from the
//! rendezvous order of the subject, so that each entry gets and sends a row a bounded number of
//! times. A lost datagram cuts off part of the tree until the row is published again; repair
//! messages to a random entry make up for views of the fleet that differ.
//!
//! Entries may disagree for a moment on who aggregates a subject, and two may publish. The row
//! that was published last counts, by ages, since clocks differ.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use thiserror::Error;

use crate::clock::Timestamp;
use crate::ids::Incarnation;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Entries to which an entry forwards a row that is new to it.
pub const FANOUT: usize = 8;

/// Time after which a row that was not published again is dropped.
pub const ROW_LIFETIME: Duration = Duration::from_secs(5);

/// Time after which the report of an entry no longer counts. It covers several lost reports.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Largest encoded value of a row or report, in bytes. Several rows fit into a datagram.
pub const MAX_VALUE_BYTES: usize = 1024;

/// Maximum number of subjects that are kept. The target has 29 models in 14 zones.
const MAX_SUBJECTS: usize = 1024;

/// Maximum number of rows in one message.
const MAX_ROWS_PER_MESSAGE: usize = 16;

/// Maximum number of entries whose reports on a subject are kept.
const MAX_REPORTERS: usize = 4096;

/// Kind of the information.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Roll-outs of new versions; subjects are services.
    Rollout,
    /// Demand and room; subjects are availability zones.
    ZoneLoad,
}

/// What a row or report is about.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Subject {
    /// The kind of the information.
    pub topic: Topic,
    /// The service or availability zone.
    pub name: Name,
}

impl Subject {
    /// Creates a subject.
    pub fn new(topic: Topic, name: &Name) -> Self {
        Self {
            topic,
            name: name.clone(),
        }
    }

    /// Returns the key by whose rendezvous order entries aggregate and forward the subject.
    pub fn key(&self) -> Vec<u8> {
        let topic: &[u8] = match self.topic {
            Topic::Rollout => b"rollout ",
            Topic::ZoneLoad => b"zone-load ",
        };
        [topic, self.name.as_bytes()].concat()
    }
}

/// A value and the time since it was published or reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Aged<T> {
    /// The value.
    pub value: T,
    /// The time since then.
    pub age: Duration,
}

/// A row as it is sent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    subject: Subject,
    /// The entry that published the row.
    origin: u64,
    /// Grows with each publication of the origin.
    version: u64,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
    value: Box<RawValue>,
}

/// A message between entries.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Rows that may be new to the receiver.
    Rows(Vec<Row>),
    /// The report of an entry on a subject that the receiver aggregates.
    Report {
        /// The subject.
        subject: Subject,
        /// The entry that reports.
        entry: u64,
        /// Its report.
        value: Box<RawValue>,
    },
}

/// Reason for which a value can't be sent.
#[derive(Debug, Error)]
pub enum GossipError {
    /// The value can't be encoded.
    #[error("the value could not be encoded")]
    Encode(#[from] serde_json::Error),
    /// The encoded value exceeds [`MAX_VALUE_BYTES`].
    #[error("the value takes {0} bytes, {MAX_VALUE_BYTES} are allowed")]
    TooLarge(usize),
}

#[derive(Debug)]
struct StoredRow {
    origin: Incarnation,
    version: u64,
    published_at: Timestamp,
    value: Box<RawValue>,
}

#[derive(Debug)]
struct StoredReport {
    reported_at: Timestamp,
    value: Box<RawValue>,
}

/// The rows and reports that an entry holds.
///
/// Invariants: at most [`MAX_SUBJECTS`] subjects with rows, as many with reports, and
/// [`MAX_REPORTERS`] reports on each; no value exceeds [`MAX_VALUE_BYTES`].
#[derive(Debug)]
pub struct Gossip {
    own: Incarnation,
    rows: BTreeMap<Subject, StoredRow>,
    reports: BTreeMap<Subject, BTreeMap<Incarnation, StoredReport>>,
    /// The last subject in a repair message.
    last_repaired: Option<Subject>,
}

impl Gossip {
    /// Creates the state of the entry `own`, without rows or reports.
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            rows: BTreeMap::new(),
            reports: BTreeMap::new(),
            last_repaired: None,
        }
    }

    /// Publishes a row of this entry, which replaces any other on the subject.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be encoded or is too large.
    pub fn publish<T>(
        &mut self,
        now: Timestamp,
        subject: Subject,
        value: &T,
    ) -> Result<(), GossipError>
    where
        T: Serialize,
    {
        let value = encode(value)?;
        let earlier = self.rows.get(&subject).filter(|r| r.origin == self.own);
        let row = StoredRow {
            origin: self.own,
            version: earlier.map_or(0, |r| r.version) + 1,
            published_at: now,
            value,
        };
        self.insert_row(subject, row);
        Ok(())
    }

    /// Returns the row on a subject if it was published within [`ROW_LIFETIME`] and has the
    /// form of a `T`.
    pub fn latest<T>(&self, now: Timestamp, subject: &Subject) -> Option<Aged<T>>
    where
        T: DeserializeOwned,
    {
        let row = self.rows.get(subject)?;
        let age = now.since(row.published_at);
        let value = serde_json::from_str(row.value.get()).ok()?;
        (age < ROW_LIFETIME).then_some(Aged { value, age })
    }

    /// Returns all rows of a topic that were published within [`ROW_LIFETIME`], by name.
    pub fn all<T>(&self, now: Timestamp, topic: Topic) -> BTreeMap<Name, Aged<T>>
    where
        T: DeserializeOwned,
    {
        let subjects = self.rows.keys().filter(|s| s.topic == topic);
        let rows = subjects.filter_map(|s| Some((s.name.clone(), self.latest(now, s)?)));
        rows.collect()
    }

    /// Records the report of this entry, and returns the message for the aggregating entry.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be encoded or is too large.
    pub fn report<T>(
        &mut self,
        now: Timestamp,
        subject: Subject,
        value: &T,
    ) -> Result<Message, GossipError>
    where
        T: Serialize,
    {
        let value = encode(value)?;
        self.insert_report(now, subject.clone(), self.own, value.clone());
        Ok(Message::Report {
            subject,
            entry: self.own.0,
            value,
        })
    }

    /// Returns the last report of each entry on a subject within [`REPORT_LIFETIME`].
    pub fn reports<T>(&self, now: Timestamp, subject: &Subject) -> Vec<(Incarnation, Aged<T>)>
    where
        T: DeserializeOwned,
    {
        let reports = self.reports.get(subject).into_iter().flatten();
        let fresh = reports.filter_map(|(entry, report)| {
            let age = now.since(report.reported_at);
            let value = serde_json::from_str(report.value.get()).ok()?;
            (age < REPORT_LIFETIME).then_some((*entry, Aged { value, age }))
        });
        fresh.collect()
    }

    /// Merges a message of another entry. Returns the subjects whose rows are new to this
    /// entry and are to be forwarded.
    pub fn receive(&mut self, now: Timestamp, message: Message) -> Vec<Subject> {
        match message {
            Message::Rows(rows) => {
                let news = rows.into_iter().filter_map(|row| self.merge_row(now, row));
                news.collect()
            }
            Message::Report {
                subject,
                entry,
                value,
            } => {
                if value.get().len() <= MAX_VALUE_BYTES {
                    self.insert_report(now, subject, Incarnation(entry), value);
                }
                Vec::new()
            }
        }
    }

    /// Returns the message with the rows on some subjects; `None` if there are none.
    pub fn rows_message<'a, S>(&self, now: Timestamp, subjects: S) -> Option<Message>
    where
        S: IntoIterator<Item = &'a Subject>,
    {
        let rows = subjects.into_iter().filter_map(|s| self.row(now, s));
        let rows: Vec<Row> = rows.take(MAX_ROWS_PER_MESSAGE).collect();
        (!rows.is_empty()).then_some(Message::Rows(rows))
    }

    /// Returns the next part of the rows, for an entry that may have missed some; `None` if
    /// there are none.
    pub fn repair_message(&mut self, now: Timestamp) -> Option<Message> {
        let last = self.last_repaired.take();
        let is_after = |subject: &&Subject| last.as_ref().is_none_or(|last| *subject > last);
        let following = self.rows.keys().filter(is_after);
        let first = self.rows.keys().filter(|s| !is_after(s));
        let subjects: Vec<Subject> = following
            .chain(first)
            .take(MAX_ROWS_PER_MESSAGE)
            .cloned()
            .collect();
        self.last_repaired = subjects.last().cloned();
        self.rows_message(now, &subjects)
    }

    /// Drops what has expired. Must be called from time to time.
    pub fn expire(&mut self, now: Timestamp) {
        self.rows
            .retain(|_, row| now.since(row.published_at) < ROW_LIFETIME);
        for reports in self.reports.values_mut() {
            reports.retain(|_, report| now.since(report.reported_at) < REPORT_LIFETIME);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
    }

    fn row(&self, now: Timestamp, subject: &Subject) -> Option<Row> {
        let row = self.rows.get(subject)?;
        let age = now.since(row.published_at);
        (age < ROW_LIFETIME).then(|| Row {
            subject: subject.clone(),
            origin: row.origin.0,
            version: row.version,
            age,
            value: row.value.clone(),
        })
    }

    fn merge_row(&mut self, now: Timestamp, row: Row) -> Option<Subject> {
        if row.age >= ROW_LIFETIME || row.value.get().len() > MAX_VALUE_BYTES {
            return None;
        }
        let received = StoredRow {
            origin: Incarnation(row.origin),
            version: row.version,
            published_at: now.before(row.age),
            value: row.value,
        };
        let is_new = self.rows.get(&row.subject).is_none_or(|stored| {
            match stored.origin == received.origin {
                true => received.version > stored.version,
                false => received.published_at > stored.published_at,
            }
        });
        if !is_new || received.origin == self.own {
            return None;
        }
        self.insert_row(row.subject.clone(), received)
            .then_some(row.subject)
    }

    /// Stores a row, unless there are too many subjects. Returns whether it was stored.
    fn insert_row(&mut self, subject: Subject, row: StoredRow) -> bool {
        if self.rows.len() >= MAX_SUBJECTS && !self.rows.contains_key(&subject) {
            return false;
        }
        self.rows.insert(subject, row);
        true
    }

    fn insert_report(
        &mut self,
        now: Timestamp,
        subject: Subject,
        entry: Incarnation,
        value: Box<RawValue>,
    ) {
        if self.reports.len() >= MAX_SUBJECTS && !self.reports.contains_key(&subject) {
            return;
        }
        let reports = self.reports.entry(subject).or_default();
        if reports.len() < MAX_REPORTERS || reports.contains_key(&entry) {
            let report = StoredReport {
                reported_at: now,
                value,
            };
            reports.insert(entry, report);
        }
    }
}

fn encode<T>(value: &T) -> Result<Box<RawValue>, GossipError>
where
    T: Serialize,
{
    let value = serde_json::value::to_raw_value(value)?;
    match value.get().len() {
        length if length > MAX_VALUE_BYTES => Err(GossipError::TooLarge(length)),
        _ => Ok(value),
    }
}
