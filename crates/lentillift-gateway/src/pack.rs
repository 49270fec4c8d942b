//! Compression of published state between hosts.
//!
//! Configurations of hundreds of kilobytes go to every host, over links of a few megabytes a second
//! that searches share. Uncompressed, one configuration occupies such a link for a second at each
//! host that forwards it, and searches of these hosts queue behind it. Published text repeats the
//! same field names and compresses to a tenth of its size.

use crate::frame::MAX_MESSAGE_BYTES;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use std::io::Read;
use std::io::Write;

/// Content smaller than this is not compressed: it fits into one or two network packets.
const MIN_PACKED_BYTES: usize = 2048;

/// Content in the form in which it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Packed {
    /// Uncompressed.
    Plain(Vec<u8>),
    /// Compressed with DEFLATE.
    Deflated(Vec<u8>),
}

impl Packed {
    /// Compresses `content` unless it is small or compression does not shrink it.
    pub fn pack(content: Vec<u8>) -> Self {
        if content.len() < MIN_PACKED_BYTES {
            return Self::Plain(content);
        }
        match deflate(&content) {
            Ok(deflated) if deflated.len() < content.len() => Self::Deflated(deflated),
            // Writing to memory does not fail, so an error is not expected here.
            Ok(_) | Err(_) => Self::Plain(content),
        }
    }

    /// Decompresses content received from `peer`.
    ///
    /// # Errors
    ///
    /// When it is malformed, or exceeds the size limit of a message once decompressed.
    pub fn unpack(self, peer: &str) -> Result<Vec<u8>> {
        let deflated = match self {
            Self::Plain(content) => return Ok(content),
            Self::Deflated(deflated) => deflated,
        };
        let mut content = Vec::new();
        // Reads one byte past the limit to detect content that exceeds it.
        let limit = MAX_MESSAGE_BYTES as u64 + 1;
        let mut decoder = DeflateDecoder::new(deflated.as_slice()).take(limit);
        let read = decoder.read_to_end(&mut content);
        read.map_err(|e| Error::new(Step::Decode, peer, e))?;
        match content.len() {
            0..=MAX_MESSAGE_BYTES => Ok(content),
            _ => Err(Error::new(
                Step::Decode,
                peer,
                "decompressed content is too large",
            )),
        }
    }
}

fn deflate(content: &[u8]) -> std::io::Result<Vec<u8>> {
    // Higher levels take several times as long for a gain of a few percent.
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(content)?;
    encoder.finish()
}
