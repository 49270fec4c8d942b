//! Tracks the fraction of shards that other hosts were asked for and did not return.
//!
//! Suppose most backend servers reject half of their requests for some seconds. A host that is
//! asked for shards has one replica of each to use, and reports a lost send only when its first
//! update is due. Each such shard costs a repeat, and there are repeats for one send in five:
//! searches lack a tenth of their shards and fail. A host that sends directly avoids the servers
//! that rejected it before. So other hosts are asked only while they lose fewer shards than repeats
//! can make up for.

use lentillift_core::time::Time;
use std::time::Duration;

/// Weight of one shard; two searches of ninety shards make up nearly all of the average.
const SHARD_WEIGHT: f64 = 0.02;

/// Half-life of the average. Other hosts are tried again after about this time, by a single search,
/// whose shards are lost if nothing has changed.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Moving average of the fraction of shards lost by other hosts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Loss {
    share: f64,
    at: Time,
}

impl Loss {
    /// Adds one update of another host: the number of parts it returned and of shards it lost.
    pub fn note(&mut self, parts: usize, lost: usize, now: Time) {
        let shards = parts + lost;
        if shards == 0 {
            return;
        }
        let sample = lost as f64 / shards as f64;
        let decay = (1.0 - SHARD_WEIGHT).powi(i32::try_from(shards).unwrap_or(i32::MAX));
        self.share = self.share(now) * decay + sample * (1.0 - decay);
        self.at = now;
    }

    /// Returns the lost fraction, decayed by the time since the last update.
    pub fn share(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.share * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
