//! Counters and latency histograms.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Significant decimal digits that histograms keep.
const DIGITS: u8 = 2;

/// Quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// Labels of a series, as they are shown.
type Labels = String;

/// All counters and histograms of a process.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: BTreeMap<(&'static str, Labels), u64>,
    latencies: BTreeMap<(&'static str, Labels), Histogram<u64>>,
}

impl Metrics {
    /// Adds to a counter.
    pub fn add(&mut self, name: &'static str, labels: &[(&str, &str)], count: u64) {
        *self.counters.entry((name, render(labels))).or_default() += count;
    }

    /// Notes a latency.
    pub fn observe(&mut self, name: &'static str, labels: &[(&str, &str)], latency: Duration) {
        let key = (name, render(labels));
        if let Some(histogram) = self.latencies.get_mut(&key) {
            histogram.saturating_record(latency.as_micros() as u64);
        } else if let Ok(mut histogram) = Histogram::new(DIGITS) {
            histogram.saturating_record(latency.as_micros() as u64);
            self.latencies.insert(key, histogram);
        }
    }

    /// Everything, as Prometheus text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for ((name, labels), count) in &self.counters {
            let _ = writeln!(text, "{name}{{{labels}}} {count}");
        }
        for ((name, labels), histogram) in &self.latencies {
            let comma = if labels.is_empty() { "" } else { "," };
            for quantile in QUANTILES {
                let micros = histogram.value_at_quantile(quantile);
                let seconds = micros as f64 / 1e6;
                let _ = writeln!(
                    text,
                    "{name}{{{labels}{comma}quantile=\"{quantile}\"}} {seconds}"
                );
            }
            let _ = writeln!(text, "{name}_count{{{labels}}} {}", histogram.len());
        }
        text
    }
}

fn render(labels: &[(&str, &str)]) -> Labels {
    let labels = labels
        .iter()
        .map(|(name, value)| format!("{name}={value:?}"));
    labels.collect::<Vec<_>>().join(",")
}
