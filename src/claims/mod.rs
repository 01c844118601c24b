//! Claims on idempotency keys, kept in the platform's object store.
//!
//! A request with an `Idempotency-Key` is dispatched only after a claim on
//! its key was written. Claims are sharded by key; a shard is one object.

mod book;
mod keeper;
#[cfg(test)]
mod tests;

pub use book::Answer;
pub use book::Book;
pub use book::Claim;
pub use book::ClaimKey;
pub use book::ClaimState;
pub use book::Digest;
pub use book::Nonce;
pub use book::Operation;
pub use book::Verdict;
pub use keeper::ClaimError;
pub use keeper::ClaimKeeper;
pub use keeper::unix_now;
