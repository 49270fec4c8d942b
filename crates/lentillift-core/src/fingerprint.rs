//! Hash of a request's content, equal for all attempts of the same request.

use std::fmt;

/// BLAKE3 key derivation context: keeps these hashes apart from those of any other use.
const CONTEXT: &str = "lentillift 2026-12 request fingerprint";

/// Bytes of a fingerprint that are shown in logs.
const DISPLAYED_BYTES: usize = 8;

/// Hash of a request's method, host, path with query, and body.
///
/// Headers are left out, because the attempt's id, the time left and headers added by the caller's
/// client differ from attempt to attempt.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Computes the fingerprint of a request for `path`, query string included, at the host
    /// `authority`.
    pub fn of(method: &str, authority: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        for field in [method.as_bytes(), authority.as_bytes(), path.as_bytes()] {
            // The length prefix keeps field boundaries: "ab", "c" and "a", "bc" hash differently.
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
        let shown = self.0.iter().take(DISPLAYED_BYTES);
        { shown }.try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
