//! Metrics in the Prometheus text format, eviction of time line events, and trends by hour and day.

use lentillift_operator::event::Note;
use lentillift_operator::event::Timeline;
use lentillift_operator::metric::Metrics;
use lentillift_operator::trend::Trend;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: u64 = 3600;
const DAY: u64 = 24 * HOUR;

#[test]
fn text_has_help_type_and_quantiles() {
    let mut metrics = Metrics::default();
    let labels = [("service", "archive"), ("class", "ordinary")];
    metrics.add("lentillift_shards_total", &labels, 3);
    metrics.add("lentillift_shards_total", &labels, 4);
    metrics.set("lentillift_revision", &[("value", "config")], 7.0);
    for millis in 1..=100 {
        let latency = Duration::from_millis(millis);
        metrics.observe(SECOND, "lentillift_query_seconds", &labels, latency);
    }
    let text = metrics.text(SECOND);
    for line in [
        "# HELP lentillift_shards_total Shards that answered queries were to cover.",
        "# TYPE lentillift_shards_total counter",
        "lentillift_shards_total{service=\"archive\",class=\"ordinary\"} 7",
        "# TYPE lentillift_revision gauge",
        "lentillift_revision{value=\"config\"} 7",
        "# TYPE lentillift_query_seconds summary",
        "lentillift_query_seconds_sum{service=\"archive\",class=\"ordinary\"} 5.05",
        "lentillift_query_seconds_count{service=\"archive\",class=\"ordinary\"} 100",
        "lentillift_series_dropped_total 0",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}\n{text}");
    }
    let p99 = "lentillift_query_seconds{service=\"archive\",class=\"ordinary\",quantile=\"0.99\"} ";
    let p99 = text
        .lines()
        .find_map(|line| line.strip_prefix(p99))
        .expect("p99");
    let p99: f64 = p99.parse().expect("number");
    assert!((0.098..=0.1).contains(&p99), "{p99}");
}

/// The quantiles of a fleet are computed from counts with the same bounds on every process.
#[test]
fn histogram_buckets_are_cumulative() {
    let mut metrics = Metrics::default();
    let labels = [("route", "names")];
    for millis in [3, 30, 40, 20_000] {
        metrics.record("t", &labels, Duration::from_millis(millis));
    }
    let text = metrics.text(SECOND);
    for line in [
        "# TYPE t histogram",
        "t_bucket{route=\"names\",le=\"0.002\"} 0",
        "t_bucket{route=\"names\",le=\"0.005\"} 1",
        "t_bucket{route=\"names\",le=\"0.05\"} 3",
        "t_bucket{route=\"names\",le=\"10\"} 3",
        "t_bucket{route=\"names\",le=\"+Inf\"} 4",
        "t_sum{route=\"names\"} 20.073",
        "t_count{route=\"names\"} 4",
    ] {
        assert!(text.lines().any(|found| found == line), "{line}\n{text}");
    }
}

macro_rules! escapes {
    ($($name:ident: $value:literal => $shown:literal;)+) => {$(
        #[test]
        fn $name() {
            let mut metrics = Metrics::default();
            metrics.add("n", &[("l", $value)], 1);
            let line = concat!("n{l=\"", $shown, "\"} 1");
            let text = metrics.text(SECOND);
            assert!(text.lines().any(|found| found == line), "{text}");
        }
    )+};
}

escapes! {
    quote: "a\"b" => "a\\\"b";
    backslash: "a\\b" => "a\\\\b";
    line_end: "a\nb" => "a\\nb";
    other_scripts_stay: "മലയാളം" => "മലയാളം";
    tab_stays: "a\tb" => "a\tb";
}

/// Guards against unbounded memory: if a label came from what callers send, a hostile caller could
/// send a new one each time until the process is killed and its queries are lost.
#[test]
fn series_of_one_name_are_bounded() {
    let mut metrics = Metrics::default();
    for number in 0..10_010 {
        metrics.add("n", &[("caller", &number.to_string())], 1);
    }
    let text = metrics.text(SECOND);
    assert_eq!(
        text.lines().filter(|line| line.starts_with("n{")).count(),
        10_000
    );
    assert!(text.contains("lentillift_series_dropped_total 10\n"));
}

/// A backend server is slow for a minute after a good week. In quantiles over the whole life of the
/// process that minute would not show, and no alert would fire.
#[test]
fn quantiles_cover_only_the_last_two_windows() {
    let mut metrics = Metrics::default();
    let observe = |metrics: &mut Metrics, now, millis, times| {
        for _ in 0..times {
            metrics.observe(now, "s", &[], Duration::from_millis(millis));
        }
    };
    let median = |metrics: &Metrics, now| {
        let text = metrics.text(now);
        let line = text
            .lines()
            .find(|line| line.starts_with("s{quantile=\"0.5\"}"));
        let value = line
            .and_then(|line| line.split(' ').nth(1))
            .expect("median");
        value.parse::<f64>().expect("number")
    };
    observe(&mut metrics, 10 * SECOND, 1, 100_000);
    observe(&mut metrics, 600 * SECOND, 500, 10);
    assert!(median(&metrics, 600 * SECOND) > 0.49);
    assert!(median(&metrics, 661 * SECOND) > 0.49);
    assert_eq!(median(&metrics, 800 * SECOND), 0.0);
}

/// A backend server starts to fail, and each request to it adds an event. The event that caused the
/// outage must still be on the time line when an operator looks an hour later.
#[test]
fn a_frequent_kind_does_not_evict_other_events() {
    let mut timeline = Timeline::default();
    timeline.push(
        SECOND,
        SECOND,
        Note::new("in force", "config", "revision 7"),
    );
    for number in 0..10_000 {
        let note = Note::new("unknown outcome", "submission", "").request(number);
        timeline.push(SECOND, SECOND, note);
    }
    let events: Vec<_> = timeline.since(0).collect();
    assert_eq!(events.len(), 4096);
    assert_eq!(events[0].note.kind, "in force");
    let last = events.last().expect("event");
    assert_eq!(
        (last.number, last.note.request.as_deref()),
        (10_001, Some("9999"))
    );
    assert!(events.windows(2).all(|two| two[0].number < two[1].number));
}

/// Each day the search covers a little less and takes a little longer. No momentary figure looks
/// wrong; only the history of days shows the decline.
#[test]
fn a_slow_decline_shows_in_the_days() {
    let mut trend = Trend::default();
    let service = "notice-search".into();
    for day in 0..100 {
        for hour in 0..24 {
            let now = Duration::from_secs(day * DAY + hour * HOUR);
            let latency = Duration::from_millis(100 + day);
            trend.record_answer(now, &service, latency, 1.0 - day as f64 / 1000.0);
        }
    }
    trend.record_refusal(Duration::from_secs(99 * DAY + HOUR), &service);
    let histories = &trend.spans()[&service];
    assert_eq!((histories.hours.len(), histories.days.len()), (48, 62));
    assert_eq!(histories.days[0].start_s, 38 * DAY);
    let last = histories.days.last().expect("day");
    assert_eq!(
        (last.start_s, last.answers, last.full, last.refusals),
        (99 * DAY, 24, 0, 1)
    );
    assert!((last.coverage - 0.901).abs() < 1e-9);
    assert!(
        histories
            .days
            .windows(2)
            .all(|two| two[0].coverage > two[1].coverage)
    );
    assert!(histories.days[0].p99_ms < last.p99_ms);
}

/// A host's clock is set back by an hour. Counting goes on in the current span and no count is lost.
#[test]
fn a_clock_set_back_loses_no_counts() {
    let mut trend = Trend::default();
    let service = "s".into();
    for second in [10 * HOUR, 9 * HOUR, 10 * HOUR + 1] {
        trend.record_answer(Duration::from_secs(second), &service, SECOND, 1.0);
    }
    let histories = &trend.spans()[&service];
    assert_eq!(histories.hours.len(), 1);
    assert_eq!(histories.hours[0].answers, 3);
}
