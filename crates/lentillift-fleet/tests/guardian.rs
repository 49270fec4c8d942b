//! Choice of the guardians of a backend server.

use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::guardian;
use lentillift_fleet::lease_manager::LeaseManager;
use lentillift_fleet::lease_manager::LeaseState;
use lentillift_fleet::lease_manager::Options;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use lentillift_settings::placement::Placement;
use lentillift_settings::placement::Server;
use lentillift_settings::placement::State;
use lentillift_settings::roster::Entry;
use lentillift_settings::roster::Roster;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Failure domains with the region of each; the list below has ten hosts in each domain.
const DOMAINS: [(&str, &str); 8] = [
    ("d1", "east"),
    ("d2", "east"),
    ("d3", "east"),
    ("d4", "east"),
    ("d5", "west"),
    ("d6", "west"),
    ("d7", "west"),
    ("d8", "west"),
];

fn roster(regions: &[(&str, &str)]) -> Roster {
    let mut hosts = BTreeMap::new();
    for (domain, _) in DOMAINS {
        for number in 0..10 {
            let entry = Entry {
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                domain: domain.into(),
                state: State::Live,
            };
            hosts.insert(format!("{domain}-host-{number}").into(), entry);
        }
    }
    let regions = regions.iter();
    Roster {
        revision: 1,
        regions: regions
            .map(|(domain, region)| ((*domain).into(), (*region).into()))
            .collect(),
        hosts,
    }
}

fn domains(roster: &Roster, backend: &str, domain: &str) -> BTreeSet<String> {
    let guardians = guardian::choose(backend, domain, roster);
    assert_eq!(guardians.len(), guardian::MAX_COUNT);
    let entries = guardians.iter().map(|host| &roster.hosts[host]);
    entries.map(|entry| entry.domain.to_string()).collect()
}

/// Two regions lose contact for minutes. A backend server with most of its guardians in the other
/// region would get no work from anybody, and its shard would be missing from answers that the
/// region could have given completely.
#[test]
fn guardians_are_in_the_region_of_their_backend_server() {
    let roster = roster(&DOMAINS);
    for number in 0..500 {
        let (domain, region) = DOMAINS[number % DOMAINS.len()];
        let chosen = domains(&roster, &format!("search-{number}"), domain);
        let at_home = |name: &String| DOMAINS.iter().any(|d| d.0 == name && d.1 == region);
        assert!(chosen.iter().all(at_home), "{domain}: {chosen:?}");
        assert_eq!(
            chosen.len(),
            guardian::MAX_COUNT,
            "one domain has two guardians"
        );
    }
}

/// A fleet of one region names no regions. Then all domains count as the same region.
#[test]
fn without_regions_all_domains_guard() {
    let roster = roster(&[]);
    let chosen = (0..500).flat_map(|n| domains(&roster, &format!("search-{n}"), "d1"));
    assert_eq!(chosen.collect::<BTreeSet<_>>().len(), DOMAINS.len());
}

/// A host restarts. Others took over its backend servers, which it can't know yet, and all
/// processes ask it first because it is alive again. If it refused without naming a host, the
/// shards would be missing from answers until it holds the servers itself, three seconds at each
/// restart.
#[test]
fn a_new_process_names_the_next_guardian() {
    let roster = roster(&[]);
    let backend: id::Backend = "search-1".into();
    let server = Server {
        address: SocketAddr::from(([127, 0, 0, 1], 2)),
        domain: "d1".into(),
        state: State::Live,
    };
    let placement = Placement {
        revision: 1,
        servers: BTreeMap::from([(backend.clone(), server)]),
        maps: Vec::new(),
    };
    let alive: Vec<id::Host> = roster.hosts.keys().cloned().collect();
    let values = Values {
        roster: Some(Arc::new(roster)),
        placements: BTreeMap::from([("search".into(), Arc::new(placement))]),
        ..Values::default()
    };
    let view = Arc::new(View::new(values, alive));
    let guardians = view.backends[&backend].guardians.clone();
    let mut new = LeaseManager::new(Time::ZERO, guardians[0].clone(), 2, Options::default());
    new.set_view(Time::ZERO, view);
    let named = new.lease_state(Time::ZERO, &backend);
    assert_eq!(named, LeaseState::No(Some(guardians[1].clone())));
}
