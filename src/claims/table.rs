//! The claims of one shard, and what operations do to them.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use crate::name::Name;

/// Bytes of a digest that are kept; enough that no two keys meet.
const DIGEST_BYTES: usize = 16;

/// Seconds since the Unix epoch. Claims outlive processes, so they can't use
/// a process's own clock; all uses allow for clocks that differ by minutes.
pub type UnixSeconds = u64;

/// A digest as it stands in a shard.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Digest(Name);

impl Digest {
    /// The digest of several parts, each of which counts on its own.
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

/// A key of an organisation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimKey(pub Digest);

impl ClaimKey {
    /// The claim key of an organisation's idempotency key.
    pub fn new(organisation: &Name, key: &str) -> Self {
        Self(Digest::new(&[organisation.as_bytes(), key.as_bytes()]))
    }

    /// The shard of the key among `shards`.
    pub fn shard(&self, shards: u32) -> u32 {
        let head = self.0.0.get(..8).unwrap_or_default();
        let head = u32::from_str_radix(head, 16).unwrap_or_default();
        head % shards.max(1)
    }
}

/// Drawn at random for each claim; the claimant recognises its own by it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ClaimNonce(pub u64);

/// A small answer that is kept to be given again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SavedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The type of the body.
    pub content_type: Option<Name>,
    /// The body; absent if it was too large to keep or is not text.
    pub body: Option<Name>,
}

/// How far the work of a claim has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// It may be running.
    Claimed,
    /// It has run.
    Done(SavedAnswer),
    /// It may have run; nobody knows.
    Unknown,
}

/// A claim on a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Names the claimant's attempt.
    pub nonce: ClaimNonce,
    /// The digest of the request; the same key with another is an error.
    pub request: Digest,
    /// After this a claim that is not settled counts as unknown.
    pub runs_until: UnixSeconds,
    /// After this the claim is forgotten.
    pub kept_until: UnixSeconds,
    /// How far the work has come.
    pub state: ClaimState,
}

/// A change to a shard.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Claim a key.
    Claim(ClaimKey, Claim),
    /// Note how claimed work has ended.
    Settle(ClaimKey, ClaimNonce, ClaimState),
    /// Give up a claim of which the work was not dispatched.
    Release(ClaimKey, ClaimNonce),
}

/// What became of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The key is the claimant's; the work may be dispatched.
    Granted,
    /// The key was used for another request.
    Mismatch,
    /// The work may be running.
    Running,
    /// The work has run.
    Done(SavedAnswer),
    /// The work may have run.
    Unknown,
    /// The operation was not a claim.
    Recorded,
}

/// The claims of one shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl ClaimTable {
    /// The number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies an operation. Applying it again changes nothing and gives the
    /// same verdict, so that a write of unknown fate can be repeated.
    pub fn apply(&mut self, operation: &Operation, now: UnixSeconds) -> ClaimVerdict {
        match operation {
            Operation::Claim(key, claim) => self.claim(key, claim, now),
            Operation::Settle(key, nonce, state) => {
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

    /// Forgets claims that have been kept for long enough.
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
