//! Membership from seeds, over a fake network in virtual time.

use lentillift_core::time::Time;
use lentillift_fleet::follow;
use lentillift_fleet::follow::Candidate;
use lentillift_fleet::follow::Origin;
use lentillift_fleet::member::Member;
use lentillift_fleet::packet::Packet;
use lentillift_fleet::probe;
use lentillift_fleet::swim::Effect;
use lentillift_fleet::swim::Swim;
use lentillift_fleet::swim::TICK;
use lentillift_fleet::view::Health;
use lentillift_fleet::view::Stage;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Time that a datagram takes.
const DELAY: Duration = Duration::from_millis(1);

fn address(number: usize) -> SocketAddr {
    ([10, 0, (number / 250) as u8, (number % 250) as u8], 7000).into()
}

fn name(number: usize) -> String {
    format!("h{number}")
}

/// Simulated network of hosts in four failure domains, host `n` in domain `n % 4`.
struct Net {
    now: Time,
    hosts: BTreeMap<usize, Swim<StdRng>>,
    in_transit: BTreeMap<(Time, u64), (usize, Packet)>,
    next: u64,
    rng: StdRng,
    /// Share of datagrams that are lost, in hundredths.
    loss: u32,
    /// Pairs of hosts between which no datagram passes.
    cut: BTreeSet<(usize, usize)>,
    seeds: Vec<SocketAddr>,
    bytes: usize,
}

impl Net {
    fn new(seed: u64, count: usize) -> Self {
        let mut net = Self {
            now: SECOND,
            hosts: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            next: 0,
            rng: StdRng::seed_from_u64(seed),
            loss: 0,
            cut: BTreeSet::new(),
            seeds: vec![address(0), address(1), address(900)],
            bytes: 0,
        };
        for number in 0..count {
            net.start(number);
        }
        net
    }

    fn start(&mut self, number: usize) {
        let domains = (0..4).map(|n| (format!("d{n}").into(), "r".into()));
        let incarnation = self.now.as_millis() as u64;
        let me = Member {
            host: name(number).into(),
            address: address(number),
            domain: format!("d{}", number % 4).into(),
            incarnation,
            version: incarnation,
            stage: Stage::Starting,
            health: Health::Alive,
        };
        let seeds = self.seeds.iter().filter(|seed| **seed != address(number));
        let mut swim = Swim::new(
            probe::Options::default(),
            self.now,
            me,
            seeds.copied().collect(),
            domains.collect(),
            StdRng::seed_from_u64(number as u64),
        );
        let effects = swim.serve();
        self.hosts.insert(number, swim);
        self.send(number, effects);
    }

    fn send(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Packet(to, packet) = effect else {
                continue;
            };
            let bytes = lentillift_node::datagram::encode(packet.clone()).expect("small enough");
            self.bytes += bytes.len();
            let to = (0..1000).find(|n| address(*n) == to).expect("a host");
            let lost = self.rng.random_range(0..100) < self.loss;
            if !lost && !self.cut.contains(&(from, to)) && !self.cut.contains(&(to, from)) {
                self.next += 1;
                self.in_transit
                    .insert((self.now + DELAY, self.next), (to, packet));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let tick = self.now + TICK;
            while let Some(entry) = self.in_transit.first_entry()
                && entry.key().0 <= tick
            {
                let ((at, _), (to, packet)) = entry.remove_entry();
                self.now = at;
                if let Some(host) = self.hosts.get_mut(&to) {
                    let effects = host.packet(at, packet);
                    self.send(to, effects);
                }
            }
            self.now = tick;
            for number in self.hosts.keys().copied().collect::<Vec<_>>() {
                let now = self.now;
                let effects = self.hosts.get_mut(&number).map(|host| host.tick(now));
                self.send(number, effects.unwrap_or_default());
            }
        }
    }

    /// Hosts that `number` considers alive and serving.
    fn serving(&self, number: usize) -> BTreeSet<String> {
        let serving = self.hosts[&number].serving();
        serving.map(|member| member.host.to_string()).collect()
    }

    fn all_know(&self, count: usize) -> bool {
        self.hosts
            .keys()
            .all(|number| self.serving(*number).len() == count - 1)
    }
}

macro_rules! nets {
    ($($(#[$doc:meta])* $name:ident($net:ident: $count:expr) $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            for seed in 0..5 {
                #[allow(unused_mut)]
                let mut $net = Net::new(seed, $count);
                $body
            }
        }
    )*};
}

nets! {
    hosts_find_each_other_through_seeds(net: 9) {
        net.run(SECOND * 3);
        assert!(net.all_know(9));
    }

    many_hosts_that_start_at_once(net: 90) {
        net.run(SECOND * 6);
        assert!(net.all_know(90));
        // Each host's share of the common start, forwarded updates included.
        assert!(net.bytes / 90 < 60_000, "{} bytes a host", net.bytes / 90);
    }

    /// A fifth of all datagrams is lost. All hosts are still found, and none is considered dead.
    lost_datagrams_are_tolerated(net: 9) {
        net.loss = 20;
        net.run(SECOND * 8);
        for host in net.hosts.values() {
            assert_eq!(host.table().len(), 8);
            assert!(host.table().iter().all(|member| member.health != Health::Dead));
        }
    }

    /// All seeds are down when a host restarts. It serves alone, and is found again by hosts that
    /// remember it once one of them probes it.
    a_host_without_seeds_is_found_again(net: 9) {
        net.run(SECOND * 3);
        net.seeds = vec![address(901)];
        net.hosts.remove(&5);
        net.run(SECOND);
        net.start(5);
        net.run(SECOND * 20);
        assert!(net.all_know(9));
    }

    /// A host loses power. The others stop probing it in the regular round, but still count it: it
    /// may be cut off from them alone, and use its share of a common budget.
    a_dead_host_is_counted_but_not_probed(net: 9) {
        net.run(SECOND * 3);
        net.hosts.remove(&4);
        net.run(SECOND * 12);
        for number in net.hosts.keys() {
            assert!(!net.serving(*number).contains("h4"));
            assert_eq!(net.hosts[number].present().count(), 9);
        }
    }

    /// A host announces its end. No other host waits for it or counts it.
    a_host_that_ends_is_not_counted(net: 9) {
        net.run(SECOND * 3);
        let effects = net.hosts.get_mut(&4).map(Swim::leave).unwrap_or_default();
        net.send(4, effects);
        net.run(SECOND);
        let effects = net.hosts.get_mut(&4).map(Swim::end).unwrap_or_default();
        net.send(4, effects);
        net.run(DELAY * 5);
        net.hosts.remove(&4);
        net.run(SECOND * 10);
        for number in net.hosts.keys() {
            assert_eq!(net.hosts[number].present().count(), 8);
        }
    }

    /// Two halves of the fleet are cut off from each other for twenty seconds. They reconnect,
    /// though by then each half considers the other dead.
    partitioned_halves_reconnect(net: 9) {
        net.run(SECOND * 3);
        for a in 0..4 {
            net.cut.extend((4..9).map(|b| (a, b)));
        }
        net.run(SECOND * 20);
        net.cut.clear();
        net.run(SECOND * 30);
        assert!(net.all_know(9));
    }
}

fn candidate(number: usize) -> Candidate {
    Candidate {
        host: name(number).into(),
        domain: format!("d{}", number % 4).into(),
    }
}

fn order(number: usize, count: usize) -> Vec<Origin> {
    let others = (0..count).filter(|n| *n != number).map(candidate);
    follow::rank_origins(
        &candidate(number),
        &others.collect::<Vec<_>>(),
        follow::FANOUT,
        0,
    )
}

/// With the same membership at every host, one host reads the service, whatever the size of the
/// fleet, and each change is sent once into each failure domain.
#[test]
fn one_host_reads_and_one_in_each_domain_follows_it() {
    for count in [9, 61, 760] {
        let mut readers = Vec::new();
        let mut crossing = 0;
        for number in 0..count {
            match &order(number, count)[0] {
                Origin::Service => readers.push(number),
                Origin::Host(host) => {
                    let followed: usize = host[1..].parse().expect("a number");
                    crossing += usize::from(followed % 4 != number % 4);
                }
            }
        }
        assert_eq!(readers.len(), 1);
        assert_eq!(crossing, 3);
    }
}

/// The origin is cut off from the service. Every host's order contains other origins and in the end
/// the service itself.
#[test]
fn every_order_reaches_the_service() {
    for number in 0..9 {
        assert!(order(number, 9).contains(&Origin::Service));
    }
    assert_eq!(order(3, 0), [Origin::Service]);
}
