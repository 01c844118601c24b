//! The platform's object API, as far as the product uses it.
//!
//! The store holds named objects with versions. A write names the version it
//! expects to replace; a watch waits for a version other than a known one.

use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use thiserror::Error;

use crate::name::Name;

mod http;
mod memory;
#[cfg(test)]
pub mod tests;

pub use http::HttpObjectStore;
pub use memory::MemoryObjectStore;

/// The largest value that the store holds, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// The version of an object, opaque but for equality.
pub type Version = Name;

/// An object as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: Bytes,
}

/// What a write expects to find.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Expected {
    /// No object of this name.
    Absent,
    /// An object of this version.
    Version(Version),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The object has another version than expected. Nothing was written.
    #[error("the object has changed")]
    Conflict,
    /// The store surely did not receive the call.
    #[error("the object store cannot be reached")]
    Unreachable,
    /// The store received the call and refused it. Nothing was written.
    #[error("the object store refused the call with status {0}")]
    Refused(u16),
    /// No whole reply came. A write may have taken effect.
    #[error("no reply came from the object store; a write may have taken effect")]
    Unclear,
    /// The value is larger than the store holds. Nothing was written.
    #[error("the value exceeds {MAX_OBJECT_BYTES} bytes")]
    TooLarge,
}

/// The object API.
pub trait ObjectStore {
    /// Reads an object; none if there is none of this name.
    fn get(&self, name: Name) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>>;

    /// Writes an object on the condition that the store holds what is
    /// expected, and returns its new version.
    fn put(
        &self,
        name: Name,
        value: Bytes,
        expected: Expected,
    ) -> LocalBoxFuture<'_, Result<Version, StoreError>>;

    /// Waits until the object has a version other than `known`, at most for
    /// `wait`. Returns none if it still has that version.
    fn watch(
        &self,
        name: Name,
        known: Option<Version>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>>;
}
