//! A small published state and other fixtures.

#![allow(dead_code, unreachable_pub)]

pub mod simulation;

use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::id::Service as Name;
use lentillift_core::time::Time;
use lentillift_scatter::budget;
use lentillift_scatter::caller::Caller;
use lentillift_scatter::config::Config;
use lentillift_scatter::config::Kind;
use lentillift_scatter::config::Limits;
use lentillift_scatter::config::Part;
use lentillift_scatter::config::Route;
use lentillift_scatter::config::Scatter;
use lentillift_scatter::config::Service;
use lentillift_scatter::config::Target;
use lentillift_scatter::core::Core;
use lentillift_scatter::core::Options;
use lentillift_scatter::limit::Cold;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::server::Entry;
use lentillift_scatter::server::Server;
use lentillift_scatter::server::Stage;
use lentillift_scatter::share::Place;
use lentillift_scatter::share::Share;
use lentillift_scatter::view::View;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);

/// Start time of the tests, long after the process start, so that shares are settled.
pub const START: Time = Duration::from_secs(1000);

pub const LIMITS: Limits = Limits {
    head_bytes: 16384,
    body_bytes: 65536,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

pub fn scatter(shards: usize, coverage: f64) -> Target {
    Target::Scatter(Scatter {
        shards: (0..shards).map(|n| format!("s{n}").into()).collect(),
        records: 10,
        coverage,
    })
}

pub fn single(service: &str) -> Target {
    let service = service.into();
    Target::Split(vec![Part { service, weight: 1 }])
}

pub fn route(target: Target, kind: Kind) -> Route {
    Route {
        name: "r".into(),
        host: "search.example".to_owned(),
        prefix: "/q/".to_owned(),
        target,
        kind,
        attempts: 2,
        timeout: MS * 1000,
        objective: MS * 100,
    }
}

pub fn config(version: u64, routes: Vec<Route>) -> Config {
    let mut services = HashMap::new();
    for route in &routes {
        let names: Vec<_> = match &route.target {
            Target::Scatter(scatter) => scatter.shards.to_vec(),
            Target::Split(parts) => parts.iter().map(|part| part.service.clone()).collect(),
        };
        for name in names {
            let service = Service {
                connections: 100,
                cold_rate: None,
            };
            services.insert(name, service);
        }
    }
    Config::new(version, routes, services, LIMITS)
}

pub fn entry(id: &str, service: &str, domain: &str) -> Entry {
    Entry {
        id: id.into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: domain.into(),
        slots: 2,
        stage: Stage::Ready,
        cold_for: Duration::ZERO,
        process_start_ms: 1,
    }
}

pub fn server(id: &str, service: &str, domain: &str) -> Arc<Server> {
    Arc::new(Server {
        entry: entry(id, service, domain),
        cold_until: Time::ZERO,
        last_resort_until: None,
    })
}

pub fn view(route: Route, servers: Vec<Arc<Server>>) -> View {
    let mut by_service: HashMap<_, Vec<_>> = HashMap::new();
    for server in servers {
        let service = server.entry.service.clone();
        by_service.entry(service).or_default().push(server);
    }
    View {
        config: Arc::new(config(1, vec![route])),
        servers: by_service,
        evacuated: Default::default(),
    }
}

pub fn options() -> Options {
    Options {
        budget: budget::Options {
            ratio: 0.2,
            extra: 1000,
            window: Duration::from_secs(10),
        },
        cold: Cold {
            factor: 1.5,
            extra: 5.0,
        },
        ..Options::default()
    }
}

pub fn core(view: View) -> Core {
    let share = Share::new(Place { hosts: 1, rank: 0 }, Time::ZERO);
    let mut core = Core::new(options(), "me".into(), "a".into(), share);
    core.adopt(view);
    core
}

/// The fingerprint of a request for `path`.
pub fn fingerprint(path: &str) -> Fingerprint {
    Fingerprint::of("GET", "search.example", path, &[])
}

/// A plan for a request that arrives at [`START`] on a connection of `caller`, under the latest
/// view.
pub fn plan(
    core: &mut Core,
    caller: &mut Caller,
    route: &Arc<Route>,
    services: Vec<Name>,
    left: Duration,
) -> Plan {
    let view = core.view.clone().expect("a view");
    let plan = Plan::new(core, caller, route, &view, services, START, left);
    plan.with_fingerprint(fingerprint("/q/x"))
}
