//! An object store inside the process, for tests and single-process use.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use tokio::sync::Notify;

use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::MAX_OBJECT_BYTES;
use crate::object_store::Object;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::object_store::Version;

/// Objects in memory. A version is never used twice.
#[derive(Default)]
pub struct MemoryObjectStore {
    objects: RefCell<BTreeMap<Name, Object>>,
    writes: RefCell<u64>,
    changed: Notify,
}

impl MemoryObjectStore {
    /// An empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// The present object of a name.
    pub fn read(&self, name: &str) -> Option<Object> {
        self.objects.borrow().get(name).cloned()
    }

    /// Writes at once, on the condition given.
    pub fn write(
        &self,
        name: Name,
        value: Bytes,
        expected: &Expected,
    ) -> Result<Version, StoreError> {
        if value.len() > MAX_OBJECT_BYTES {
            return Err(StoreError::TooLarge);
        }
        let held = self.read(&name).map(|o| o.version);
        let met = match expected {
            Expected::Absent => held.is_none(),
            Expected::Version(version) => held.as_ref() == Some(version),
        };
        if !met {
            return Err(StoreError::Conflict);
        }
        let version = self.next_version();
        let object = Object {
            version: version.clone(),
            value,
        };
        self.objects.borrow_mut().insert(name, object);
        self.changed.notify_waiters();
        Ok(version)
    }

    /// Waits for a version other than `known`, at most for `wait`.
    pub async fn changed(
        &self,
        name: &str,
        known: Option<&Version>,
        wait: Duration,
    ) -> Option<Object> {
        let changed = async {
            loop {
                let notified = self.changed.notified();
                let object = self.read(name);
                if object.as_ref().map(|o| &o.version) != known {
                    return object;
                }
                notified.await;
            }
        };
        actix_rt::time::timeout(wait, changed).await.ok().flatten()
    }

    fn next_version(&self) -> Version {
        let mut writes = self.writes.borrow_mut();
        *writes += 1;
        Version::new(&format!("v{writes}"))
    }
}

impl ObjectStore for MemoryObjectStore {
    fn get(&self, name: Name) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>> {
        async move { Ok(self.read(&name)) }.boxed_local()
    }

    fn put(
        &self,
        name: Name,
        value: Bytes,
        expected: Expected,
    ) -> LocalBoxFuture<'_, Result<Version, StoreError>> {
        async move { self.write(name, value, &expected) }.boxed_local()
    }

    fn watch(
        &self,
        name: Name,
        known: Option<Version>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>> {
        async move { Ok(self.changed(&name, known.as_ref(), wait).await) }.boxed_local()
    }
}
