//! Simulates one request over modelled backend servers.

use super::MS;
use super::START;
use super::core;
use super::route;
use super::scatter;
use super::server;
use super::single;
use super::view;
use lentillift_core::id::Service;
use lentillift_core::time::Time;
use lentillift_scatter::caller::Caller;
use lentillift_scatter::config::Kind;
use lentillift_scatter::config::Route;
use lentillift_scatter::core::Core;
use lentillift_scatter::leg::Target;
use lentillift_scatter::outcome::Next;
use lentillift_scatter::outcome::Outcome;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::plan::Plan;
use lentillift_scatter::query::Query;
use lentillift_scatter::server::Server;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How a backend server handles a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behavior {
    Replies(Duration),
    Fails(Duration),
    Rejects(Duration),
    Refuses,
    Breaks(Duration),
    Ends(Duration),
    Hangs,
}

/// The course of a simulated request.
#[derive(Debug)]
pub struct Run {
    pub next: Next,
    pub took: Duration,
    /// Backend servers that were sent to, in order.
    pub sent: Vec<String>,
    /// Time of each send, relative to the arrival.
    pub at: Vec<Duration>,
}

/// Simulates one request.
pub fn simulate<W>(core: &mut Core, route: Route, timeout: Duration, behavior: W) -> Run
where
    W: Fn(&str) -> Behavior,
{
    let services = match &route.target {
        lentillift_scatter::config::Target::Scatter(scatter) => scatter.shards.to_vec(),
        split => vec![split.service("id").expect("a service").clone()],
    };
    let route = Arc::new(route);
    let plan = super::plan(core, &mut Caller::default(), &route, services, timeout);
    let mut now = START;
    let (mut query, first) = Query::start(core, plan, now);
    let mut due: BTreeMap<(Time, u64), Outcome> = BTreeMap::new();
    let (mut sent, mut at) = (Vec::new(), Vec::new());
    let mut launch = |now: Time, sends: Vec<Send>, due: &mut BTreeMap<_, _>| {
        for send in sends {
            let Target::Server(server) = &send.target else {
                panic!("no hosts here");
            };
            let id = server.entry.id.to_string();
            let load = None;
            let (after, outcome) = match behavior(&id) {
                Behavior::Replies(after) => (after, Outcome::Part { load }),
                Behavior::Fails(after) => (after, Outcome::Failure { load }),
                Behavior::Rejects(after) => (after, Outcome::Rejected { load }),
                Behavior::Refuses => (MS, Outcome::Unreachable),
                Behavior::Breaks(after) => (after, Outcome::Broken),
                Behavior::Ends(after) => (after, Outcome::ServerEnded),
                Behavior::Hangs => (send.timeout, Outcome::Broken),
            };
            let (after, outcome) = match after > send.timeout {
                true => (send.timeout, Outcome::Broken),
                false => (after, outcome),
            };
            sent.push(id);
            at.push(now - START);
            due.insert((now + after, send.id), outcome);
        }
    };
    launch(now, first, &mut due);
    loop {
        let until = match query.next(now) {
            Next::Wait(until) => until,
            next => {
                let took = now - START;
                return Run {
                    next,
                    took,
                    sent,
                    at,
                };
            }
        };
        let sends = match due.first_key_value() {
            Some(((time, _), _)) if *time <= until => {
                let ((time, send_id), outcome) = due.pop_first().expect("an event");
                now = time;
                query.ended(core, now, send_id, outcome)
            }
            _ => {
                now = until;
                query.tick(core, now)
            }
        };
        launch(now, sends, &mut due);
    }
}

/// Two replicas of each shard, in failure domains `a` (this host's) and `b`.
pub fn pairs(shards: usize, coverage: f64) -> (Core, Route) {
    let mut servers = Vec::new();
    for shard in 0..shards {
        servers.push(server(&format!("a{shard}"), &format!("s{shard}"), "a"));
        servers.push(server(&format!("b{shard}"), &format!("s{shard}"), "b"));
    }
    let route = route(scatter(shards, coverage), Kind::Idempotent);
    (core(view(route.clone(), servers)), route)
}

/// Two replicas of each shard, in failure domains `b` and `c`; none is local.
pub fn remote_pairs(shards: usize) -> Vec<Arc<Server>> {
    let replicas = |shard| {
        ["b", "c"].map(|domain| server(&format!("{domain}{shard}"), &format!("s{shard}"), domain))
    };
    (0..shards).flat_map(replicas).collect()
}

/// The services of this many shards.
pub fn service_names(shards: usize) -> Vec<Service> {
    (0..shards).map(|n| format!("s{n}").into()).collect()
}

/// A search for five shards without a local replica, on a host that knows a host `h` in domain `b`.
pub fn remote_search() -> (Core, Plan) {
    search_with(remote_pairs(5))
}

/// A search for five shards with these servers, on a host that knows a host `h` in domain `b`.
pub fn search_with(servers: Vec<Arc<Server>>) -> (Core, Plan) {
    let route = route(scatter(5, 1.0), Kind::Idempotent);
    let mut core = core(view(route.clone(), servers));
    core.hosts.update([("h".into(), "b".into())]);
    let view = core.view.clone().expect("a view");
    let plan = Plan::new(
        &mut core,
        &mut Caller::default(),
        &Arc::new(route),
        &view,
        service_names(5),
        START,
        CALLER_TIMEOUT,
    );
    (core, plan)
}

/// `count` backend servers of one service.
pub fn pool(count: usize, kind: Kind) -> (Core, Route) {
    let servers = (0..count)
        .map(|n| server(&format!("a{n}"), "s", "a"))
        .collect();
    let route = route(single("s"), kind);
    (core(view(route.clone(), servers)), route)
}

pub const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

pub fn is_complete(run: &Run) -> bool {
    matches!(run.next, Next::Answer { missing: 0, .. })
}
