//! Latency quantiles of one series over the last one to two minutes.

use hdrhistogram::Histogram;
use lentillift_core::time::Time;
use std::time::Duration;

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Length of a window; quantiles cover the current window and the previous one.
///
/// Quantiles over the whole life of a process would hide a bad minute after a good week.
const WINDOW: Duration = Duration::from_secs(60);

/// Latencies of one series in two windows, with their total sum and count.
#[derive(Debug, Clone)]
pub struct Latency {
    current: Histogram<u64>,
    previous: Histogram<u64>,
    window: u64,
    sum: Duration,
    count: u64,
}

impl Latency {
    /// Creates an empty series; none if the histogram can't be created.
    pub fn new(now: Time) -> Option<Self> {
        let empty = histogram()?;
        Some(Self {
            current: empty.clone(),
            previous: empty,
            window: window(now),
            sum: Duration::ZERO,
            count: 0,
        })
    }

    /// Records a latency.
    pub fn record(&mut self, now: Time, latency: Duration) {
        self.rotate(now);
        record(&mut self.current, latency);
        self.sum += latency;
        self.count += 1;
    }

    /// Quantiles over the current window and the previous one.
    pub fn quantiles(&self, now: Time, quantiles: &[f64]) -> Vec<Duration> {
        let mut latency = self.clone();
        latency.rotate(now);
        // Can't fail: both have the same precision and resize automatically.
        let _ = latency.current.add(&latency.previous);
        let quantiles = quantiles.iter();
        quantiles
            .map(|quantile| self::quantile(&latency.current, *quantile))
            .collect()
    }

    /// Sum of all latencies since the process started.
    pub fn sum(&self) -> Duration {
        self.sum
    }

    /// Number of latencies since the process started.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Moves on to the window of `now`.
    fn rotate(&mut self, now: Time) {
        let window = window(now);
        let elapsed_windows = window.saturating_sub(self.window);
        if elapsed_windows == 0 {
            return;
        }
        self.window = window;
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if elapsed_windows > 1 {
            self.previous.reset();
        }
    }
}

/// Creates an empty histogram of microseconds.
pub(crate) fn histogram() -> Option<Histogram<u64>> {
    Histogram::new(SIGNIFICANT_DIGITS).ok()
}

/// Records a latency in a histogram of microseconds.
pub(crate) fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    // Resizes as needed; `saturating_record` would never resize, and count every latency as the
    // smallest.
    let _ = histogram.record(micros);
}

/// A quantile of a histogram of microseconds.
pub(crate) fn quantile(histogram: &Histogram<u64>, quantile: f64) -> Duration {
    Duration::from_micros(histogram.value_at_quantile(quantile))
}

/// Number of the window that `now` falls into.
fn window(now: Time) -> u64 {
    now.as_secs() / WINDOW.as_secs()
}
