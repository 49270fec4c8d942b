//! Records of requests that end backend servers, at one host and between hosts.

use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine::Admission;
use lentillift_fleet::quarantine::End;
use lentillift_fleet::quarantine::Options;
use lentillift_fleet::quarantine::ProcessId;
use lentillift_fleet::quarantine::SharedRecord;
use lentillift_fleet::quarantine::State;
use lentillift_fleet::quarantine::Table;
use lentillift_fleet::quarantine::Verdict;
use proptest::prelude::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const START: Time = Duration::from_secs(1000);

/// Fingerprint of a request for `path`.
fn fingerprint(path: &str) -> Fingerprint {
    Fingerprint::of("GET", "search.example", path, &[])
}

/// Event about the request `/fatal`.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A server ended under an ordinary send.
    Ends(ProcessId),
    /// A server ended under a canary.
    CanaryEnds(ProcessId),
    Answered,
}

use Event::Answered;
use Event::CanaryEnds;
use Event::Ends;

fn fatal() -> Fingerprint {
    fingerprint("/fatal")
}

fn apply(table: &mut Table, events: &[Event], now: Time) {
    let options = Options::default();
    for event in events {
        let end = |process, canary| End { process, canary };
        match *event {
            Ends(process) => table.record_end(&options, fatal(), end(process, false), now),
            CanaryEnds(process) => table.record_end(&options, fatal(), end(process, true), now),
            Answered => table.record_reply(&options, fatal(), now),
        }
    }
}

/// A table after `events`, all at [`START`].
fn table(events: &[Event]) -> Table {
    let mut table = Table::default();
    apply(&mut table, events, START);
    table
}

/// A table that quarantined the request at [`START`].
fn quarantined() -> Table {
    table(&[Ends(1), CanaryEnds(2), CanaryEnds(3)])
}

macro_rules! admits {
    ($($(#[$doc:meta])* $name:ident: $events:expr => $admission:pat,)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let admission = table(&$events).admit(&Options::default(), fatal(), START + MS);
            assert!(matches!(admission, $admission), "{admission:?}");
        }
    )*};
}

admits! {
    an_unknown_request_is_served: [] => Admission::Serve,
    one_end_makes_it_suspect: [Ends(1)] => Admission::Canary,
    two_ends_are_not_enough: [Ends(1), CanaryEnds(2)] => Admission::Canary,
    /// Servers that ended together may have ended for another reason, with the request merely in
    /// flight.
    simultaneous_ends_are_not_enough: [Ends(1), Ends(2), Ends(3), Ends(4)] => Admission::Canary,
    /// A process that ends once breaks many connections.
    one_server_counts_once: [Ends(1), Ends(1), CanaryEnds(1), CanaryEnds(1)] => Admission::Canary,
    /// The canary may have shared its server with that of a request that does end servers.
    one_canary_is_not_enough: [Ends(1), Ends(2), Ends(3), CanaryEnds(4)] => Admission::Canary,
    three_ends_two_of_them_under_canaries_quarantine_it:
        [Ends(1), CanaryEnds(2), CanaryEnds(3)] => Admission::Refuse(_),
    the_order_does_not_matter: [CanaryEnds(3), CanaryEnds(2), Ends(1)] => Admission::Refuse(_),
    a_reply_clears_it: [Ends(1), CanaryEnds(2), CanaryEnds(3), Answered] => Admission::Serve,
    ends_before_a_reply_do_not_count:
        [Ends(1), CanaryEnds(2), Answered, CanaryEnds(3)] => Admission::Canary,
    /// A popular search is in flight whenever servers end.
    recently_answered_request_needs_more_canaries:
        [Answered, Ends(1), CanaryEnds(2), CanaryEnds(3), CanaryEnds(4)] => Admission::Canary,
    /// A popular request may end servers since a new version of the data was published.
    recently_answered_request_can_be_quarantined:
        [Answered, CanaryEnds(1), CanaryEnds(2), CanaryEnds(3), CanaryEnds(4)] => Admission::Refuse(_),
}

#[test]
fn other_requests_are_served() {
    let mut table = quarantined();
    for path in ["/fatal?", "/Fatal", "/fata", "/fatal/"] {
        let admission = table.admit(&Options::default(), fingerprint(path), START);
        assert_eq!(admission, Admission::Serve, "{path}");
    }
}

/// Without a separation of fields, two requests could have the same fingerprint.
#[test]
fn fingerprint_separates_fields() {
    let one = Fingerprint::of("GET", "ab", "/c", b"d");
    let others = [
        Fingerprint::of("GET", "a", "b/c", b"d"),
        Fingerprint::of("GET", "ab", "/", b"cd"),
        Fingerprint::of("GETa", "b", "/c", b"d"),
        Fingerprint::of("GET", "ab", "/c", b"e"),
    ];
    assert!(others.iter().all(|other| *other != one));
}

/// A quarantine that never ended would refuse a request that servers can run by now. One host sends
/// one canary; the quarantine is renewed for all others before, and after the last canary it stays.
#[test]
fn canaries_test_whether_a_quarantine_can_end() {
    let options = Options::default();
    let mut table = quarantined();
    let mut other = Table::default();
    let mut now = START;
    for trial in 0..options.trials {
        now += options.hold * 2_u32.pow(trial);
        assert_eq!(table.admit(&options, fatal(), now), Admission::Canary);
        other.merge(&options, &table.take_updates(now), now);
        for host in [&mut table, &mut other] {
            let admission = host.admit(&options, fatal(), now + MS);
            assert!(matches!(admission, Admission::Refuse(_)), "{admission:?}");
        }
        apply(&mut table, &[CanaryEnds(100)], now + MS);
    }
    now += options.hold * 1000;
    for host in [&mut table, &mut other] {
        host.expire(&options, now);
        let admission = host.admit(&options, fatal(), now);
        assert!(matches!(admission, Admission::Refuse(_)), "{admission:?}");
    }
}

#[test]
fn a_canary_that_is_answered_ends_the_quarantine_everywhere() {
    let options = Options::default();
    let mut table = quarantined();
    let mut other = Table::default();
    other.merge(&options, &table.take_updates(START), START);
    let now = START + options.hold;
    assert_eq!(table.admit(&options, fatal(), now), Admission::Canary);
    apply(&mut table, &[Answered], now + MS);
    other.merge(&options, &table.take_updates(now + MS), now + MS);
    for host in [&mut table, &mut other] {
        let admission = host.admit(&options, fatal(), now + MS);
        assert_eq!(admission, Admission::Serve);
    }
}

/// A third host that has not received the operator's lift sends the quarantine once more.
#[test]
fn late_updates_do_not_restore_a_lifted_quarantine() {
    let options = Options::default();
    let mut table = quarantined();
    let old = table.shared_records(10, START);
    assert!(table.lift(fatal(), START + MS));
    let later: Vec<SharedRecord> = old
        .into_iter()
        .map(|record| SharedRecord {
            age: record.age + MS * 50,
            ..record
        })
        .collect();
    assert_eq!(table.merge(&options, &later, START + MS * 50), 0);
    assert_eq!(table.verdict(fatal(), START + MS * 50), Verdict::Clear);
}

/// Messages are delayed. If a record that arrives later counted as newer, a suspicion and its end,
/// each sent to all hosts, would circulate for ever.
#[test]
fn suspicion_and_its_end_stop_circulating() {
    let options = Options::default();
    let mut hosts = [Table::default(), Table::default(), Table::default()];
    apply(&mut hosts[0], &[Ends(1)], START);
    let mut now = START;
    let mut messages = 0;
    while let Some(from) = hosts.iter().position(Table::has_updates) {
        let updates = hosts[from].take_updates(now);
        now += MS * 5;
        if messages == 2 {
            apply(&mut hosts[1], &[Answered], now);
        }
        for to in (0..hosts.len()).filter(|to| *to != from) {
            hosts[to].merge(&options, &updates, now);
            messages += 1;
        }
        assert!(messages < 100, "{hosts:?}");
    }
    for host in &hosts {
        assert_eq!(host.verdict(fatal(), now), Verdict::Clear);
    }
}

/// Most suspicions end within milliseconds; sending each to the fleet would be a message per host
/// and request whenever a server ends.
#[test]
fn suspicion_that_was_not_sent_ends_without_updates() {
    let mut table = table(&[Ends(1), Answered]);
    assert!(table.take_updates(START).is_empty());
}

/// A caller that sends thousands of different requests which end servers would use up all memory.
#[test]
fn memory_is_bounded_and_quarantines_are_forgotten_last() {
    let options = Options {
        records: 100,
        ..Options::default()
    };
    let mut table = quarantined();
    for n in 0..1000 {
        let end = End {
            process: n,
            canary: false,
        };
        let path = format!("/{n}");
        table.record_end(&options, fingerprint(&path), end, START + MS);
    }
    assert_eq!(
        table.shared_records(usize::MAX, START).len(),
        options.records
    );
    assert!(matches!(
        table.verdict(fatal(), START),
        Verdict::Quarantined(_)
    ));
}

#[test]
fn suspicion_expires() {
    let options = Options::default();
    let mut table = table(&[Ends(1), Ends(2)]);
    table.expire(&options, START + options.memory);
    assert!(table.shared_records(10, START).is_empty());
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![(0..6_u64).prop_map(Ends), (0..6_u64).prop_map(CanaryEnds),];
    prop::collection::vec(event, 0..6)
}

proptest! {
    /// Each host sees some of the ends and receives the others, in any order and more than once.
    /// Hosts that have received everything treat the request alike, and as one host that saw all of
    /// it.
    #[test]
    fn hosts_agree_after_exchanging_records(
        seen in prop::collection::vec(events(), 3),
        order in prop::collection::vec((0..3_usize, 0..3_usize), 0..8),
    ) {
        let options = Options::default();
        let mut hosts: Vec<Table> = seen.iter().map(|events| table(events)).collect();
        let everyone = (0..3).flat_map(|a| (0..3).map(move |b| (a, b)));
        let twice: Vec<_> = everyone.clone().chain(everyone).collect();
        for (from, to) in order.into_iter().chain(twice) {
            let records = hosts[from].shared_records(usize::MAX, START);
            hosts[to].merge(&options, &records, START);
        }
        let all: Vec<Event> = seen.concat();
        let one = table(&all).verdict(fatal(), START);
        for host in &hosts {
            let verdict = host.verdict(fatal(), START);
            prop_assert_eq!(std::mem::discriminant(&verdict), std::mem::discriminant(&one));
        }
    }

    /// Exchanged records never quarantine a request under which fewer servers ended than required.
    #[test]
    fn fewer_ends_never_quarantine(events in prop::collection::vec(0..2_u64, 0..20)) {
        let options = Options::default();
        let mut hosts = [Table::default(), Table::default()];
        for (n, process) in events.into_iter().enumerate() {
            apply(&mut hosts[n % 2], &[CanaryEnds(process)], START);
            let records = hosts[n % 2].shared_records(10, START);
            hosts[(n + 1) % 2].merge(&options, &records, START);
        }
        for host in &hosts {
            let verdict = host.verdict(fatal(), START);
            prop_assert!(!matches!(verdict, Verdict::Quarantined(_)), "{:?}", verdict);
        }
    }
}

/// Records that are sent contain no more processes than are needed to decide.
#[test]
fn shared_records_are_small() {
    let ends: Vec<Event> = (0..50).map(Ends).collect();
    let records = table(&ends).shared_records(10, START);
    let [record] = records.as_slice() else {
        panic!("{records:?}");
    };
    assert_eq!(record.ends.len(), Options::default().ends);
    assert_eq!(record.state, State::Suspect);
}
