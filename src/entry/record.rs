//! Stores the record of what organisations have spent in the object store.
//!
//! No request waits for the record. An entry that can't read it restores
//! nothing; `Quota` then assumes that the quotas are spent, unless it learns
//! the spending from other entries. An entry that can't write it retries.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::active_settings::ActiveSettings;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::entry::stored_record::StoredRecord;
use crate::ids::Incarnation;
use crate::object_store::ObjectStore;
use crate::quota::Quota;
use crate::quota::QuotaRecord;
use crate::quota::RECORD_INTERVAL;
use crate::units::millis;
use crate::units::since_epoch;

/// The name of the stored object that holds the record.
const RECORD_OBJECT: &str = "spending";

/// Reads the spending record at the start, and writes it while this entry is
/// responsible for it.
pub struct SpendingRecorder {
    /// The object store.
    pub store: Rc<dyn ObjectStore>,
    /// The quotas to record and restore.
    pub quota: Rc<RefCell<Quota>>,
    /// The operators' settings.
    pub active_settings: Rc<ActiveSettings>,
    /// The current incarnation of the entry.
    pub incarnation: Incarnation,
    /// The clock of the entry.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

impl SpendingRecorder {
    /// Restores the record and then writes it at intervals, until the task is
    /// aborted.
    pub async fn run(self) {
        let mut stored = StoredRecord::new(Rc::clone(&self.store), RECORD_OBJECT);
        self.restore(&mut stored).await;
        let mut failures = 0_u32;
        loop {
            actix_rt::time::sleep(RECORD_INTERVAL).await;
            let Some(record) = self.record_to_write() else {
                continue;
            };
            match stored.write(record).await {
                Ok(()) => failures = 0,
                Err(e) => {
                    if failures == 0 {
                        warn!(self.log, "could not write the spending record"; "error" => %e);
                    }
                    failures = failures.saturating_add(1);
                }
            }
        }
    }

    /// Restores the quotas from the stored record, unless it has expired before the store
    /// answers.
    async fn restore(&self, stored: &mut StoredRecord) {
        // Timestamps count from the start of the entry's clock: after a whole window, all
        // recorded spending has left the quota window.
        let is_needed = || self.clock.now() < Timestamp::new(self.window());
        let Some(value) = stored.read(is_needed).await else {
            return;
        };
        match serde_json::from_slice::<QuotaRecord>(&value) {
            Ok(record) => {
                let (now, window) = (self.clock.now(), self.window());
                // Whether the record is recent enough to be used.
                let recent =
                    self.quota
                        .borrow_mut()
                        .restore(now, window, millis(since_epoch()), record);
                info!(self.log, "spending record read"; "recent" => recent);
            }
            Err(e) => warn!(self.log, "could not decode the spending record"; "error" => %e),
        }
    }

    /// Returns the encoded record if this entry is responsible for writing it and
    /// the record is not empty.
    fn record_to_write(&self) -> Option<Bytes> {
        let now = self.clock.now();
        let mut quota = self.quota.borrow_mut();
        if !quota.is_record_writer(now, self.incarnation) {
            return None;
        }
        let record = quota.make_record(now, self.window(), millis(since_epoch()))?;
        match serde_json::to_vec(&record) {
            Ok(value) => Some(Bytes::from(value)),
            Err(e) => {
                warn!(self.log, "could not encode the spending record"; "error" => %e);
                None
            }
        }
    }

    fn window(&self) -> Duration {
        self.active_settings.settings().limits.quota_window
    }
}
