//! Stores the record of what organisations have spent in the object store.
//!
//! No request waits for the record. An entry that can't read it restores
//! nothing; `Quota` then assumes that the quotas are spent, unless it learns
//! the spending from other entries. An entry that can't write it retries.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::active_settings::ActiveSettings;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::ids::Incarnation;
use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::object_store::Version;
use crate::quota::Quota;
use crate::quota::QuotaRecord;
use crate::quota::RECORD_INTERVAL;

/// The name of the stored object that holds the record.
const RECORD_OBJECT: &str = "spending";

/// The delay between two attempts to read the record at the start.
const READ_RETRY: Duration = Duration::from_millis(100);

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
        let mut version = self.restore().await;
        let mut failures = 0_u32;
        loop {
            actix_rt::time::sleep(RECORD_INTERVAL).await;
            let Some(record) = self.record_to_write() else {
                continue;
            };
            match self.write(record, version.take()).await {
                Ok(written) => {
                    version = Some(written);
                    failures = 0;
                }
                // Another entry has written the record, or a reply was lost.
                // The current version is read before the next write.
                Err(e) => {
                    if failures == 0 {
                        warn!(self.log, "could not write the spending record"; "error" => %e);
                    }
                    failures = failures.saturating_add(1);
                }
            }
        }
    }

    /// Restores the quotas from the stored record and returns its version. Retries
    /// until the store answers or the record would have expired.
    async fn restore(&self) -> Option<Version> {
        let object = loop {
            match self.store.get(Name::new(RECORD_OBJECT)).await {
                Ok(object) => break object?,
                // Timestamps count from the start of the entry's clock: a whole window has
                // passed, so all recorded spending has left the quota window by now.
                Err(_) if self.clock.now() >= Timestamp::new(self.window()) => return None,
                Err(_) => actix_rt::time::sleep(READ_RETRY).await,
            }
        };
        match serde_json::from_slice::<QuotaRecord>(&object.value) {
            Ok(record) => {
                let (now, window) = (self.clock.now(), self.window());
                // Whether the record is recent enough to be used.
                let recent = self
                    .quota
                    .borrow_mut()
                    .restore(now, window, unix_millis(), record);
                info!(self.log, "spending record read"; "recent" => recent);
            }
            Err(e) => warn!(self.log, "could not decode the spending record"; "error" => %e),
        }
        Some(object.version)
    }

    /// Returns the encoded record if this entry is responsible for writing it and
    /// the record is not empty.
    fn record_to_write(&self) -> Option<Bytes> {
        let now = self.clock.now();
        let mut quota = self.quota.borrow_mut();
        if !quota.is_record_writer(now, self.incarnation) {
            return None;
        }
        let record = quota.make_record(now, self.window(), unix_millis())?;
        match serde_json::to_vec(&record) {
            Ok(value) => Some(Bytes::from(value)),
            Err(e) => {
                warn!(self.log, "could not encode the spending record"; "error" => %e);
                None
            }
        }
    }

    /// Writes the record over `version`, or over the current version if `None`.
    async fn write(&self, record: Bytes, version: Option<Version>) -> Result<Version, StoreError> {
        let name = Name::new(RECORD_OBJECT);
        let version = match version {
            Some(version) => Some(version),
            None => self.store.get(name.clone()).await?.map(|o| o.version),
        };
        let expected = version.map_or(Expected::Absent, Expected::Version);
        self.store.put(name, record, expected).await
    }

    fn window(&self) -> Duration {
        self.active_settings.settings().limits.quota_window
    }
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |e| u64::try_from(e.as_millis()).unwrap_or(u64::MAX))
}
