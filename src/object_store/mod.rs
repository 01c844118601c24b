//! The part of the platform's object API that this project uses.
//!
//! The store holds named, versioned objects. A write is conditional on the version
//! that it replaces; a watch waits for a version other than a known one.

use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use thiserror::Error;
use tokio::sync::watch;

use crate::name::Name;

mod http;
mod memory;
mod restore_watch;
#[cfg(test)]
pub mod tests;

pub use http::HttpObjectStore;
pub use memory::MemoryObjectStore;
pub use memory::StoreCopy;
pub use restore_watch::RestoreWatch;

/// Maximum size of an object's value, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Opaque version of an object; versions can only be compared for equality.
pub type Version = Name;

/// Timeline of a store: its history since it was last restored from an older
/// copy. A store that is restored loses the latest writes and may give their
/// versions out again, so versions of different timelines can't be compared.
/// Each restore raises the number.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Timeline(pub u64);

/// Receiver of a store's timeline; `None` until the store has named one.
pub type TimelineReceiver = watch::Receiver<Option<Timeline>>;

/// Stored object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Version of the object.
    pub version: Version,
    /// Value of the object.
    pub value: Bytes,
}

/// Precondition of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Expected {
    /// No object of this name exists.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// Reason for which a call to the store failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The precondition of the write did not hold. Nothing was written.
    #[error("the object has changed")]
    Conflict,
    /// The store did not receive the call.
    #[error("the object store cannot be reached")]
    Unreachable,
    /// The store received the call and refused it. Nothing was written.
    #[error("the object store refused the call with status {0}")]
    Refused(u16),
    /// No complete reply was received, or the store reported an error that leaves
    /// the outcome open. A write may have taken effect.
    #[error("no conclusive reply from the object store; a write may have taken effect")]
    OutcomeUnknown,
    /// Two calls that only read were not answered in time.
    #[error("the object store did not answer two calls in time")]
    NoReply,
    /// The store was restored from an older copy during the call. A read is out of
    /// date; a write may be lost.
    #[error("the object store was restored from an older copy during the call")]
    Restored,
    /// The reply is longer than is read. A write may have taken effect.
    #[error("the reply of the object store is too long")]
    ReplyTooLarge,
    /// The value is larger than `MAX_OBJECT_BYTES`. Nothing was written.
    #[error("the value exceeds {MAX_OBJECT_BYTES} bytes")]
    TooLarge,
}

/// Client of the object API.
pub trait ObjectStore {
    /// Reads an object. Returns `None` if no object of this name exists.
    fn get(&self, name: Name) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>>;

    /// Writes an object if the precondition `expected` holds. Returns the new
    /// version.
    fn put(
        &self,
        name: Name,
        value: Bytes,
        expected: Expected,
    ) -> LocalBoxFuture<'_, Result<Version, StoreError>>;

    /// Waits until the object has a version other than `known`, for at most
    /// `wait`. Returns `None` if the version has not changed by then.
    fn watch(
        &self,
        name: Name,
        known: Option<Version>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>>;

    /// Returns a receiver of the store's timeline.
    fn timelines(&self) -> TimelineReceiver;
}
