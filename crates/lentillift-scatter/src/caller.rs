//! Estimates the round trip to a caller.
//!
//! Callers of one host may be half a millisecond away, six milliseconds, or a mix. An answer sent
//! at the last moment for a near caller reaches a far one a few milliseconds late, every time; one
//! sent early enough for the farthest caller lacks parts that near callers could have had. A caller
//! says how long it will wait. On a new connection it has already spent one round trip of that
//! time, and this round trip holds for all requests on the connection.

use std::time::Duration;

/// Round trip that is assumed before any caller has been measured.
const INITIAL_RTT: Duration = Duration::from_millis(7);

/// Fraction of the objective up to which the time already spent counts as a round trip. A caller
/// that retries has also spent the time of its first attempt, which is longer.
const MAX_RTT_FRACTION: f64 = 0.25;

/// Weight of one caller in the default round trip.
const WEIGHT: f64 = 0.1;

/// One connection of a caller.
#[derive(Debug, Default, Clone, Copy)]
pub struct Caller {
    /// Whether a request has come on this connection.
    has_sent: bool,
    /// Measured round trip; none if the first request did not show it.
    rtt: Option<Duration>,
}

/// Round trip that is assumed for callers without a measurement: a moving average over the others.
#[derive(Debug, Clone, Copy)]
pub struct DefaultRtt {
    rtt: Duration,
}

impl Default for DefaultRtt {
    fn default() -> Self {
        Self { rtt: INITIAL_RTT }
    }
}

impl DefaultRtt {
    /// Returns the assumed round trip.
    pub fn rtt(&self) -> Duration {
        self.rtt
    }
}

impl Caller {
    /// Measures the round trip from the first request on the connection: `spent` is the part of its
    /// waiting time that the caller had already used when the request arrived.
    pub fn note(&mut self, default_rtt: &mut DefaultRtt, spent: Duration, objective: Duration) {
        let is_first = !std::mem::replace(&mut self.has_sent, true);
        let is_round_trip = spent > Duration::ZERO && spent <= objective.mul_f64(MAX_RTT_FRACTION);
        if is_first && is_round_trip {
            self.rtt = Some(spent);
            default_rtt.rtt = default_rtt.rtt.mul_f64(1.0 - WEIGHT) + spent.mul_f64(WEIGHT);
        }
    }

    /// Returns the measured round trip of this caller, or else the default.
    pub fn rtt(&self, default_rtt: &DefaultRtt) -> Duration {
        self.rtt.unwrap_or(default_rtt.rtt)
    }
}
