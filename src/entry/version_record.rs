//! Stores the software versions that streams can have begun at, for entries that start
//! after all that knew of them have ended.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::clock::Clock;
use crate::directory::Directory;
use crate::entry::stored_record::StoredRecord;
use crate::entry::streams::Streams;
use crate::ids::Incarnation;
use crate::object_store::ObjectStore;
use crate::object_store::Timeline;
use crate::quota::Quota;
use crate::stream_origins::VersionHistory;
use crate::units::millis;
use crate::units::since_epoch;

/// The name of the stored object that holds the record.
const RECORD_OBJECT: &str = "versions";

/// The time after which this entry looks again whether it is responsible for the record, or
/// writes it again after a failure.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The versions of services as of the time of writing.
#[derive(Default, Deserialize, Serialize)]
struct VersionRecord {
    /// When it was written, in milliseconds since the Unix epoch.
    written_millis: u64,
    /// The timeline of the store in which the versions were last complete; `None` if the store
    /// names none. An older copy names an earlier one.
    #[serde(default)]
    complete_in: Option<u64>,
    /// The number of shards of the archive of streams; 0 in records of before.
    #[serde(default)]
    archive_shards: u32,
    /// The versions. Their ages are those at the time of writing.
    history: VersionHistory,
}

/// What the stored record says.
#[derive(Clone, Debug, Default)]
struct Stored {
    history: VersionHistory,
    complete_in: Option<Timeline>,
    archive_shards: u32,
}

impl Stored {
    /// Returns whether a record need not be written over another one.
    fn is_same(&self, other: &Self) -> bool {
        let is_empty = |stored: &Self| stored.history.services.is_empty();
        if is_empty(self) && is_empty(other) {
            return true;
        }
        self.complete_in == other.complete_in
            && self.archive_shards == other.archive_shards
            && self.history.has_same_versions(&other.history)
    }
}

/// Reads the record at the start, and writes it after changes while this entry is
/// responsible for it.
pub struct VersionRecorder {
    /// The object store.
    pub store: Rc<dyn ObjectStore>,
    /// The versions that this entry has seen.
    pub streams: Rc<Streams>,
    /// The known upstreams, with whose changes versions come and go.
    pub directory: Rc<Directory>,
    /// The quotas, which know the entry that is responsible for records.
    pub quota: Rc<RefCell<Quota>>,
    /// The current incarnation of the entry.
    pub incarnation: Incarnation,
    /// The clock of the entry.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

impl VersionRecorder {
    /// Restores the record and then writes it after changes, until the task is aborted.
    pub async fn run(self) {
        let mut record = StoredRecord::new(Rc::clone(&self.store), RECORD_OBJECT);
        let value = record.read(|| true).await;
        let mut timelines = self.store.timelines();
        let current = *timelines.borrow_and_update();
        let mut stored = self.restore(value.as_deref(), current);
        let mut changes = self.directory.subscribe();
        let mut has_failed = false;
        loop {
            tokio::select! {
                changed = changes.changed(), if !has_failed => {
                    if changed.is_err() {
                        return;
                    }
                    // `Streams` observes the change first.
                    tokio::task::yield_now().await;
                }
                () = actix_rt::time::sleep(CHECK_INTERVAL) => {}
            }
            if timelines.has_changed().unwrap_or_default() {
                // A store that was restored from an older copy may have lost the record.
                stored = Stored::default();
                self.streams.store_restored();
            }
            let current = *timelines.borrow_and_update();
            let new = Stored {
                history: self.streams.history(),
                complete_in: self.streams.complete_in(current),
                archive_shards: self.streams.archive_shards(),
            };
            if new.is_same(&stored) || !self.is_writer() {
                continue;
            }
            let written = match self.encode(&new) {
                Some(value) => record.write(value).await,
                None => continue,
            };
            match written {
                Ok(()) => {
                    stored = new;
                    has_failed = false;
                }
                Err(e) => {
                    if !std::mem::replace(&mut has_failed, true) {
                        warn!(self.log, "could not write the record of versions"; "error" => %e);
                    }
                }
            }
        }
    }

    fn is_writer(&self) -> bool {
        let quota = self.quota.borrow();
        quota.is_record_writer(self.clock.now(), self.incarnation)
    }

    /// Restores the stored record from a store in the timeline `current`. One that can't be
    /// read counts as one without versions that was never complete.
    fn restore(&self, value: Option<&[u8]>, current: Option<Timeline>) -> Stored {
        let Some(value) = value else {
            info!(self.log, "no record of versions found");
            self.streams.begin_history();
            return Stored::default();
        };
        let record = serde_json::from_slice(value).unwrap_or_else(|e| {
            warn!(self.log, "could not decode the record of versions"; "error" => %e);
            VersionRecord::default()
        });
        info!(self.log, "record of versions read";
            "services" => record.history.services.len(),
            "complete_in" => record.complete_in,
            "current" => current.map(|t| t.0));
        let now = millis(since_epoch());
        let age = Duration::from_millis(now.saturating_sub(record.written_millis));
        self.streams.restore_archive_shards(record.archive_shards);
        let complete_in = record.complete_in.map(Timeline);
        self.streams
            .restore_history(&record.history, age, complete_in, current);
        Stored {
            history: record.history,
            complete_in,
            archive_shards: record.archive_shards,
        }
    }

    fn encode(&self, new: &Stored) -> Option<Bytes> {
        let record = VersionRecord {
            written_millis: millis(since_epoch()),
            complete_in: new.complete_in.map(|t| t.0),
            archive_shards: new.archive_shards,
            history: new.history.clone(),
        };
        match serde_json::to_vec(&record) {
            Ok(value) => Some(Bytes::from(value)),
            Err(e) => {
                warn!(self.log, "could not encode the record of versions"; "error" => %e);
                None
            }
        }
    }
}
