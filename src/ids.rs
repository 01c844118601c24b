//! Identifiers that stay unique across restarts and pauses of processes.

use std::fmt;

use rand::Rng;
use rand::RngExt;

/// Identifies one run of a process. Drawn at random at every start, so that
/// messages for an earlier run are recognised and refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Draws a random incarnation.
    pub fn new<R>(rng: &mut R) -> Self
    where
        R: Rng,
    {
        Self(rng.random())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies an accepted request across all entries and their restarts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId {
    /// Incarnation of the entry that accepted the request.
    pub incarnation: Incarnation,
    /// Sequence number of the request within that incarnation, from 1.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}

/// Identifies a grant within the incarnation of the agent that issued it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GrantId(pub u64);

/// Identifies a connection to an agent within the incarnation of an entry.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LinkId(pub u64);

/// Returns the first bytes of a digest as an id. The digest has eight bytes at least.
pub fn id_of_digest(digest: &[u8]) -> u64 {
    let mut first = [0; size_of::<u64>()];
    first.copy_from_slice(&digest[..size_of::<u64>()]);
    u64::from_le_bytes(first)
}
