//! Age that hosts compute for their data over delayed connections, in virtual time.

use lentillift_core::time::Time;
use lentillift_fleet::follow::Options;
use lentillift_fleet::follow::proof;
use lentillift_fleet::follow::proof::PollNumber;
use lentillift_fleet::follow::proof::Polls;
use lentillift_fleet::follow::proof::Reaction;
use lentillift_fleet::follow::proof::UnexpectedAnswer;
use proptest::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const OPTIONS: Options = Options {
    bound: Duration::from_secs(3),
};

/// Messages in transit, each with the time at which it arrives.
type InTransit<T> = VecDeque<(Time, T)>;

/// Message of an origin to its follower.
#[derive(Debug, Clone, Copy)]
struct Frame {
    answers: PollNumber,
    age: Duration,
    /// Time up to which the origin's data was really complete. No host is sent this; the test
    /// compares with it.
    complete: Time,
}

/// A host and the connection to its origin.
#[derive(Debug)]
struct Host {
    polls: Polls,
    next_poll: Time,
    /// Time up to which the host considers its data complete.
    proved: Time,
    /// Time up to which its data is really complete.
    complete: Time,
    /// Last poll of this host that has arrived at its origin.
    received_poll: PollNumber,
    polls_in_transit: InTransit<PollNumber>,
    frames_in_transit: InTransit<Frame>,
}

/// Hosts that follow each other; the first one reads the service.
#[derive(Debug)]
struct Chain {
    now: Time,
    hosts: Vec<Host>,
    /// When the first host requested its current watch.
    watch_requested: Time,
    /// Delays of messages, used in turn.
    delays: Vec<Duration>,
    sent: usize,
}

impl Chain {
    fn new(length: usize, delays: Vec<Duration>) -> Self {
        let host = |_| Host {
            polls: Polls::start(Time::ZERO),
            next_poll: Time::ZERO + OPTIONS.heartbeat(),
            proved: Time::ZERO,
            complete: Time::ZERO,
            received_poll: 0,
            polls_in_transit: InTransit::new(),
            frames_in_transit: InTransit::new(),
        };
        Self {
            now: Time::ZERO,
            hosts: (0..length).map(host).collect(),
            watch_requested: Time::ZERO,
            delays,
            sent: 0,
        }
    }

    /// When a message arrives that is sent now on a connection: messages do not overtake each
    /// other.
    fn arrival<T>(&mut self, host: usize, connection: fn(&Host) -> &InTransit<T>) -> Time {
        let delay = self.delays[self.sent % self.delays.len()];
        self.sent += 1;
        let before = connection(&self.hosts[host]).back().map(|(due, _)| *due);
        (self.now + delay).max(before.unwrap_or_default())
    }

    fn step(&mut self) {
        self.now += MS;
        self.read();
        for host in 1..self.hosts.len() {
            self.send_poll(host);
            while self.hosts[host]
                .polls_in_transit
                .front()
                .is_some_and(|(due, _)| *due <= self.now)
            {
                let (_, number) = self.hosts[host]
                    .polls_in_transit
                    .pop_front()
                    .expect("a poll");
                self.hosts[host].received_poll = number;
                self.send_frame(host);
            }
            while self.hosts[host]
                .frames_in_transit
                .front()
                .is_some_and(|(due, _)| *due <= self.now)
            {
                let (_, frame) = self.hosts[host]
                    .frames_in_transit
                    .pop_front()
                    .expect("a frame");
                self.receive_frame(host, frame);
            }
        }
    }

    /// The first host's watch returns once it has been open for its wait time and the answer has
    /// arrived.
    fn read(&mut self) {
        let wait = OPTIONS.watch();
        let delay = self.delays[0];
        let passed = self.now - self.watch_requested;
        if passed < wait + delay {
            return;
        }
        let age = proof::age_after_watch(passed, wait);
        let complete = self.now - delay;
        self.watch_requested = self.now;
        self.update(0, self.now - age, complete);
    }

    fn send_poll(&mut self, host: usize) {
        if self.now < self.hosts[host].next_poll {
            return;
        }
        self.hosts[host].next_poll = self.now + OPTIONS.heartbeat();
        let number = self.hosts[host].polls.send(self.now);
        let due = self.arrival(host, |host| &host.polls_in_transit);
        self.hosts[host].polls_in_transit.push_back((due, number));
    }

    /// Lets the origin of `host` send it a frame.
    fn send_frame(&mut self, host: usize) {
        let due = self.arrival(host, |host| &host.frames_in_transit);
        let origin = &self.hosts[host - 1];
        let frame = Frame {
            answers: self.hosts[host].received_poll,
            age: self.now - origin.proved,
            complete: origin.complete,
        };
        self.hosts[host].frames_in_transit.push_back((due, frame));
    }

    fn receive_frame(&mut self, host: usize, frame: Frame) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let reaction = state
            .polls
            .receive(frame.answers)
            .expect("an outstanding poll");
        if reaction == Reaction::Ask {
            state.next_poll = now;
        }
        let age = state.polls.age(now, frame.age);
        self.update(host, now.saturating_sub(age), frame.complete);
    }

    fn update(&mut self, host: usize, proved: Time, complete: Time) {
        let state = &mut self.hosts[host];
        let before = state.proved;
        state.proved = before.max(proved);
        state.complete = state.complete.max(complete);
        if OPTIONS.is_newer_proof(Some(before), Some(state.proved)) && host + 1 < self.hosts.len() {
            self.send_frame(host + 1);
        }
    }

    /// Largest age that any host computes for its data.
    fn largest_age(&self) -> Duration {
        let proved = self.hosts.iter().map(|host| host.proved);
        self.now - proved.min().expect("a host")
    }
}

/// Guards against ages that grow at each hop in a healthy fleet: its last hosts would leave working
/// origins.
macro_rules! no_origin_is_left {
    ($($name:ident: $hosts:expr, $delays:expr;)*) => {$(
        #[test]
        fn $name() {
            let delays = $delays.map(Duration::from_millis).to_vec();
            let mut chain = Chain::new($hosts, delays);
            for _ in 0..20_000 {
                chain.step();
                if chain.now > OPTIONS.bound * 2 {
                    let largest_age = chain.largest_age();
                    assert!(largest_age < OPTIONS.max_age(), "{largest_age:?}");
                }
            }
        }
    )*};
}

no_origin_is_left! {
    adjacent_hosts_keep_their_origin: 3, [1];
    last_host_of_the_largest_fleet_keeps_its_origin: 8, [1, 2, 1, 3];
    hosts_keep_their_origins_with_alternating_delays: 8, [1, 40, 5, 20, 2];
}

#[test]
fn answer_to_an_unknown_poll_is_rejected() {
    let mut polls = Polls::start(Time::ZERO);
    assert_eq!(polls.receive(1), Err(UnexpectedAnswer(1)));
    let mut polls = Polls::start(Time::ZERO);
    assert_eq!((polls.send(MS), polls.send(MS * 2)), (1, 2));
    assert_eq!(polls.receive(2), Ok(Reaction::Answer));
    assert_eq!(polls.age(MS * 5, MS), MS * 4);
    assert_eq!(polls.receive(1), Err(UnexpectedAnswer(1)));
}

#[test]
fn unprompted_message_leads_to_one_poll() {
    let mut polls = Polls::start(Time::ZERO);
    assert_eq!(polls.receive(0), Ok(Reaction::Ask));
    polls.send(MS);
    assert_eq!(polls.receive(0), Ok(Reaction::Answer));
    assert_eq!(polls.receive(1), Ok(Reaction::Answer));
}

#[test]
fn early_watch_return_counts_from_its_request() {
    let wait = MS * 1000;
    assert_eq!(proof::age_after_watch(MS * 1004, wait), MS * 4);
    assert_eq!(proof::age_after_watch(MS * 700, wait), MS * 700);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Messages are delayed by any time, at any hop. No host may consider its data fresher than it
    /// is.
    #[test]
    fn age_of_data_is_never_underestimated(
        length in 2usize..7,
        delays in prop::collection::vec(1u64..4000, 1..30),
    ) {
        let delays = delays.into_iter().map(Duration::from_millis).collect();
        let mut chain = Chain::new(length, delays);
        for _ in 0..12_000 {
            chain.step();
            for host in &chain.hosts {
                prop_assert!(host.proved <= host.complete);
            }
        }
    }
}
