//! The known state when updates are late, duplicated, missing or wrong.

mod common;

use common::MS;
use common::START;
use common::config;
use common::entry;
use common::route;
use common::single;
use lentillift_core::time::Time;
use lentillift_scatter::catalog::Catalog;
use lentillift_scatter::catalog::Change;
use lentillift_scatter::config::Kind;
use lentillift_scatter::grace::Grace;
use lentillift_scatter::grace::LastKnown;
use lentillift_scatter::grace::OUTAGE_GRACE;
use lentillift_scatter::server::Entry;
use lentillift_scatter::server::Stage;
use lentillift_scatter::source::Decoded;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::Update;
use proptest::prelude::*;
use std::time::Duration;

/// Grace periods of an update that came at [`START`], after the service had been unavailable.
const GRACE: Grace = Grace {
    leaving: START.saturating_add(Duration::from_secs(1)),
    lapsed: START.saturating_add(OUTAGE_GRACE),
};

/// Time after which nothing may reach a leaving backend server.
const BOUND: Duration = Duration::from_secs(3);

/// Decodes the items of these tests: `c` is a configuration whose bytes are its version, `b-ID` a
/// backend server whose bytes are its process start and stage, `e-DOMAIN` an evacuation.
fn decode(item: &Item) -> Decoded {
    let value = item.value.clone().unwrap_or_default();
    match item.key.split_once('-') {
        None => match value.first() {
            Some(version) => {
                let routes = vec![route(single("s"), Kind::Idempotent)];
                Decoded::Config(Box::new(config(u64::from(*version), routes)))
            }
            None => Decoded::Malformed("empty".to_owned()),
        },
        Some(("e", domain)) => Decoded::Evacuation(domain.into()),
        Some((_, id)) => match value.as_slice() {
            [start_ms, leaving] => Decoded::Server(Entry {
                process_start_ms: u64::from(*start_ms),
                stage: if *leaving == 0 {
                    Stage::Ready
                } else {
                    Stage::Leaving
                },
                ..entry(id, "s", "a")
            }),
            _ => Decoded::Malformed("no entry".to_owned()),
        },
    }
}

fn put(key: &str, revision: u64, value: &[u8]) -> Item {
    Item {
        key: key.to_owned(),
        revision,
        value: Some(value.to_vec()),
    }
}

fn removed_item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        revision,
        value: None,
    }
}

fn all(revision: u64, items: Vec<Item>) -> Update {
    Update::All { revision, items }
}

fn changes(revision: u64, items: Vec<Item>) -> Update {
    Update::Changes { revision, items }
}

/// A catalog that applied these updates at [`START`].
fn applied(updates: Vec<Update>) -> Catalog {
    let mut catalog = Catalog::default();
    for update in updates {
        catalog.apply(START, update, GRACE, decode);
    }
    catalog
}

/// The usable backend servers, and whether each is a last resort.
fn servers(catalog: &Catalog) -> Vec<(String, bool)> {
    let view = catalog.view().expect("a configuration is known");
    let servers = view.servers.get("s").into_iter().flatten();
    let mut servers: Vec<(String, bool)> = servers
        .map(|s| (s.entry.id.to_string(), s.last_resort_until.is_some()))
        .collect();
    servers.sort();
    servers
}

fn ready(id: &str) -> (String, bool) {
    (id.to_owned(), false)
}

fn last_resort(id: &str) -> (String, bool) {
    (id.to_owned(), true)
}

#[test]
fn an_update_is_applied() {
    let catalog = applied(vec![all(
        9,
        vec![put("c", 5, &[1]), put("b-x", 6, &[1, 0])],
    )]);
    assert_eq!(catalog.version(), Some(1));
    assert_eq!(catalog.revision(), 9);
    assert_eq!(servers(&catalog), [ready("x")]);
}

/// A host that lags forwards an older configuration. Requests would go back to a service that was
/// retired, after callers had seen the new one.
#[test]
fn a_configuration_never_goes_back() {
    let catalog = applied(vec![
        all(9, vec![put("c", 9, &[4])]),
        changes(10, vec![put("c", 10, &[3])]),
        all(12, vec![put("c", 11, &[2])]),
    ]);
    assert_eq!(catalog.version(), Some(4));
}

/// The published configuration is malformed. The last valid one stays in force.
#[test]
fn a_malformed_configuration_changes_nothing() {
    let catalog = applied(vec![
        all(9, vec![put("c", 9, &[4])]),
        changes(10, vec![put("c", 10, &[])]),
    ]);
    assert_eq!(catalog.version(), Some(4));
}

/// Another writer puts malformed bytes under a backend server's key. It adds no server; the others
/// stay.
#[test]
fn a_malformed_entry_adds_no_server() {
    let items = vec![
        put("c", 1, &[1]),
        put("b-x", 2, &[9]),
        put("b-y", 3, &[1, 0]),
    ];
    assert_eq!(servers(&applied(vec![all(3, items)])), [ready("y")]);
}

/// A backend server restarts under the same name, and the last entries of its former process arrive
/// after the first of the new one. If they were applied, the new process would count as leaving.
#[test]
fn entries_of_a_former_process_are_ignored() {
    let catalog = applied(vec![
        all(3, vec![put("c", 1, &[1]), put("b-x", 3, &[7, 0])]),
        changes(4, vec![put("b-x", 4, &[6, 1])]),
    ]);
    assert_eq!(servers(&catalog), [ready("x")]);
}

/// The service was unavailable, and entries lapsed that nobody could renew. If all were dropped at
/// once, no request could be served until the backend servers have registered again.
#[test]
fn lapsed_entries_are_a_last_resort_for_a_while() {
    let mut catalog = applied(vec![
        all(
            3,
            vec![
                put("c", 1, &[1]),
                put("b-x", 2, &[1, 0]),
                put("b-y", 3, &[1, 0]),
            ],
        ),
        all(9, vec![put("c", 1, &[1]), put("b-y", 3, &[1, 0])]),
    ]);
    assert_eq!(servers(&catalog), [last_resort("x"), ready("y")]);
    assert!(!catalog.expire(START + OUTAGE_GRACE - MS));
    assert!(catalog.expire(START + OUTAGE_GRACE));
    assert_eq!(servers(&catalog), [ready("y")]);
}

/// A lapsed entry comes back. Its backend server is no longer a last resort.
#[test]
fn a_lapsed_entry_that_returns_is_ready() {
    let catalog = applied(vec![
        all(3, vec![put("c", 1, &[1]), put("b-x", 2, &[1, 0])]),
        changes(4, vec![removed_item("b-x", 4)]),
        changes(5, vec![put("b-x", 5, &[1, 0])]),
    ]);
    assert_eq!(servers(&catalog), [ready("x")]);
}

/// A backend server reports that it is leaving, and then its entry is removed. The removal must not
/// keep it usable for longer than the first notice allowed.
#[test]
fn a_leaving_server_is_not_kept_longer_by_its_removal() {
    let mut catalog = applied(vec![
        all(3, vec![put("c", 1, &[1]), put("b-x", 2, &[1, 1])]),
        changes(4, vec![removed_item("b-x", 4)]),
    ]);
    assert!(catalog.view().is_some());
    let view = catalog.view().expect("a configuration is known");
    let until = view.servers["s"][0].last_resort_until;
    assert_eq!(until, Some(START + Duration::from_secs(1)));
    assert!(catalog.expire(START + OUTAGE_GRACE));
}

/// Guards against a host that stops following the published state at an entry whose warm-up ends after all times.
#[test]
fn a_warm_up_beyond_all_times_never_ends() {
    let mut catalog = applied(vec![all(3, vec![put("c", 1, &[1])])]);
    let update = changes(4, vec![put("b-x", 4, &[1, 0])]);
    catalog.apply(START, update, GRACE, |item| match decode(item) {
        Decoded::Server(entry) => Decoded::Server(Entry {
            cold_for: Duration::MAX,
            ..entry
        }),
        other => other,
    });
    let view = catalog.view().expect("a configuration is known");
    assert_eq!(view.servers["s"][0].cold_until, Time::MAX);
}

/// Operators evacuate a failure domain and bring it back.
#[test]
fn an_evacuation_holds_until_it_is_revoked() {
    let mut catalog = applied(vec![all(3, vec![put("c", 1, &[1]), put("e-a", 2, &[])])]);
    let view = catalog.view().expect("a configuration is known");
    assert!(view.evacuated.contains("a"));
    let changed = catalog.apply(
        START,
        changes(4, vec![removed_item("e-a", 4)]),
        GRACE,
        decode,
    );
    assert_eq!(changed, [Change::Evacuation("a".into(), false)]);
    let view = catalog.view().expect("a configuration is known");
    assert!(view.evacuated.is_empty());
}

/// A follower that lacks only the last changes gets just these, each key once; one that was
/// disconnected for longer than removals are kept gets everything.
#[test]
fn followers_get_what_they_lack() {
    let mut catalog = applied(vec![all(3, vec![put("c", 1, &[1])])]);
    assert_eq!(catalog.update_since(3), None);
    catalog.apply(
        START,
        changes(5, vec![put("b-x", 4, &[1, 0])]),
        GRACE,
        decode,
    );
    let update = changes(5, vec![put("b-x", 4, &[1, 0])]);
    assert_eq!(catalog.update_since(3), Some(update));
    assert!(matches!(catalog.update_since(2), Some(Update::All { .. })));
    assert!(matches!(catalog.update_since(0), Some(Update::All { .. })));
    for revision in 6..2000 {
        let items = vec![put("b-x", revision, &[1, 0])];
        catalog.apply(START, changes(revision, items), GRACE, decode);
    }
    let last = changes(1999, vec![put("b-x", 1999, &[1, 0])]);
    assert_eq!(catalog.update_since(4), Some(last));
    for revision in 2000..7000 {
        let items = vec![removed_item(&format!("b-{revision}"), revision)];
        catalog.apply(START, changes(revision, items), GRACE, decode);
    }
    assert!(matches!(
        catalog.update_since(1999),
        Some(Update::All { .. })
    ));
    assert!(matches!(
        catalog.update_since(6000),
        Some(Update::Changes { .. })
    ));
}

/// The service loses its history for some seconds, and the reader reads everything each time. A
/// follower that knows the previous state is sent the changes, not everything: that would occupy
/// the links of a large fleet for seconds, and callers would be served under an old configuration
/// meanwhile.
#[test]
fn after_a_full_read_followers_get_what_changed() {
    let (x, y) = (put("b-x", 2, &[1, 0]), put("b-y", 3, &[1, 0]));
    let (old, new) = (put("c", 1, &[1]), put("c", 8, &[2]));
    let catalog = applied(vec![
        all(3, vec![old.clone(), x, y.clone()]),
        all(9, vec![new.clone(), y.clone()]),
    ]);
    let update = catalog.update_since(3).expect("it misses something");
    assert_eq!(update, changes(9, vec![removed_item("b-x", 9), new]));
    assert!(matches!(catalog.update_since(2), Some(Update::All { .. })));
    let mut follower = applied(vec![all(3, vec![old, put("b-x", 2, &[1, 0]), y])]);
    follower.apply(START, update, GRACE, decode);
    assert_eq!(follower.view(), catalog.view());
}

/// A published history.
fn history() -> impl Strategy<Value = Vec<Item>> {
    let item = (0usize..4, any::<bool>(), 1u8..5);
    prop::collection::vec(item, 1..30).prop_map(|items| {
        let keys = ["c", "b-x", "b-y", "e-a"];
        let numbered = items.into_iter().zip(1..);
        numbered
            .map(|((key, removed, value), revision)| match keys[key] {
                "c" => put("c", revision, &[revision as u8]),
                key if removed => removed_item(key, revision),
                key => put(key, revision, &[1, value % 2]),
            })
            .collect()
    })
}

proptest! {
    /// A follower lags and gets what it lacks at arbitrary times. It ends with the same state as a
    /// host that applied each change.
    #[test]
    fn a_lagging_follower_reaches_the_same_state(
        history in history(),
        synced_at in prop::collection::vec(any::<bool>(), 30),
    ) {
        let mut origin = applied(vec![all(0, Vec::new())]);
        let mut follower = Catalog::default();
        let last = history.len() as u64;
        for (item, is_due) in history.into_iter().zip(synced_at) {
            let revision = item.revision;
            origin.apply(START, changes(revision, vec![item]), GRACE, decode);
            let is_synced = is_due || revision == last;
            if let Some(update) = origin.update_since(follower.revision()).filter(|_| is_synced) {
                follower.apply(START, update, GRACE, decode);
            }
        }
        prop_assert_eq!(follower.version(), origin.version());
        let evacuated = |catalog: &Catalog| catalog.view().map(|view| view.evacuated);
        prop_assert_eq!(evacuated(&follower), evacuated(&origin));
        let usable = |catalog: &Catalog| {
            let mut servers = catalog.view().map(|_| servers(catalog)).unwrap_or_default();
            servers.retain(|(_, is_last_resort)| !is_last_resort);
            servers
        };
        prop_assert_eq!(usable(&follower), usable(&origin));
    }

    /// Updates arrive through several hosts: in parts, twice, and older after newer. The state is
    /// the same as when each is applied once and in order.
    #[test]
    fn duplicate_and_late_updates_change_nothing(
        history in history(),
        again in prop::collection::vec(0usize..30, 0..20),
    ) {
        let last = history.len() as u64;
        let in_order = applied(vec![changes(last, history.clone())]);
        let mut twice = applied(vec![changes(last, history.clone())]);
        for place in again {
            let item = history[place % history.len()].clone();
            twice.apply(START, changes(item.revision, vec![item]), GRACE, decode);
        }
        prop_assert_eq!(twice.view(), in_order.view());
    }
}

/// Grace periods of an update that comes at `now` to a host whose state was last confirmed at
/// `confirmed_at`.
fn grace(now: Time, confirmed_at: Option<Time>) -> Grace {
    let last_known = LastKnown {
        confirmed_at,
        unavailable_at: None,
    };
    Grace::within(BOUND, now, last_known)
}

/// An entry is removed while the service is available: its server left without notice and serves
/// only for its drain time. If it were kept for as long as after an outage, it would get requests
/// after that.
#[test]
fn without_an_outage_a_removed_entry_is_kept_within_the_bound() {
    for late in [Duration::ZERO, BOUND / 3, BOUND * 2 / 3, BOUND, BOUND * 3] {
        let published = START - late;
        let grace = grace(START, Some(published));
        assert!(grace.lapsed.max(grace.leaving) <= START.max(published + BOUND * 5 / 6));
    }
    let last_known = LastKnown {
        confirmed_at: Some(START),
        unavailable_at: Some(START),
    };
    assert_eq!(
        Grace::within(BOUND, START, last_known).lapsed,
        START + OUTAGE_GRACE
    );
}

/// A host was suspended through an outage and long after it, and hears of the outage and of a removed
/// entry at once. Had the entry lapsed in the outage, it would be back; its server has left since.
#[test]
fn long_after_an_outage_a_removed_entry_is_not_kept() {
    for late in [BOUND * 3, BOUND * 10] {
        let last_known = LastKnown {
            confirmed_at: Some(START - late),
            unavailable_at: Some(START - late),
        };
        assert!(Grace::within(BOUND, START, last_known).lapsed <= START);
    }
}

/// A process that has just started reads that a server is leaving, and can't know since when.
#[test]
fn a_server_that_was_leaving_before_anything_was_known_is_not_used() {
    assert_eq!(grace(START, None).leaving, START);
}

/// A leaving backend server keeps publishing how long it stays cold, each second. If each entry
/// extended the time in which it may be used, it would get requests until its process is gone, and
/// a search would lose its part.
#[test]
fn repeated_leaving_entries_do_not_extend_the_grace() {
    let mut catalog = applied(vec![all(
        3,
        vec![put("c", 1, &[1]), put("b-x", 2, &[1, 0])],
    )]);
    for second in 0..3_u64 {
        let now = START + Duration::from_secs(second);
        let update = changes(4 + second, vec![put("b-x", 4 + second, &[1, 1])]);
        catalog.apply(now, update, grace(now, Some(now)), decode);
    }
    let view = catalog.view().expect("a configuration is known");
    let until = view.servers["s"][0].last_resort_until;
    assert_eq!(until, Some(START + BOUND / 6));
}

proptest! {
    /// A backend server reports that it is leaving, reports it again, lapses and comes back, in any
    /// order, and the updates reach a host late and in pieces. Whatever the host receives and when,
    /// it never uses the server later than the bound allows after its first notice.
    #[test]
    fn a_leaving_server_is_not_used_after_the_bound(
        history in prop::collection::vec((0u64..900, 0u8..3), 1..12),
        checks in prop::collection::vec(1u64..1900, 1..12),
    ) {
        let mut at = START;
        let mut published = vec![(START, put("b-x", 1, &[1, 0]))];
        for ((pause, kind), revision) in history.into_iter().zip(2..) {
            at += Duration::from_millis(pause);
            published.push((at, match kind {
                0 => removed_item("b-x", revision),
                _ => put("b-x", revision, &[1, 1]),
            }));
        }
        let left = published.get(1).map(|(at, _)| *at).expect("it leaves");
        let mut catalog = applied(vec![all(1, vec![put("c", 1, &[1]), put("b-x", 1, &[1, 0])])]);
        let (mut now, mut confirmed_at) = (START, START);
        for pause in checks {
            now += Duration::from_millis(pause);
            let items: Vec<Item> = published
                .iter()
                .filter(|(at, item)| *at <= now && item.revision > catalog.revision())
                .map(|(_, item)| item.clone())
                .collect();
            let revision = items.last().map_or(catalog.revision(), |item| item.revision);
            catalog.apply(now, changes(revision, items), grace(now, Some(confirmed_at)), decode);
            confirmed_at = now;
            catalog.expire(now);
            let view = catalog.view().expect("a configuration is known");
            for server in view.servers.get("s").into_iter().flatten() {
                let until = server.last_resort_until.filter(|until| *until > now);
                prop_assert!(until.is_none_or(|until| until <= left + BOUND));
            }
        }
    }
}

/// The configuration is replaced twice while a follower is busy applying earlier updates. If it is
/// sent each version in full, the link is occupied by one that is already superseded, and the last
/// one comes into force twice as late. This happened when changes were kept and forwarded as a
/// list: the metric of bytes sent showed two versions in each message. Now each held item has its
/// revision, and there is no list.
#[test]
fn a_follower_is_sent_only_the_last_version() {
    let mut catalog = applied(vec![
        all(3, vec![put("c", 2, &[1]), put("b-x", 3, &[1, 0])]),
        changes(4, vec![put("c", 4, &[2])]),
        changes(5, vec![put("b-x", 5, &[1, 1])]),
        changes(6, vec![put("c", 6, &[3])]),
    ]);
    let items = vec![put("b-x", 5, &[1, 1]), put("c", 6, &[3])];
    assert_eq!(catalog.update_since(3), Some(changes(6, items)));
    catalog.apply(
        START,
        changes(8, vec![removed_item("b-x", 8)]),
        GRACE,
        decode,
    );
    let items = vec![removed_item("b-x", 8), put("c", 6, &[3])];
    assert_eq!(catalog.update_since(4), Some(changes(8, items)));
}
