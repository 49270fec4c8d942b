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
const NOON: Time = Duration::from_secs(1000);

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

fn learn(table: &mut Table, events: &[Event], now: Time) {
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
    learn(&mut table, events, NOON);
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
            let admission = table(&$events).admit(&Options::default(), fatal(), NOON + MS);
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
    ends_of_one_moment_are_not_enough: [Ends(1), Ends(2), Ends(3), Ends(4)] => Admission::Canary,
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
    what_was_answered_lately_needs_more:
        [Answered, Ends(1), CanaryEnds(2), CanaryEnds(3), CanaryEnds(4)] => Admission::Canary,
    /// A popular request may end servers since a new version of the data was published.
    what_was_answered_lately_is_quarantined_too:
        [Answered, CanaryEnds(1), CanaryEnds(2), CanaryEnds(3), CanaryEnds(4)] => Admission::Refuse(_),
}

#[test]
fn other_requests_are_served() {
    let mut table = quarantined();
    for path in ["/fatal?", "/Fatal", "/fata", "/fatal/"] {
        let admission = table.admit(&Options::default(), fingerprint(path), NOON);
        assert_eq!(admission, Admission::Serve, "{path}");
    }
}

/// Without a separation of fields, two requests could have the same fingerprint.
#[test]
fn fields_do_not_run_into_each_other() {
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
fn canaries_find_out_whether_a_quarantine_is_over() {
    let options = Options::default();
    let mut table = quarantined();
    let mut other = Table::default();
    let mut now = NOON;
    for trial in 0..options.trials {
        now += options.hold * 2_u32.pow(trial);
        assert_eq!(table.admit(&options, fatal(), now), Admission::Canary);
        other.merge(&options, &table.take_updates(now), now);
        for host in [&mut table, &mut other] {
            let admission = host.admit(&options, fatal(), now + MS);
            assert!(matches!(admission, Admission::Refuse(_)), "{admission:?}");
        }
        learn(&mut table, &[CanaryEnds(100)], now + MS);
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
    other.merge(&options, &table.take_updates(NOON), NOON);
    let now = NOON + options.hold;
    assert_eq!(table.admit(&options, fatal(), now), Admission::Canary);
    learn(&mut table, &[Answered], now + MS);
    other.merge(&options, &table.take_updates(now + MS), now + MS);
    for host in [&mut table, &mut other] {
        let admission = host.admit(&options, fatal(), now + MS);
        assert_eq!(admission, Admission::Serve);
    }
}

/// A third host that has not received the operator's lift sends the quarantine once more.
#[test]
fn late_news_does_not_bring_a_lifted_quarantine_back() {
    let options = Options::default();
    let mut table = quarantined();
    let old = table.shared_records(10, NOON);
    assert!(table.lift(fatal(), NOON + MS));
    let later: Vec<SharedRecord> = old
        .into_iter()
        .map(|account| SharedRecord {
            age: account.age + MS * 50,
            ..account
        })
        .collect();
    assert_eq!(table.merge(&options, &later, NOON + MS * 50), 0);
    assert_eq!(table.verdict(fatal(), NOON + MS * 50), Verdict::Clear);
}

/// Messages are delayed. If a record that arrives later counted as newer, a suspicion and its end,
/// each sent to all hosts, would circulate for ever.
#[test]
fn a_doubt_and_its_end_die_out() {
    let options = Options::default();
    let mut hosts = [Table::default(), Table::default(), Table::default()];
    learn(&mut hosts[0], &[Ends(1)], NOON);
    let mut now = NOON;
    let mut messages = 0;
    while let Some(from) = hosts.iter().position(Table::has_updates) {
        let news = hosts[from].take_updates(now);
        now += MS * 5;
        if messages == 2 {
            learn(&mut hosts[1], &[Answered], now);
        }
        for to in (0..hosts.len()).filter(|to| *to != from) {
            hosts[to].merge(&options, &news, now);
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
fn a_doubt_that_was_not_told_ends_without_a_word() {
    let mut table = table(&[Ends(1), Answered]);
    assert!(table.take_updates(NOON).is_empty());
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
        table.record_end(&options, fingerprint(&path), end, NOON + MS);
    }
    assert_eq!(
        table.shared_records(usize::MAX, NOON).len(),
        options.records
    );
    assert!(matches!(
        table.verdict(fatal(), NOON),
        Verdict::Quarantined(_)
    ));
}

#[test]
fn a_doubt_is_forgotten_after_a_while() {
    let options = Options::default();
    let mut table = table(&[Ends(1), Ends(2)]);
    table.expire(&options, NOON + options.memory);
    assert!(table.shared_records(10, NOON).is_empty());
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
    fn hosts_agree_once_they_have_heard_each_other(
        seen in prop::collection::vec(events(), 3),
        order in prop::collection::vec((0..3_usize, 0..3_usize), 0..8),
    ) {
        let options = Options::default();
        let mut hosts: Vec<Table> = seen.iter().map(|events| table(events)).collect();
        let everyone = (0..3).flat_map(|a| (0..3).map(move |b| (a, b)));
        let twice: Vec<_> = everyone.clone().chain(everyone).collect();
        for (from, to) in order.into_iter().chain(twice) {
            let accounts = hosts[from].shared_records(usize::MAX, NOON);
            hosts[to].merge(&options, &accounts, NOON);
        }
        let all: Vec<Event> = seen.concat();
        let one = table(&all).verdict(fatal(), NOON);
        for host in &hosts {
            let verdict = host.verdict(fatal(), NOON);
            prop_assert_eq!(std::mem::discriminant(&verdict), std::mem::discriminant(&one));
        }
    }

    /// Exchanged records never quarantine a request under which fewer servers ended than required.
    #[test]
    fn fewer_ends_never_quarantine(events in prop::collection::vec(0..2_u64, 0..20)) {
        let options = Options::default();
        let mut hosts = [Table::default(), Table::default()];
        for (n, process) in events.into_iter().enumerate() {
            learn(&mut hosts[n % 2], &[CanaryEnds(process)], NOON);
            let accounts = hosts[n % 2].shared_records(10, NOON);
            hosts[(n + 1) % 2].merge(&options, &accounts, NOON);
        }
        for host in &hosts {
            let verdict = host.verdict(fatal(), NOON);
            prop_assert!(!matches!(verdict, Verdict::Quarantined(_)), "{:?}", verdict);
        }
    }
}

/// Records that are sent contain no more processes than are needed to decide.
#[test]
fn accounts_are_small() {
    let ends: Vec<Event> = (0..50).map(Ends).collect();
    let accounts = table(&ends).shared_records(10, NOON);
    let [account] = accounts.as_slice() else {
        panic!("{accounts:?}");
    };
    assert_eq!(account.ends.len(), Options::default().ends);
    assert_eq!(account.state, State::Suspect);
}
