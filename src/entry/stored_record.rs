//! A record in the object store that one entry writes and all read when they start.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::object_store::Version;

/// The delay between two attempts to read the record at the start.
const READ_RETRY: Duration = Duration::from_millis(100);

/// A record, with the version that this entry last read or wrote.
pub struct StoredRecord {
    store: Rc<dyn ObjectStore>,
    name: Name,
    version: Option<Version>,
}

impl StoredRecord {
    /// Creates the record that is stored under `name`, without reading it.
    pub fn new(store: Rc<dyn ObjectStore>, name: &str) -> Self {
        Self {
            store,
            name: Name::new(name),
            version: None,
        }
    }

    /// Reads the record, again and again until the store answers or `is_needed` returns
    /// false. Returns `None` if there is none.
    pub async fn read<F>(&mut self, is_needed: F) -> Option<Bytes>
    where
        F: Fn() -> bool,
    {
        while is_needed() {
            match self.store.get(self.name.clone()).await {
                Ok(object) => {
                    let object = object?;
                    self.version = Some(object.version);
                    return Some(object.value);
                }
                Err(_) => actix_rt::time::sleep(READ_RETRY).await,
            }
        }
        None
    }

    /// Writes the record over the version that this entry knows, or over the current one
    /// if it knows none.
    ///
    /// # Errors
    ///
    /// Fails if another entry has written the record, or the store does not confirm the
    /// write. The next write reads the current version.
    pub async fn write(&mut self, value: Bytes) -> Result<(), StoreError> {
        let version = match self.version.take() {
            Some(version) => Some(version),
            None => self.store.get(self.name.clone()).await?.map(|o| o.version),
        };
        let expected = version.map_or(Expected::Absent, Expected::Version);
        let written = self.store.put(self.name.clone(), value, expected).await?;
        self.version = Some(written);
        Ok(())
    }
}
