//! Claims of one shard and the operations on them.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use crate::name::Name;

/// Length of a digest, in bytes; enough that collisions are negligible.
const DIGEST_BYTES: usize = 16;

/// Seconds since the Unix epoch. Claims outlive processes, so they can't use
/// the monotonic clock of a process. All uses tolerate wall clocks that differ by
/// minutes.
pub type UnixSeconds = u64;

/// Truncated SHA-256 digest, in hexadecimal.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Digest(Name);

impl Digest {
    /// Returns the digest of several parts. The length of each part is hashed
    /// too, so that the same bytes split differently give another digest.
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let hex = digest[..DIGEST_BYTES].iter().map(|b| format!("{b:02x}"));
        Self(Name::new(&hex.collect::<String>()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Digest of an idempotency key together with its organisation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimKey(pub Digest);

impl ClaimKey {
    /// Returns the claim key of an organisation's idempotency key.
    pub fn new(organisation: &Name, key: &str) -> Self {
        Self(Digest::new(&[organisation.as_bytes(), key.as_bytes()]))
    }

    /// Returns the index of the key's shard, below `shard_count`.
    pub fn shard(&self, shard_count: u32) -> u32 {
        let prefix = self.0.0.get(..8).unwrap_or_default();
        let prefix = u32::from_str_radix(prefix, 16).unwrap_or_default();
        prefix % shard_count.max(1)
    }
}

/// Random number by which a claimant recognises its own claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ClaimNonce(pub u64);

/// Small answer that is stored so that a repeated request receives it again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SavedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<Name>,
    /// Body; absent if it was too large to store or is not text.
    pub body: Option<Name>,
}

/// State of the work of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The work may be running.
    Claimed,
    /// The work has run, with this answer.
    Done(SavedAnswer),
    /// The work may or may not have run.
    Unknown,
}

/// Claim on a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Identifies the claimant's attempt.
    pub nonce: ClaimNonce,
    /// Digest of the request. The same key with another request is an error.
    pub request: Digest,
    /// Time after which a claim in the state `Claimed` counts as unknown.
    pub runs_until: UnixSeconds,
    /// Time after which the claim is removed.
    pub kept_until: UnixSeconds,
    /// State of the work.
    pub state: ClaimState,
}

/// Operation on a shard.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Claims a key.
    Claim(ClaimKey, Claim),
    /// Records the final state of claimed work.
    Finish(ClaimKey, ClaimNonce, ClaimState),
    /// Removes a claim whose work was not dispatched.
    Release(ClaimKey, ClaimNonce),
}

/// Result of an operation on a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The claimant holds the key; the work may be dispatched.
    Granted,
    /// The key is claimed for another request.
    Mismatch,
    /// The work may be running.
    Running,
    /// The work has run, with this answer.
    Done(SavedAnswer),
    /// The work may or may not have run.
    Unknown,
    /// The operation was a `Finish` or a `Release`, not a claim.
    Recorded,
}

/// Claims of one shard, by key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl ClaimTable {
    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the shard has no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies an operation. Applying it again changes nothing and returns the
    /// same verdict, so that a write with an unknown outcome can be repeated.
    pub fn apply(&mut self, operation: &Operation, now: UnixSeconds) -> ClaimVerdict {
        match operation {
            Operation::Claim(key, claim) => self.claim(key, claim, now),
            Operation::Finish(key, nonce, state) => {
                if let Some(held) = self.claims.get_mut(key)
                    && held.nonce == *nonce
                    && held.state == ClaimState::Claimed
                {
                    held.state = state.clone();
                }
                ClaimVerdict::Recorded
            }
            Operation::Release(key, nonce) => {
                let own = self
                    .claims
                    .get(key)
                    .is_some_and(|held| held.nonce == *nonce && held.state == ClaimState::Claimed);
                if own {
                    self.claims.remove(key);
                }
                ClaimVerdict::Recorded
            }
        }
    }

    /// Removes the claims whose `kept_until` has passed.
    pub fn purge_expired(&mut self, now: UnixSeconds) {
        self.claims.retain(|_, claim| claim.kept_until > now);
    }

    fn claim(&mut self, key: &ClaimKey, claim: &Claim, now: UnixSeconds) -> ClaimVerdict {
        let Some(held) = self.claims.get(key).filter(|h| h.kept_until > now) else {
            self.claims.insert(key.clone(), claim.clone());
            return ClaimVerdict::Granted;
        };
        if held.request != claim.request {
            return ClaimVerdict::Mismatch;
        }
        match &held.state {
            ClaimState::Claimed if held.nonce == claim.nonce => ClaimVerdict::Granted,
            ClaimState::Claimed if held.runs_until > now => ClaimVerdict::Running,
            ClaimState::Claimed | ClaimState::Unknown => ClaimVerdict::Unknown,
            ClaimState::Done(answer) => ClaimVerdict::Done(answer.clone()),
        }
    }
}
