//! Stores what has been found to crash upstreams, for entries that start after all that
//! knew of it have ended.

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
use crate::crash_suspects::SuspectReport;
use crate::entry::stored_record::StoredRecord;
use crate::entry::suspects::Suspects;
use crate::ids::Incarnation;
use crate::object_store::ObjectStore;
use crate::quota::Quota;
use crate::units::millis;
use crate::units::since_epoch;

/// The name of the stored object that holds the record.
const RECORD_OBJECT: &str = "quarantine";

/// The time after which a change is stored at the latest.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// What is refused since it crashes upstreams.
#[derive(Deserialize, Serialize)]
struct QuarantineRecord {
    /// When it was written, in milliseconds since the Unix epoch.
    written_millis: u64,
    /// The convicted suspects. Their ages are those at the time of writing.
    convicted: SuspectReport,
}

/// Reads the record at the start, and writes it after changes while this entry is
/// responsible for it.
pub struct QuarantineRecorder {
    /// The object store.
    pub store: Rc<dyn ObjectStore>,
    /// What has crashed upstreams.
    pub suspects: Rc<Suspects>,
    /// The quotas, which know the entry that is responsible for records.
    pub quota: Rc<RefCell<Quota>>,
    /// The current incarnation of the entry.
    pub incarnation: Incarnation,
    /// The clock of the entry.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

impl QuarantineRecorder {
    /// Restores the record and then writes it after changes, until the task is aborted.
    pub async fn run(self) {
        let mut record = StoredRecord::new(Rc::clone(&self.store), RECORD_OBJECT);
        if let Some(value) = record.read(|| true).await {
            self.restore(&value);
        }
        let mut timelines = self.store.timelines();
        timelines.mark_unchanged();
        let mut stored = self.suspects.convicted();
        let mut failures = 0_u32;
        loop {
            actix_rt::time::sleep(WRITE_INTERVAL).await;
            if timelines.has_changed().unwrap_or_default() {
                // A store that was restored from an older copy may have lost the record.
                timelines.mark_unchanged();
                stored = SuspectReport::default();
            }
            let convicted = self.suspects.convicted();
            if convicted.has_same_crashes(&stored) || !self.is_writer() {
                continue;
            }
            let Some(value) = self.encode(convicted.clone()) else {
                continue;
            };
            match record.write(value).await {
                Ok(()) => {
                    stored = convicted;
                    failures = 0;
                }
                Err(e) => {
                    if failures == 0 {
                        warn!(self.log, "could not write the quarantine record"; "error" => %e);
                    }
                    failures = failures.saturating_add(1);
                }
            }
        }
    }

    fn is_writer(&self) -> bool {
        let quota = self.quota.borrow();
        quota.is_record_writer(self.clock.now(), self.incarnation)
    }

    fn restore(&self, value: &[u8]) {
        match serde_json::from_slice::<QuarantineRecord>(value) {
            Ok(record) => {
                let now = millis(since_epoch());
                let age = Duration::from_millis(now.saturating_sub(record.written_millis));
                let convicted = record.convicted.older_by(age);
                info!(self.log, "quarantine record read"; "convicted" => convicted.len());
                self.suspects.restore(&convicted);
            }
            Err(e) => warn!(self.log, "could not decode the quarantine record"; "error" => %e),
        }
    }

    fn encode(&self, convicted: SuspectReport) -> Option<Bytes> {
        let record = QuarantineRecord {
            written_millis: millis(since_epoch()),
            convicted,
        };
        match serde_json::to_vec(&record) {
            Ok(value) => Some(Bytes::from(value)),
            Err(e) => {
                warn!(self.log, "could not encode the quarantine record"; "error" => %e);
                None
            }
        }
    }
}
