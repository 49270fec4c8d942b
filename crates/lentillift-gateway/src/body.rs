//! A body that is being received.
//!
//! Its parts come as slices of the connection's read buffer. Large ones are kept as they are; small
//! ones are copied, since each would otherwise cost more in bookkeeping, and in the buffer that it
//! keeps alive, than its data.

use bytes::Bytes;
use bytes::BytesMut;

/// Size from which a part is kept as it came, in bytes.
const LARGE_PART_BYTES: usize = 16 * 1024;

/// Size at which copied parts are closed into a block, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// A body that is being received.
#[derive(Debug, Default)]
pub struct Body {
    parts: Vec<Bytes>,
    /// Small parts after the last of `parts`.
    small: BytesMut,
}

impl Body {
    /// Appends a part.
    pub fn push(&mut self, part: Bytes) {
        let is_first = self.parts.is_empty() && self.small.is_empty();
        if is_first || part.len() >= LARGE_PART_BYTES {
            self.close_block();
            self.parts.push(part);
            return;
        }
        self.small.extend_from_slice(&part);
        if self.small.len() >= BLOCK_BYTES {
            self.close_block();
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

    fn close_block(&mut self) {
        if !self.small.is_empty() {
            self.parts.push(std::mem::take(&mut self.small).freeze());
        }
    }
}
