//! Counters and histograms of this process, as Prometheus text.

use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Longest time that a histogram tells apart, in microseconds.
const LONGEST: u64 = 60_000_000;

/// Bounds of the buckets that are shown, in milliseconds.
const BUCKETS: [u64; 12] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];

/// Everything that is counted; names are fixed in the code, so their number is bounded.
#[derive(Debug, Default)]
pub struct Board {
    counters: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    gauges: RefCell<BTreeMap<&'static str, f64>>,
    times: RefCell<BTreeMap<(&'static str, &'static str), Histogram<u32>>>,
}

impl Board {
    /// Counts one event of `name` with an outcome or reason.
    pub fn count(&self, name: &'static str, label: &'static str) {
        *self.counters.borrow_mut().entry((name, label)).or_default() += 1;
    }

    /// Sets a value that goes up and down.
    pub fn gauge(&self, name: &'static str, value: f64) {
        self.gauges.borrow_mut().insert(name, value);
    }

    /// Notes how long something took.
    pub fn time(&self, name: &'static str, label: &'static str, took: Duration) {
        let mut times = self.times.borrow_mut();
        let Ok(empty) = Histogram::new_with_bounds(1, LONGEST, 1) else {
            return;
        };
        let histogram = times.entry((name, label)).or_insert(empty);
        histogram.saturating_record(took.as_micros() as u64);
    }

    /// All of it, as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut last = "";
        for ((name, label), value) in self.counters.borrow().iter() {
            if *name != last {
                let _ = writeln!(text, "# TYPE lentillift_{name}_total counter");
                last = name;
            }
            let _ = writeln!(text, "lentillift_{name}_total{{kind=\"{label}\"}} {value}");
        }
        for (name, value) in self.gauges.borrow().iter() {
            let _ = writeln!(text, "# TYPE lentillift_{name} gauge");
            let _ = writeln!(text, "lentillift_{name} {value}");
        }
        last = "";
        for ((name, label), histogram) in self.times.borrow().iter() {
            if *name != last {
                let _ = writeln!(text, "# TYPE lentillift_{name}_seconds histogram");
                last = name;
            }
            render_time(&mut text, name, label, histogram);
        }
        text
    }
}

fn render_time(text: &mut String, name: &str, label: &str, histogram: &Histogram<u32>) {
    for bound in BUCKETS {
        let below = histogram.count_between(0, bound * 1000);
        let bound = bound as f64 / 1000.0;
        let _ = writeln!(
            text,
            "lentillift_{name}_seconds_bucket{{kind=\"{label}\",le=\"{bound}\"}} {below}"
        );
    }
    let count = histogram.len();
    let sum = histogram.mean() * count as f64 / 1e6;
    let _ = writeln!(
        text,
        "lentillift_{name}_seconds_bucket{{kind=\"{label}\",le=\"+Inf\"}} {count}"
    );
    let _ = writeln!(
        text,
        "lentillift_{name}_seconds_sum{{kind=\"{label}\"}} {sum}"
    );
    let _ = writeln!(
        text,
        "lentillift_{name}_seconds_count{{kind=\"{label}\"}} {count}"
    );
}
