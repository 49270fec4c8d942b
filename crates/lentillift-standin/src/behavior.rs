//! Parameters of a simulated backend server: latency, capacity, cold starts and faults.

use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;
use std::time::Instant;

/// Factor by which requests take longer while the server is cold.
const COLD_FACTOR: u32 = 5;

/// The behavior of a simulated backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Behavior {
    /// Minimum service time of a request that is not slow.
    pub latency: Duration,
    /// Mean of the exponentially distributed time that is added to each service time.
    pub spread: Duration,
    /// One in this many requests takes `slow` in place of `latency`; 0 for none.
    pub slow_every: u64,
    /// Minimum service time of a slow request.
    pub slow: Duration,
    /// Factor by which every service time is multiplied.
    pub factor: u32,
    /// Whether the server accepts requests but never replies.
    pub hung: bool,
    /// Requests that are executed at a time; further ones wait and count as overloads.
    pub slots: u32,
    /// Requests that may wait; further ones are shed.
    pub queue: u32,
    /// Requests that may be in flight while the server is cold; more restart the cold start.
    pub cold_slots: u32,
    /// Duration of a cold start.
    pub cold_time: Duration,
    /// End of the current cold start; none if the server is warm.
    pub cold_until: Option<Instant>,
    /// Whether the server reports `ready` while it is cold.
    pub hides_cold: bool,
    /// Whether the server reports `draining`, as before it shuts down.
    pub draining: bool,
    /// Load that is reported in place of the true one; none to report the true one.
    pub reported_load: Option<f64>,
    /// Oldest snapshot that the server still has.
    pub oldest: u64,
    /// Seed of the random service times.
    pub seed: u64,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(2),
            spread: Duration::ZERO,
            slow_every: 0,
            slow: Duration::from_millis(20),
            factor: 1,
            hung: false,
            slots: 2,
            queue: 100,
            cold_slots: 1,
            cold_time: Duration::from_secs(2),
            cold_until: None,
            hides_cold: false,
            draining: false,
            reported_load: None,
            oldest: 0,
            seed: 0,
        }
    }
}

impl Behavior {
    pub(crate) fn is_cold(&self) -> bool {
        self.cold_until.is_some_and(|until| Instant::now() < until)
    }

    /// Starts a new cold start.
    pub(crate) fn restart_cold(&mut self) {
        self.cold_until = Some(Instant::now() + self.cold_time);
    }

    /// Requests that may be in flight without counting as an overload.
    pub(crate) fn capacity(&self) -> u32 {
        match self.is_cold() {
            true => self.cold_slots,
            false => self.slots,
        }
    }

    /// Whether the server still has a snapshot.
    pub(crate) fn has_snapshot(&self, snapshot: u64) -> bool {
        snapshot >= self.oldest
    }

    /// The state that is reported in the header `x-state`.
    pub(crate) fn reported_state(&self) -> &'static str {
        match (self.draining, self.is_cold() && !self.hides_cold) {
            (true, _) => "draining",
            (false, true) => "cold",
            (false, false) => "ready",
        }
    }

    /// Service time of a request; with `slow_every`, `number` decides whether the request is slow.
    pub(crate) fn service_time(&self, number: u64, rng: &mut StdRng) -> Duration {
        if self.hung {
            return Duration::from_secs(3600);
        }
        let is_slow = self.slow_every > 0 && number.is_multiple_of(self.slow_every);
        let minimum = match is_slow {
            true => self.slow,
            false => self.latency,
        };
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        let time = minimum + self.spread.mul_f64(-uniform.ln());
        let cold_factor = if self.is_cold() { COLD_FACTOR } else { 1 };
        time * self.factor * cold_factor
    }
}
