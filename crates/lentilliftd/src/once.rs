//! The task that serves requests that may run at most once.

use crate::peers::Peers;
use lentillift_caller::call::Action;
use lentillift_caller::call::Call;
use lentillift_caller::call::Settled;
use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_core::sub;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use lentillift_core::time::Clock;
use lentillift_core::time::Time;
use lentillift_fleet::view::View;
use lentillift_node::message::Message;
use lentillift_node::message::Submit;
use lentillift_once::home::Home;
use lentillift_once::home::Next;
use lentillift_once::key::Key;
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// When a caller that was turned away may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What other tasks tell this one.
#[derive(Debug)]
pub enum Mail {
    /// A caller's call about a request that may run at most once.
    Call(Call),
    /// An entry passed on a request whose home is here.
    Submit {
        /// The entry's host.
        from: id::Host,
        /// The request.
        submit: Submit,
    },
    /// A request certainly never left for its home.
    Undelivered(Submit),
    /// The home of a request that was passed on has answered.
    Settled {
        /// The request's number.
        request: id::Request,
        /// What became of it.
        outcome: Outcome,
        /// The reply, or what is wrong.
        body: Vec<u8>,
    },
    /// An owner answered.
    Result {
        /// The sub-request's number.
        id: id::Sub,
        /// The result.
        result: sub::Result,
    },
    /// The link to a host ended.
    Down(id::Host),
}

/// Who waits for the outcome of a request.
#[derive(Debug)]
enum Asker {
    /// A caller of this process.
    Caller(oneshot::Sender<Settled>),
    /// An entry on another host.
    Entry(id::Host, id::Request),
}

/// A request that was sent from its home.
#[derive(Debug)]
struct Flight {
    number: u64,
    owner: id::Host,
    askers: Vec<Asker>,
}

/// A request that was passed to its home on another host.
#[derive(Debug)]
struct Away {
    home: id::Host,
    reply: oneshot::Sender<Settled>,
}

/// The task that serves requests that may run at most once.
#[derive(Debug)]
pub struct Task {
    home: Home,
    view: Arc<View>,
    flights: HashMap<id::Sub, Flight>,
    away: HashMap<id::Request, Away>,
    next_sub: id::Sub,
    rng: StdRng,
    clock: Clock,
    peers: Peers,
}

impl Task {
    /// Makes the task; nothing is served yet.
    pub fn new(home: Home, rng: StdRng, clock: Clock, peers: Peers) -> Self {
        Self {
            home,
            view: Arc::default(),
            flights: HashMap::new(),
            away: HashMap::new(),
            next_sub: 0,
            rng,
            clock,
            peers,
        }
    }

    /// Serves until all senders are gone.
    pub async fn run(
        mut self,
        mut mail: mpsc::Receiver<Mail>,
        mut view: watch::Receiver<Arc<View>>,
    ) {
        loop {
            tokio::select! {
                received = mail.recv() => match received {
                    Some(received) => self.open(received).await,
                    None => return,
                },
                changed = view.changed() => match changed {
                    Ok(()) => self.view = view.borrow_and_update().clone(),
                    Err(_) => return,
                },
            }
        }
    }

    async fn open(&mut self, mail: Mail) {
        match mail {
            Mail::Call(Call::Issue { reply }) => {
                let _ = reply.send(self.issue());
            }
            Mail::Call(Call::Action {
                request,
                action,
                reply,
            }) => self.call(request, action, reply).await,
            Mail::Call(Call::Query { .. } | Call::Gone { .. }) => {}
            Mail::Submit { from, submit } => {
                let asker = Asker::Entry(from, submit.request);
                self.submit(submit, asker).await;
            }
            Mail::Undelivered(submit) => {
                let settled = problem(Outcome::NotRun, "the id's home can't be reached");
                self.back(submit.request, settled);
            }
            Mail::Settled {
                request,
                outcome,
                body,
            } => self.back(request, Settled { outcome, body }),
            Mail::Result { id, result } => self.result(id, result).await,
            Mail::Down(host) => self.down(&host).await,
        }
    }

    fn issue(&mut self) -> Result<String, Refusal> {
        let full =
            || Refusal::new(Cause::Overload, "too many ids are in use").retry_after(RETRY_AFTER);
        let key = self.home.issue(self.clock.now()).ok_or_else(full)?;
        Ok(key.to_string())
    }

    /// Takes a request from a caller, here or on behalf of its home elsewhere.
    async fn call(
        &mut self,
        request: id::Request,
        action: Action,
        reply: oneshot::Sender<Settled>,
    ) {
        let submit = Submit {
            request,
            key: action.key,
            service: action.service,
            caller: action.caller,
            allowance: action.allowance,
            body: action.body,
        };
        let key = match submit.key.parse::<Key>() {
            Ok(key) => key,
            Err(e) => {
                let _ = reply.send(problem(Outcome::NotRun, &format!("idempotency-key: {e}")));
                return;
            }
        };
        if self.home.is_home_of(&key) {
            self.submit(submit, Asker::Caller(reply)).await;
            return;
        }
        let away = Away {
            home: key.host.clone(),
            reply,
        };
        self.away.insert(request, away);
        self.peers.send(&key.host, Message::Submit(submit)).await;
    }

    /// Runs a request whose home is here, unless it ran before.
    async fn submit(&mut self, submit: Submit, asker: Asker) {
        let now = self.clock.now();
        let key = match submit.key.parse::<Key>() {
            Ok(key) if self.home.is_home_of(&key) => key,
            _ => {
                let gone = "the process that issued the id is gone";
                return self.settle(asker, problem(Outcome::Unknown, gone)).await;
            }
        };
        let Some(backend) = self.choose(&submit) else {
            let none = "no backend server of the service may be used";
            return self.settle(asker, problem(Outcome::NotRun, none)).await;
        };
        match self.home.submit(now, &key, &submit.body) {
            Next::Send => self.send(now, &key, submit, backend, asker).await,
            Next::Wait => {
                let under_way = self.flights.values_mut();
                let mut same = under_way.filter(|flight| flight.number == key.number);
                if let Some(flight) = same.next() {
                    flight.askers.push(asker);
                }
            }
            Next::Done(body) => {
                let outcome = Outcome::Done;
                self.settle(asker, Settled { outcome, body }).await;
            }
            Next::Unknown => {
                let settled = problem(Outcome::Unknown, "its reply was lost");
                self.settle(asker, settled).await;
            }
            Next::Forgotten => {
                let settled = problem(Outcome::Unknown, "the id's lifetime is over");
                self.settle(asker, settled).await;
            }
            Next::Mismatch => {
                let settled = problem(Outcome::NotRun, "the id was used with another body");
                self.settle(asker, settled).await;
            }
        }
    }

    /// A backend server of the request's service that may be used.
    fn choose(&mut self, submit: &Submit) -> Option<(id::Backend, id::Host)> {
        let placement = self.view.values.placements.get(&submit.service)?;
        let usable: Vec<_> = placement
            .servers
            .keys()
            .filter(|backend| self.view.in_service(backend))
            .filter_map(|backend| Some((backend, self.view.owner(backend)?)))
            .collect();
        if usable.is_empty() {
            return None;
        }
        let (backend, owner) = usable[self.rng.random_range(0..usable.len())];
        Some((backend.clone(), owner.clone()))
    }

    async fn send(
        &mut self,
        _now: Time,
        key: &Key,
        submit: Submit,
        (backend, owner): (id::Backend, id::Host),
        asker: Asker,
    ) {
        self.next_sub += 1;
        let sub = Sub {
            id: self.next_sub,
            service: submit.service,
            backend,
            caller: submit.caller,
            work: Work::Action {
                key: submit.key.into(),
            },
            allowance: submit.allowance,
            body: submit.body.into(),
            hedge: false,
        };
        let flight = Flight {
            number: key.number,
            owner: owner.clone(),
            askers: vec![asker],
        };
        self.flights.insert(sub.id, flight);
        self.peers.send(&owner, Message::Sub(sub)).await;
    }

    async fn result(&mut self, id: id::Sub, result: sub::Result) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let settled = match result {
            sub::Result::Reply(body) => {
                self.home.done(flight.number, body.clone());
                Settled {
                    outcome: Outcome::Done,
                    body,
                }
            }
            result if result.outcome() == Outcome::NotRun => {
                self.home.not_run(flight.number);
                problem(Outcome::NotRun, "no backend server took it")
            }
            _ => {
                self.home.unknown(flight.number);
                problem(Outcome::Unknown, "its reply was lost")
            }
        };
        for asker in flight.askers {
            self.settle(asker, settled.clone()).await;
        }
    }

    async fn settle(&self, asker: Asker, settled: Settled) {
        match asker {
            Asker::Caller(reply) => {
                let _ = reply.send(settled);
            }
            Asker::Entry(host, request) => {
                let message = Message::Settled {
                    request,
                    outcome: settled.outcome,
                    body: settled.body,
                };
                self.peers.send(&host, message).await;
            }
        }
    }

    /// Answers the caller of a request that was passed to its home elsewhere.
    fn back(&mut self, request: id::Request, settled: Settled) {
        if let Some(away) = self.away.remove(&request) {
            let _ = away.reply.send(settled);
        }
    }

    /// What was on its way to a host, or under way there, may or may not have run.
    async fn down(&mut self, host: &id::Host) {
        let lost: Vec<_> = self.away.extract_if(|_, away| away.home == *host).collect();
        for (_, away) in lost {
            let _ = away
                .reply
                .send(problem(Outcome::Unknown, "the id's home was lost"));
        }
        let lost = self.flights.iter().filter(|(_, f)| f.owner == *host);
        let lost: Vec<id::Sub> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            let result = sub::Result::unknown(sub::Failure::Connection);
            self.result(id, result).await;
        }
    }
}

fn problem(outcome: Outcome, detail: &str) -> Settled {
    Settled {
        outcome,
        body: serde_json::json!({ "outcome": outcome, "detail": detail })
            .to_string()
            .into_bytes(),
    }
}
