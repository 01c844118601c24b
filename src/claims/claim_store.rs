//! Writes operations on claims to the object store, in batches per shard.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::oneshot;

use crate::claims::ClaimKey;
use crate::claims::ClaimTable;
use crate::claims::ClaimVerdict;
use crate::claims::Operation;
use crate::claims::table::UnixSeconds;
use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::object_store::Version;
use crate::units::since_epoch;

/// Maximum number of attempts to write one batch.
const MAX_WRITE_ATTEMPTS: u32 = 8;

/// Time between two attempts to write operations that must not be lost.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Number of pending operations of a shard at which further operations without a
/// waiting caller are dropped. The claim of a dropped operation counts as unknown
/// after `runs_until`.
const MAX_PENDING_OPERATIONS: usize = 10_000;

/// Reason for which a claim could not be made. The work must not be dispatched.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ClaimError {
    /// The object of the claim's shard could not be read or written.
    #[error("the object of this claim shard could not be read or written")]
    Unavailable,
    /// The object of the shard has no space for another claim.
    #[error("the object of this claim shard is full")]
    Full,
}

type Reply = oneshot::Sender<Result<ClaimVerdict, ClaimError>>;

/// Claims in an object store, sharded by key.
pub struct ClaimStore {
    store: Rc<dyn ObjectStore>,
    shard_count: Cell<u32>,
    shards: RefCell<HashMap<u32, Rc<Shard>>>,
}

#[derive(Default)]
struct Shard {
    pending: RefCell<Vec<Pending>>,
    cached: RefCell<Option<ShardState>>,
    writing: Cell<bool>,
}

struct Pending {
    operation: Operation,
    reply: Option<Reply>,
}

#[derive(Clone)]
struct ShardState {
    version: Option<Version>,
    table: ClaimTable,
}

impl ClaimStore {
    /// Creates a claim store on `store` with one shard.
    pub fn new(store: Rc<dyn ObjectStore>) -> Self {
        Self {
            store,
            shard_count: Cell::new(1),
            shards: RefCell::default(),
        }
    }

    /// Sets the number of shards, which must be the same in all processes of a
    /// site.
    pub fn set_shard_count(&self, shard_count: u32) {
        self.shard_count.set(shard_count);
    }

    /// Claims a key. After `ClaimError::Unavailable` the claim may still be in the
    /// store; it is released once the store can be reached.
    pub async fn claim(
        self: &Rc<Self>,
        key: ClaimKey,
        claim: super::Claim,
    ) -> Result<ClaimVerdict, ClaimError> {
        let release = Operation::Release(key.clone(), claim.nonce);
        let (reply, replied) = oneshot::channel();
        let operation = Operation::Claim(key.clone(), claim);
        self.enqueue(&key, operation, Some(reply));
        let verdict = replied.await.unwrap_or(Err(ClaimError::Unavailable));
        if verdict == Err(ClaimError::Unavailable) {
            self.enqueue(&key, release, None);
        }
        verdict
    }

    /// Queues the end of claimed work or the release of a claim, to be written as
    /// soon as the store can be reached.
    pub fn submit(self: &Rc<Self>, key: &ClaimKey, operation: Operation) {
        self.enqueue(key, operation, None);
    }

    fn enqueue(self: &Rc<Self>, key: &ClaimKey, operation: Operation, reply: Option<Reply>) {
        let number = key.shard(self.shard_count.get());
        let shard = Rc::clone(self.shards.borrow_mut().entry(number).or_default());
        let mut pending = shard.pending.borrow_mut();
        if reply.is_none() && pending.len() >= MAX_PENDING_OPERATIONS {
            return;
        }
        pending.push(Pending { operation, reply });
        drop(pending);
        if !shard.writing.replace(true) {
            let this = Rc::clone(self);
            actix_rt::spawn(async move { this.write_all(number, &shard).await });
        }
    }

    /// Writes the pending operations in batches until none is left.
    async fn write_all(&self, number: u32, shard: &Shard) {
        let name = Name::new(&format!("almondramp-claims-{number}"));
        loop {
            let batch = shard.pending.take();
            if batch.is_empty() {
                shard.writing.set(false);
                return;
            }
            let result = self.write(&name, shard, &batch).await;
            let failed = result.is_err();
            let retried = send_verdicts(batch, result);
            let no_retry = retried.is_empty();
            shard.pending.borrow_mut().splice(0..0, retried);
            if failed && !no_retry {
                actix_rt::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Writes one batch. Operations are idempotent, so after a write whose reply
    /// was lost, the shard is read and the batch is applied again.
    async fn write(
        &self,
        name: &Name,
        shard: &Shard,
        batch: &[Pending],
    ) -> Result<Vec<ClaimVerdict>, ClaimError> {
        let mut just_read = false;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let cached = shard.cached.take();
            let base = match cached {
                Some(state) => state,
                None => {
                    just_read = true;
                    self.read(name).await?
                }
            };
            let now = unix_now();
            let mut table = base.table.clone();
            table.purge_expired(now);
            let verdicts: Vec<ClaimVerdict> = batch
                .iter()
                .map(|p| table.apply(&p.operation, now))
                .collect();
            // The cached state may be out of date. A refused claim and a batch
            // without effect are therefore final only after a read of the store.
            let all_accepted = verdicts
                .iter()
                .all(|v| matches!(v, ClaimVerdict::Granted | ClaimVerdict::Recorded));
            if !just_read && !all_accepted {
                continue;
            }
            if table == base.table {
                if !just_read {
                    continue;
                }
                shard.cached.replace(Some(base));
                return Ok(verdicts);
            }
            match self.put(name, &base, &table).await {
                Ok(version) => {
                    let version = Some(version);
                    shard.cached.replace(Some(ShardState { version, table }));
                    return Ok(verdicts);
                }
                Err(
                    StoreError::Conflict
                    | StoreError::NoReply
                    | StoreError::OutcomeUnknown
                    | StoreError::ReplyTooLarge
                    | StoreError::Restored,
                ) => {}
                Err(StoreError::TooLarge) => return Err(ClaimError::Full),
                Err(StoreError::Unreachable | StoreError::Refused(_)) => {
                    return Err(ClaimError::Unavailable);
                }
            }
        }
        Err(ClaimError::Unavailable)
    }

    async fn read(&self, name: &Name) -> Result<ShardState, ClaimError> {
        let object = self.store.get(name.clone()).await;
        let object = object.map_err(|_| ClaimError::Unavailable)?;
        let Some(object) = object else {
            return Ok(ShardState {
                version: None,
                table: ClaimTable::default(),
            });
        };
        // A shard that can't be decoded must not be overwritten.
        let table = serde_json::from_slice(&object.value);
        Ok(ShardState {
            version: Some(object.version),
            table: table.map_err(|_| ClaimError::Unavailable)?,
        })
    }

    async fn put(
        &self,
        name: &Name,
        base: &ShardState,
        table: &ClaimTable,
    ) -> Result<Version, StoreError> {
        let value = serde_json::to_vec(table).map_err(|_| StoreError::TooLarge)?;
        let expected = match &base.version {
            Some(version) => Expected::Version(version.clone()),
            None => Expected::Absent,
        };
        self.store
            .put(name.clone(), Bytes::from(value), expected)
            .await
    }
}

/// Sends the verdicts of a batch to the waiting callers. Returns the operations
/// that must be written in a later batch.
fn send_verdicts(
    batch: Vec<Pending>,
    result: Result<Vec<ClaimVerdict>, ClaimError>,
) -> Vec<Pending> {
    match result {
        Ok(verdicts) => {
            let answered = batch.into_iter().zip(verdicts);
            answered.filter_map(|(p, v)| send_verdict(p, v)).collect()
        }
        Err(e) => {
            let mut retried = Vec::new();
            for mut pending in batch {
                match pending.reply.take() {
                    Some(reply) => {
                        let _ = reply.send(Err(e));
                    }
                    None => retried.push(pending),
                }
            }
            retried
        }
    }
}

/// Sends a verdict to the caller of an operation, if one waits. Returns the
/// release of a granted claim whose caller no longer waits.
fn send_verdict(pending: Pending, verdict: ClaimVerdict) -> Option<Pending> {
    let granted = verdict == ClaimVerdict::Granted;
    let delivered = pending.reply?.send(Ok(verdict)).is_ok();
    match pending.operation {
        Operation::Claim(key, claim) if granted && !delivered => Some(Pending {
            operation: Operation::Release(key, claim.nonce),
            reply: None,
        }),
        _ => None,
    }
}

/// Returns the time of the host's wall clock.
pub fn unix_now() -> UnixSeconds {
    since_epoch().as_secs()
}
