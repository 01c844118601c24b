//! Which prompt prefixes an engine is believed to hold in its cache.
//!
//! A prompt is cut into chunks of equal size. The hash of a chunk covers all
//! chunks before it too, so equal hashes mean equal prefixes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hasher;

#[cfg(test)]
mod tests;

/// Bytes of one chunk of a prompt.
const CHUNK_BYTES: usize = 256;

/// The usual bytes of one token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens of one chunk.
pub const CHUNK_TOKENS: u64 = (CHUNK_BYTES / BYTES_PER_TOKEN) as u64;

/// The most chunks of one prompt that are hashed; the rest of a longer one
/// counts as never cached.
const MAX_CHUNKS: usize = 512;

/// The estimated tokens of a text of this many bytes.
pub fn estimate_tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// The chained hashes of the whole chunks of a prompt for `model`.
///
/// The hash is FNV-1a with 64 bits, so that processes of different builds
/// agree. A collision costs a wrong estimate, never a wrong answer.
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

/// Chunks that were used lately, the oldest forgotten first.
///
/// Invariants: `by_use` and `used` hold the same chunks; there are at most
/// `capacity` of them.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    uses: u64,
    used: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixIndex {
    /// An index of at most `capacity` chunks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            used: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// How many leading chunks of a prompt are known.
    pub fn matched(&self, hashes: &[u64]) -> usize {
        hashes
            .iter()
            .take_while(|hash| self.used.contains_key(hash))
            .count()
    }

    /// Notes the use of a prompt. Its first chunks count as used last, since
    /// later chunks are worth nothing without them.
    pub fn touch(&mut self, hashes: &[u64]) {
        for hash in hashes.iter().rev() {
            self.uses += 1;
            if let Some(before) = self.used.insert(*hash, self.uses) {
                self.by_use.remove(&before);
            }
            self.by_use.insert(self.uses, *hash);
        }
        while self.used.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.used.remove(&oldest);
        }
    }

    /// The number of chunks held.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether no chunk is held.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }
}
