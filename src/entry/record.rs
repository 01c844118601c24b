//! Keeps the record of what organisations have spent in the platform's store.
//!
//! Nothing on a request's way waits for it: an entry that can't read it
//! assumes the quotas spent, and one that can't write it tries again.

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

/// The object that holds the record.
const OBJECT: &str = "spending";

/// The time between two tries to read the record at a start.
const READ_RETRY: Duration = Duration::from_millis(100);

/// Reads the record at the start and writes it while this entry keeps it.
pub struct RecordKeeper {
    /// The platform's store.
    pub store: Rc<dyn ObjectStore>,
    /// What is recorded.
    pub quota: Rc<RefCell<Quota>>,
    /// The settings in force.
    pub active_settings: Rc<ActiveSettings>,
    /// The present life of the entry.
    pub incarnation: Incarnation,
    /// The clock of the entry.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

impl RecordKeeper {
    /// Runs until the task ends.
    pub async fn run(self) {
        let mut version = self.recall().await;
        let mut failures = 0_u32;
        loop {
            actix_rt::time::sleep(RECORD_INTERVAL).await;
            let Some(record) = self.due() else {
                continue;
            };
            match self.write(record, version.take()).await {
                Ok(written) => {
                    version = Some(written);
                    failures = 0;
                }
                // Another entry has written, or a reply was lost: the present
                // version is read before the next write.
                Err(e) => {
                    if failures == 0 {
                        warn!(self.log, "spending not recorded"; "error" => %e);
                    }
                    failures = failures.saturating_add(1);
                }
            }
        }
    }

    /// Takes in the record that is there at the start; gives its version.
    async fn recall(&self) -> Option<Version> {
        let object = loop {
            match self.store.get(Name::new(OBJECT)).await {
                Ok(object) => break object?,
                // What was recorded has left the window.
                Err(_) if self.clock.now() >= Timestamp::new(self.window()) => return None,
                Err(_) => actix_rt::time::sleep(READ_RETRY).await,
            }
        };
        match serde_json::from_slice::<QuotaRecord>(&object.value) {
            Ok(record) => {
                let (now, window) = (self.clock.now(), self.window());
                let recent = self
                    .quota
                    .borrow_mut()
                    .restore(now, window, unix_millis(), record);
                info!(self.log, "spending recalled"; "recent" => recent);
            }
            Err(e) => warn!(self.log, "record of spending not read"; "error" => %e),
        }
        Some(object.version)
    }

    /// The record, where this entry keeps it and there is anything in it.
    fn due(&self) -> Option<Bytes> {
        let now = self.clock.now();
        let mut quota = self.quota.borrow_mut();
        if !quota.is_record_writer(now, self.incarnation) {
            return None;
        }
        let record = quota.record(now, self.window(), unix_millis())?;
        match serde_json::to_vec(&record) {
            Ok(value) => Some(Bytes::from(value)),
            Err(e) => {
                warn!(self.log, "record of spending not written as JSON"; "error" => %e);
                None
            }
        }
    }

    async fn write(&self, record: Bytes, known: Option<Version>) -> Result<Version, StoreError> {
        let name = Name::new(OBJECT);
        let known = match known {
            Some(version) => Some(version),
            None => self.store.get(name.clone()).await?.map(|o| o.version),
        };
        let expected = known.map_or(Expected::Absent, Expected::Version);
        self.store.put(name, record, expected).await
    }

    fn window(&self) -> Duration {
        self.active_settings.settings().limits.quota_window
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}
