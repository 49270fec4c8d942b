//! What all attempts of the same request have in common.

use std::fmt;

/// Names the use of the hash, so that no other use of it gives the same values.
const CONTEXT: &str = "lentillift 2026-12 request fingerprint";

/// Bytes of a fingerprint that are written into logs.
const SHOWN: usize = 8;

/// A request's content, without what differs between its attempts.
///
/// Headers are left out: the attempt's id, the time that is left and what a caller's client adds differ
/// from attempt to attempt.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// The fingerprint of a request for `path`, with its query, at the host `authority`.
    pub fn of(method: &str, authority: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        for field in [method.as_bytes(), authority.as_bytes(), path.as_bytes()] {
            // The length first: no two lists of fields give the same bytes.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        hasher.update(body);
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = self.0.iter().take(SHOWN);
        { shown }.try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
