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
#[derive(Deserialize, Serialize)]
struct VersionRecord {
    /// When it was written, in milliseconds since the Unix epoch.
    written_millis: u64,
    /// The versions. Their ages are those at the time of writing.
    history: VersionHistory,
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
        let mut stored = self.restore(value.as_deref()).unwrap_or_default();
        let mut timelines = self.store.timelines();
        timelines.mark_unchanged();
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
                timelines.mark_unchanged();
                stored = VersionHistory::default();
            }
            let history = self.streams.history();
            if history.has_same_versions(&stored) || !self.is_writer() {
                continue;
            }
            let written = match self.encode(history.clone()) {
                Some(value) => record.write(value).await,
                None => continue,
            };
            match written {
                Ok(()) => {
                    stored = history;
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

    /// Returns the versions of the stored record, if it can be read.
    fn restore(&self, value: Option<&[u8]>) -> Option<VersionHistory> {
        let decoded = value.map(serde_json::from_slice::<VersionRecord>);
        let record = decoded.and_then(|decoded| match decoded {
            Ok(record) => Some(record),
            Err(e) => {
                warn!(self.log, "could not decode the record of versions"; "error" => %e);
                None
            }
        });
        let restored = record.as_ref().map(|record| {
            let now = millis(since_epoch());
            let age = Duration::from_millis(now.saturating_sub(record.written_millis));
            (&record.history, age)
        });
        info!(self.log, "record of versions read";
            "services" => restored.map(|(history, _)| history.services.len()));
        self.streams.restore_history(restored);
        record.map(|record| record.history)
    }

    fn encode(&self, history: VersionHistory) -> Option<Bytes> {
        let record = VersionRecord {
            written_millis: millis(since_epoch()),
            history,
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
