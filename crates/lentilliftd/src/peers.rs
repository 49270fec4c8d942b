//! Sends messages to other processes and routes received messages to tasks.

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
use crate::lease;
use crate::once;
use crate::owner;

/// Sends messages to any host, including this one.
#[derive(Debug, Clone)]
pub struct Peers {
    local_host: id::Host,
    view: watch::Receiver<Arc<View>>,
    hub: hub::Handle,
    loopback: mpsc::Sender<Inbound>,
    local_peer: Peer,
}

impl Peers {
    /// Sends to other hosts over `hub`, and to this process over `loopback`.
    pub fn new(
        peer: Peer,
        view: watch::Receiver<Arc<View>>,
        hub: hub::Handle,
        loopback: mpsc::Sender<Inbound>,
    ) -> Self {
        Self {
            local_host: peer.host.clone(),
            view,
            hub,
            loopback,
            local_peer: peer,
        }
    }

    /// A name that is unique to this process and to this start of it.
    pub fn sender(&self) -> String {
        format!("{}.{:x}", self.local_peer.host, self.local_peer.incarnation)
    }

    /// Sends a message; one that cannot be sent is returned as [`Inbound::Undelivered`].
    pub async fn send(&self, to: &id::Host, message: Message) {
        if *to == self.local_host {
            let received = Inbound::Received {
                peer: self.local_peer.clone(),
                messages: vec![message],
            };
            let _ = self.loopback.send(received).await;
            return;
        }
        match self.address(to) {
            Some(address) => self.hub.send(to.clone(), address, message).await,
            None => {
                let to = to.clone();
                let _ = self
                    .loopback
                    .send(Inbound::Undelivered { to, message })
                    .await;
            }
        }
    }

    /// Closes the link to a process that is gone, dead or replaced by a new incarnation.
    pub async fn disconnect(&self, peer: Peer) {
        self.hub.disconnect(peer).await;
    }

    fn address(&self, host: &id::Host) -> Option<std::net::SocketAddr> {
        Some(self.view.borrow().hosts.get(host)?.address)
    }
}

/// Input channels of the tasks, to which messages are routed.
#[derive(Debug, Clone)]
pub struct Router {
    /// Serves queries.
    pub entry: mpsc::Sender<entry::Input>,
    /// Serves requests with at-most-once execution.
    pub once: mpsc::Sender<once::Input>,
    /// Owns backend servers.
    pub owner: mpsc::Sender<owner::Input>,
    /// Handles membership and published values.
    pub fleet: mpsc::Sender<fleet::Input>,
}

/// Routes what the hub reports to the tasks until all senders are dropped.
pub async fn route(mut inbound: mpsc::Receiver<Inbound>, router: Router) {
    while let Some(inbound) = inbound.recv().await {
        match inbound {
            Inbound::Received { peer, messages } => {
                for message in messages {
                    router.route_message(&peer, message).await;
                }
            }
            Inbound::Undelivered { message, .. } => router.handle_undelivered(message).await,
            Inbound::Down { host } => {
                let _ = router.entry.send(entry::Input::Down(host.clone())).await;
                router.send_once_event(once::Event::Down { host }).await;
            }
        }
    }
}

impl Router {
    async fn route_message(&self, peer: &Peer, message: Message) {
        let from = peer.host.clone();
        match message {
            Message::Sub(sub) => {
                let _ = self.owner.send(owner::Input::Sub { from, sub }).await;
            }
            Message::Forward { from, sub } => {
                let _ = self.owner.send(owner::Input::Forward { from, sub }).await;
            }
            Message::Claims { sent, claims } => {
                let from = peer.clone();
                self.send_lease_input(lease::Input::Claims { from, sent, claims })
                    .await;
            }
            Message::Verdicts { sent, verdicts } => {
                let input = lease::Input::Verdicts {
                    from,
                    sent,
                    verdicts,
                };
                self.send_lease_input(input).await;
            }
            Message::Release(released) => {
                let from = peer.clone();
                self.send_lease_input(lease::Input::Release { from, released })
                    .await;
            }
            Message::Cede(transfer) => self.send_lease_input(lease::Input::Cede(transfer)).await,
            Message::Ceded(backend) => {
                let by = from;
                self.send_lease_input(lease::Input::Ceded { by, backend })
                    .await;
            }
            Message::Cancel(id) => {
                let _ = self.owner.send(owner::Input::Cancel { from, id }).await;
            }
            Message::Result {
                component,
                id,
                result,
                load,
            } => self.send_result(component, id, result, load).await,
            Message::Submit { request, submit } => {
                let event = once::Event::Submit {
                    from,
                    request,
                    submit,
                };
                self.send_once_event(event).await;
            }
            Message::Settled { request, settled } => {
                let event = once::Event::Settled {
                    from,
                    request,
                    settled,
                };
                self.send_once_event(event).await;
            }
            Message::NotHome { request } => {
                self.send_once_event(once::Event::NotHome { from, request })
                    .await;
            }
            Message::Handover(batch) => {
                self.send_once_event(once::Event::Handover {
                    from,
                    parcel: batch,
                })
                .await
            }
            Message::Taken { number } => self.send_once_event(once::Event::Taken { number }).await,
            Message::Sync(message) => {
                let _ = self.fleet.send(fleet::Input::Message(from, message)).await;
            }
        }
    }

    async fn send_lease_input(&self, input: lease::Input) {
        let _ = self.owner.send(owner::Input::Lease(input)).await;
    }

    async fn send_once_event(&self, event: once::Event) {
        let _ = self.once.send(once::Input::Event(event)).await;
    }

    /// Reports a message that never left this process, and hence ran nowhere, to the task
    /// concerned.
    async fn handle_undelivered(&self, message: Message) {
        match message {
            Message::Sub(sub) => {
                let result = sub::Result::not_run(Failure::Connection);
                self.send_result(sub.work.component(), sub.id, result, None)
                    .await;
            }
            Message::Forward { from, sub } => {
                self.send_lease_input(lease::Input::Returned { from, sub })
                    .await;
            }
            Message::Submit { request, .. } => {
                self.send_once_event(once::Event::Undelivered { request })
                    .await;
            }
            Message::Handover(batch) => self.send_once_event(once::Event::Returned(batch)).await,
            // The intended recipient of one of these sees the link close and handles that itself.
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
            // The host that needs it requests it again.
            Message::Sync(_) => {}
        }
    }

    async fn send_result(
        &self,
        component: Component,
        id: id::Sub,
        result: sub::Result,
        load: Option<Load>,
    ) {
        match component {
            Component::Query => {
                let result = entry::Input::Result { id, result, load };
                let _ = self.entry.send(result).await;
            }
            Component::Once => {
                self.send_once_event(once::Event::Result { id, result })
                    .await;
            }
        }
    }
}
