//! Latency of one backend server relative to its own baseline.
//!
//! Pattern: backend servers differ in speed, and their load reports lag or mislead. A fixed latency
//! threshold would call a large shard's server slow and miss a problem of a small shard's. The
//! baseline is a slowly adapting estimate of the median, moved by a small step towards each reply:
//! single stragglers barely move it, the spread of ordinary latencies does not bias it to one side,
//! and it still adapts when a change lasts.

use std::time::Duration;

/// Smallest step of the baseline, as a fraction of it: a server that stays ten times slower becomes
/// the norm after some 460 replies.
const MIN_STEP: f64 = 0.005;

/// Largest step, as a fraction of the baseline; used for the first replies, when the baseline rests
/// on few samples.
const MAX_STEP: f64 = 0.2;

/// Weight of the newest reply in the moving average: about the last ten replies count.
const RECENT_WEIGHT: f64 = 0.1;

/// Latency of one backend server, or of one kind of request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Latency {
    /// Estimated median in microseconds; 0 before the first reply.
    baseline: f64,
    replies: u32,
    /// Moving average of recent replies in microseconds.
    recent: f64,
}

impl Latency {
    /// Records a reply; returns its latency in percent of the baseline.
    pub fn record(&mut self, latency: Duration) -> u32 {
        let micros = latency.as_secs_f64() * 1e6;
        if self.baseline == 0.0 {
            self.baseline = micros.max(1.0);
            self.recent = micros;
            return 100;
        }
        let percent = 100.0 * micros / self.baseline;
        self.replies = self.replies.saturating_add(1);
        let step = (1.0 / f64::from(self.replies)).clamp(MIN_STEP, MAX_STEP);
        match micros < self.baseline {
            true => self.baseline *= 1.0 - step,
            false => self.baseline *= 1.0 + step,
        }
        self.baseline = self.baseline.max(1.0);
        self.recent += RECENT_WEIGHT * (micros - self.recent);
        percent as u32
    }

    /// Usual latency, an estimate of the median; zero before the first reply.
    pub fn baseline(&self) -> Duration {
        Duration::from_secs_f64(self.baseline / 1e6)
    }

    /// Moving average of recent latencies; zero before the first reply.
    pub fn recent(&self) -> Duration {
        Duration::from_secs_f64(self.recent / 1e6)
    }
}
