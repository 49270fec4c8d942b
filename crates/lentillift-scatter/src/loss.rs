//! How many of the shards that other hosts were asked for came back without a part.
//!
//! Pattern: most backend servers turn half of their requests away for some seconds. A host that is asked for
//! shards has one replica of each to send to, and tells of a lost send when its first word is due. Each
//! such shard costs a repeat, and there are repeats for one send in five: searches lack a tenth of
//! their shards and fail, while a host that sends by itself goes round the servers that turned it away
//! before. So other hosts are asked only while they lose fewer than repeats can make up for.

use lentillift_core::time::Time;
use std::time::Duration;

/// Weight of one shard: two searches of ninety make up nearly all of it.
const SHARD_WEIGHT: f64 = 0.02;

/// Time after which half of what was learnt is forgotten. Other hosts are tried again after about that
/// long, by one search, which is lost if nothing has changed.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Share of the shards asked of other hosts that were lost lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct Loss {
    share: f64,
    at: Time,
}

impl Loss {
    /// Notes what one message of another host brought: parts, and shards that were lost.
    pub fn note(&mut self, parts: usize, lost: usize, now: Time) {
        let shards = parts + lost;
        if shards == 0 {
            return;
        }
        let sample = lost as f64 / shards as f64;
        let kept = (1.0 - SHARD_WEIGHT).powi(i32::try_from(shards).unwrap_or(i32::MAX));
        self.share = self.share(now) * kept + sample * (1.0 - kept);
        self.at = now;
    }

    /// The share that was lost, as far as it is not forgotten.
    pub fn share(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.share * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
