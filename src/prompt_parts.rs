//! Parts of prompts that requests can share, such as system prompts and documents.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

#[cfg(test)]
mod tests;

/// The maximum number of parts that are kept of one prompt. Prompts of callers have a
/// few.
pub const MAX_PARTS: usize = 64;

/// The number of parts that are logged of one prompt.
const LOGGED_PARTS: usize = 4;

/// Identifies a part of a prompt at all entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The parts of a prompt as they are logged: the first few, and the number of all.
pub struct LoggedParts<'a>(pub &'a [PartId]);

impl fmt::Display for LoggedParts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for part in self.0.iter().take(LOGGED_PARTS) {
            write!(f, "{part} ")?;
        }
        write!(f, "({})", self.0.len())
    }
}

/// Returns the parts that other requests may share, of a prompt with these `parts` in
/// order. The last belongs to the request itself.
pub fn shared_parts<I>(parts: I) -> Vec<PartId>
where
    I: DoubleEndedIterator<Item = PartId>,
{
    parts
        .rev()
        .skip(1)
        .take(MAX_PARTS)
        .collect::<Vec<_>>()
        .into_iter()
        .rev()
        .collect()
}

/// Returns parts that stand for the prefix with these chained hashes of its chunks: those
/// of the chunks whose number is a power of two, so that a long prompt has few.
pub fn prefix_parts(hashes: &[u64]) -> Vec<PartId> {
    let chunks = hashes.iter().zip(1_usize..);
    let sampled = chunks.filter(|(_, number)| number.is_power_of_two());
    sampled.map(|(hash, _)| PartId(*hash)).collect()
}
