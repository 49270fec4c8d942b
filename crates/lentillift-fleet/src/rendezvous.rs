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
    weight_after(hash(key), host)
}

/// Weight of `host` for a key of which only the hash is left.
///
/// To hash both names for each pair would take most of the time that a view of 4,600 backend servers
/// and 760 hosts takes to draw.
fn weight_after(key: u64, host: &str) -> u64 {
    XxHash64::oneshot(key, host.as_bytes())
}

fn hash(key: &str) -> u64 {
    XxHash64::oneshot(SEED, key.as_bytes())
}

/// The host with the highest weight for `key`.
pub fn choose<'a, I>(key: &str, hosts: I) -> Option<&'a id::Host>
where
    I: IntoIterator<Item = &'a id::Host>,
{
    let key = hash(key);
    hosts
        .into_iter()
        .max_by_key(|host| (weight_after(key, host), *host))
}
