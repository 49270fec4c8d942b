//! Latency of one backend server against its own baseline.
//!
//! Pattern: backend servers differ by nature, and their load reports lag or mislead. A fixed bound
//! on latency would hold a large shard's server for slow and miss a small one's trouble. The
//! baseline is a slow median, moved by a small step towards each reply: single stragglers don't
//! move it, the spread of ordinary times doesn't pull it to one end, and yet it gives in when a
//! change lasts.

use std::time::Duration;

/// Step of the baseline, as a part of it: a server that stays ten times slower becomes the norm
/// after some 460 replies.
const STEP: f64 = 0.005;

/// Largest step, taken at first, when the baseline is little more than a guess.
const FIRST_STEP: f64 = 0.2;

/// Weight of the newest reply in the usual latency: about the last ten replies count.
const RECENT: f64 = 0.1;

/// Latency of one backend server, or of one kind of request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Latency {
    /// Microseconds of an untroubled request; 0 before the first reply.
    baseline: f64,
    replies: u32,
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
        self.replies = self.replies.saturating_add(1);
        let step = (1.0 / f64::from(self.replies)).clamp(STEP, FIRST_STEP);
        match micros < self.baseline {
            true => self.baseline *= 1.0 - step,
            false => self.baseline *= 1.0 + step,
        }
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
