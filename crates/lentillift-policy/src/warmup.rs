//! Warm-up of a cold backend server.
//!
//! Pattern: a backend server comes back from a restart with empty caches and can bear one request
//! at a time. Without this module it gets its full share at once, falls over, and comes back cold.
//! The limit starts at the cold limit and rises by one for every [`Options::successes`] requests
//! that succeed, so that a server proves each step before the next.

/// Figures of a warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Requests in flight that a cold server may have.
    pub cold: u32,
    /// Requests in flight that a warm server may have.
    pub warm: u32,
    /// Successes in a row that raise the limit by one.
    pub successes: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            cold: 1,
            warm: 2,
            successes: 20,
        }
    }
}

/// The warm-up state of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warmup {
    options: Options,
    // INVARIANT: Between `options.cold` and `options.warm`.
    limit: u32,
    successes: u32,
}

impl Warmup {
    /// Starts cold, as any server is at first contact.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            limit: options.cold.min(options.warm),
            successes: 0,
        }
    }

    /// How many requests may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the server has its full share.
    pub fn is_warm(&self) -> bool {
        self.limit == self.options.warm
    }

    /// Notes a request that succeeded.
    pub fn success(&mut self) {
        if self.is_warm() {
            return;
        }
        self.successes += 1;
        if self.successes >= self.options.successes {
            self.successes = 0;
            self.limit += 1;
        }
    }

    /// Notes a sign that the server has gone cold.
    pub fn chill(&mut self) {
        self.limit = self.options.cold.min(self.options.warm);
        self.successes = 0;
    }
}
