//! Merging of time lines, and summaries and declines of a fleet.

use lentillift::fleet::Fleet;
use lentillift::fleet::find_declines;
use lentillift::fleet::merge_spans;
use lentillift::merge;
use lentillift_operator::event::Event;
use lentillift_operator::event::Note;
use lentillift_operator::event::Page;
use lentillift_operator::status::Status;
use lentillift_operator::trend::Span;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

/// An event: its clock in milliseconds, its detail, its token and the host that sent it.
type Row = (u64, &'static str, &'static str, &'static str);

fn page(host: &str, rows: &[Row]) -> Page {
    let event = |(number, (wall_ms, detail, token, from)): (usize, &Row)| {
        let mut note = Note::new("kind", "subject", *detail);
        if !token.is_empty() {
            let from = (!from.is_empty()).then(|| (*from).into());
            note = note.token(*token, from.as_ref());
        }
        Event {
            number: number as u64 + 1,
            at_us: 0,
            wall_ms: *wall_ms,
            note,
        }
    };
    Page {
        host: host.into(),
        incarnation: 1,
        events: rows.iter().enumerate().map(event).collect(),
    }
}

macro_rules! order {
    ($($name:ident: [$($host:literal => $rows:expr),+] gives $order:expr;)+) => {$(
        #[test]
        fn $name() {
            let merged = merge::order(vec![$(page($host, &$rows)),+]);
            let found: Vec<(&str, u64)> =
                merged.iter().map(|p| (p.event.note.detail.as_str(), p.at_ms)).collect();
            assert_eq!(found, $order);
        }
    )+};
}

order! {
    unrelated_events_are_ordered_by_clock:
        ["a" => [(1, "a1", "", ""), (5, "a2", "", "")], "b" => [(3, "b1", "", "")]]
        gives [("a1", 1), ("b1", 3), ("a2", 5)];
    events_of_a_process_keep_their_order:
        ["a" => [(9, "a1", "", ""), (5, "a2", "", "")], "b" => [(7, "b1", "", "")]]
        gives [("b1", 7), ("a1", 9), ("a2", 9)];
    receipt_follows_sending_although_its_clock_is_behind:
        ["a" => [(50, "sent", "config 2", "")], "b" => [(10, "got", "config 2", "a")]]
        gives [("sent", 50), ("got", 50)];
    forwarded_from_host_to_host:
        ["c" => [(1, "third", "config 2", "b")], "b" => [(20, "second", "config 2", "a")],
         "a" => [(30, "first", "config 2", "")]]
        gives [("first", 30), ("second", 30), ("third", 30)];
    event_of_an_unknown_sender_is_ordered_by_clock:
        ["a" => [(8, "a1", "", "")], "b" => [(3, "b1", "config 2", "gone")]]
        gives [("b1", 3), ("a1", 8)];
    cycle_is_broken_by_clock:
        ["a" => [(2, "a1", "x", "b")], "b" => [(1, "b1", "x", "a")]]
        gives [("b1", 1), ("a1", 2)];
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A revision is forwarded from host to host, and their clocks are off by any amount. Every event
    /// must occur once, those of each process in their order, and no receipt before its sending.
    #[test]
    fn no_effect_comes_before_its_cause(clocks in prop::collection::vec(0..1000_u64, 2..40)) {
        let hosts: Vec<String> = (0..clocks.len()).map(|n| format!("h-{n}")).collect();
        let pages = clocks.iter().enumerate().map(|(n, clock)| {
            let own = page(&hosts[n], &[(*clock, "own", "", ""), (clock / 2, "got", "", "")]);
            let mut events = own.events;
            let from = n.checked_sub(1).map(|sender| hosts[sender].as_str().into());
            events[1].note = Note::new("kind", "subject", "got").token("config 2", from.as_ref());
            Page { events, ..own }
        });
        let merged = merge::order(pages.rev().collect());
        prop_assert_eq!(merged.len(), clocks.len() * 2);
        let place = |host: &str, detail| {
            let mut events = merged.iter();
            events.position(|p| &*p.host == host && p.event.note.detail == detail)
        };
        for (n, host) in hosts.iter().enumerate() {
            prop_assert!(place(host, "own") < place(host, "got"));
            if n > 0 {
                prop_assert!(place(&hosts[n - 1], "got") < place(host, "got"));
            }
        }
        let mut pairs = merged.windows(2).filter(|two| two[0].host == two[1].host);
        let forward = pairs.all(|two| two[0].at_ms <= two[1].at_ms);
        prop_assert!(forward);
    }
}

/// Spans of consecutive days, from the coverage in thousandths and the p99 in milliseconds of each.
fn days(days: &[(u32, u32)]) -> Vec<Span> {
    let day = |(number, (coverage, p99)): (usize, &(u32, u32))| Span {
        start_s: number as u64 * 86_400,
        answers: 100,
        full: 0,
        refusals: 0,
        coverage: f64::from(*coverage) / 1000.0,
        p99_ms: f64::from(*p99),
        ..Span::default()
    };
    days.iter().enumerate().map(day).collect()
}

macro_rules! decline {
    ($($name:ident: $days:expr => $expected:expr;)+) => {$(
        #[test]
        fn $name() {
            let expected: [&str; _] = $expected;
            assert_eq!(find_declines(&days(&$days)), expected);
        }
    )+};
}

decline! {
    two_days_are_too_few: [(1000, 100), (900, 300)] => [];
    steady: [(1000, 100), (999, 104), (1000, 99), (1000, 101)] => [];
    one_bad_day_in_between: [(1000, 100), (1000, 100), (900, 400), (1000, 100), (1000, 100)] => [];
    coverage_falls_each_day: [(1000, 100), (999, 100), (998, 100), (997, 100), (996, 100), (995, 100)]
        => ["coverage fell from 99.95% to 99.55% over 6 days"];
    p99_rises_each_day: [(1000, 100), (1000, 105), (1000, 112)]
        => ["p99 rose from 100 ms to 112 ms over 3 days"];
}

#[test]
fn spans_of_processes_are_merged_by_start() {
    let span = |start_s, answers, coverage, p99_ms| Span {
        start_s,
        answers,
        full: 0,
        refusals: 1,
        coverage,
        p99_ms,
        ..Span::default()
    };
    let spans = [
        span(0, 30, 1.0, 50.0),
        span(0, 10, 0.6, 90.0),
        span(3600, 5, 1.0, 10.0),
    ];
    let merged = merge_spans(spans.iter());
    assert_eq!(merged.len(), 2);
    assert_eq!((merged[0].answers, merged[0].refusals), (40, 2));
    assert!((merged[0].coverage - 0.9).abs() < 1e-9);
    assert_eq!(merged[0].p99_ms, 90.0);
}

/// One of a hundred hosts stalls for a moment, and its few callers wait two seconds. If that were shown
/// as the p99 of the fleet, it would raise a false alarm and hide a slow decline of the other hosts.
#[test]
fn one_slow_host_does_not_set_the_p99_of_the_fleet() {
    let host = |answers: u64, took_ms: u64| {
        let mut span = Span {
            answers,
            p99_ms: took_ms as f64,
            ..Span::default()
        };
        for _ in 0..answers {
            span.times.record(Duration::from_millis(took_ms));
        }
        span
    };
    let mut spans = vec![host(100, 40); 99];
    spans.push(host(20, 2000));
    let merged = merge_spans(spans.iter());
    let p99 = merged[0].p99_ms;
    assert!((35.0..=50.0).contains(&p99), "{p99} ms");
}

/// Processes answer at different speeds. The p99 of the fleet must be the time that one in a hundred of
/// all answers exceeds, within the bounds of a histogram bucket.
#[test]
fn the_p99_of_the_fleet_covers_all_answers() {
    let mut fast = Span {
        answers: 960,
        p99_ms: 30.0,
        ..Span::default()
    };
    let mut slow = Span {
        answers: 40,
        p99_ms: 240.0,
        ..Span::default()
    };
    for _ in 0..960 {
        fast.times.record(Duration::from_millis(30));
    }
    for n in 0..40 {
        slow.times.record(Duration::from_millis(160 + 2 * n));
    }
    let merged = merge_spans([&fast, &slow].into_iter());
    let p99 = merged[0].p99_ms;
    assert!((150.0..=250.0).contains(&p99), "{p99} ms");
}

fn status(host: &str, revision: u64, alive: usize, ready: bool) -> Status {
    let alive: Vec<String> = (0..alive).map(|number| format!("h-{number}")).collect();
    let view = serde_json::json!({
        "domain": "d1",
        "config": revision,
        "hosts": 1,
        "placements": {},
        "domains": { "d1": true, "d2": revision < 3 },
        "hosts_out": [],
        "alive": alive,
    });
    Status {
        host: host.into(),
        incarnation: 1,
        ready,
        uptime_s: 1,
        trend: BTreeMap::new(),
        sections: [("view".to_owned(), view)].into(),
        ages_ms: BTreeMap::new(),
    }
}

/// One host of many misses a new revision, one sees only a part of the fleet, and one is not ready.
/// They must be listed, since nobody would find them among hundreds of lines.
#[test]
fn unusual_processes_are_listed() {
    let mut statuses: Vec<Status> = (0..100)
        .map(|n| status(&format!("h-{n:02}"), 3, 100, true))
        .collect();
    statuses[7] = status("h-07", 2, 100, true);
    statuses[30] = status("h-30", 3, 40, true);
    statuses[99] = status("h-99", 3, 100, false);
    let fleet = Fleet::new(&statuses);
    let hosts: Vec<&str> = fleet.unusual().map(|node| &*node.host).collect();
    assert_eq!(hosts, ["h-07", "h-30", "h-99"]);
    assert_eq!(fleet.revisions[&2].len(), 1);
    assert_eq!(fleet.domains.get("d2"), Some(&false));
}
