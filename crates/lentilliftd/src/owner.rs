//! The task that owns backend servers.

use crate::entry::until;
use crate::peers::Peers;
use crate::report;
use lentillift_backend::client;
use lentillift_backend::client::Client;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Report;
use lentillift_core::sub::Sub;
use lentillift_core::time::Clock;
use lentillift_fleet::view::View;
use lentillift_node::message::Message;
use lentillift_operator::server::Board;
use lentillift_owner::core::Effect;
use lentillift_owner::core::Event;
use lentillift_owner::core::Owner;
use lentillift_owner::core::Ticket;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// What other tasks tell this one.
#[derive(Debug)]
pub enum Mail {
    /// An entry sent a sub-request.
    Sub {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// An entry no longer wants a sub-request.
    Cancel {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request's number there.
        id: id::Sub,
    },
    /// A backend server answered, or failed to.
    Done {
        /// The request's number.
        ticket: Ticket,
        /// What came of it.
        result: sub::Result,
        /// What the backend server reported with it.
        report: Report,
    },
}

/// The task that owns backend servers.
#[derive(Debug)]
pub struct Task {
    host: id::Host,
    owner: Owner,
    view: Arc<View>,
    clients: HashMap<id::Backend, (SocketAddr, Client)>,
    clock: Clock,
    peers: Peers,
    board: Board,
    mail: mpsc::Sender<Mail>,
}

impl Task {
    /// Makes the task; `mail` is how requests under way report back to it.
    pub fn new(
        host: id::Host,
        clock: Clock,
        peers: Peers,
        board: Board,
        mail: mpsc::Sender<Mail>,
    ) -> Self {
        Self {
            owner: Owner::new(host.clone()),
            host,
            view: Arc::default(),
            clients: HashMap::new(),
            clock,
            peers,
            board,
            mail,
        }
    }

    /// Serves until the view's sender is gone.
    pub async fn run(
        mut self,
        mut mail: mpsc::Receiver<Mail>,
        mut view: watch::Receiver<Arc<View>>,
    ) {
        let mut reports = report::times();
        loop {
            let wake = self.owner.next_wake();
            let event = tokio::select! {
                _ = reports.tick() => {
                    let now = self.clock.now();
                    report::owner(&self.board, now, &self.view, &self.host, &self.owner);
                    continue;
                }
                received = mail.recv() => match received {
                    Some(received) => open(received),
                    None => return,
                },
                changed = view.changed() => match changed {
                    Ok(()) => {
                        self.view = view.borrow_and_update().clone();
                        Event::View(self.view.clone())
                    }
                    Err(_) => return,
                },
                () = until(self.clock, wake) => Event::Tick,
            };
            let effects = self.owner.handle(self.clock.now(), event);
            for effect in effects {
                self.carry_out(effect).await;
            }
            for (name, count) in self.owner.counts().take() {
                self.board.add(name, &[], count);
            }
        }
    }

    async fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch { ticket, sub, left } => self.dispatch(ticket, sub, left).await,
            Effect::Cancel { ticket, backend } => {
                if let Some(client) = self.client(&backend) {
                    tokio::task::spawn_blocking(move || client.cancel(ticket));
                }
            }
            Effect::Reply {
                to,
                desk,
                id,
                result,
                load,
            } => {
                let message = Message::Result {
                    desk,
                    id,
                    result,
                    load,
                };
                self.peers.send(&to, message).await;
            }
            Effect::Note { backend, change } => {
                report::backend(&self.board, &self.view, &backend, &change.to_string());
            }
        }
    }

    async fn dispatch(&mut self, ticket: Ticket, sub: Sub, left: Duration) {
        let labels = [("backend", &*sub.backend)];
        self.board.add("lentillift_dispatches_total", &labels, 1);
        let mail = self.mail.clone();
        let client = self.client(&sub.backend);
        tokio::task::spawn_blocking(move || {
            let (result, report) = match client {
                Some(client) => client.send(ticket, &sub, left),
                None => (sub::Result::not_run(sub::Failure::Out), Report::default()),
            };
            let done = Mail::Done {
                ticket,
                result,
                report,
            };
            let _ = mail.blocking_send(done);
        });
    }

    /// The client of a backend server, made anew when its address changes.
    fn client(&mut self, backend: &id::Backend) -> Option<Client> {
        let known = self.view.backends.get(backend)?;
        let address = known.server.address;
        if let Some((old, client)) = self.clients.get(backend)
            && *old == address
        {
            return Some(client.clone());
        }
        let config = self.view.values.config.as_ref()?;
        let service = config.services.get(&known.service)?;
        let options = client::Options {
            connections: service.connections as usize,
            ..client::Options::default()
        };
        let client = Client::new(address, &self.peers.sender(), &options);
        self.clients
            .insert(backend.clone(), (address, client.clone()));
        Some(client)
    }
}

fn open(mail: Mail) -> Event {
    match mail {
        Mail::Sub { from, sub } => Event::Sub { from, sub },
        Mail::Cancel { from, id } => Event::Cancel { from, id },
        Mail::Done {
            ticket,
            result,
            report,
        } => Event::Done {
            ticket,
            result,
            report,
        },
    }
}
