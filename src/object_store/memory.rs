//! In-memory object store, for tests and single-process use.

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

/// In-memory object store. No version is used twice.
#[derive(Default)]
pub struct MemoryObjectStore {
    objects: RefCell<BTreeMap<Name, Object>>,
    writes: RefCell<u64>,
    change_notify: Notify,
}

impl MemoryObjectStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current object named `name`.
    pub fn read(&self, name: &str) -> Option<Object> {
        self.objects.borrow().get(name).cloned()
    }

    /// Writes an object synchronously if the precondition `expected` holds.
    /// Returns the new version.
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
        let holds = match expected {
            Expected::Absent => held.is_none(),
            Expected::Version(version) => held.as_ref() == Some(version),
        };
        if !holds {
            return Err(StoreError::Conflict);
        }
        let version = self.next_version();
        let object = Object {
            version: version.clone(),
            value,
        };
        self.objects.borrow_mut().insert(name, object);
        self.change_notify.notify_waiters();
        Ok(version)
    }

    /// Waits until the object has a version other than `known`, for at most
    /// `wait`. Returns `None` if the version has not changed by then.
    pub async fn wait_for_change(
        &self,
        name: &str,
        known: Option<&Version>,
        wait: Duration,
    ) -> Option<Object> {
        let changed = async {
            loop {
                let notified = self.change_notify.notified();
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
        async move { Ok(self.wait_for_change(&name, known.as_ref(), wait).await) }.boxed_local()
    }
}
