//! How a stand-in for a backend server behaves.

use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;
use std::time::Instant;

/// How many times longer a request takes while the server is cold.
const COLD_FACTOR: u32 = 5;

/// How a backend server behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct Behavior {
    /// Least time that a request takes.
    pub latency: Duration,
    /// Mean of the exponentially distributed time that is added to it.
    pub spread: Duration,
    /// Every so many requests one takes `slow` in place of `latency`; 0 for none.
    pub slow_every: u64,
    /// Time that a slow request takes.
    pub slow: Duration,
    /// How many times longer every request takes.
    pub factor: u32,
    /// Whether it takes requests and never answers.
    pub hung: bool,
    /// Requests that it works on at a time; more wait, and count as an overload.
    pub slots: u32,
    /// Requests that may wait; more are shed.
    pub queue: u32,
    /// Requests that it bears at a time while cold; at more it starts over cold.
    pub cold_slots: u32,
    /// How long a cold start lasts.
    pub cold_time: Duration,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// Whether it keeps to itself that it is cold.
    pub cold_unsaid: bool,
    /// Whether it says that it is leaving.
    pub draining: bool,
    /// The load it reports, when that is not the true one.
    pub reported_load: Option<f64>,
    /// Oldest snapshot that it still holds.
    pub oldest: u64,
    /// Seed of its random numbers.
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
            cold_unsaid: false,
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

    pub(crate) fn fall(&mut self) {
        self.cold_until = Some(Instant::now() + self.cold_time);
    }

    pub(crate) fn bears(&self) -> u32 {
        match self.is_cold() {
            true => self.cold_slots,
            false => self.slots,
        }
    }

    pub(crate) fn holds(&self, snapshot: u64) -> bool {
        snapshot >= self.oldest
    }

    /// The state that it reports.
    pub(crate) fn word(&self) -> &'static str {
        match (self.draining, self.is_cold() && !self.cold_unsaid) {
            (true, _) => "draining",
            (false, true) => "cold",
            (false, false) => "ready",
        }
    }

    /// How long request number `number` takes.
    pub(crate) fn time(&self, number: u64, rng: &mut StdRng) -> Duration {
        if self.hung {
            return Duration::from_secs(3600);
        }
        let slow = self.slow_every > 0 && number.is_multiple_of(self.slow_every);
        let least = match slow {
            true => self.slow,
            false => self.latency,
        };
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        let time = least + self.spread.mul_f64(-uniform.ln());
        let cold = if self.is_cold() { COLD_FACTOR } else { 1 };
        time * self.factor * cold
    }
}
