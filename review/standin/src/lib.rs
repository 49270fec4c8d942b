//! Stand-ins for the review cases: a store, an HTTP/1.1 connection for servers and callers, and
//! daemons as processes.
//!
//! Blocking sockets and one thread for each connection. All addresses are loopback addresses.

pub mod daemon;
pub mod http;
pub mod record;
pub mod store;

/// Pseudo-random numbers (xorshift), so that a seed gives the same choices in each run.
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns the next number.
    pub fn number(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// Returns true with this probability.
    pub fn happens(&mut self, probability: f64) -> bool {
        ((self.number() >> 11) as f64) < probability * (1_u64 << 53) as f64
    }
}

/// Whether the run includes the disruption: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
