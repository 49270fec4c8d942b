//! The task that serves queries.

use crate::peers::Peers;
use crate::report;
use crate::report::QueryLabels;
use lentillift_caller::call::Call;
use lentillift_core::id;
use lentillift_core::refusal::Refusal;
use lentillift_core::sub;
use lentillift_core::sub::Load;
use lentillift_core::time::Clock;
use lentillift_entry::answer::Answer;
use lentillift_entry::core::Effect;
use lentillift_entry::core::Entry;
use lentillift_entry::core::Event;
use lentillift_fleet::view::View;
use lentillift_node::message::Message;
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
    /// A caller sent or abandoned a query.
    Call(Call),
    /// The result of a sub-request arrived from an owner.
    Result {
        /// The sub-request's id.
        id: id::Sub,
        /// The hits, or the failure.
        result: sub::Result,
        /// The backend server's load, if its owner reported it.
        load: Option<Load>,
    },
    /// The link to a host closed.
    Down(id::Host),
}

/// A query whose caller waits for the answer.
#[derive(Debug)]
struct PendingQuery {
    reply: oneshot::Sender<Result<Answer, Refusal>>,
    labels: QueryLabels,
    received_at: Duration,
}

/// The task that serves queries.
#[derive(Debug)]
pub struct Task {
    entry: Traced<Entry<StdRng>>,
    pending: HashMap<id::Request, PendingQuery>,
    clock: Clock,
    peers: Peers,
    board: Board,
    view: Arc<View>,
}

impl Task {
    /// Creates the task; [`Task::run`] starts serving.
    pub fn new(entry: Traced<Entry<StdRng>>, clock: Clock, peers: Peers, board: Board) -> Self {
        Self {
            entry,
            pending: HashMap::new(),
            clock,
            peers,
            board,
            view: Arc::default(),
        }
    }

    /// Serves queries until the input channel or the view channel is closed.
    pub async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut view: watch::Receiver<Arc<View>>,
    ) {
        let mut reports = report::interval();
        loop {
            let wake = self.entry.next_wake();
            let event = tokio::select! {
                _ = reports.tick() => {
                    report::publish_entry_status(&self.board, self.pending.len());
                    None
                }
                received = inputs.recv() => match received {
                    Some(received) => self.event_for(received),
                    None => return,
                },
                changed = view.changed() => match changed {
                    Ok(()) => {
                        self.view = view.borrow_and_update().clone();
                        Some(Event::View(self.view.clone()))
                    }
                    Err(_) => return,
                },
                () = sleep_until(self.clock, wake) => Some(Event::Tick),
            };
            if let Some(event) = event {
                let effects = self.entry.handle(self.clock.now(), event);
                self.carry_out(effects).await;
                self.flush_counters();
            }
        }
    }

    fn event_for(&mut self, input: Input) -> Option<Event> {
        match input {
            Input::Call(Call::Query {
                request,
                query: search,
                reply,
            }) => {
                let pending = PendingQuery {
                    reply,
                    labels: QueryLabels::of(&self.view, &search),
                    received_at: self.clock.now(),
                };
                self.pending.insert(request, pending);
                Some(Event::Ask {
                    request,
                    ask: search,
                })
            }
            Input::Call(Call::Gone { request }) => {
                self.pending.remove(&request);
                Some(Event::Gone { request })
            }
            Input::Call(Call::Issue { .. } | Call::Action { .. }) => None,
            Input::Result { id, result, load } => Some(Event::Reply { id, result, load }),
            Input::Down(host) => Some(Event::Down { host }),
        }
    }

    fn flush_counters(&mut self) {
        for (name, count) in self.entry.counts().take() {
            self.board.add(name, &[], count);
        }
    }

    async fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, sub } => self.peers.send(&to, Message::Sub(sub)).await,
                Effect::Cancel { to, id } => self.peers.send(&to, Message::Cancel(id)).await,
                Effect::Answer { request, answer } => self.answer(request, Ok(answer)),
                Effect::Refuse { request, refusal } => self.answer(request, Err(refusal)),
            }
        }
    }

    fn answer(&mut self, request: id::Request, answer: Result<Answer, Refusal>) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        match &answer {
            Ok(answer) => {
                let latency = self.clock.now() - pending.received_at;
                report::record_answer(&self.board, &pending.labels, latency, answer);
            }
            Err(refusal) => report::record_refusal(&self.board, &pending.labels, refusal),
        }
        // The send fails if the caller has disconnected.
        let _ = pending.reply.send(answer);
    }
}

/// Sleeps until `wake`, or forever if it is `None`.
pub(crate) async fn sleep_until(clock: Clock, wake: Option<Duration>) {
    match wake {
        Some(wake) => tokio::time::sleep(wake.saturating_sub(clock.now())).await,
        None => std::future::pending().await,
    }
}
