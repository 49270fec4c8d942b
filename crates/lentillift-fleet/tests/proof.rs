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
type Flight<T> = VecDeque<(Time, T)>;

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
    questions: Polls,
    next_question: Time,
    /// Time up to which the host considers its data complete.
    proved: Time,
    /// Time up to which its data is really complete.
    complete: Time,
    /// Last poll of this host that has arrived at its origin.
    asked: PollNumber,
    there: Flight<PollNumber>,
    back: Flight<Frame>,
}

/// Hosts that follow each other; the first one reads the service.
#[derive(Debug)]
struct Chain {
    now: Time,
    hosts: Vec<Host>,
    /// When the first host requested its current watch.
    watched: Time,
    /// Delays of messages, used in turn.
    delays: Vec<Duration>,
    sent: usize,
}

impl Chain {
    fn new(length: usize, delays: Vec<Duration>) -> Self {
        let host = |_| Host {
            questions: Polls::start(Time::ZERO),
            next_question: Time::ZERO + OPTIONS.heartbeat(),
            proved: Time::ZERO,
            complete: Time::ZERO,
            asked: 0,
            there: Flight::new(),
            back: Flight::new(),
        };
        Self {
            now: Time::ZERO,
            hosts: (0..length).map(host).collect(),
            watched: Time::ZERO,
            delays,
            sent: 0,
        }
    }

    /// When a message arrives that is sent now on a connection: messages do not overtake each
    /// other.
    fn arrival<T>(&mut self, host: usize, way: fn(&Host) -> &Flight<T>) -> Time {
        let delay = self.delays[self.sent % self.delays.len()];
        self.sent += 1;
        let before = way(&self.hosts[host]).back().map(|(due, _)| *due);
        (self.now + delay).max(before.unwrap_or_default())
    }

    fn step(&mut self) {
        self.now += MS;
        self.read();
        for host in 1..self.hosts.len() {
            self.ask(host);
            while self.hosts[host]
                .there
                .front()
                .is_some_and(|(due, _)| *due <= self.now)
            {
                let (_, number) = self.hosts[host].there.pop_front().expect("a question");
                self.hosts[host].asked = number;
                self.tell(host);
            }
            while self.hosts[host]
                .back
                .front()
                .is_some_and(|(due, _)| *due <= self.now)
            {
                let (_, frame) = self.hosts[host].back.pop_front().expect("a frame");
                self.hear(host, frame);
            }
        }
    }

    /// The first host's watch returns once it has been held for its time and the answer has
    /// arrived.
    fn read(&mut self) {
        let wait = OPTIONS.watch();
        let late = self.delays[0];
        let passed = self.now - self.watched;
        if passed < wait + late {
            return;
        }
        let age = proof::age_after_watch(passed, wait);
        let complete = self.now - late;
        self.watched = self.now;
        self.learn(0, self.now - age, complete);
    }

    fn ask(&mut self, host: usize) {
        if self.now < self.hosts[host].next_question {
            return;
        }
        self.hosts[host].next_question = self.now + OPTIONS.heartbeat();
        let number = self.hosts[host].questions.send(self.now);
        let due = self.arrival(host, |host| &host.there);
        self.hosts[host].there.push_back((due, number));
    }

    /// Lets the origin of `host` send it a frame.
    fn tell(&mut self, host: usize) {
        let due = self.arrival(host, |host| &host.back);
        let origin = &self.hosts[host - 1];
        let frame = Frame {
            answers: self.hosts[host].asked,
            age: self.now - origin.proved,
            complete: origin.complete,
        };
        self.hosts[host].back.push_back((due, frame));
    }

    fn hear(&mut self, host: usize, frame: Frame) {
        let now = self.now;
        let state = &mut self.hosts[host];
        let heard = state
            .questions
            .receive(frame.answers)
            .expect("an open question");
        if heard == Reaction::Ask {
            state.next_question = now;
        }
        let age = state.questions.age(now, frame.age);
        self.learn(host, now.saturating_sub(age), frame.complete);
    }

    fn learn(&mut self, host: usize, proved: Time, complete: Time) {
        let state = &mut self.hosts[host];
        let before = state.proved;
        state.proved = before.max(proved);
        state.complete = state.complete.max(complete);
        if OPTIONS.is_newer_proof(Some(before), Some(state.proved)) && host + 1 < self.hosts.len() {
            self.tell(host + 1);
        }
    }

    /// Largest age that any host computes for its data.
    fn oldest(&self) -> Duration {
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
                    let oldest = chain.oldest();
                    assert!(oldest < OPTIONS.max_age(), "{oldest:?}");
                }
            }
        }
    )*};
}

no_origin_is_left! {
    by_hosts_next_to_each_other: 3, [1];
    by_the_last_of_the_largest_fleet: 8, [1, 2, 1, 3];
    over_ways_that_are_late_by_turns: 8, [1, 40, 5, 20, 2];
}

#[test]
fn an_answer_to_what_was_never_asked_is_refused() {
    let mut questions = Polls::start(Time::ZERO);
    assert_eq!(questions.receive(1), Err(UnexpectedAnswer(1)));
    let mut questions = Polls::start(Time::ZERO);
    assert_eq!((questions.send(MS), questions.send(MS * 2)), (1, 2));
    assert_eq!(questions.receive(2), Ok(Reaction::Answer));
    assert_eq!(questions.age(MS * 5, MS), MS * 4);
    assert_eq!(questions.receive(1), Err(UnexpectedAnswer(1)));
}

#[test]
fn a_message_that_came_by_itself_is_asked_about_once() {
    let mut questions = Polls::start(Time::ZERO);
    assert_eq!(questions.receive(0), Ok(Reaction::Ask));
    questions.send(MS);
    assert_eq!(questions.receive(0), Ok(Reaction::Answer));
    assert_eq!(questions.receive(1), Ok(Reaction::Answer));
}

#[test]
fn a_watch_that_returned_too_soon_proves_no_more_than_its_question() {
    let wait = MS * 1000;
    assert_eq!(proof::age_after_watch(MS * 1004, wait), MS * 4);
    assert_eq!(proof::age_after_watch(MS * 700, wait), MS * 700);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Messages are delayed by any time, at any hop. No host may consider its data fresher than it
    /// is.
    #[test]
    fn knowledge_is_at_least_as_old_as_it_is_held_for(
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
