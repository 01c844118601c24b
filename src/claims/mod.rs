//! Claims on idempotency keys, kept in the platform's object store.
//!
//! A request with an `Idempotency-Key` is dispatched only after a claim on
//! its key has been written. Claims are sharded by key; each shard is one object.

mod claim_store;
mod table;
#[cfg(test)]
mod tests;

pub use claim_store::ClaimError;
pub use claim_store::ClaimStore;
pub use claim_store::unix_now;
pub use table::Claim;
pub use table::ClaimKey;
pub use table::ClaimNonce;
pub use table::ClaimState;
pub use table::ClaimTable;
pub use table::ClaimVerdict;
pub use table::Digest;
pub use table::Operation;
pub use table::SavedAnswer;
