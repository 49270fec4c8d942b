//! Sending to other processes, and sorting what comes from them.

use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Component;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Load;
use lentillift_fleet::view::View;
use lentillift_node::hub;
use lentillift_node::hub::Inbound;
use lentillift_node::link::Peer;
use lentillift_node::message::Message;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::entry;
use crate::fleet;
use crate::once;
use crate::owner;
use crate::tenure;

/// A way to send messages to any host, this one included.
#[derive(Debug, Clone)]
pub struct Peers {
    me: id::Host,
    view: watch::Receiver<Arc<View>>,
    hub: hub::Handle,
    local: mpsc::Sender<Inbound>,
    peer: Peer,
}

impl Peers {
    /// Makes a way to send over `hub`, and back to this process over `local`.
    pub fn new(
        peer: Peer,
        view: watch::Receiver<Arc<View>>,
        hub: hub::Handle,
        local: mpsc::Sender<Inbound>,
    ) -> Self {
        Self {
            me: peer.host.clone(),
            view,
            hub,
            local,
            peer,
        }
    }

    /// A name that differs between all processes, and between starts of each.
    pub fn sender(&self) -> String {
        format!("{}.{:x}", self.peer.host, self.peer.incarnation)
    }

    /// Sends a message; what can't be sent comes back as undelivered.
    pub async fn send(&self, to: &id::Host, message: Message) {
        if *to == self.me {
            let received = Inbound::Received {
                peer: self.peer.clone(),
                messages: vec![message],
            };
            let _ = self.local.send(received).await;
            return;
        }
        match self.address(to) {
            Some(address) => self.hub.send(to.clone(), address, message).await,
            None => {
                let to = to.clone();
                let _ = self.local.send(Inbound::Undelivered { to, message }).await;
            }
        }
    }

    /// Gives up the link to a process that is held to be over.
    pub async fn lose(&self, peer: Peer) {
        self.hub.lose(peer).await;
    }

    fn address(&self, host: &id::Host) -> Option<std::net::SocketAddr> {
        Some(self.view.borrow().hosts.get(host)?.address)
    }
}

/// The tasks that messages are for.
#[derive(Debug, Clone)]
pub struct Desks {
    /// The task that serves queries.
    pub entry: mpsc::Sender<entry::Mail>,
    /// The task that serves requests that may run at most once.
    pub once: mpsc::Sender<once::Mail>,
    /// The task that owns backend servers.
    pub owner: mpsc::Sender<owner::Mail>,
    /// The task that takes part in the fleet.
    pub fleet: mpsc::Sender<fleet::Mail>,
}

/// Passes on what comes from other processes until all senders are gone.
pub async fn sort(mut inbound: mpsc::Receiver<Inbound>, desks: Desks) {
    while let Some(inbound) = inbound.recv().await {
        match inbound {
            Inbound::Received { peer, messages } => {
                for message in messages {
                    desks.receive(&peer, message).await;
                }
            }
            Inbound::Undelivered { message, .. } => desks.undelivered(message).await,
            Inbound::Down { host } => {
                let _ = desks.entry.send(entry::Mail::Down(host.clone())).await;
                desks.once(once::Event::Down { host }).await;
            }
        }
    }
}

impl Desks {
    async fn receive(&self, peer: &Peer, message: Message) {
        let from = peer.host.clone();
        match message {
            Message::Sub(sub) => {
                let _ = self.owner.send(owner::Mail::Sub { from, sub }).await;
            }
            Message::Forward { from, sub } => {
                let _ = self.owner.send(owner::Mail::Forward { from, sub }).await;
            }
            Message::Claims { sent, claims } => {
                let from = peer.clone();
                self.lease(tenure::Mail::Claims { from, sent, claims })
                    .await;
            }
            Message::Verdicts { sent, verdicts } => {
                let mail = tenure::Mail::Verdicts {
                    from,
                    sent,
                    verdicts,
                };
                self.lease(mail).await;
            }
            Message::Release(released) => {
                let from = peer.clone();
                self.lease(tenure::Mail::Release { from, released }).await;
            }
            Message::Cede(transfer) => self.lease(tenure::Mail::Cede(transfer)).await,
            Message::Ceded(backend) => {
                let by = from;
                self.lease(tenure::Mail::Ceded { by, backend }).await;
            }
            Message::Cancel(id) => {
                let _ = self.owner.send(owner::Mail::Cancel { from, id }).await;
            }
            Message::Result {
                desk,
                id,
                result,
                load,
            } => self.result(desk, id, result, load).await,
            Message::Submit { request, submit } => {
                let event = once::Event::Submit {
                    from,
                    request,
                    submit,
                };
                self.once(event).await;
            }
            Message::Settled { request, settled } => {
                let event = once::Event::Settled {
                    from,
                    request,
                    settled,
                };
                self.once(event).await;
            }
            Message::NotHome { request } => {
                self.once(once::Event::NotHome { from, request }).await;
            }
            Message::Handover(parcel) => self.once(once::Event::Handover { from, parcel }).await,
            Message::Taken { number } => self.once(once::Event::Taken { number }).await,
            Message::Sync(message) => {
                let _ = self.fleet.send(fleet::Mail::Message(from, message)).await;
            }
        }
    }

    async fn lease(&self, mail: tenure::Mail) {
        let _ = self.owner.send(owner::Mail::Lease(mail)).await;
    }

    async fn once(&self, event: once::Event) {
        let _ = self.once.send(once::Mail::Event(event)).await;
    }

    /// A message that never left this process has run nowhere.
    async fn undelivered(&self, message: Message) {
        match message {
            Message::Sub(sub) => {
                let result = sub::Result::not_run(Failure::Connection);
                self.result(sub.work.component(), sub.id, result, None)
                    .await;
            }
            Message::Forward { from, sub } => {
                self.lease(tenure::Mail::Returned { from, sub }).await;
            }
            Message::Submit { request, .. } => {
                self.once(once::Event::Undelivered { request }).await;
            }
            Message::Handover(parcel) => self.once(once::Event::Returned(parcel)).await,
            // Who was to get one of these sees the link end and decides by itself.
            Message::Cancel(_)
            | Message::Result { .. }
            | Message::Settled { .. }
            | Message::NotHome { .. }
            | Message::Claims { .. }
            | Message::Verdicts { .. }
            | Message::Release(_)
            | Message::Cede(_)
            | Message::Ceded(_)
            | Message::Taken { .. } => {}
            // Whoever needs it asks again.
            Message::Sync(_) => {}
        }
    }

    async fn result(&self, desk: Component, id: id::Sub, result: sub::Result, load: Option<Load>) {
        match desk {
            Component::Query => {
                let result = entry::Mail::Result { id, result, load };
                let _ = self.entry.send(result).await;
            }
            Component::Once => {
                self.once(once::Event::Result { id, result }).await;
            }
        }
    }
}
