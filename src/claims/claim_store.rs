//! Writes operations on claims to the object store, many in one write.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

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

/// Conflicts and lost replies after which a write is given up.
const MAX_TRIES: u32 = 8;

/// The time between two tries of operations that must not be lost.
const RETRY: Duration = Duration::from_secs(1);

/// Operations that wait to be tried again at most. One that is dropped leaves
/// a claim that counts as unknown later.
const MAX_REPEATED: usize = 10_000;

/// Why a claim could not be made. The work must not be dispatched.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ClaimError {
    /// The object store did not take the claim.
    #[error("claims cannot be written")]
    Unavailable,
    /// The shard has no room for another claim.
    #[error("the claims of this shard fill its object")]
    Full,
}

type Reply = oneshot::Sender<Result<ClaimVerdict, ClaimError>>;

/// Keeps claims in an object store.
pub struct ClaimStore {
    store: Rc<dyn ObjectStore>,
    shards: Cell<u32>,
    open: RefCell<HashMap<u32, Rc<Shard>>>,
}

#[derive(Default)]
struct Shard {
    pending: RefCell<Vec<Pending>>,
    known: RefCell<Option<Known>>,
    writing: Cell<bool>,
}

struct Pending {
    operation: Operation,
    reply: Option<Reply>,
}

#[derive(Clone)]
struct Known {
    version: Option<Version>,
    table: ClaimTable,
}

impl ClaimStore {
    /// A keeper over `store` with one shard.
    pub fn new(store: Rc<dyn ObjectStore>) -> Self {
        Self {
            store,
            shards: Cell::new(1),
            open: RefCell::default(),
        }
    }

    /// Sets the number of shards, which all processes of a site have to share.
    pub fn set_shards(&self, shards: u32) {
        self.shards.set(shards);
    }

    /// Claims a key. After an error the claim may still be in the store; it
    /// is taken back when the store can be reached.
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

    /// Notes the end of claimed work, or gives a claim up, as soon as the
    /// store can be reached.
    pub fn submit(self: &Rc<Self>, key: &ClaimKey, operation: Operation) {
        self.enqueue(key, operation, None);
    }

    fn enqueue(self: &Rc<Self>, key: &ClaimKey, operation: Operation, reply: Option<Reply>) {
        let number = key.shard(self.shards.get());
        let shard = Rc::clone(self.open.borrow_mut().entry(number).or_default());
        let mut pending = shard.pending.borrow_mut();
        if reply.is_none() && pending.len() >= MAX_REPEATED {
            return;
        }
        pending.push(Pending { operation, reply });
        drop(pending);
        if !shard.writing.replace(true) {
            let this = Rc::clone(self);
            actix_rt::spawn(async move { this.write_all(number, &shard).await });
        }
    }

    /// Writes what is pending until nothing is.
    async fn write_all(&self, number: u32, shard: &Shard) {
        let name = Name::new(&format!("almondramp-claims-{number}"));
        loop {
            let batch = shard.pending.take();
            if batch.is_empty() {
                shard.writing.set(false);
                return;
            }
            let written = self.write(&name, shard, &batch).await;
            let failed = written.is_err();
            let repeated = conclude(batch, written);
            let idle = repeated.is_empty();
            shard.pending.borrow_mut().splice(0..0, repeated);
            if failed && !idle {
                actix_rt::time::sleep(RETRY).await;
            }
        }
    }

    /// Writes one batch. Operations can be applied again, so a write whose
    /// reply was lost is settled by reading the shard and starting over.
    async fn write(
        &self,
        name: &Name,
        shard: &Shard,
        batch: &[Pending],
    ) -> Result<Vec<ClaimVerdict>, ClaimError> {
        let mut fresh = false;
        for _ in 0..MAX_TRIES {
            let known = shard.known.take();
            let known = match known {
                Some(known) => known,
                None => {
                    fresh = true;
                    self.read(name).await?
                }
            };
            let now = unix_now();
            let mut table = known.table.clone();
            table.purge_expired(now);
            let verdicts: Vec<ClaimVerdict> = batch
                .iter()
                .map(|p| table.apply(&p.operation, now))
                .collect();
            // A verdict against a claim has to come from the store itself.
            let final_verdicts = verdicts
                .iter()
                .all(|v| matches!(v, ClaimVerdict::Granted | ClaimVerdict::Recorded));
            if !fresh && !final_verdicts {
                continue;
            }
            if table == known.table {
                if !fresh {
                    continue;
                }
                shard.known.replace(Some(known));
                return Ok(verdicts);
            }
            match self.put(name, &known, &table).await {
                Ok(version) => {
                    let version = Some(version);
                    shard.known.replace(Some(Known { version, table }));
                    return Ok(verdicts);
                }
                Err(StoreError::Conflict | StoreError::Unclear) => {}
                Err(StoreError::TooLarge) => return Err(ClaimError::Full),
                Err(StoreError::Unreachable | StoreError::Refused(_)) => {
                    return Err(ClaimError::Unavailable);
                }
            }
        }
        Err(ClaimError::Unavailable)
    }

    async fn read(&self, name: &Name) -> Result<Known, ClaimError> {
        let object = self.store.get(name.clone()).await;
        let object = object.map_err(|_| ClaimError::Unavailable)?;
        let Some(object) = object else {
            return Ok(Known {
                version: None,
                table: ClaimTable::default(),
            });
        };
        // A shard that can't be read must not be overwritten.
        let table = serde_json::from_slice(&object.value);
        Ok(Known {
            version: Some(object.version),
            table: table.map_err(|_| ClaimError::Unavailable)?,
        })
    }

    async fn put(
        &self,
        name: &Name,
        known: &Known,
        table: &ClaimTable,
    ) -> Result<Version, StoreError> {
        let value = serde_json::to_vec(table).map_err(|_| StoreError::TooLarge)?;
        let expected = match &known.version {
            Some(version) => Expected::Version(version.clone()),
            None => Expected::Absent,
        };
        self.store
            .put(name.clone(), Bytes::from(value), expected)
            .await
    }
}

/// Tells claimants what became of their claims and returns the operations
/// that have to be tried again.
fn conclude(batch: Vec<Pending>, written: Result<Vec<ClaimVerdict>, ClaimError>) -> Vec<Pending> {
    match written {
        Ok(verdicts) => {
            let told = batch.into_iter().zip(verdicts);
            told.filter_map(|(p, v)| tell(p, v)).collect()
        }
        Err(e) => {
            let mut repeated = Vec::new();
            for mut pending in batch {
                match pending.reply.take() {
                    Some(reply) => {
                        let _ = reply.send(Err(e));
                    }
                    None => repeated.push(pending),
                }
            }
            repeated
        }
    }
}

/// Tells a claimant what became of its claim. A claim whose claimant has gone
/// meanwhile is given up.
fn tell(pending: Pending, verdict: ClaimVerdict) -> Option<Pending> {
    let granted = verdict == ClaimVerdict::Granted;
    let told = pending.reply?.send(Ok(verdict)).is_ok();
    match pending.operation {
        Operation::Claim(key, claim) if granted && !told => Some(Pending {
            operation: Operation::Release(key, claim.nonce),
            reply: None,
        }),
        _ => None,
    }
}

/// The present time on the host's wall clock.
pub fn unix_now() -> UnixSeconds {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}
