//! The task that serves requests with at-most-once execution.

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

/// Inputs from other tasks.
#[derive(Debug)]
pub enum Input {
    /// A caller requested an id or submitted an at-most-once request.
    Call(Call),
    /// An event for the state machine, such as a peer's message or a result.
    Event(Event),
    /// The process shuts down: start no new request, then hand over the stored request ids.
    Leave {
        /// Longest wait for requests in flight.
        within: Duration,
        /// Completed once all ids are handed over.
        done: oneshot::Sender<()>,
    },
}

/// A request whose caller waits for the outcome.
#[derive(Debug)]
struct PendingAction {
    reply: oneshot::Sender<ActionResponse>,
    service: id::Service,
    key: String,
}

/// The task that serves requests with at-most-once execution.
#[derive(Debug)]
pub struct Task {
    once: Traced<Once<StdRng>>,
    /// Callers that wait for a new request id.
    pending_issues: HashMap<id::Request, oneshot::Sender<Result<String, Refusal>>>,
    /// Callers that wait for an outcome.
    pending_actions: HashMap<id::Request, PendingAction>,
    /// Completed once all ids are handed over.
    drain_done: Vec<oneshot::Sender<()>>,
    next_issue: id::Request,
    clock: Clock,
    peers: Peers,
    board: Board,
}

impl Task {
    /// Creates the task; [`Task::run`] starts serving.
    pub fn new(once: Traced<Once<StdRng>>, clock: Clock, peers: Peers, board: Board) -> Self {
        Self {
            once,
            pending_issues: HashMap::new(),
            pending_actions: HashMap::new(),
            drain_done: Vec::new(),
            next_issue: 0,
            clock,
            peers,
            board,
        }
    }

    /// Serves requests until the input channel or the view channel is closed.
    pub async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut view: watch::Receiver<Arc<View>>,
    ) {
        loop {
            let wake = self.once.next_wake();
            let event = tokio::select! {
                received = inputs.recv() => match received {
                    Some(received) => self.event_for(received),
                    None => return,
                },
                changed = view.changed() => match changed {
                    Ok(()) => Some(Event::View(view.borrow_and_update().clone())),
                    Err(_) => return,
                },
                () = crate::entry::sleep_until(self.clock, wake) => Some(Event::Tick),
            };
            if let Some(event) = event {
                let effects = self.once.handle(self.clock.now(), event);
                self.carry_out(effects).await;
            }
        }
    }

    fn event_for(&mut self, input: Input) -> Option<Event> {
        match input {
            Input::Call(Call::Issue {
                service,
                caller,
                reply,
            }) => {
                self.next_issue += 1;
                let request = self.next_issue;
                self.pending_issues.insert(request, reply);
                Some(Event::Issue {
                    request,
                    service,
                    caller,
                })
            }
            Input::Call(Call::Action {
                request,
                submit,
                reply,
            }) => {
                let pending = PendingAction {
                    reply,
                    service: submit.service.clone(),
                    key: submit.key.to_string(),
                };
                self.pending_actions.insert(request, pending);
                Some(Event::Call { request, submit })
            }
            Input::Call(Call::Query { .. } | Call::Gone { .. }) => None,
            Input::Event(event) => Some(event),
            Input::Leave { within, done } => {
                self.drain_done.push(done);
                Some(Event::Leave { within })
            }
        }
    }

    async fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Issued { request, key } => {
                    if let Some(reply) = self.pending_issues.remove(&request) {
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
                Effect::Handover { to, parcel: batch } => {
                    let detail = format!("{} ids", batch.records.len());
                    self.board.event("ids handed over", &to, detail);
                    self.send(&to, Message::Handover(batch)).await;
                }
                Effect::Taken { to, number } => {
                    self.send(&to, Message::Taken { number }).await;
                }
                Effect::Left => {
                    for done in self.drain_done.drain(..) {
                        let _ = done.send(());
                    }
                }
            }
        }
    }

    fn settle(&mut self, request: id::Request, response: ActionResponse) {
        let outcome = match response.outcome {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        };
        let labels = [("outcome", outcome)];
        self.board.add("lentillift_actions_total", &labels, 1);
        if let Some(pending) = self.pending_actions.remove(&request) {
            if response.outcome == Outcome::Unknown {
                report::record_unknown_outcome(&self.board, &pending.service, &pending.key);
            }
            // The send fails if the caller has disconnected.
            let _ = pending.reply.send(response);
        }
    }

    async fn send(&self, to: &id::Host, message: Message) {
        self.peers.send(to, message).await;
    }
}
