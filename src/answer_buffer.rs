//! Bytes of answers that an entry holds for callers that read slowly.
//!
//! An upstream cuts off an answer that stays unread for some seconds, so the entry reads
//! on while the caller is slow. Each answer has a buffer of bounded size, and a total
//! bounds the buffers of all answers. An answer whose buffer is full is not read on, which
//! slows its upstream down.

use std::collections::VecDeque;

use bytes::Bytes;
use bytes::BytesMut;

#[cfg(test)]
mod tests;

/// The number of bytes that an answer may hold whatever others hold: what an upstream
/// sends at once. It is a part of the memory of a request.
pub const GUARANTEED_BYTES: u64 = 16 << 10;

/// The maximum number of bytes of one answer. Answers of models have at most some hundred
/// kilobytes.
pub const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// The size of a block that collects parts of at most this size, in bytes. Events have some
/// ten bytes, less than the memory that a part of its own needs, and a part keeps the whole
/// buffer in which it was read.
const BLOCK_BYTES: usize = 4 << 10;

/// Whether the next part of an answer can be held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// It can.
    Free,
    /// The answer has used up its own share.
    AnswerFull,
    /// The answers of the entry have used up the total.
    EntryFull,
}

/// The total of the buffers of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerTotal {
    /// The bytes that are held.
    held: u64,
    /// The maximum, which only the guaranteed bytes of answers can exceed.
    limit: u64,
}

impl AnswerTotal {
    /// Creates the total of an entry that holds nothing.
    pub fn new(limit: u64) -> Self {
        Self { held: 0, limit }
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Changes what one answer collects from `before` to `after` bytes. Returns whether it
    /// can; if not, nothing changes. Collected bytes get at most half of the total, so that
    /// upstreams that send parts without end leave room for slow callers.
    fn collect(&mut self, before: u64, after: u64) -> bool {
        let held = self.held - before + after;
        let has_room = after <= before || after <= GUARANTEED_BYTES || held <= self.limit / 2;
        if has_room {
            self.held = held;
        }
        has_room
    }
}

/// The bytes that an entry collects of one answer before it can pass them on: an incomplete
/// head, event or report, or the whole body.
///
/// Invariant: they are included in the total.
#[derive(Debug, Default)]
pub struct CollectedBytes(u64);

impl CollectedBytes {
    /// Sets the memory of what is collected. Returns whether it can be held; if not, the
    /// size stays.
    pub fn resize(&mut self, memory: u64, total: &mut AnswerTotal) -> bool {
        let has_room = total.collect(self.0, memory);
        if has_room {
            self.0 = memory;
        }
        has_room
    }
}

/// The body of an answer that is collected until its end, in blocks of equal size. A single
/// buffer is copied as it grows, which fragments the memory when many do.
#[derive(Debug, Default)]
pub struct CollectedBody {
    /// All but the last are full.
    blocks: Vec<BytesMut>,
    length: usize,
}

impl CollectedBody {
    /// Creates an empty body.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the memory of the body after `length` more bytes.
    pub fn memory_with(&self, length: usize) -> u64 {
        let blocks = (self.length + length).div_ceil(BLOCK_BYTES);
        (blocks * BLOCK_BYTES) as u64
    }

    /// Appends bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            if self.blocks.last().is_none_or(|b| b.len() == BLOCK_BYTES) {
                self.blocks.push(BytesMut::with_capacity(BLOCK_BYTES));
            }
            if let Some(block) = self.blocks.last_mut() {
                let room = BLOCK_BYTES - block.len();
                let (next, rest) = bytes.split_at(room.min(bytes.len()));
                block.extend_from_slice(next);
                bytes = rest;
            }
        }
    }

    /// Returns the blocks in order.
    pub fn into_blocks(self) -> impl Iterator<Item = Bytes> {
        self.blocks.into_iter().map(BytesMut::freeze)
    }
}

/// The part of one answer that its caller has not taken yet.
///
/// Invariant: `held` is the memory of `parts`, and is included in the total.
#[derive(Debug, Default)]
pub struct AnswerBuffer {
    parts: VecDeque<Part>,
    held: u64,
}

#[derive(Debug)]
enum Part {
    /// Bytes as they were read.
    Read(Bytes),
    /// Several parts, which can end in the next block; the block has a fixed capacity.
    Block(BytesMut),
}

impl Part {
    /// Returns the memory of the part in bytes.
    fn memory(&self) -> u64 {
        match self {
            Self::Read(bytes) => bytes.len() as u64,
            Self::Block(block) => block.capacity() as u64,
        }
    }
}

impl AnswerBuffer {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns whether `length` more bytes can be held. An empty buffer takes any part.
    pub fn room_for(&self, length: usize, total: &AnswerTotal) -> Room {
        let memory = self.memory_for(length);
        if self.is_empty() || memory == 0 || self.held + memory <= GUARANTEED_BYTES {
            Room::Free
        } else if self.held + memory > MAX_ANSWER_BYTES {
            Room::AnswerFull
        } else if total.held + memory > total.limit {
            Room::EntryFull
        } else {
            Room::Free
        }
    }

    /// Appends bytes, for which there must be room.
    pub fn push(&mut self, mut bytes: Bytes, total: &mut AnswerTotal) {
        if !self.is_collected(bytes.len()) {
            self.push_part(Part::Read(bytes), total);
            return;
        }
        if let Some(Part::Block(block)) = self.parts.back_mut() {
            let fitting = bytes.split_to(room_in(block).min(bytes.len()));
            block.extend_from_slice(&fitting);
        }
        if !bytes.is_empty() {
            let mut block = BytesMut::with_capacity(BLOCK_BYTES);
            block.extend_from_slice(&bytes);
            self.push_part(Part::Block(block), total);
        }
    }

    fn push_part(&mut self, part: Part, total: &mut AnswerTotal) {
        self.held += part.memory();
        total.held += part.memory();
        self.parts.push_back(part);
    }

    /// Returns the memory that `length` more bytes need.
    fn memory_for(&self, length: usize) -> u64 {
        match self.parts.back() {
            _ if !self.is_collected(length) => length as u64,
            Some(Part::Block(block)) if length <= room_in(block) => 0,
            Some(_) | None => BLOCK_BYTES as u64,
        }
    }

    /// Returns whether a part of `length` bytes is copied into blocks. The only part of a
    /// buffer is not: its caller will take it at once.
    fn is_collected(&self, length: usize) -> bool {
        length <= BLOCK_BYTES && !self.is_empty()
    }

    /// Takes the next bytes, which are not held any more.
    pub fn pop(&mut self, total: &mut AnswerTotal) -> Option<Bytes> {
        let part = self.parts.pop_front()?;
        self.held -= part.memory();
        total.held -= part.memory();
        Some(match part {
            Part::Read(bytes) => bytes,
            Part::Block(block) => block.freeze(),
        })
    }

    /// Discards all bytes.
    pub fn clear(&mut self, total: &mut AnswerTotal) {
        total.held -= self.held;
        *self = Self::new();
    }
}

/// Returns the number of bytes that fit in the rest of a block.
fn room_in(block: &BytesMut) -> usize {
    block.capacity() - block.len()
}
