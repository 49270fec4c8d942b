//! Latency of one backend server against its own baseline.
//!
//! Pattern: backend servers differ by nature, and their load reports lag or mislead. A fixed bound
//! on latency would hold a large shard's server for slow and miss a small one's trouble. The
//! baseline follows fast replies quickly and slow ones hardly, so that it stays near the time of
//! an untroubled request, and yet gives in when a change lasts.

use std::time::Duration;

/// Weight of a reply that is quicker than the baseline.
const FALL: f64 = 0.1;

/// Weight of a reply that is slower. One in fifty of [`FALL`]: with it the baseline settles near
/// the second percentile, and a server that stays ten times slower becomes the norm after some
/// thousand replies.
const RISE: f64 = 0.002;

/// Weight of the newest reply in the usual latency: about the last ten replies count.
const RECENT: f64 = 0.1;

/// Latency of one backend server, or of one kind of request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Latency {
    /// Microseconds of an untroubled request; 0 before the first reply.
    baseline: f64,
    /// Microseconds of the last replies.
    recent: f64,
}

impl Latency {
    /// Takes in a reply, and says how many percent of the baseline it took.
    pub fn note(&mut self, latency: Duration) -> u32 {
        let micros = latency.as_secs_f64() * 1e6;
        if self.baseline == 0.0 {
            self.baseline = micros.max(1.0);
            self.recent = micros;
            return 100;
        }
        let percent = 100.0 * micros / self.baseline;
        let weight = if micros < self.baseline { FALL } else { RISE };
        self.baseline += weight * (micros - self.baseline);
        self.baseline = self.baseline.max(1.0);
        self.recent += RECENT * (micros - self.recent);
        percent as u32
    }

    /// Time of an untroubled request; zero before the first reply.
    pub fn baseline(&self) -> Duration {
        Duration::from_secs_f64(self.baseline / 1e6)
    }

    /// Time that requests took lately; zero before the first reply.
    pub fn recent(&self) -> Duration {
        Duration::from_secs_f64(self.recent / 1e6)
    }
}
