//! The task that serves requests that may run at most once.

use crate::peers::Peers;
use crate::report;
use lentillift_caller::call::Call;
use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::refusal::Refusal;
use lentillift_core::time::Clock;
use lentillift_fleet::view::View;
use lentillift_node::message::Message;
use lentillift_once::core::Once;
use lentillift_once::event::Effect;
pub(crate) use lentillift_once::event::Event;
use lentillift_once::submit::ActionResponse;
use lentillift_operator::server::Board;
use lentillift_trace::record::Traced;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// What other tasks tell this one.
#[derive(Debug)]
pub enum Mail {
    /// A caller's call about a request that may run at most once.
    Call(Call),
    /// Something happened that concerns such a request.
    Event(Event),
    /// The process is to end: send nothing new, then hand over what is remembered.
    Leave {
        /// How long requests under way may still take.
        within: Duration,
        /// Told once nothing is left to be done.
        left: oneshot::Sender<()>,
    },
}

/// A caller that waits for the outcome of its request.
#[derive(Debug)]
struct Waiting {
    reply: oneshot::Sender<ActionResponse>,
    service: id::Service,
    key: String,
}

/// The task that serves requests that may run at most once.
#[derive(Debug)]
pub struct Task {
    once: Traced<Once<StdRng>>,
    issues: HashMap<id::Request, oneshot::Sender<Result<String, Refusal>>>,
    calls: HashMap<id::Request, Waiting>,
    left: Vec<oneshot::Sender<()>>,
    next_issue: id::Request,
    clock: Clock,
    peers: Peers,
    board: Board,
}

impl Task {
    /// Makes the task; nothing is served yet.
    pub fn new(once: Traced<Once<StdRng>>, clock: Clock, peers: Peers, board: Board) -> Self {
        Self {
            once,
            issues: HashMap::new(),
            calls: HashMap::new(),
            left: Vec::new(),
            next_issue: 0,
            clock,
            peers,
            board,
        }
    }

    /// Serves until all senders are gone.
    pub async fn run(
        mut self,
        mut mail: mpsc::Receiver<Mail>,
        mut view: watch::Receiver<Arc<View>>,
    ) {
        loop {
            let wake = self.once.next_wake();
            let event = tokio::select! {
                received = mail.recv() => match received {
                    Some(received) => self.open(received),
                    None => return,
                },
                changed = view.changed() => match changed {
                    Ok(()) => Some(Event::View(view.borrow_and_update().clone())),
                    Err(_) => return,
                },
                () = crate::entry::until(self.clock, wake) => Some(Event::Tick),
            };
            if let Some(event) = event {
                let effects = self.once.handle(self.clock.now(), event);
                self.carry_out(effects).await;
            }
        }
    }

    fn open(&mut self, mail: Mail) -> Option<Event> {
        match mail {
            Mail::Call(Call::Issue {
                service,
                caller,
                reply,
            }) => {
                self.next_issue += 1;
                let request = self.next_issue;
                self.issues.insert(request, reply);
                Some(Event::Issue {
                    request,
                    service,
                    caller,
                })
            }
            Mail::Call(Call::Action {
                request,
                submit,
                reply,
            }) => {
                let waiting = Waiting {
                    reply,
                    service: submit.service.clone(),
                    key: submit.key.to_string(),
                };
                self.calls.insert(request, waiting);
                Some(Event::Call { request, submit })
            }
            Mail::Call(Call::Query { .. } | Call::Gone { .. }) => None,
            Mail::Event(event) => Some(event),
            Mail::Leave { within, left } => {
                self.left.push(left);
                Some(Event::Leave { within })
            }
        }
    }

    async fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Issued { request, key } => {
                    if let Some(reply) = self.issues.remove(&request) {
                        let _ = reply.send(key);
                    }
                }
                Effect::Settle { request, settled } => self.settle(request, settled),
                Effect::Forward {
                    to,
                    request,
                    submit,
                } => self.send(&to, Message::Submit { request, submit }).await,
                Effect::Answer {
                    to,
                    request,
                    settled,
                } => self.send(&to, Message::Settled { request, settled }).await,
                Effect::NotHome { to, request } => {
                    self.send(&to, Message::NotHome { request }).await;
                }
                Effect::Send { to, sub } => self.send(&to, Message::Sub(sub)).await,
                Effect::Handover { to, parcel } => {
                    let detail = format!("{} ids", parcel.records.len());
                    self.board.event("ids handed over", &to, detail);
                    self.send(&to, Message::Handover(parcel)).await;
                }
                Effect::Taken { to, number } => {
                    self.send(&to, Message::Taken { number }).await;
                }
                Effect::Left => {
                    for left in self.left.drain(..) {
                        let _ = left.send(());
                    }
                }
            }
        }
    }

    fn settle(&mut self, request: id::Request, settled: ActionResponse) {
        let outcome = match settled.outcome {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        };
        let labels = [("outcome", outcome)];
        self.board.add("lentillift_actions_total", &labels, 1);
        if let Some(waiting) = self.calls.remove(&request) {
            if settled.outcome == Outcome::Unknown {
                report::unknown(&self.board, &waiting.service, &waiting.key);
            }
            // The caller may have gone away meanwhile.
            let _ = waiting.reply.send(settled);
        }
    }

    async fn send(&self, to: &id::Host, message: Message) {
        self.peers.send(to, message).await;
    }
}
