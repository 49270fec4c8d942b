//! Cost of deriving a view at the target size.

use criterion::Criterion;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::view::Health;
use lentillift_fleet::view::Host;
use lentillift_fleet::view::Stage;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use lentillift_settings::placement::Placement;
use lentillift_settings::placement::Server;
use lentillift_settings::placement::State;
use lentillift_settings::roster::Entry;
use lentillift_settings::roster::Roster;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of hosts at the target size.
const HOSTS: usize = 760;

/// Number of services, each with as many backend servers.
const SERVICES: usize = 68;

/// Number of backend servers at the target size.
const BACKENDS: usize = 4600;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7000))
}

fn domain(number: usize) -> id::Domain {
    format!("d{}", number % 8).into()
}

fn values() -> Values {
    let mut values = Values::default();
    for service in 0..SERVICES {
        let numbers = (0..BACKENDS).filter(|number| number % SERVICES == service);
        let servers = numbers.map(|number| {
            let server = Server {
                address: address(number),
                domain: domain(number),
                state: State::Live,
            };
            (format!("name-search-{number}").into(), server)
        });
        let placement = Placement {
            revision: 1,
            servers: servers.collect(),
            maps: Vec::new(),
        };
        values
            .placements
            .insert(format!("name-search-{service}").into(), Arc::new(placement));
    }
    let hosts = hosts().into_iter().map(|(name, host)| {
        let entry = Entry {
            address: host.address,
            domain: host.domain,
            state: State::Live,
        };
        (name, entry)
    });
    values.roster = Some(Arc::new(Roster {
        regions: BTreeMap::new(),
        revision: 1,
        hosts: hosts.collect(),
    }));
    values
}

fn hosts() -> BTreeMap<id::Host, Host> {
    let hosts = (0..HOSTS).map(|number| {
        let host = Host {
            address: address(number),
            domain: domain(number),
            region: "r0".into(),
            incarnation: 1,
            stage: Stage::Serving,
            health: Health::Alive,
            out: false,
        };
        (format!("host-{number}").into(), host)
    });
    hosts.collect()
}

fn bench_views(criterion: &mut Criterion) {
    let values = values();
    let hosts = hosts();
    let view = View::derive(1, Time::MAX, values.clone(), hosts.clone());
    criterion.bench_function("values changed", |bencher| {
        bencher.iter(|| black_box(view.updated(Some(&values), hosts.clone())));
    });
    let mut fewer = hosts.clone();
    fewer.pop_first();
    criterion.bench_function("one host less", |bencher| {
        bencher.iter(|| black_box(view.updated(None, fewer.clone())));
    });
    criterion.bench_function("same usable hosts", |bencher| {
        bencher.iter(|| black_box(view.updated(None, hosts.clone())));
    });
    criterion.bench_function("renewal", |bencher| {
        bencher.iter(|| black_box(View::clone(&view)));
    });
}

fn main() {
    let mut criterion = Criterion::default().sample_size(10).configure_from_args();
    bench_views(&mut criterion);
    criterion.final_summary();
}
