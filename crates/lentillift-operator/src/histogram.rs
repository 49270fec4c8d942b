//! Histograms of times with fixed bucket bounds, so that those of many processes can be added.
//!
//! A quantile over the whole fleet can't be computed from the quantiles of its processes, but it
//! can from counts with the same bounds.

use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Upper bounds of the buckets, from the time of a call within a host to the longest time that
/// callers wait.
pub const BOUNDS: [Duration; 16] = [
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(5),
    Duration::from_millis(10),
    Duration::from_millis(20),
    Duration::from_millis(35),
    Duration::from_millis(50),
    Duration::from_millis(75),
    Duration::from_millis(100),
    Duration::from_millis(150),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_millis(1000),
    Duration::from_millis(2500),
    Duration::from_millis(5000),
    Duration::from_millis(10_000),
];

/// A histogram of times with the bucket bounds [`BOUNDS`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Histogram {
    /// For each bound, the number of times at most as long and longer than the bound before it.
    counts: [u64; BOUNDS.len()],
    /// Number of times longer than all bounds.
    above: u64,
    /// Sum of all times, in microseconds.
    sum_us: u64,
}

impl Histogram {
    /// Records a time.
    pub fn record(&mut self, time: Duration) {
        match BOUNDS.iter().position(|bound| time <= *bound) {
            Some(bucket) => self.counts[bucket] += 1,
            None => self.above += 1,
        }
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.sum_us = self.sum_us.saturating_add(micros);
    }

    /// Adds the counts of another process.
    pub fn add(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
        self.above += other.above;
        self.sum_us = self.sum_us.saturating_add(other.sum_us);
    }

    /// Number of recorded times.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum::<u64>() + self.above
    }

    /// Sum of all recorded times.
    pub fn sum(&self) -> Duration {
        Duration::from_micros(self.sum_us)
    }

    /// Each bound, with the number of times at most as long.
    pub fn cumulative(&self) -> impl Iterator<Item = (Duration, u64)> {
        let sums = self.counts.iter().scan(0, |sum, count| {
            *sum += count;
            Some(*sum)
        });
        BOUNDS.into_iter().zip(sums)
    }

    /// The time below which the share `quantile` (0 to 1) of all times lies, interpolated linearly
    /// between two bounds; none if nothing was recorded or the quantile is above all bounds.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let rank = self.count() as f64 * quantile;
        let mut lower = (Duration::ZERO, 0);
        for (bound, sum) in self.cumulative() {
            if sum > lower.1 && sum as f64 >= rank {
                let part = (rank - lower.1 as f64) / (sum - lower.1) as f64;
                return Some(lower.0 + (bound - lower.0).mul_f64(part.max(0.0)));
            }
            lower = (bound, sum);
        }
        None
    }
}
