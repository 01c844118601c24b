//! The record of a roll-out, from which another entry takes it over.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use slog::Logger;
use slog::warn;
use thiserror::Error;

use crate::discovery::RolloutStore;
use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::StoreError;
use crate::object_store::Version;
use crate::rollout::RolloutRow;
use crate::rollout::RolloutState;
use crate::units::since_epoch;

#[cfg(test)]
mod tests;

/// Reason for which a record was not written.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The record can't be encoded.
    #[error("the record could not be encoded")]
    Encode(#[from] serde_json::Error),
    /// The store did not confirm the write.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Another entry has written the record. What it wrote is known from now on.
    #[error("another entry has written the record")]
    Replaced,
}

/// A row as it is stored.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredRow {
    /// When it was written, as the time since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    written: Duration,
    /// The row.
    pub row: RolloutRow,
}

impl StoredRow {
    /// Returns the row, with the time since its writing added to that since the order.
    pub fn aged_row(&self) -> RolloutRow {
        let mut row = self.row.clone();
        if row.state == RolloutState::InProgress {
            row.elapsed += since_epoch().saturating_sub(self.written);
        }
        row
    }
}

/// The record of the roll-out of one service.
pub struct RolloutRecord {
    store: Rc<dyn RolloutStore>,
    name: Name,
    /// What the store was last known to hold; `None` if nothing or something malformed.
    stored: Option<StoredRow>,
    /// The encoded form of `stored` as it was last read.
    value: Option<Bytes>,
    /// The version of the stored record; `None` if there is none.
    version: Option<Version>,
    /// Whether the record must be read before it is written: it was not read yet, or the
    /// outcome of the last write is open.
    is_read_due: bool,
    log: Logger,
}

impl RolloutRecord {
    /// Creates the record for `service`, without reading it.
    pub fn new(store: Rc<dyn RolloutStore>, service: &Name, log: Logger) -> Self {
        Self {
            store,
            name: Name::new(&format!("rollout-{service}")),
            stored: None,
            value: None,
            version: None,
            is_read_due: true,
            log,
        }
    }

    /// Returns what the store was last known to hold.
    pub fn stored(&self) -> Option<&StoredRow> {
        self.stored.as_ref()
    }

    /// Reads the record.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn read(&mut self) -> Result<(), StoreError> {
        self.is_read_due = true;
        let object = self.store.records().get(self.name.clone()).await?;
        self.version = object.as_ref().map(|o| o.version.clone());
        self.value = object.map(|o| o.value);
        self.stored = match self.value.as_deref().map(serde_json::from_slice) {
            Some(Ok(stored)) => Some(stored),
            Some(Err(e)) => {
                warn!(self.log, "could not decode the record of a roll-out";
                    "name" => %self.name,
                    "error" => %e);
                None
            }
            None => None,
        };
        self.is_read_due = false;
        Ok(())
    }

    /// Writes a row, on the condition that the record is as this entry knows it. A lost
    /// reply is resolved by reading back.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm the write, or if the record has another content
    /// than this entry knew, which is known from then on.
    pub async fn write(&mut self, row: &RolloutRow) -> Result<(), RecordError> {
        if self.is_read_due {
            let known = self.version.clone();
            self.read().await?;
            if self.version != known {
                return Err(RecordError::Replaced);
            }
        }
        let stored = StoredRow {
            written: since_epoch(),
            row: row.clone(),
        };
        let value = Bytes::from(serde_json::to_vec(&stored)?);
        let expected = self.version.clone();
        let expected = expected.map_or(Expected::Absent, Expected::Version);
        let store = Rc::clone(&self.store);
        let written = store
            .records()
            .put(self.name.clone(), value.clone(), expected);
        match written.await {
            Ok(version) => {
                self.version = Some(version);
                self.stored = Some(stored);
                Ok(())
            }
            Err(
                StoreError::Conflict
                | StoreError::NoReply
                | StoreError::OutcomeUnknown
                | StoreError::ReplyTooLarge
                | StoreError::Restored,
            ) => self.settle(&value).await,
            Err(e @ (StoreError::Unreachable | StoreError::Refused(_) | StoreError::TooLarge)) => {
                Err(e.into())
            }
        }
    }

    /// Reads back whether `written` was written.
    async fn settle(&mut self, written: &Bytes) -> Result<(), RecordError> {
        self.read().await?;
        match self.value.as_ref() == Some(written) {
            true => Ok(()),
            false => Err(RecordError::Replaced),
        }
    }
}
