//! Rendezvous hashing: assigns backend servers to hosts.
//!
//! Each process computes the assignment by itself. A change of one host among N moves about 1/N of
//! the backend servers: only those that the host gains or loses.

use lentillift_core::id;
use twox_hash::XxHash64;

/// Seed of the hash; all processes of a fleet must use the same.
const SEED: u64 = 0;

/// Weight of `host` for `key`; the host with the highest weight is chosen.
pub fn weight(key: &str, host: &str) -> u64 {
    Key::new(key).weight(host)
}

/// Hash input for the weights of several hosts under one key.
///
/// The buffer is reused: allocating one for each pair would take most of the time that it takes to
/// derive a view of 4,600 backend servers and 760 hosts.
pub(crate) struct Key {
    bytes: Vec<u8>,
    /// Length of the key and the separator before the host, in bytes.
    prefix_length: usize,
}

impl Key {
    pub(crate) fn new(key: &str) -> Self {
        let mut bytes = key.as_bytes().to_vec();
        bytes.push(0);
        let prefix_length = bytes.len();
        Self {
            bytes,
            prefix_length,
        }
    }

    pub(crate) fn weight(&mut self, host: &str) -> u64 {
        self.bytes.truncate(self.prefix_length);
        self.bytes.extend_from_slice(host.as_bytes());
        XxHash64::oneshot(SEED, &self.bytes)
    }
}

/// The host with the highest weight for `key`.
pub fn choose<'a, I>(key: &str, hosts: I) -> Option<&'a id::Host>
where
    I: IntoIterator<Item = &'a id::Host>,
{
    let mut key = Key::new(key);
    hosts
        .into_iter()
        .max_by_key(|host| (key.weight(host), *host))
}
