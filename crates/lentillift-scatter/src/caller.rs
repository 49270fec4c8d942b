//! How far away a caller is.
//!
//! Pattern: callers of one host are half a millisecond away, or six, or some of each. An answer that
//! leaves at the last moment for a near caller reaches a far one a few milliseconds too late, time
//! after time; one that leaves early enough for the farthest lacks parts that near callers could have
//! had. A caller says how long it waits; on a new connection it has spent one round trip of that,
//! which is its way and back, and holds for all requests on the connection.

use std::time::Duration;

/// Time to callers and back that is assumed before any has told.
const FIRST: Duration = Duration::from_millis(7);

/// Part of the objective up to which time spent counts as a round trip. A caller that comes again has
/// spent its first attempt as well, which takes longer.
const MOST: f64 = 0.25;

/// Weight of one caller in what is assumed of those that have not told.
const WEIGHT: f64 = 0.1;

/// One connection of a caller.
#[derive(Debug, Default, Clone, Copy)]
pub struct Caller {
    /// Whether it has sent a request.
    is_known: bool,
    /// Time to it and back; none if it has not told.
    path: Option<Duration>,
}

/// What is assumed of callers that have not told.
#[derive(Debug, Clone, Copy)]
pub struct Usual {
    path: Duration,
}

impl Default for Usual {
    fn default() -> Self {
        Self { path: FIRST }
    }
}

impl Usual {
    /// Time to callers and back.
    pub fn path(&self) -> Duration {
        self.path
    }
}

impl Caller {
    /// Takes in a request of whose time the caller had `spent` so much when it came.
    pub fn note(&mut self, usual: &mut Usual, spent: Duration, objective: Duration) {
        let is_first = !std::mem::replace(&mut self.is_known, true);
        let tells = spent > Duration::ZERO && spent <= objective.mul_f64(MOST);
        if is_first && tells {
            self.path = Some(spent);
            usual.path = usual.path.mul_f64(1.0 - WEIGHT) + spent.mul_f64(WEIGHT);
        }
    }

    /// Time to this caller and back.
    pub fn path(&self, usual: &Usual) -> Duration {
        self.path.unwrap_or(usual.path)
    }
}
