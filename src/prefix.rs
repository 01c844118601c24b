//! Index of the prompt prefixes expected to be in an engine's cache.
//!
//! A prompt is split into chunks of equal size. The hash of a chunk also covers
//! all chunks before it, so equal hashes mean equal prefixes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hasher;

#[cfg(test)]
mod tests;

/// The size of a chunk of a prompt, in bytes.
const CHUNK_BYTES: usize = 256;

/// The typical size of a token, in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// The estimated number of tokens in a chunk.
pub const CHUNK_TOKENS: u64 = (CHUNK_BYTES / BYTES_PER_TOKEN) as u64;

/// The maximum number of chunks of a prompt that are hashed. The rest of a longer
/// prompt counts as not cached.
const MAX_CHUNKS: usize = 512;

/// Returns the estimated number of tokens in a text of this many bytes.
pub fn estimate_tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the chained hashes of the complete chunks of a prompt for `model`.
///
/// The hash is 64-bit FNV-1a, so that processes of different builds agree. A
/// collision leads to a wrong estimate, never to a wrong answer.
pub fn chunk_hashes(model: &str, prompt: &[u8]) -> Vec<u64> {
    let mut hasher = Fnv::new();
    hasher.write(model.as_bytes());
    prompt
        .chunks_exact(CHUNK_BYTES)
        .take(MAX_CHUNKS)
        .map(|chunk| {
            hasher.write(chunk);
            hasher.finish()
        })
        .collect()
}

/// A 64-bit FNV-1a hasher.
struct Fnv(u64);

impl Fnv {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;

    fn new() -> Self {
        Self(Self::OFFSET)
    }
}

impl Hasher for Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for b in bytes {
            self.0 = (self.0 ^ u64::from(*b)).wrapping_mul(Self::PRIME);
        }
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// An index of recently used chunks that evicts the least recently used ones.
///
/// Invariants: `by_last_use` and `last_use` hold the same chunks; there are at most
/// `capacity` of them.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    /// The number of uses recorded so far.
    use_count: u64,
    /// The last use of each chunk, as a value of `use_count`.
    last_use: HashMap<u64, u64>,
    /// The chunks by their last use.
    by_last_use: BTreeMap<u64, u64>,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` chunks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            use_count: 0,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Returns the number of leading chunks of a prompt that are in the index.
    pub fn matching_chunks(&self, hashes: &[u64]) -> usize {
        hashes
            .iter()
            .take_while(|hash| self.last_use.contains_key(hash))
            .count()
    }

    /// Records the use of a prompt. Its first chunks count as the most recently
    /// used, since later chunks are useless without them.
    pub fn touch(&mut self, hashes: &[u64]) {
        for hash in hashes.iter().rev() {
            self.use_count += 1;
            if let Some(previous) = self.last_use.insert(*hash, self.use_count) {
                self.by_last_use.remove(&previous);
            }
            self.by_last_use.insert(self.use_count, *hash);
        }
        while self.last_use.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_use.remove(&oldest);
        }
    }

    /// Returns the number of chunks in the index.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }
}
