//! Rendezvous hashing: which host a backend server falls to.
//!
//! Each process works this out alone. A change of one host among N moves about 1/N of the backend
//! servers, and none but those that the host gains or loses.

use lentillift_core::id;
use twox_hash::XxHash64;

/// Seed of the hash; all processes of a fleet must use the same.
const SEED: u64 = 0;

/// Weight of `host` for `key`; the host with the highest weight is chosen.
pub fn weight(key: &str, host: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + host.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(host.as_bytes());
    XxHash64::oneshot(SEED, &bytes)
}

/// The host with the highest weight for `key`.
pub fn choose<'a, I>(key: &str, hosts: I) -> Option<&'a id::Host>
where
    I: IntoIterator<Item = &'a id::Host>,
{
    hosts
        .into_iter()
        .max_by_key(|host| (weight(key, host), *host))
}
