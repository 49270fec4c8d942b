//! Latencies of one series over the last minutes.

use hdrhistogram::Histogram;
use lentillift_core::time::Time;
use std::time::Duration;

/// Significant decimal digits that histograms keep.
const DIGITS: u8 = 2;

/// Length of a window; quantiles are over the current window and the one before.
///
/// Quantiles over the whole life of a process would hide a bad minute after a good week.
const WINDOW: Duration = Duration::from_secs(60);

/// Latencies of one series.
#[derive(Debug, Clone)]
pub struct Latency {
    current: Histogram<u64>,
    before: Histogram<u64>,
    window: u64,
    sum: Duration,
    count: u64,
}

impl Latency {
    /// Starts without a latency.
    pub fn new(now: Time) -> Option<Self> {
        let empty = histogram()?;
        Some(Self {
            current: empty.clone(),
            before: empty,
            window: window(now),
            sum: Duration::ZERO,
            count: 0,
        })
    }

    /// Notes a latency.
    pub fn record(&mut self, now: Time, latency: Duration) {
        self.turn(now);
        record(&mut self.current, latency);
        self.sum += latency;
        self.count += 1;
    }

    /// Quantiles over the last one to two windows.
    pub fn quantiles(&self, now: Time, quantiles: &[f64]) -> Vec<Duration> {
        let mut latency = self.clone();
        latency.turn(now);
        // Both have the same digits and grow as needed.
        let _ = latency.current.add(&latency.before);
        let quantiles = quantiles.iter();
        quantiles
            .map(|quantile| self::quantile(&latency.current, *quantile))
            .collect()
    }

    /// Sum of all latencies ever noted.
    pub fn sum(&self) -> Duration {
        self.sum
    }

    /// How many were ever noted.
    pub fn count(&self) -> u64 {
        self.count
    }

    fn turn(&mut self, now: Time) {
        let window = window(now);
        let turns = window.saturating_sub(self.window);
        if turns == 0 {
            return;
        }
        self.window = window;
        std::mem::swap(&mut self.current, &mut self.before);
        self.current.reset();
        if turns > 1 {
            self.before.reset();
        }
    }
}

/// A histogram of microseconds.
pub(crate) fn histogram() -> Option<Histogram<u64>> {
    Histogram::new(DIGITS).ok()
}

/// Notes a latency in a histogram.
pub(crate) fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    // Grows as needed; its saturating counterpart would never grow and count all as the least.
    let _ = histogram.record(micros);
}

/// A quantile of a histogram.
pub(crate) fn quantile(histogram: &Histogram<u64>, quantile: f64) -> Duration {
    Duration::from_micros(histogram.value_at_quantile(quantile))
}

fn window(now: Time) -> u64 {
    now.as_secs() / WINDOW.as_secs()
}
