//! The task that serves queries.

use crate::peers::Peers;
use crate::report;
use crate::report::Series;
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

/// What other tasks tell this one.
#[derive(Debug)]
pub enum Mail {
    /// A caller's call about a query.
    Call(Call),
    /// An owner answered a sub-request.
    Result {
        /// The sub-request's number.
        id: id::Sub,
        /// The result.
        result: sub::Result,
        /// The backend server's load, if its owner told it.
        load: Option<Load>,
    },
    /// The link to a host ended.
    Down(id::Host),
}

/// A caller that waits.
#[derive(Debug)]
struct Waiting {
    reply: oneshot::Sender<Result<Answer, Refusal>>,
    series: Series,
    since: Duration,
}

/// The task that serves queries.
#[derive(Debug)]
pub struct Task {
    entry: Traced<Entry<StdRng>>,
    waiting: HashMap<id::Request, Waiting>,
    clock: Clock,
    peers: Peers,
    board: Board,
    view: Arc<View>,
}

impl Task {
    /// Makes the task; nothing is served yet.
    pub fn new(entry: Traced<Entry<StdRng>>, clock: Clock, peers: Peers, board: Board) -> Self {
        Self {
            entry,
            waiting: HashMap::new(),
            clock,
            peers,
            board,
            view: Arc::default(),
        }
    }

    /// Serves until all senders are gone.
    pub async fn run(
        mut self,
        mut mail: mpsc::Receiver<Mail>,
        mut view: watch::Receiver<Arc<View>>,
    ) {
        let mut reports = report::times();
        loop {
            let wake = self.entry.next_wake();
            let event = tokio::select! {
                _ = reports.tick() => {
                    report::entry(&self.board, self.waiting.len());
                    None
                }
                received = mail.recv() => match received {
                    Some(received) => self.open(received),
                    None => return,
                },
                changed = view.changed() => match changed {
                    Ok(()) => {
                        self.view = view.borrow_and_update().clone();
                        Some(Event::View(self.view.clone()))
                    }
                    Err(_) => return,
                },
                () = until(self.clock, wake) => Some(Event::Tick),
            };
            if let Some(event) = event {
                let effects = self.entry.handle(self.clock.now(), event);
                self.carry_out(effects).await;
                self.board_counts();
            }
        }
    }

    fn open(&mut self, mail: Mail) -> Option<Event> {
        match mail {
            Mail::Call(Call::Query {
                request,
                ask,
                reply,
            }) => {
                let waiting = Waiting {
                    reply,
                    series: Series::of(&self.view, &ask),
                    since: self.clock.now(),
                };
                self.waiting.insert(request, waiting);
                Some(Event::Ask { request, ask })
            }
            Mail::Call(Call::Gone { request }) => {
                self.waiting.remove(&request);
                Some(Event::Gone { request })
            }
            Mail::Call(Call::Issue { .. } | Call::Action { .. }) => None,
            Mail::Result { id, result, load } => Some(Event::Reply { id, result, load }),
            Mail::Down(host) => Some(Event::Down { host }),
        }
    }

    fn board_counts(&mut self) {
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
        let Some(waiting) = self.waiting.remove(&request) else {
            return;
        };
        match &answer {
            Ok(answer) => {
                let latency = self.clock.now() - waiting.since;
                report::answer(&self.board, &waiting.series, latency, answer);
            }
            Err(refusal) => report::refusal(&self.board, &waiting.series, refusal),
        }
        // The caller may have gone away meanwhile.
        let _ = waiting.reply.send(answer);
    }
}

/// Waits until `wake`, or forever when there is none.
pub(crate) async fn until(clock: Clock, wake: Option<Duration>) {
    match wake {
        Some(wake) => tokio::time::sleep(wake.saturating_sub(clock.now())).await,
        None => std::future::pending().await,
    }
}
