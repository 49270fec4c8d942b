//! Choice of origins while hosts are cut off from each other, in virtual time.

use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::follow;
use lentillift_fleet::follow::Admission;
use lentillift_fleet::follow::Candidate;
use lentillift_fleet::follow::FANOUT;
use lentillift_fleet::follow::Options;
use lentillift_fleet::follow::Origin;
use lentillift_fleet::follow::relay_path::MAX_HOSTS;
use lentillift_fleet::follow::relay_path::Refused;
use lentillift_fleet::follow::relay_path::RelayPath;
use lentillift_fleet::follow::search::LeaveReason;
use lentillift_fleet::follow::search::Next;
use lentillift_fleet::follow::search::Search;
use lentillift_fleet::follow::search::Urgency;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which membership detects that a host does not answer.
const DETECTION: Duration = Duration::from_millis(1500);

const TICK: Duration = Duration::from_millis(20);
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const BOUND: Duration = Duration::from_secs(3);
const OPTIONS: Options = Options { bound: BOUND };

/// Current activity of a host.
#[derive(Debug, Clone)]
enum Task {
    Search {
        at: Time,
    },
    Open {
        origin: Origin,
        until: Option<Time>,
        by: Time,
    },
    Read {
        until: Option<Time>,
        next: Time,
    },
    Follow {
        host: usize,
        until: Option<Time>,
        last_frame: Time,
        seen_change: u64,
    },
}

/// One host.
#[derive(Debug)]
struct Node {
    me: Candidate,
    search: Search,
    task: Task,
    relay_path: RelayPath,
    steady: bool,
    proved: Option<Time>,
    revision: u64,
    /// Increases whenever followers are informed at once.
    changes: u64,
}

/// A fleet, the published revision, and the faults of the network.
#[derive(Debug)]
struct Simulation {
    now: Time,
    nodes: Vec<Node>,
    revision: u64,
    /// Group of each host; hosts of different groups can't reach each other.
    group: Vec<u8>,
    /// When two hosts were cut off from each other.
    cut_since: BTreeMap<(usize, usize), Time>,
    /// Whether the service turns a host away.
    turned_away: Vec<bool>,
    /// Number of ticks in which some hosts followed each other in a ring.
    rings: u64,
    /// Number of times that an origin was left because it failed or its data could not be relied
    /// on.
    failed: u64,
}

impl Simulation {
    fn new(each: usize) -> Self {
        let names = DOMAINS.iter().flat_map(|domain| {
            (0..each).map(move |number| Candidate {
                host: format!("{domain}-{number}").as_str().into(),
                domain: (*domain).into(),
            })
        });
        // Hosts start one after the other, so that each sends to its followers at different
        // moments.
        let start = |index: usize| OPTIONS.heartbeat().mul_f64(index as f64 * 0.37 % 1.0);
        let node = |(index, me): (usize, Candidate)| Node {
            me,
            search: Search::default(),
            task: Task::Search {
                at: Time::ZERO + start(index),
            },
            relay_path: RelayPath::default(),
            steady: true,
            proved: None,
            revision: 0,
            changes: 0,
        };
        let nodes: Vec<Node> = names.enumerate().map(node).collect();
        let hosts = nodes.len();
        Self {
            now: Time::ZERO,
            nodes,
            revision: 1,
            group: vec![0; hosts],
            cut_since: BTreeMap::new(),
            turned_away: vec![false; hosts],
            rings: 0,
            failed: 0,
        }
    }

    fn reach(&self, a: usize, b: usize) -> bool {
        self.group[a] == self.group[b]
    }

    /// Cuts groups of hosts off from each other, and lets the service turn some away.
    fn cut(&mut self, groups: Vec<u8>, turned_away: Vec<bool>) {
        self.group = groups;
        self.turned_away = turned_away;
        let hosts = 0..self.nodes.len();
        for pair in hosts
            .clone()
            .flat_map(|a| hosts.clone().map(move |b| (a, b)))
        {
            if self.reach(pair.0, pair.1) {
                self.cut_since.remove(&pair);
            } else {
                self.cut_since.entry(pair).or_insert(self.now);
            }
        }
        self.revision += 1;
    }

    fn index_of(&self, name: &id::Host) -> usize {
        let found = self.nodes.iter().position(|node| node.me.host == *name);
        found.expect("an origin is one of the hosts")
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for node in 0..self.nodes.len() {
                self.step(node);
            }
            self.rings += u64::from(self.has_ring());
        }
    }

    fn order(&self, node: usize) -> Vec<Origin> {
        let me = &self.nodes[node].me;
        let lost = |other: usize| {
            let since = self.cut_since.get(&(node, other));
            since.is_some_and(|since| self.now >= *since + DETECTION)
        };
        let answering = |other: &usize| *other != node && !lost(*other);
        let others = (0..self.nodes.len()).filter(answering);
        let others: Vec<Candidate> = others.map(|other| self.nodes[other].me.clone()).collect();
        follow::rank_origins(me, &others, FANOUT, self.nodes[node].search.round())
    }

    fn step(&mut self, node: usize) {
        match self.nodes[node].task.clone() {
            Task::Search { at } if self.now >= at => self.search(node),
            Task::Search { .. } => {}
            Task::Open { origin, until, by } => self.open(node, origin, until, by),
            Task::Read { until, next } if self.now >= next => self.read(node, until),
            Task::Read { .. } => {}
            Task::Follow {
                host,
                until,
                last_frame,
                seen_change,
            } => self.follow(node, host, until, last_frame, seen_change),
        }
    }

    fn search(&mut self, node: usize) {
        let order = self.order(node);
        let now = self.now;
        let state = &mut self.nodes[node];
        let age = state.proved.map(|proved| now.saturating_sub(proved));
        let urgency = OPTIONS.urgency(age);
        state.task = match state.search.next(&order, urgency, now) {
            Next::Pause => Task::Search {
                at: now + OPTIONS.retry_pause(),
            },
            Next::Try {
                origin: Origin::Service,
                until,
            } => Task::Read { until, next: now },
            Next::Try { origin, until } => Task::Open {
                origin,
                until,
                by: now + OPTIONS.open_timeout(),
            },
        };
    }

    fn leave(&mut self, node: usize, origin: &Origin, left: LeaveReason) {
        let now = self.now;
        self.failed += u64::from(left == LeaveReason::Failed);
        let state = &mut self.nodes[node];
        state.search.left(origin, left, now);
        if *origin == Origin::Service && left == LeaveReason::Failed {
            state.steady = false;
            state.changes += 1;
        }
        state.task = Task::Search { at: now };
    }

    fn open(&mut self, node: usize, origin: Origin, until: Option<Time>, by: Time) {
        let Origin::Host(name) = &origin else {
            return;
        };
        let host = self.index_of(name);
        if self.reach(node, host) {
            self.receive(node, host, until);
        } else if self.now >= by {
            self.leave(node, &origin, LeaveReason::Failed);
        }
    }

    fn read(&mut self, node: usize, until: Option<Time>) {
        if self.turned_away[node] {
            return self.leave(node, &Origin::Service, LeaveReason::Failed);
        }
        let over = match until {
            Some(until) => self.now >= until,
            None => self.order(node).first() != Some(&Origin::Service),
        };
        if over {
            return self.leave(node, &Origin::Service, LeaveReason::Again);
        }
        let (now, revision) = (self.now, self.revision);
        let state = &mut self.nodes[node];
        let relay_path = RelayPath::reader(&state.me.host);
        let is_quiet = state.revision == revision;
        // A watch returns at each change, and otherwise after its time.
        let returned = state
            .proved
            .is_none_or(|proved| !is_quiet || now >= proved + OPTIONS.watch());
        let proved = if returned { Some(now) } else { state.proved };
        let is_newer = OPTIONS.is_newer_proof(state.proved, proved);
        let has_update = !is_quiet || state.relay_path != relay_path || !state.steady || is_newer;
        state.changes += u64::from(has_update);
        state.relay_path = relay_path;
        state.steady = true;
        state.revision = revision;
        state.proved = proved;
        state.task = Task::Read {
            until,
            next: now + OPTIONS.pause(),
        };
    }

    fn follow(
        &mut self,
        node: usize,
        host: usize,
        until: Option<Time>,
        last_frame: Time,
        seen_change: u64,
    ) {
        let origin = Origin::Host(self.nodes[host].me.host.clone());
        let over = match until {
            Some(until) => self.now >= until,
            None => self.order(node).first() != Some(&origin),
        };
        if over {
            return self.leave(node, &origin, LeaveReason::Again);
        }
        let age = self.nodes[node].proved.map(|proved| self.now - proved);
        if age.is_some_and(|age| age > OPTIONS.max_age()) {
            return self.leave(node, &origin, LeaveReason::Failed);
        }
        if !self.reach(node, host) {
            if self.now >= last_frame + OPTIONS.frame_timeout() {
                self.leave(node, &origin, LeaveReason::Failed);
            }
            return;
        }
        if self.nodes[host].changes != seen_change || self.now >= last_frame + OPTIONS.heartbeat() {
            self.receive(node, host, until);
        }
    }

    /// One message of `host` arrives at `node`.
    fn receive(&mut self, node: usize, host: usize, until: Option<Time>) {
        let sender = &self.nodes[host];
        let origin = Origin::Host(sender.me.host.clone());
        let relay_path = RelayPath::extend(sender.relay_path.hosts(), &self.nodes[node].me.host);
        let (revision, proved) = (sender.revision, sender.proved);
        let (steady, seen_change) = (sender.steady, sender.changes);
        let Ok(relay_path) = relay_path else {
            return self.leave(node, &origin, LeaveReason::Failed);
        };
        let now = self.now;
        let state = &mut self.nodes[node];
        let is_newer = OPTIONS.is_newer_proof(state.proved, state.proved.max(proved));
        let has_update = state.revision < revision || state.relay_path != relay_path || is_newer;
        state.revision = state.revision.max(revision);
        state.proved = state.proved.max(proved);
        if !steady {
            return self.leave(node, &origin, LeaveReason::Failed);
        }
        state.relay_path = relay_path;
        state.steady = true;
        state.changes += u64::from(has_update);
        if state
            .proved
            .is_none_or(|proved| now > proved + OPTIONS.max_age())
        {
            return self.leave(node, &origin, LeaveReason::Failed);
        }
        state.task = Task::Follow {
            host,
            until,
            last_frame: now,
            seen_change,
        };
    }

    /// Whether some hosts follow each other in a ring.
    fn has_ring(&self) -> bool {
        (0..self.nodes.len()).any(|start| {
            let mut at = start;
            for _ in 0..self.nodes.len() {
                match self.nodes[at].task {
                    Task::Follow { host, .. } => at = host,
                    _ => return false,
                }
            }
            true
        })
    }

    /// Largest age of any host's data.
    fn oldest(&self) -> Duration {
        let proved = self.nodes.iter().map(|node| node.proved);
        let first = proved.min().flatten().unwrap_or(Time::ZERO);
        self.now.saturating_sub(first)
    }

    /// Largest age of the data of hosts that the service does not turn away.
    fn oldest_that_can_read(&self) -> Duration {
        let nodes = self.nodes.iter().zip(&self.turned_away);
        let proved = nodes
            .filter(|(_, away)| !**away)
            .map(|(node, _)| node.proved);
        let first = proved.min().flatten().unwrap_or(self.now);
        self.now.saturating_sub(first)
    }

    /// Hosts without the published revision although they reach the service, or a host that does.
    fn behind(&self) -> Vec<&str> {
        let hosts = 0..self.nodes.len();
        let can = |node: usize| {
            let mut others = hosts.clone().filter(|other| self.reach(node, *other));
            others.any(|other| !self.turned_away[other])
        };
        let behind = hosts
            .clone()
            .filter(|node| can(*node) && self.nodes[*node].revision < self.revision);
        behind.map(|node| &*self.nodes[node].me.host).collect()
    }
}

/// Two of four failure domains are cut off from the others, just when the service turns some hosts
/// away. Hosts of the two would choose each other as origins, and callers there would be answered
/// by a replaced configuration for seconds, longer than the bound allows.
#[test]
fn cut_off_domains_do_not_follow_each_other_in_a_ring() {
    for turned_away in 0..16_usize {
        let mut simulation = Simulation::new(4);
        simulation.run(BOUND * 2);
        assert!(simulation.behind().is_empty());
        let groups = (0..16).map(|node| u8::from(node >= 8)).collect();
        let turns_away = (0..16).map(|node| node == turned_away).collect();
        simulation.cut(groups, turns_away);
        simulation.run(BOUND);
        assert_eq!(
            simulation.behind(),
            Vec::<&str>::new(),
            "{turned_away} is turned away"
        );
    }
}

/// Data that is relayed by several hosts, each of which sends it with the next message that is due,
/// is too old at the last ones. They would leave working origins and request the same data from
/// others.
#[test]
fn no_origin_is_left_in_a_healthy_fleet() {
    for each in [3, 23, 40] {
        let mut simulation = Simulation::new(each);
        simulation.run(BOUND);
        let before = simulation.failed;
        let end = simulation.now + BOUND;
        let mut oldest = Duration::ZERO;
        while simulation.now < end {
            simulation.run(TICK);
            oldest = oldest.max(simulation.oldest());
        }
        assert_eq!(simulation.failed, before, "with {each} a failure domain");
        // The remaining time until an origin is left is for a slow service.
        let allowed = OPTIONS.watch() + OPTIONS.heartbeat();
        assert!(oldest < allowed, "{oldest:?} with {each} a failure domain");
    }
}

/// A change has just arrived, over a link that was busy with it, and nothing changes after that. If
/// the service held the next watch for its whole time, the reader's data would be too old before
/// the watch returns; all hosts would leave working origins at the same moment, and some would read
/// the service themselves.
#[test]
fn data_is_proved_current_in_time_after_a_change() {
    let ages = [0, 1, 5, 10].map(|parts| OPTIONS.slack() * parts / 10);
    for age in ages {
        let requested = age + OPTIONS.pause();
        let proved = requested + OPTIONS.next_watch(requested);
        assert!(proved + OPTIONS.slack() <= OPTIONS.max_age(), "{age:?}");
    }
    assert_eq!(OPTIONS.next_watch(Duration::ZERO), OPTIONS.watch());
}

/// A burst of requests waits in the sockets of a host that was paused. Those answered before the
/// host has received the updates would use replaced data; those held back while the service is
/// unavailable would wait for nothing.
macro_rules! admission_cases {
    ($($name:ident: $age:expr, $away:expr => $admission:expr;)*) => {$(
        #[test]
        fn $name() {
            let millis = Duration::from_millis;
            let away: Option<u64> = $away;
            assert_eq!(OPTIONS.admit(millis($age), away.map(millis)), $admission);
        }
    )*};
}

admission_cases! {
    fresh_data_is_served: 20, None => Admission::Serve;
    data_within_the_bound_is_served: 3000, None => Admission::Serve;
    paused_host_waits_for_an_update: 3001, None => Admission::Await(OPTIONS.frame_timeout());
    old_data_is_served_while_the_service_is_unavailable: 60_000, Some(800) => Admission::Serve;
    old_data_waits_once_the_service_is_available_again: 60_000, Some(3001) => Admission::Await(OPTIONS.frame_timeout());
}

/// A host loses its origin when no time is left for a failed attempt at another host.
macro_rules! urgency_cases {
    ($($name:ident: $age:expr => $urgency:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(OPTIONS.urgency($age), $urgency);
        }
    )*};
}

urgency_cases! {
    starting_host_tries_other_hosts_first: None => Urgency::Low;
    time_is_left_for_one_failed_attempt: Some(OPTIONS.max_age() - OPTIONS.open_timeout()) => Urgency::Low;
    no_time_is_left_for_a_failed_attempt: Some(OPTIONS.max_age() - OPTIONS.open_timeout() + TICK) => Urgency::High;
}

/// Published data is forwarded from host to host. When one host sent a copy to each host of its
/// failure domain, the last waited for as many copies as there are hosts: callers there were
/// answered by a configuration that had been replaced seconds before. Metrics showed the links of
/// the sending hosts full while all others were idle.
#[test]
fn number_of_followers_is_bounded() {
    for each in [1, 2, 3, 15, 23, 95] {
        let simulation = Simulation::new(each);
        let mut followers: BTreeMap<Origin, usize> = BTreeMap::new();
        for node in 0..simulation.nodes.len() {
            let origin = simulation.order(node).first().cloned().expect("an origin");
            *followers.entry(origin).or_default() += 1;
        }
        let most = followers.values().max().copied();
        assert!(most <= Some(6), "{most:?} followers with {each} a domain");
        assert_eq!(followers.get(&Origin::Service), Some(&1));
    }
}

#[test]
fn invalid_relay_paths_are_rejected() {
    let host = |number: usize| -> id::Host { format!("h{number}").as_str().into() };
    let long: Vec<id::Host> = (0..MAX_HOSTS).map(host).collect();
    let relay_path = RelayPath::extend(&long[..2], &host(7)).expect("a path of three hosts");
    assert_eq!(relay_path.hosts(), [host(0), host(1), host(7)]);
    assert_eq!(RelayPath::extend(&long[..2], &host(1)), Err(Refused::Ring));
    assert_eq!(RelayPath::extend(&long, &host(77)), Err(Refused::TooLong));
    assert_eq!(
        RelayPath::extend(&[host(1), host(1)], &host(2)),
        Err(Refused::Repeated)
    );
}

/// Hosts in the middle of the ranking, on which most others depend, are cut off.
#[test]
fn followers_of_isolated_hosts_find_another_origin() {
    for seed in 0..4 {
        let mut simulation = Simulation::new(23);
        simulation.run(BOUND * 2);
        let hosts = simulation.nodes.len();
        let groups = (0..hosts).map(|node| u8::from(node % 4 == seed)).collect();
        let turned_away = (0..hosts).map(|node| node % 7 == seed).collect();
        simulation.cut(groups, turned_away);
        simulation.run(BOUND);
        assert_eq!(simulation.behind(), Vec::<&str>::new(), "seed {seed}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// As the next test, with failure domains in which updates pass several hosts.
    #[test]
    fn hosts_update_within_the_bound_over_relays(
        groups in prop::collection::vec(0u8..3, 56),
        turned_away in prop::collection::vec(prop::bool::weighted(0.25), 56),
    ) {
        let mut simulation = Simulation::new(14);
        simulation.run(BOUND * 2);
        simulation.cut(groups, turned_away);
        simulation.run(BOUND);
        prop_assert_eq!(simulation.behind(), Vec::<&str>::new());
    }
}

proptest! {
    /// Hosts are cut off from each other in any way and turned away by the service in any
    /// combination, twice in a row. Within the bound every host that can obtain the published
    /// revision has it, and rings last no longer than messages need to reveal them.
    #[test]
    fn hosts_update_within_the_bound(
        first in prop::collection::vec((0u8..3, prop::bool::weighted(0.25)), 12),
        second in prop::collection::vec((0u8..3, prop::bool::weighted(0.25)), 12),
        between in 100u64..4000,
    ) {
        let mut simulation = Simulation::new(3);
        simulation.run(BOUND * 2);
        for (cut, pause) in [(first, Duration::from_millis(between)), (second, BOUND)] {
            let (groups, turned_away) = cut.into_iter().unzip();
            simulation.cut(groups, turned_away);
            simulation.run(pause);
        }
        prop_assert_eq!(simulation.behind(), Vec::<&str>::new());
        // A ring shows in as many ticks as messages need to go round once.
        prop_assert!(simulation.rings < 40, "rings in {} ticks", simulation.rings);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Hosts are cut off from each other in any way, and some are turned away by the service. A
    /// host that reaches the service tried silent hosts while its data got older than the bound,
    /// and tried the service last.
    #[test]
    fn hosts_that_reach_the_service_read_it_in_time(
        groups in prop::collection::vec(0u8..4, 28),
        turned_away in prop::collection::vec(prop::bool::weighted(0.4), 28),
    ) {
        let mut simulation = Simulation::new(7);
        simulation.run(BOUND * 2);
        simulation.cut(groups, turned_away);
        let end = simulation.now + BOUND * 3;
        while simulation.now < end {
            simulation.run(TICK);
            let oldest = simulation.oldest_that_can_read();
            // An origin is left when its data is too old, or with the next message.
            let allowed = OPTIONS.max_age() + OPTIONS.heartbeat();
            prop_assert!(oldest <= allowed, "{oldest:?}");
        }
    }
}
