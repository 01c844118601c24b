//! Identifiers that stay unique when processes restart or wake from a pause.

use std::fmt;

use rand::Rng;
use rand::RngExt;

/// One life of a process. Drawn at random at every start, so that messages
/// meant for an earlier life are recognised and refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Draws a new incarnation.
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

/// Names one accepted request over the life of the fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId {
    /// The life of the entry that accepted the request.
    pub incarnation: Incarnation,
    /// Counts the requests of that life, from 1.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}

/// Names one grant within the incarnation of the agent that gave it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GrantId(pub u64);

/// Names one connection to an agent within the life of an entry.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LinkId(pub u64);
