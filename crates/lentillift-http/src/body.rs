//! A body that is being received.
//!
//! Its parts come as slices of the connection's read buffer. Large ones are kept as they are; small
//! ones are copied, since each would otherwise cost more in bookkeeping, and in the buffer that it
//! keeps alive, than its data.

use bytes::Bytes;

/// Size from which a part is kept as it came, in bytes.
const LARGE_PART_BYTES: usize = 16 * 1024;

/// Size of a full block of copied parts, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// Capacity of a new block of copied parts, in bytes.
const MIN_BLOCK_BYTES: usize = 1024;

/// A body that is being received.
#[derive(Debug, Default)]
pub struct Body {
    parts: Vec<Bytes>,
    /// Copies of small parts after the last of `parts`.
    // INVARIANT: Its capacity is at most `BLOCK_BYTES`.
    block: Vec<u8>,
    /// Bytes of `parts`.
    complete: usize,
}

impl Body {
    /// Length of what came so far, in bytes.
    pub fn len(&self) -> usize {
        self.complete + self.block.len()
    }

    /// Whether nothing came so far.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory that it takes, in bytes.
    pub fn memory(&self) -> usize {
        self.complete + self.block.capacity()
    }

    /// Returns how much more memory it takes, at most, with another part of `length` bytes.
    pub fn growth(&self, length: usize) -> usize {
        if self.is_empty() || length >= LARGE_PART_BYTES {
            return length;
        }
        let first = self.first_small_part().map_or(0, Bytes::len);
        let capacity = self.block.capacity();
        let needed = self.block.len() + first + length;
        let blocks = match needed.checked_sub(BLOCK_BYTES) {
            Some(rest) => BLOCK_BYTES + block_capacity(rest),
            None => block_capacity(needed).max(capacity),
        };
        blocks.saturating_sub(capacity + first)
    }

    /// Appends a part.
    pub fn push(&mut self, part: Bytes) {
        if self.is_empty() {
            self.keep(part);
            return;
        }
        if let Some(first) = self.first_small_part().cloned() {
            self.parts.clear();
            self.complete = 0;
            self.copy(&first);
        }
        match part.len() >= LARGE_PART_BYTES {
            true => self.keep(part),
            false => self.copy(&part),
        }
    }

    /// Returns the complete body; without a copy if it has one part.
    pub fn finish(mut self) -> Bytes {
        self.close_block();
        match self.parts.len() {
            0 | 1 => self.parts.pop().unwrap_or_default(),
            _ => self.parts.concat().into(),
        }
    }

    /// The only part, if it is small: it is kept as it came until another one follows.
    fn first_small_part(&self) -> Option<&Bytes> {
        match self.parts.as_slice() {
            [part] if self.block.is_empty() && part.len() < LARGE_PART_BYTES => Some(part),
            _ => None,
        }
    }

    fn keep(&mut self, part: Bytes) {
        self.close_block();
        self.complete += part.len();
        self.parts.push(part);
    }

    fn copy(&mut self, mut part: &[u8]) {
        while !part.is_empty() {
            let fitting = part.len().min(BLOCK_BYTES - self.block.len());
            let (now, rest) = part.split_at(fitting);
            self.reserve(now.len());
            self.block.extend_from_slice(now);
            if self.block.len() == BLOCK_BYTES {
                self.close_block();
            }
            part = rest;
        }
    }

    /// Makes room for `more` bytes in the block, which doubles until it is full.
    fn reserve(&mut self, more: usize) {
        let needed = self.block.len() + more;
        if needed > self.block.capacity() {
            // INVARIANT: What is needed fits into a block, whose size is a power of two.
            let capacity = block_capacity(needed);
            self.block.reserve_exact(capacity - self.block.len());
        }
    }

    fn close_block(&mut self) {
        if !self.block.is_empty() {
            self.block.shrink_to_fit();
            self.complete += self.block.len();
            self.parts.push(std::mem::take(&mut self.block).into());
        }
    }
}

/// Capacity of a block that holds `length` bytes and was filled in small parts.
fn block_capacity(length: usize) -> usize {
    length.next_power_of_two().max(MIN_BLOCK_BYTES)
}
