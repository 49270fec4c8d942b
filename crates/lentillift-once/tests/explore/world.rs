//! Processes, the network between them, owners and callers, under faults.

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

/// What goes wrong, or is asked, next.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Issue(usize),
    /// A caller sends the id with that position, again or for the first time.
    Send(usize, usize),
    /// The message with that position arrives, out of turn with those of other links.
    Deliver(usize),
    /// The message with that position is lost, and with it the link it was on.
    Lose(usize),
    /// The message with that position never leaves its process.
    Return(usize),
    /// A backend server takes a request that an owner holds, with this fate.
    Run(usize, Fate),
    Wait(u64),
    Pause(usize, bool),
    Kill(usize),
    Leave(usize),
    /// A host gets one of the views that were ever published.
    View(usize, usize),
}

/// What becomes of a request that an owner has sent.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fate {
    /// It ran and the reply came.
    Reply,
    /// It ran and the reply was lost, or the connection broke during or after the write.
    Lost,
    /// The connection broke in the middle of the write, and it did not run.
    Cut,
    /// The server shed it, or the connection could not be opened, or its time ran out in a queue.
    Refused,
    /// The owner died with it before it was sent.
    Dropped,
}

#[derive(Debug, Clone)]
pub(crate) struct Mail {
    from: usize,
    to: usize,
    /// Incarnation of the sender, for what returns to it.
    sender: u64,
    effect: Effect,
}

struct Process {
    once: Once<StdRng>,
    incarnation: u64,
    paused: bool,
    /// The process's clock starts with it.
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
    pub(crate) mail: Vec<Mail>,
    /// What owners hold: the owner, the host that sent it, the sub-request.
    pub(crate) held: Vec<(usize, usize, sub::Sub)>,
    ids: Vec<Id>,
    /// Which id each call of a caller was about.
    calls: HashMap<(usize, u64), usize>,
    next_call: u64,
    ran: BTreeMap<String, u32>,
    /// Ids of which a caller was told for good that they did not run.
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
            unused: Duration::from_millis(1500),
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

    fn tell(&mut self, host: usize, event: Event) {
        let process = &mut self.processes[host];
        let effects = process.once.handle(self.now - process.epoch, event);
        let sender = process.incarnation;
        for effect in effects {
            self.take(host, sender, effect);
        }
    }

    fn take(&mut self, from: usize, sender: u64, effect: Effect) {
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
                self.settled(id, settled.outcome);
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
        self.mail.push(Mail {
            from,
            to,
            sender,
            effect,
        });
    }

    fn settled(&mut self, id: usize, outcome: Outcome) {
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

    fn deliver(&mut self, mail: Mail) {
        let from = name(mail.from);
        let event = match mail.effect {
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
                self.held.push((mail.to, mail.from, sub));
                return;
            }
            _ => return,
        };
        // An answer to a process that has died is for no one; its successor has other numbers.
        self.tell(mail.to, event);
    }

    /// The message certainly never left; its sender learns it if it still lives.
    fn give_back(&mut self, mail: Mail) {
        if self.processes[mail.from].incarnation != mail.sender {
            return;
        }
        let event = match mail.effect {
            Effect::Forward { request, .. } => Event::Undelivered { request },
            Effect::Handover { parcel, .. } => Event::Returned(parcel),
            Effect::Send { sub, .. } => Event::Result {
                id: sub.id,
                result: sub::Result::not_run(Failure::Connection),
            },
            _ => return,
        };
        self.tell(mail.from, event);
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
                self.tell(from, Event::Down { host: name(owner) });
                return;
            }
        };
        // It also reaches a process that was started at the same host meanwhile.
        let id = sub.id;
        self.tell(from, Event::Result { id, result });
    }

    pub(crate) fn kill(&mut self, host: usize) {
        // Its callers are cut off; what it held as an owner may or may not have been sent.
        self.calls.retain(|(at, _), _| *at != host);
        self.mail.retain(|mail| mail.to != host);
        let process = self.process(host);
        self.processes[host] = process;
        for other in (0..HOSTS).filter(|other| *other != host) {
            self.tell(other, Event::Down { host: name(host) });
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
                self.tell(host, event);
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
                self.tell(host, Event::Call { request, submit });
            }
            Step::Deliver(at) if !self.mail.is_empty() => {
                let at = at % self.mail.len();
                // A paused process takes nothing in.
                if !self.processes[self.mail[at].to].paused {
                    let mail = self.mail.remove(at);
                    self.deliver(mail);
                }
            }
            Step::Lose(at) if !self.mail.is_empty() => {
                let mail = self.mail.remove(at % self.mail.len());
                self.tell(
                    mail.from,
                    Event::Down {
                        host: name(mail.to),
                    },
                );
            }
            Step::Return(at) if !self.mail.is_empty() => {
                let mail = self.mail.remove(at % self.mail.len());
                self.give_back(mail);
            }
            Step::Run(at, fate) if !self.held.is_empty() => {
                let held = self.held.remove(at % self.held.len());
                self.run(held, fate);
            }
            Step::Wait(ms) => {
                self.now += Duration::from_millis(ms);
                for host in 0..HOSTS {
                    if !self.processes[host].paused {
                        self.tell(host, Event::Tick);
                    }
                }
            }
            Step::Pause(host, paused) => self.processes[host].paused = paused,
            Step::Kill(host) => self.kill(host),
            Step::Leave(host) => {
                let within = Duration::from_millis(100);
                self.tell(host, Event::Leave { within });
            }
            Step::View(host, which) => self.tell(host, Event::View(views::VIEWS[which].clone())),
            _ => {}
        }
    }

    /// Lets everything that is still on its way arrive, and all of it run if it may.
    pub(crate) fn finish(&mut self) {
        for host in 0..HOSTS {
            self.processes[host].paused = false;
        }
        for _ in 0..200 {
            while let Some(mail) = self.mail.pop() {
                self.deliver(mail);
            }
            while let Some(held) = self.held.pop() {
                self.run(held, Fate::Reply);
            }
        }
        self.step(Step::Wait(2000));
    }

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
