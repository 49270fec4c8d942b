//! How far away a caller is.
//!
//! Pattern: callers of one host are half a millisecond away, or six, or some of each. An answer that
//! leaves at the last moment for a near caller reaches a far one a few milliseconds too late, time
//! after time; one that leaves early enough for the farthest lacks parts that near callers could have
//! had. A caller says how long it waits; on a new connection it has spent one round trip of that,
//! which is its way and back, and holds for all requests on the connection.

use std::time::Duration;

/// Time to callers and back that is assumed before any has told.
const INITIAL_RTT: Duration = Duration::from_millis(7);

/// Part of the objective up to which time spent counts as a round trip. A caller that comes again has
/// spent its first attempt as well, which takes longer.
const MAX_RTT_FRACTION: f64 = 0.25;

/// Weight of one caller in what is assumed of those that have not told.
const WEIGHT: f64 = 0.1;

/// One connection of a caller.
#[derive(Debug, Default, Clone, Copy)]
pub struct Caller {
    /// Whether it has sent a request.
    has_sent: bool,
    /// Time to it and back; none if it has not told.
    rtt: Option<Duration>,
}

/// What is assumed of callers that have not told.
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
    /// Time to callers and back.
    pub fn rtt(&self) -> Duration {
        self.rtt
    }
}

impl Caller {
    /// Takes in a request of whose time the caller had `spent` so much when it came.
    pub fn note(&mut self, default_rtt: &mut DefaultRtt, spent: Duration, objective: Duration) {
        let is_first = !std::mem::replace(&mut self.has_sent, true);
        let is_round_trip = spent > Duration::ZERO && spent <= objective.mul_f64(MAX_RTT_FRACTION);
        if is_first && is_round_trip {
            self.rtt = Some(spent);
            default_rtt.rtt = default_rtt.rtt.mul_f64(1.0 - WEIGHT) + spent.mul_f64(WEIGHT);
        }
    }

    /// Time to this caller and back.
    pub fn rtt(&self, default_rtt: &DefaultRtt) -> Duration {
        self.rtt.unwrap_or(default_rtt.rtt)
    }
}
