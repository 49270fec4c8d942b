//! Simulation of processes, the network between them, owners and callers.

use crate::views;
use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Work;
use lentillift_core::time::Time;
use lentillift_once::core::Once;
use lentillift_once::event::Effect;
use lentillift_once::event::Event;
use lentillift_once::home;
use lentillift_once::submit::ActionRequest;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

pub(crate) const HOSTS: usize = 3;
const BODY: &[u8] = b"{}";

/// A request of a caller, a delivery or a fault. Positions are taken modulo the length of their
/// list.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// A caller requests an id at this host.
    Issue(usize),
    /// A caller sends a request to this host under the id at this position, for the first time or
    /// again.
    Send(usize, usize),
    /// The message at this position arrives, out of order.
    Deliver(usize),
    /// The message at this position is lost, and the link it was on ends.
    Lose(usize),
    /// The message at this position is returned to its sender as undelivered.
    Return(usize),
    /// The sub-request at this position in the list of owners ends with this fate.
    Run(usize, Fate),
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A host is paused (true) or resumed.
    Pause(usize, bool),
    /// A host's process crashes and is restarted.
    Kill(usize),
    /// A host starts its shutdown.
    Leave(usize),
    /// A host gets the published view with this number.
    View(usize, usize),
}

/// How a sub-request at an owner ends.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fate {
    /// It ran and the reply arrived.
    Reply,
    /// It ran, but the reply was lost or the connection broke during or after the write.
    Lost,
    /// The connection broke during the write, and it did not run.
    Cut,
    /// It was shed, its connection could not be opened, or its deadline passed in a queue.
    Refused,
    /// The owner crashed before sending it.
    Dropped,
}

#[derive(Debug, Clone)]
pub(crate) struct Message {
    from: usize,
    to: usize,
    /// Incarnation of the sender, which is the only one that undelivered messages return to.
    sender: u64,
    effect: Effect,
}

struct Process {
    once: Once<StdRng>,
    incarnation: u64,
    paused: bool,
    /// Time of its start, at which the process's own clock is zero.
    epoch: Time,
}

struct Id {
    key: String,
    service: &'static str,
}

#[derive(Default)]
pub(crate) struct World {
    now: Time,
    processes: Vec<Process>,
    pub(crate) messages: Vec<Message>,
    /// Sub-requests at owners: the owner, the host that sent it, the sub-request.
    pub(crate) at_owners: Vec<(usize, usize, sub::Sub)>,
    ids: Vec<Id>,
    /// Position of the id of each call that has no response yet, by host and number.
    calls: HashMap<(usize, u64), usize>,
    next_call: u64,
    ran: BTreeMap<String, u32>,
    /// Ids that a caller got the answer "not run" for.
    not_run: BTreeMap<String, u32>,
    pub(crate) done: u32,
    starts: u64,
}

pub(crate) fn name(number: usize) -> id::Host {
    format!("host-{number}").into()
}

fn number(host: &str) -> usize {
    host.trim_start_matches("host-")
        .parse()
        .expect("a host's name")
}

impl World {
    pub(crate) fn start() -> Self {
        let mut world = Self::default();
        for host in 0..HOSTS {
            let process = world.process(host);
            world.processes.push(process);
        }
        world
    }

    fn process(&mut self, host: usize) -> Process {
        self.starts += 1;
        let rng = StdRng::seed_from_u64(self.starts);
        let options = home::Options {
            lifetime: Duration::from_millis(3000),
            unused_lifetime: Duration::from_millis(1500),
            ..home::Options::default()
        };
        let mut once = Once::new(name(host), self.starts, &options, rng);
        once.handle(Time::ZERO, Event::View(views::VIEWS[0].clone()));
        Process {
            once,
            incarnation: self.starts,
            paused: false,
            epoch: self.now,
        }
    }

    fn handle(&mut self, host: usize, event: Event) {
        let process = &mut self.processes[host];
        let effects = process.once.handle(self.now - process.epoch, event);
        let sender = process.incarnation;
        for effect in effects {
            self.queue_effect(host, sender, effect);
        }
    }

    fn queue_effect(&mut self, from: usize, sender: u64, effect: Effect) {
        let to = match &effect {
            Effect::Issued { key, .. } => {
                if let Ok(key) = key.clone() {
                    self.ids.push(Id {
                        key,
                        service: "file",
                    });
                }
                return;
            }
            Effect::Settle { request, settled } => {
                let id = self
                    .calls
                    .remove(&(from, *request))
                    .expect("each call has one answer");
                self.check_outcome(id, settled.outcome);
                return;
            }
            Effect::Left => return,
            Effect::Forward { to, .. }
            | Effect::Answer { to, .. }
            | Effect::NotHome { to, .. }
            | Effect::Send { to, .. }
            | Effect::Handover { to, .. }
            | Effect::Taken { to, .. } => number(to),
        };
        self.messages.push(Message {
            from,
            to,
            sender,
            effect,
        });
    }

    /// Checks and counts the outcome that a caller received for an id.
    fn check_outcome(&mut self, id: usize, outcome: Outcome) {
        let key = self.ids[id].key.clone();
        match outcome {
            Outcome::Done => {
                self.done += 1;
                assert_eq!(self.ran.get(&key), Some(&1), "{key}: done without a run");
            }
            Outcome::NotRun => *self.not_run.entry(key).or_default() += 1,
            Outcome::Unknown => {}
        }
    }

    fn deliver(&mut self, message: Message) {
        let from = name(message.from);
        let event = match message.effect {
            Effect::Forward {
                request, submit, ..
            } => Event::Submit {
                from,
                request,
                submit,
            },
            Effect::Answer {
                request, settled, ..
            } => Event::Settled {
                from,
                request,
                settled,
            },
            Effect::NotHome { request, .. } => Event::NotHome { from, request },
            Effect::Handover { parcel, .. } => Event::Handover { from, parcel },
            Effect::Taken { number, .. } => Event::Taken { number },
            Effect::Send { sub, .. } => {
                self.at_owners.push((message.to, message.from, sub));
                return;
            }
            _ => return,
        };
        // A response may reach the restarted process of its receiver, which uses other numbers.
        self.handle(message.to, event);
    }

    /// Returns an undelivered message to its sender, if that has not been restarted.
    fn return_undelivered(&mut self, message: Message) {
        if self.processes[message.from].incarnation != message.sender {
            return;
        }
        let event = match message.effect {
            Effect::Forward { request, .. } => Event::Undelivered { request },
            Effect::Handover { parcel, .. } => Event::Returned(parcel),
            Effect::Send { sub, .. } => Event::Result {
                id: sub.id,
                result: sub::Result::not_run(Failure::Connection),
            },
            _ => return,
        };
        self.handle(message.from, event);
    }

    fn run(&mut self, (owner, from, sub): (usize, usize, sub::Sub), fate: Fate) {
        if matches!(fate, Fate::Reply | Fate::Lost)
            && let Work::Action { key } = &sub.work
        {
            *self.ran.entry(key.to_string()).or_default() += 1;
        }
        let result = match fate {
            Fate::Reply => sub::Result::Reply(b"ok".to_vec()),
            Fate::Lost | Fate::Cut => sub::Result::unknown(Failure::Connection),
            Fate::Refused => sub::Result::not_run(Failure::Shed),
            Fate::Dropped => {
                self.handle(from, Event::Down { host: name(owner) });
                return;
            }
        };
        // The result also reaches a process that was restarted on the same host meanwhile.
        let id = sub.id;
        self.handle(from, Event::Result { id, result });
    }

    pub(crate) fn kill(&mut self, host: usize) {
        // Its callers lose their connections. Sub-requests that it held as an owner stay in the
        // list: they may or may not have been sent.
        self.calls.retain(|(at, _), _| *at != host);
        self.messages.retain(|message| message.to != host);
        let process = self.process(host);
        self.processes[host] = process;
        for other in (0..HOSTS).filter(|other| *other != host) {
            self.handle(other, Event::Down { host: name(host) });
        }
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Issue(host) => {
                let (service, caller) = ("file".into(), "x".into());
                let event = Event::Issue {
                    request: 0,
                    service,
                    caller,
                };
                self.handle(host, event);
            }
            Step::Send(host, id) if !self.ids.is_empty() => {
                let id = id % self.ids.len();
                self.next_call += 1;
                let request = self.next_call;
                self.calls.insert((host, request), id);
                let submit = ActionRequest {
                    key: self.ids[id].key.clone(),
                    service: self.ids[id].service.into(),
                    caller: "x".into(),
                    allowance: Duration::from_millis(200),
                    body: BODY.into(),
                };
                self.handle(host, Event::Call { request, submit });
            }
            Step::Deliver(at) if !self.messages.is_empty() => {
                let at = at % self.messages.len();
                // A paused process receives nothing.
                if !self.processes[self.messages[at].to].paused {
                    let message = self.messages.remove(at);
                    self.deliver(message);
                }
            }
            Step::Lose(at) if !self.messages.is_empty() => {
                let message = self.messages.remove(at % self.messages.len());
                self.handle(
                    message.from,
                    Event::Down {
                        host: name(message.to),
                    },
                );
            }
            Step::Return(at) if !self.messages.is_empty() => {
                let message = self.messages.remove(at % self.messages.len());
                self.return_undelivered(message);
            }
            Step::Run(at, fate) if !self.at_owners.is_empty() => {
                let pending = self.at_owners.remove(at % self.at_owners.len());
                self.run(pending, fate);
            }
            Step::Wait(ms) => {
                self.now += Duration::from_millis(ms);
                for host in 0..HOSTS {
                    if !self.processes[host].paused {
                        self.handle(host, Event::Tick);
                    }
                }
            }
            Step::Pause(host, paused) => self.processes[host].paused = paused,
            Step::Kill(host) => self.kill(host),
            Step::Leave(host) => {
                let within = Duration::from_millis(100);
                self.handle(host, Event::Leave { within });
            }
            Step::View(host, which) => self.handle(host, Event::View(views::VIEWS[which].clone())),
            _ => {}
        }
    }

    /// Resumes all processes, delivers all messages, runs all sub-requests, and lets timers run
    /// out.
    pub(crate) fn finish(&mut self) {
        for host in 0..HOSTS {
            self.processes[host].paused = false;
        }
        for _ in 0..200 {
            while let Some(message) = self.messages.pop() {
                self.deliver(message);
            }
            while let Some(pending) = self.at_owners.pop() {
                self.run(pending, Fate::Reply);
            }
        }
        self.step(Step::Wait(2000));
    }

    /// Checks that no id ran twice or after "not run", and that every call got a response.
    pub(crate) fn check(&self) {
        for (key, runs) in &self.ran {
            assert_eq!(*runs, 1, "{key} ran {runs} times");
            assert!(
                !self.not_run.contains_key(key),
                "{key} ran after \"not run\""
            );
        }
        assert!(
            self.calls.is_empty(),
            "calls without an answer: {:?}",
            self.calls
        );
    }
}
