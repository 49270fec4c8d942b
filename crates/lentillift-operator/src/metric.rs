//! Counters, gauges, summaries and histograms, rendered in the Prometheus text format.

use crate::catalog;
use crate::histogram::Histogram;
use crate::latency::Latency;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Maximum number of series of one name; samples of further series are counted as dropped.
///
/// Labels are names of services, classes and backend servers. If a label ever came from what
/// callers send, a hostile caller could otherwise fill the memory.
const MAX_SERIES: usize = 10_000;

/// Quantiles that a summary shows.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// All series of one name, by their rendered labels.
type Series<T> = BTreeMap<String, T>;

/// All series of one name, by metric type.
#[derive(Debug)]
enum Family {
    Counter(Series<u64>),
    Gauge(Series<f64>),
    Summary(Series<Latency>),
    Histogram(Series<Histogram>),
}

/// All metrics of a process.
///
/// The first call with a name sets its metric type; calls of another type are ignored.
#[derive(Debug, Default)]
pub struct Metrics {
    families: BTreeMap<&'static str, Family>,
    dropped: u64,
    // Buffer for rendered labels, so that a sample of a known series costs no allocation.
    labels_buffer: String,
}

impl Metrics {
    /// Adds to a counter.
    pub fn add(&mut self, name: &'static str, labels: &[(&str, &str)], count: u64) {
        render(&mut self.labels_buffer, labels);
        let family = self.families.entry(name);
        let family = family.or_insert_with(|| Family::Counter(Series::new()));
        if let Family::Counter(series) = family {
            match find_or_insert(series, &self.labels_buffer, || Some(0)) {
                Some(counter) => *counter += count,
                None => self.dropped += 1,
            }
        }
    }

    /// Sets a gauge.
    pub fn set(&mut self, name: &'static str, labels: &[(&str, &str)], value: f64) {
        render(&mut self.labels_buffer, labels);
        let family = self.families.entry(name);
        let family = family.or_insert_with(|| Family::Gauge(Series::new()));
        if let Family::Gauge(series) = family {
            match find_or_insert(series, &self.labels_buffer, || Some(0.0)) {
                Some(gauge) => *gauge = value,
                None => self.dropped += 1,
            }
        }
    }

    /// Records a latency in a summary.
    pub fn observe(
        &mut self,
        now: Time,
        name: &'static str,
        labels: &[(&str, &str)],
        latency: Duration,
    ) {
        render(&mut self.labels_buffer, labels);
        let family = self.families.entry(name);
        let family = family.or_insert_with(|| Family::Summary(Series::new()));
        if let Family::Summary(series) = family {
            match find_or_insert(series, &self.labels_buffer, || Latency::new(now)) {
                Some(summary) => summary.record(now, latency),
                None => self.dropped += 1,
            }
        }
    }

    /// Records a time in a histogram, whose counts can be added over processes.
    pub fn record(&mut self, name: &'static str, labels: &[(&str, &str)], time: Duration) {
        render(&mut self.labels_buffer, labels);
        let family = self.families.entry(name);
        let family = family.or_insert_with(|| Family::Histogram(Series::new()));
        if let Family::Histogram(series) = family {
            match find_or_insert(series, &self.labels_buffer, || Some(Histogram::default())) {
                Some(histogram) => histogram.record(time),
                None => self.dropped += 1,
            }
        }
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn text(&self, now: Time) -> String {
        let mut text = String::new();
        for (name, family) in &self.families {
            if let Some(help) = catalog::help(name) {
                let _ = writeln!(text, "# HELP {name} {help}");
            }
            match family {
                Family::Counter(series) => scalars(&mut text, name, "counter", series),
                Family::Gauge(series) => scalars(&mut text, name, "gauge", series),
                Family::Summary(series) => summaries(&mut text, now, name, series),
                Family::Histogram(series) => histograms(&mut text, name, series),
            }
        }
        let name = "lentillift_series_dropped_total";
        if let Some(help) = catalog::help(name) {
            let _ = writeln!(text, "# HELP {name} {help}");
        }
        let _ = writeln!(text, "# TYPE {name} counter");
        let _ = writeln!(text, "{name} {}", self.dropped);
        text
    }
}

/// Returns the series with these labels, and creates it unless the name has [`MAX_SERIES`].
fn find_or_insert<'a, T, F>(series: &'a mut Series<T>, labels: &str, make: F) -> Option<&'a mut T>
where
    F: FnOnce() -> Option<T>,
{
    if !series.contains_key(labels) {
        if series.len() >= MAX_SERIES {
            return None;
        }
        series.insert(labels.to_owned(), make()?);
    }
    series.get_mut(labels)
}

/// Renders counters or gauges.
fn scalars<T>(text: &mut String, name: &str, kind: &str, series: &Series<T>)
where
    T: std::fmt::Display,
{
    let _ = writeln!(text, "# TYPE {name} {kind}");
    for (labels, value) in series {
        let _ = writeln!(text, "{name}{} {value}", braces(labels));
    }
}

/// Renders summaries, with their quantiles at `now`.
fn summaries(text: &mut String, now: Time, name: &str, series: &Series<Latency>) {
    let _ = writeln!(text, "# TYPE {name} summary");
    for (labels, latency) in series {
        let comma = if labels.is_empty() { "" } else { "," };
        for (quantile, value) in QUANTILES.iter().zip(latency.quantiles(now, &QUANTILES)) {
            let seconds = value.as_secs_f64();
            let _ = writeln!(
                text,
                "{name}{{{labels}{comma}quantile=\"{quantile}\"}} {seconds}"
            );
        }
        let labels = braces(labels);
        let _ = writeln!(text, "{name}_sum{labels} {}", latency.sum().as_secs_f64());
        let _ = writeln!(text, "{name}_count{labels} {}", latency.count());
    }
}

/// Renders histograms, with a cumulative count for each bound.
fn histograms(text: &mut String, name: &str, series: &Series<Histogram>) {
    let _ = writeln!(text, "# TYPE {name} histogram");
    for (labels, histogram) in series {
        let comma = if labels.is_empty() { "" } else { "," };
        for (bound, count) in histogram.cumulative() {
            let bound = bound.as_secs_f64();
            let _ = writeln!(
                text,
                "{name}_bucket{{{labels}{comma}le=\"{bound}\"}} {count}"
            );
        }
        let count = histogram.count();
        let _ = writeln!(text, "{name}_bucket{{{labels}{comma}le=\"+Inf\"}} {count}");
        let labels = braces(labels);
        let _ = writeln!(text, "{name}_sum{labels} {}", histogram.sum().as_secs_f64());
        let _ = writeln!(text, "{name}_count{labels} {count}");
    }
}

/// Encloses labels in braces; empty if there are none.
fn braces(labels: &str) -> String {
    match labels.is_empty() {
        true => String::new(),
        false => format!("{{{labels}}}"),
    }
}

/// Writes labels as the Prometheus text format has them: backslash, quote and line feed escaped.
fn render(text: &mut String, labels: &[(&str, &str)]) {
    text.clear();
    for (name, value) in labels {
        if !text.is_empty() {
            text.push(',');
        }
        text.push_str(name);
        text.push_str("=\"");
        for character in value.chars() {
            match character {
                '\\' => text.push_str("\\\\"),
                '"' => text.push_str("\\\""),
                '\n' => text.push_str("\\n"),
                other => text.push(other),
            }
        }
        text.push('"');
    }
}
