//! Time until all hosts know what one of them has quarantined, over modelled links in virtual time.

use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine::End;
use lentillift_fleet::quarantine::Options;
use lentillift_fleet::quarantine::SharedRecord;
use lentillift_fleet::quarantine::Table;
use lentillift_fleet::quarantine::Verdict;
use lentillift_gateway::quarantine::FANOUT;
use lentillift_gateway::quarantine::SHORT_PERIOD;
use lentillift_gateway::quarantine::period;
use lentillift_gateway::quarantine::records_to_send;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const NOON: Time = Duration::from_secs(1000);

/// Time within which all hosts have to know.
const BOUND: Duration = Duration::from_secs(4);

/// Longest transit time of a message.
const MAX_TRANSIT: Duration = Duration::from_millis(40);

/// Number of seeds of each case.
const SEEDS: u64 = 10;

/// A model of a fleet whose hosts exchange records as [`lentillift_gateway::quarantine`] does.
struct Fleet {
    rng: StdRng,
    hosts: Vec<Table>,
    /// Messages in transit, by arrival time.
    in_transit: BTreeMap<(Time, u64), (usize, Vec<SharedRecord>)>,
    sent: u64,
    /// Fraction of messages that are lost.
    loss: f64,
    /// Number of hosts that are cut off from all messages, and the end of that.
    cut: (usize, Time),
}

impl Fleet {
    fn new(hosts: usize, seed: u64, loss: f64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            hosts: (0..hosts).map(|_| Table::default()).collect(),
            in_transit: BTreeMap::new(),
            sent: 0,
            loss,
            cut: (0, NOON),
        }
    }

    fn is_cut(&self, host: usize, now: Time) -> bool {
        host < self.cut.0 && now < self.cut.1
    }

    fn send(&mut self, from: usize, to: usize, records: Vec<SharedRecord>, now: Time) {
        self.sent += 1;
        let is_lost = self.rng.random_bool(self.loss);
        if is_lost || self.is_cut(from, now) || self.is_cut(to, now) {
            return;
        }
        let transit = self.rng.random_range(MS..MAX_TRANSIT);
        self.in_transit
            .insert((now + transit, self.sent), (to, records));
    }

    fn others(&mut self, host: usize, count: usize) -> Vec<usize> {
        let others = (0..self.hosts.len()).filter(|other| *other != host);
        others.choose_multiple(&mut self.rng, count)
    }

    fn push(&mut self, host: usize, now: Time) {
        if !self.hosts[host].has_updates() {
            return;
        }
        let updates = self.hosts[host].take_updates(now);
        for other in self.others(host, FANOUT) {
            self.send(host, other, updates.clone(), now);
        }
    }

    fn exchange(&mut self, host: usize, now: Time) {
        let records = records_to_send(self.hosts[host].shared_records(usize::MAX, now));
        if records.is_empty() {
            return;
        }
        for other in self.others(host, 1) {
            self.send(host, other, records.clone(), now);
            let answer = records_to_send(self.hosts[other].shared_records(usize::MAX, now));
            self.send(other, host, answer, now);
        }
    }

    /// Runs until all hosts know the quarantine; returns the time taken, or none if it exceeds
    /// `most`.
    fn run(&mut self, fingerprint: Fingerprint, most: Duration) -> Option<Duration> {
        let mut now = NOON;
        while now < NOON + most {
            let is_known = |host: &Table| {
                let verdict = host.verdict(fingerprint, now);
                matches!(verdict, Verdict::Quarantined(_))
            };
            if self.hosts.iter().all(is_known) {
                return Some(now - NOON);
            }
            now += MS;
            while let Some(message) = self
                .in_transit
                .first_entry()
                .filter(|message| message.key().0 <= now)
            {
                let (host, records) = message.remove();
                self.hosts[host].merge(&Options::default(), &records, now);
            }
            for host in 0..self.hosts.len() {
                self.push(host, now);
                let offset = (now + MS * host as u32).as_millis();
                let latest = self.hosts[host].shared_records(1, now);
                if offset.is_multiple_of(period(&latest, true).as_millis()) {
                    self.exchange(host, now);
                }
            }
        }
        None
    }

    /// Makes the last host quarantine a request.
    fn quarantine(&mut self) -> Fingerprint {
        let fingerprint = Fingerprint::of("GET", "search.example", "/fatal", &[]);
        let host = self.hosts.last_mut().expect("a host");
        for process in 0..3 {
            let end = End {
                process,
                canary: process > 0,
            };
            host.record_end(&Options::default(), fingerprint, end, NOON);
        }
        fingerprint
    }
}

/// A caller retries at a host that has not learnt of the quarantine yet.
macro_rules! all_hosts_know_in_time {
    ($($name:ident: $hosts:expr, $loss:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..SEEDS {
                let mut fleet = Fleet::new($hosts, seed, $loss);
                let fingerprint = fleet.quarantine();
                let took = fleet.run(fingerprint, BOUND);
                assert!(took.is_some(), "seed {seed}");
            }
        }
    )*};
}

all_hosts_know_in_time! {
    six_hosts: 6, 0.0;
    six_hosts_and_lost_messages: 6, 0.3;
    eighty_nine_hosts_and_lost_messages: 89, 0.3;
    all_hosts_of_the_largest_fleet: 760, 0.05;
    all_hosts_of_the_largest_fleet_and_lost_messages: 760, 0.3;
}

/// A third of the hosts is cut off while all others learn of the quarantine, and learns of it after
/// reconnecting.
#[test]
fn hosts_that_were_cut_off_know_in_time() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(60, seed, 0.1);
        let heals = Duration::from_secs(10);
        fleet.cut = (20, NOON + heals);
        let fingerprint = fleet.quarantine();
        let took = fleet.run(fingerprint, heals + BOUND);
        assert!(took.is_some(), "seed {seed}");
    }
}

/// If every host forwarded a change to every other, it would take one message per pair of hosts.
#[test]
fn each_host_sends_a_bounded_number_of_messages() {
    let hosts = 760;
    let mut fleet = Fleet::new(hosts, 1, 0.0);
    let fingerprint = fleet.quarantine();
    let took = fleet.run(fingerprint, BOUND).expect("all know");
    let exchanges = took.div_duration_f64(SHORT_PERIOD) as u64 + 1;
    let most = hosts as u64 * (FANOUT as u64 + 2 * exchanges);
    assert!(fleet.sent <= most, "{} of {most}", fleet.sent);
}
