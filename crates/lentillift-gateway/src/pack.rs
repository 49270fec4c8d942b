//! Making what is published smaller on its way between hosts.
//!
//! Pattern: configurations of hundreds of kilobytes go to every host, over links of a few megabytes a second
//! that searches share. Sent as they are published, one takes such a link for a second at each host that
//! passes it on, and searches of these hosts wait behind it. Published text says the same field names again
//! and again and shrinks to a tenth.

use crate::frame::MAX_MESSAGE_BYTES;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use std::io::Read;
use std::io::Write;

/// Content below this many bytes is not packed: it fits into a packet or two.
const MIN_PACKED_BYTES: usize = 2048;

/// Content as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Packed {
    /// As it is.
    Plain(Vec<u8>),
    /// Deflated.
    Deflated(Vec<u8>),
}

impl Packed {
    /// Packs `content` if that makes it smaller.
    pub fn pack(content: Vec<u8>) -> Self {
        if content.len() < MIN_PACKED_BYTES {
            return Self::Plain(content);
        }
        match deflate(&content) {
            Ok(deflated) if deflated.len() < content.len() => Self::Deflated(deflated),
            // Writing to memory does not fail.
            Ok(_) | Err(_) => Self::Plain(content),
        }
    }

    /// What was packed; `peer` sent it.
    ///
    /// # Errors
    ///
    /// When it is malformed, or larger than anything that is published.
    pub fn unpack(self, peer: &str) -> Result<Vec<u8>> {
        let deflated = match self {
            Self::Plain(content) => return Ok(content),
            Self::Deflated(deflated) => deflated,
        };
        let mut content = Vec::new();
        // One byte more than any message has tells content that would go on.
        let most = MAX_MESSAGE_BYTES as u64 + 1;
        let mut decoder = DeflateDecoder::new(deflated.as_slice()).take(most);
        let read = decoder.read_to_end(&mut content);
        read.map_err(|e| Error::new(Step::Decode, peer, e))?;
        match content.len() {
            0..=MAX_MESSAGE_BYTES => Ok(content),
            _ => Err(Error::new(Step::Decode, peer, "too large when unpacked")),
        }
    }
}

fn deflate(content: &[u8]) -> std::io::Result<Vec<u8>> {
    // Better ones take several times as long for a few parts in a hundred.
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(content)?;
    encoder.finish()
}
