//! Acquires a lease in an object store.

use bytes::Bytes;
use thiserror::Error;

use crate::clock::Timestamp;
use crate::lease::Lease;
use crate::lease::LeaseAction;
use crate::lease::LeaseRecord;
use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;

/// Reason for which a lease was not acquired.
#[derive(Debug, Error)]
pub enum LeaseError {
    /// The object store failed.
    #[error("the object store failed")]
    Store(#[from] StoreError),
    /// The record can't be decoded or encoded.
    #[error("the lease record is malformed")]
    Malformed(#[from] serde_json::Error),
    /// Another process holds the lease, or may still hold it.
    #[error("another process may hold the lease")]
    Held,
}

/// Reads the record of `lease` from the object `name` and writes it if the lease is
/// free. Times are taken from `now`.
pub async fn acquire<F, S>(
    lease: &mut Lease,
    store: &S,
    name: Name,
    now: F,
) -> Result<(), LeaseError>
where
    F: Fn() -> Timestamp,
    S: ObjectStore + ?Sized,
{
    let timelines = store.timelines();
    let object = store.get(name.clone()).await?;
    let timeline = timelines.borrow().unwrap_or_default();
    let record = match &object {
        Some(object) => Some(serde_json::from_slice::<LeaseRecord>(&object.value)?),
        None => None,
    };
    let version = object.map(|o| o.version);
    let started = now();
    let action = lease.observe(started, timeline, version.as_ref(), record.as_ref());
    let LeaseAction::Write(next) = action else {
        return Err(LeaseError::Held);
    };
    let expected = version.map_or(Expected::Absent, Expected::Version);
    let value = Bytes::from(serde_json::to_vec(&next)?);
    store.put(name, value, expected).await?;
    // The write may be lost if the store was restored during it.
    if timelines.borrow().unwrap_or_default() != timeline {
        return Err(StoreError::Restored.into());
    }
    lease.record_write(started, &next);
    Ok(())
}
