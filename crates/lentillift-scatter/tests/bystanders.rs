//! Hosts that serve a search which ends servers together with harmless ones, in virtual time.

mod common;

use common::MS;
use common::START;
use common::fingerprint;
use common::options;
use common::route;
use common::scatter;
use common::server;
use common::view;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine::SharedRecord;
use lentillift_fleet::quarantine::Verdict;
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
use lentillift_scatter::replica::SendId;
use lentillift_scatter::share::Place;
use lentillift_scatter::share::Share;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const SHARDS: usize = 8;
const HOSTS: usize = 4;
const LENGTH: Duration = Duration::from_secs(12);
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until a server that ended is up again.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Time between two attempts of the search that ends servers.
const FATAL_PAUSE: Duration = Duration::from_millis(200);

/// Time within which all hosts should know, and the number of attempts that may reach servers after
/// it.
const BOUND: Duration = Duration::from_secs(4);
const MAX_LATE_ATTEMPTS: usize = 3;

const FATAL: &str = "/fatal";
const POPULAR: &str = "/popular";

type Attempt = usize;

#[derive(Debug)]
enum Event {
    Arrive {
        host: usize,
        path: String,
    },
    /// A server has finished its reply to a send.
    Reply {
        attempt: Attempt,
        send_id: SendId,
        server: String,
    },
    /// A send ends.
    Outcome {
        attempt: Attempt,
        send_id: SendId,
        outcome: Outcome,
    },
    /// A server's process ends.
    End {
        server: String,
        process: u64,
    },
    Tick {
        attempt: Attempt,
    },
    Gossip {
        host: usize,
        accounts: Vec<SharedRecord>,
    },
}

#[derive(Debug, Default)]
struct Server {
    /// Incremented each time the server ends.
    process: u64,
    up_at: Time,
    /// Sends in progress.
    in_progress: Vec<(Attempt, SendId)>,
}

struct World {
    rng: StdRng,
    now: Time,
    hosts: Vec<Core>,
    route: Arc<Route>,
    servers: HashMap<String, Server>,
    queries: HashMap<Attempt, (usize, String, Query)>,
    /// When each attempt is checked next.
    ticks: HashMap<Attempt, Time>,
    events: BTreeMap<(Time, u64), Event>,
    next: u64,
    ends: Vec<Time>,
    /// Last time at which each attempt of the search that ends servers reached one.
    reached: BTreeMap<Attempt, Time>,
    /// Harmless searches that were refused by the quarantine.
    refused: Vec<String>,
    answered: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let route = route(scatter(SHARDS, 0.5), Kind::Idempotent);
        let ids = |shard| ["a", "b"].map(|domain| (format!("{domain}{shard}"), domain));
        let servers: Vec<_> = (0..SHARDS)
            .flat_map(|shard| {
                ids(shard).map(|(id, domain)| server(&id, &format!("s{shard}"), domain))
            })
            .collect();
        let hosts = (0..HOSTS).map(|host| {
            let share = Share::new(
                Place {
                    hosts: HOSTS as u32,
                    rank: host as u32,
                },
                Time::ZERO,
            );
            let domain = ["a", "b"][host % 2];
            let mut core = Core::new(options(), format!("h{host}").into(), domain.into(), share);
            core.adopt(view(route.clone(), servers.clone()));
            core
        });
        let names = servers.iter().map(|server| server.entry.id.to_string());
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: START,
            hosts: hosts.collect(),
            servers: names.map(|name| (name, Server::default())).collect(),
            route: Arc::new(route),
            queries: HashMap::new(),
            ticks: HashMap::new(),
            events: BTreeMap::new(),
            next: 0,
            ends: Vec::new(),
            reached: BTreeMap::new(),
            refused: Vec::new(),
            answered: 0,
        }
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    fn run(&mut self) {
        while let Some(((time, _), event)) = self.events.pop_first() {
            if time > START + LENGTH {
                return;
            }
            self.now = time;
            self.handle(event);
            for host in 0..HOSTS {
                let verdict = self.hosts[host].verdict(Some(fingerprint(POPULAR)), time);
                assert!(!matches!(verdict, Verdict::Quarantined(_)), "at {time:?}");
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { host, path } => self.arrive(host, path),
            Event::Reply {
                attempt,
                send_id,
                server,
            } => {
                let in_progress = &mut self.servers.get_mut(&server).expect("a server").in_progress;
                if let Some(place) = in_progress
                    .iter()
                    .position(|sent| *sent == (attempt, send_id))
                {
                    in_progress.remove(place);
                    let load = None;
                    self.ended(attempt, send_id, Outcome::Part { load });
                }
            }
            Event::Outcome {
                attempt,
                send_id,
                outcome,
            } => self.ended(attempt, send_id, outcome),
            Event::End { server, process } => self.end(&server, process),
            Event::Tick { attempt } => {
                if self.ticks.get(&attempt) == Some(&self.now) {
                    self.step(attempt, |query, core, now| query.tick(core, now));
                }
            }
            Event::Gossip { host, accounts } => {
                let now = self.now;
                self.hosts[host].merge_quarantine(&accounts, now);
                self.gossip(host);
            }
        }
    }

    fn arrive(&mut self, host: usize, path: String) {
        let core = &mut self.hosts[host];
        let view = core.view.clone().expect("a view");
        let services = (0..SHARDS).map(|n| format!("s{n}").into()).collect();
        let caller = &mut Caller::default();
        let plan = Plan::new(
            core,
            caller,
            &self.route,
            &view,
            services,
            self.now,
            CALLER_TIMEOUT,
        );
        let (query, sends) =
            Query::start(core, plan.with_fingerprint(fingerprint(&path)), self.now);
        self.next += 1;
        let attempt = self.next as Attempt;
        self.queries.insert(attempt, (host, path, query));
        self.launch(attempt, sends);
        self.check(attempt);
        self.gossip(host);
    }

    fn ended(&mut self, attempt: Attempt, send_id: SendId, outcome: Outcome) {
        self.step(attempt, |query, core, now| {
            query.ended(core, now, send_id, outcome)
        });
    }

    fn step<F>(&mut self, attempt: Attempt, change: F)
    where
        F: FnOnce(&mut Query, &mut Core, Time) -> Vec<Send>,
    {
        let Some((host, _, query)) = self.queries.get_mut(&attempt) else {
            return;
        };
        let host = *host;
        let sends = change(query, &mut self.hosts[host], self.now);
        self.launch(attempt, sends);
        self.check(attempt);
        self.gossip(host);
    }

    fn launch(&mut self, attempt: Attempt, sends: Vec<Send>) {
        let is_fatal = self.queries[&attempt].1 == FATAL;
        for send in sends {
            let Target::Server(server) = &send.target else {
                panic!("no hosts are asked here");
            };
            let send_id = send.id;
            let name = server.entry.id.to_string();
            let arrives = self.now + MS;
            let known = self.servers.get_mut(&name).expect("a server");
            if arrives < known.up_at {
                let outcome = Outcome::Unreachable;
                self.schedule(
                    arrives,
                    Event::Outcome {
                        attempt,
                        send_id,
                        outcome,
                    },
                );
                continue;
            }
            known.in_progress.push((attempt, send_id));
            let process = known.process;
            let work = self.rng.random_range(MS * 5..MS * 15);
            if is_fatal {
                self.reached.insert(attempt, arrives);
                let until_end = self.rng.random_range(MS * 5..MS * 60);
                self.schedule(
                    arrives + until_end,
                    Event::End {
                        server: name,
                        process,
                    },
                );
            } else {
                let server = name;
                self.schedule(
                    arrives + work,
                    Event::Reply {
                        attempt,
                        send_id,
                        server,
                    },
                );
            }
        }
    }

    fn end(&mut self, name: &str, process: u64) {
        let server = self.servers.get_mut(name).expect("a server");
        if server.process != process {
            return;
        }
        server.process += 1;
        server.up_at = self.now + RESTART_TIME;
        self.ends.push(self.now);
        for (attempt, send_id) in std::mem::take(&mut server.in_progress) {
            let outcome = Outcome::ServerEnded;
            self.schedule(
                self.now + MS,
                Event::Outcome {
                    attempt,
                    send_id,
                    outcome,
                },
            );
        }
    }

    /// Checks what an attempt does next.
    fn check(&mut self, attempt: Attempt) {
        let (_, path, query) = &self.queries[&attempt];
        match query.next(self.now) {
            Next::Wait(until) => {
                let until = until.max(self.now + MS / 2);
                self.ticks.insert(attempt, until);
                self.schedule(until, Event::Tick { attempt });
                return;
            }
            Next::Quarantine(_) if path != FATAL => self.refused.push(path.clone()),
            Next::Answer { .. } => self.answered += 1,
            _ => {}
        }
        self.ticks.remove(&attempt);
        let (host, _, mut query) = self.queries.remove(&attempt).expect("a query");
        query.abandon(&mut self.hosts[host], self.now);
    }

    fn gossip(&mut self, from: usize) {
        if !self.hosts[from].quarantine.has_updates() {
            return;
        }
        let accounts = self.hosts[from].quarantine.take_updates(self.now);
        for host in (0..HOSTS).filter(|host| *host != from) {
            let transit = self.rng.random_range(MS * 5..MS * 30);
            let accounts = accounts.clone();
            self.schedule(self.now + transit, Event::Gossip { host, accounts });
        }
    }
}

/// Most callers send the same search while another search ends servers again and again. Each time,
/// some of the popular searches are in flight at servers that end. If it were blamed for this, the
/// search that most callers want would be refused for minutes.
#[test]
fn a_popular_search_is_served_beside_one_that_ends_servers() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        let mut time = START;
        let mut unique = 0;
        while time < START + LENGTH {
            time += world.rng.random_range(MS * 3..MS * 15);
            let host = world.rng.random_range(0..HOSTS);
            unique += 1;
            let path = match world.rng.random_bool(0.7) {
                true => POPULAR.to_owned(),
                false => format!("/{unique}"),
            };
            world.schedule(time, Event::Arrive { host, path });
        }
        let mut time = START + Duration::from_secs(1);
        let mut host = 0;
        while time < START + LENGTH {
            let path = FATAL.to_owned();
            world.schedule(time, Event::Arrive { host, path });
            host = (host + 1) % HOSTS;
            time += FATAL_PAUSE;
        }
        world.run();
        assert!(world.refused.is_empty(), "seed {seed}: {:?}", world.refused);
        let third = world.ends[2];
        let late = world.reached.values().filter(|at| **at > third + BOUND);
        let late = late.count();
        assert!(
            late <= MAX_LATE_ATTEMPTS,
            "seed {seed}: {late} late attempts"
        );
        assert!(world.answered > 1000, "seed {seed}: {}", world.answered);
    }
}
