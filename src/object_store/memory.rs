//! In-memory object store, for tests and single-process use.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::MAX_OBJECT_BYTES;
use crate::object_store::Object;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::object_store::Timeline;
use crate::object_store::TimelineReceiver;
use crate::object_store::Version;

/// In-memory object store. Within a timeline no version is used twice.
pub struct MemoryObjectStore {
    objects: RefCell<BTreeMap<Name, Object>>,
    writes: RefCell<u64>,
    change_notify: Notify,
    timeline: watch::Sender<Option<Timeline>>,
}

/// Copy of the objects of a store, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    objects: BTreeMap<Name, Object>,
    writes: u64,
}

impl MemoryObjectStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            objects: RefCell::default(),
            writes: RefCell::default(),
            change_notify: Notify::new(),
            timeline: watch::Sender::new(Some(Timeline::default())),
        }
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

    /// Returns a copy of the objects as they are now.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            objects: self.objects.borrow().clone(),
            writes: *self.writes.borrow(),
        }
    }

    /// Replaces the objects by those of an older copy and starts a new timeline.
    /// The versions given out since the copy was made are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        self.objects.replace(copy.objects);
        self.writes.replace(copy.writes);
        self.timeline
            .send_modify(|t| *t = Some(Timeline(t.unwrap_or_default().0 + 1)));
        self.change_notify.notify_waiters();
    }

    fn next_version(&self) -> Version {
        let mut writes = self.writes.borrow_mut();
        *writes += 1;
        Version::new(&format!("v{writes}"))
    }
}

impl Default for MemoryObjectStore {
    fn default() -> Self {
        Self::new()
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

    fn timelines(&self) -> TimelineReceiver {
        self.timeline.subscribe()
    }
}
