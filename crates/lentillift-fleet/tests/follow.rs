//! Choice of origins while hosts are cut off from each other, in virtual time.

use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::follow;
use lentillift_fleet::follow::Admission;
use lentillift_fleet::follow::Candidate;
use lentillift_fleet::follow::FANOUT;
use lentillift_fleet::follow::Options;
use lentillift_fleet::follow::Origin;
use lentillift_fleet::follow::relay_path::MOST;
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
        heard: Time,
        seen: u64,
    },
}

/// One host.
#[derive(Debug)]
struct Node {
    me: Candidate,
    search: Search,
    task: Task,
    way: RelayPath,
    steady: bool,
    proved: Option<Time>,
    revision: u64,
    /// Increases whenever followers are informed at once.
    changed: u64,
}

/// A fleet, the published revision, and the faults of the network.
#[derive(Debug)]
struct World {
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

impl World {
    fn new(each: usize) -> Self {
        let names = DOMAINS.iter().flat_map(|domain| {
            (0..each).map(move |number| Candidate {
                host: format!("{domain}-{number}").as_str().into(),
                domain: (*domain).into(),
            })
        });
        // Hosts start one after the other, so that each sends to its followers at different
        // moments.
        let start = |place: usize| OPTIONS.heartbeat().mul_f64(place as f64 * 0.37 % 1.0);
        let node = |(place, me): (usize, Candidate)| Node {
            me,
            search: Search::default(),
            task: Task::Search {
                at: Time::ZERO + start(place),
            },
            way: RelayPath::default(),
            steady: true,
            proved: None,
            revision: 0,
            changed: 0,
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

    fn place(&self, name: &id::Host) -> usize {
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
                heard,
                seen,
            } => self.follow(node, host, until, heard, seen),
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
            state.changed += 1;
        }
        state.task = Task::Search { at: now };
    }

    fn open(&mut self, node: usize, origin: Origin, until: Option<Time>, by: Time) {
        let Origin::Host(name) = &origin else {
            return;
        };
        let host = self.place(name);
        if self.reach(node, host) {
            self.hear(node, host, until);
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
        let way = RelayPath::reader(&state.me.host);
        let is_quiet = state.revision == revision;
        // A watch returns at each change, and otherwise after its time.
        let returned = state
            .proved
            .is_none_or(|proved| !is_quiet || now >= proved + OPTIONS.watch());
        let proved = if returned { Some(now) } else { state.proved };
        let anew = OPTIONS.is_newer_proof(state.proved, proved);
        let news = !is_quiet || state.way != way || !state.steady || anew;
        state.changed += u64::from(news);
        state.way = way;
        state.steady = true;
        state.revision = revision;
        state.proved = proved;
        state.task = Task::Read {
            until,
            next: now + OPTIONS.pause(),
        };
    }

    fn follow(&mut self, node: usize, host: usize, until: Option<Time>, heard: Time, seen: u64) {
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
            if self.now >= heard + OPTIONS.frame_timeout() {
                self.leave(node, &origin, LeaveReason::Failed);
            }
            return;
        }
        if self.nodes[host].changed != seen || self.now >= heard + OPTIONS.heartbeat() {
            self.hear(node, host, until);
        }
    }

    /// One message of `host` arrives at `node`.
    fn hear(&mut self, node: usize, host: usize, until: Option<Time>) {
        let teller = &self.nodes[host];
        let origin = Origin::Host(teller.me.host.clone());
        let way = RelayPath::extend(teller.way.hosts(), &self.nodes[node].me.host);
        let (revision, proved) = (teller.revision, teller.proved);
        let (steady, seen) = (teller.steady, teller.changed);
        let Ok(way) = way else {
            return self.leave(node, &origin, LeaveReason::Failed);
        };
        let now = self.now;
        let state = &mut self.nodes[node];
        let anew = OPTIONS.is_newer_proof(state.proved, state.proved.max(proved));
        let news = state.revision < revision || state.way != way || anew;
        state.revision = state.revision.max(revision);
        state.proved = state.proved.max(proved);
        if !steady {
            return self.leave(node, &origin, LeaveReason::Failed);
        }
        state.way = way;
        state.steady = true;
        state.changed += u64::from(news);
        if state
            .proved
            .is_none_or(|proved| now > proved + OPTIONS.max_age())
        {
            return self.leave(node, &origin, LeaveReason::Failed);
        }
        state.task = Task::Follow {
            host,
            until,
            heard: now,
            seen,
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
        let mut world = World::new(4);
        world.run(BOUND * 2);
        assert!(world.behind().is_empty());
        let groups = (0..16).map(|node| u8::from(node >= 8)).collect();
        let turns_away = (0..16).map(|node| node == turned_away).collect();
        world.cut(groups, turns_away);
        world.run(BOUND);
        assert_eq!(
            world.behind(),
            Vec::<&str>::new(),
            "{turned_away} is turned away"
        );
    }
}

/// Data that is relayed by several hosts, each of which sends it with the next message that is due,
/// is too old at the last ones. They would leave working origins and request the same data from
/// others.
#[test]
fn no_origin_is_left_in_a_fleet_that_is_well() {
    for each in [3, 23, 40] {
        let mut world = World::new(each);
        world.run(BOUND);
        let before = world.failed;
        let end = world.now + BOUND;
        let mut oldest = Duration::ZERO;
        while world.now < end {
            world.run(TICK);
            oldest = oldest.max(world.oldest());
        }
        assert_eq!(world.failed, before, "with {each} a failure domain");
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
fn knowledge_is_proved_again_in_time_after_a_change() {
    let ages = [0, 1, 5, 10].map(|parts| OPTIONS.slack() * parts / 10);
    for age in ages {
        let asked = age + OPTIONS.pause();
        let proved = asked + OPTIONS.next_watch(asked);
        assert!(proved + OPTIONS.slack() <= OPTIONS.max_age(), "{age:?}");
    }
    assert_eq!(OPTIONS.next_watch(Duration::ZERO), OPTIONS.watch());
}

/// A burst of requests waits in the sockets of a host that was paused. Those answered before the
/// host has received the updates would use replaced data; those held back while the service is
/// unavailable would wait for nothing.
macro_rules! admits {
    ($($name:ident: $age:expr, $away:expr => $admission:expr;)*) => {$(
        #[test]
        fn $name() {
            let millis = Duration::from_millis;
            let away: Option<u64> = $away;
            assert_eq!(OPTIONS.admit(millis($age), away.map(millis)), $admission);
        }
    )*};
}

admits! {
    fresh_knowledge_serves: 20, None => Admission::Serve;
    knowledge_within_the_bound_serves: 3000, None => Admission::Serve;
    a_host_that_stood_still_waits_for_news: 3001, None => Admission::Await(OPTIONS.frame_timeout());
    old_knowledge_serves_while_the_service_is_away: 60_000, Some(800) => Admission::Serve;
    old_knowledge_waits_once_the_service_is_back: 60_000, Some(3001) => Admission::Await(OPTIONS.frame_timeout());
}

/// A host loses its origin when no time is left for a failed attempt at another host.
macro_rules! hurries {
    ($($name:ident: $age:expr => $urgency:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(OPTIONS.urgency($age), $urgency);
        }
    )*};
}

hurries! {
    a_host_that_starts_asks_other_hosts_first: None => Urgency::Low;
    there_is_time_for_one_vain_try: Some(OPTIONS.max_age() - OPTIONS.open_timeout()) => Urgency::Low;
    there_is_no_time_for_a_vain_try: Some(OPTIONS.max_age() - OPTIONS.open_timeout() + TICK) => Urgency::High;
}

/// Published data is forwarded from host to host. When one host sent a copy to each host of its
/// failure domain, the last waited for as many copies as there are hosts: callers there were
/// answered by a configuration that had been replaced seconds before. Metrics showed the links of
/// the sending hosts full while all others were idle.
#[test]
fn nobody_is_followed_by_more_than_a_few() {
    for each in [1, 2, 3, 15, 23, 95] {
        let world = World::new(each);
        let mut followers: BTreeMap<Origin, usize> = BTreeMap::new();
        for node in 0..world.nodes.len() {
            let origin = world.order(node).first().cloned().expect("an origin");
            *followers.entry(origin).or_default() += 1;
        }
        let most = followers.values().max().copied();
        assert!(most <= Some(6), "{most:?} followers with {each} a domain");
        assert_eq!(followers.get(&Origin::Service), Some(&1));
    }
}

#[test]
fn a_way_over_oneself_or_beyond_reason_is_refused() {
    let host = |number: usize| -> id::Host { format!("h{number}").as_str().into() };
    let long: Vec<id::Host> = (0..MOST).map(host).collect();
    let way = RelayPath::extend(&long[..2], &host(7)).expect("a way of three");
    assert_eq!(way.hosts(), [host(0), host(1), host(7)]);
    assert_eq!(RelayPath::extend(&long[..2], &host(1)), Err(Refused::Ring));
    assert_eq!(RelayPath::extend(&long, &host(77)), Err(Refused::TooLong));
    assert_eq!(
        RelayPath::extend(&[host(1), host(1)], &host(2)),
        Err(Refused::Repeated)
    );
}

/// Hosts in the middle of the ranking, on which most others depend, are cut off.
#[test]
fn hosts_below_those_that_are_cut_off_find_another_way() {
    for seed in 0..4 {
        let mut world = World::new(23);
        world.run(BOUND * 2);
        let hosts = world.nodes.len();
        let groups = (0..hosts).map(|node| u8::from(node % 4 == seed)).collect();
        let turned_away = (0..hosts).map(|node| node % 7 == seed).collect();
        world.cut(groups, turned_away);
        world.run(BOUND);
        assert_eq!(world.behind(), Vec::<&str>::new(), "seed {seed}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// As the next test, with failure domains in which updates pass several hosts.
    #[test]
    fn whoever_can_know_does_within_the_bound_also_over_relays(
        groups in prop::collection::vec(0u8..3, 56),
        turned_away in prop::collection::vec(prop::bool::weighted(0.25), 56),
    ) {
        let mut world = World::new(14);
        world.run(BOUND * 2);
        world.cut(groups, turned_away);
        world.run(BOUND);
        prop_assert_eq!(world.behind(), Vec::<&str>::new());
    }
}

proptest! {
    /// Hosts are cut off from each other in any way and turned away by the service in any
    /// combination, twice in a row. Within the bound every host that can obtain the published
    /// revision has it, and rings last no longer than messages need to reveal them.
    #[test]
    fn whoever_can_know_what_is_published_does_within_the_bound(
        first in prop::collection::vec((0u8..3, prop::bool::weighted(0.25)), 12),
        second in prop::collection::vec((0u8..3, prop::bool::weighted(0.25)), 12),
        between in 100u64..4000,
    ) {
        let mut world = World::new(3);
        world.run(BOUND * 2);
        for (cut, pause) in [(first, Duration::from_millis(between)), (second, BOUND)] {
            let (groups, turned_away) = cut.into_iter().unzip();
            world.cut(groups, turned_away);
            world.run(pause);
        }
        prop_assert_eq!(world.behind(), Vec::<&str>::new());
        // A ring shows in as many ticks as messages need to go round once.
        prop_assert!(world.rings < 40, "rings in {} ticks", world.rings);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Hosts are cut off from each other in any way, and some are turned away by the service. A
    /// host that reaches the service tried silent hosts while its data got older than the bound,
    /// and tried the service last.
    #[test]
    fn whoever_reaches_the_service_asks_it_in_time(
        groups in prop::collection::vec(0u8..4, 28),
        turned_away in prop::collection::vec(prop::bool::weighted(0.4), 28),
    ) {
        let mut world = World::new(7);
        world.run(BOUND * 2);
        world.cut(groups, turned_away);
        let end = world.now + BOUND * 3;
        while world.now < end {
            world.run(TICK);
            let oldest = world.oldest_that_can_read();
            // An origin is left when its data is too old, or with the next message.
            let allowed = OPTIONS.max_age() + OPTIONS.heartbeat();
            prop_assert!(oldest <= allowed, "{oldest:?}");
        }
    }
}
