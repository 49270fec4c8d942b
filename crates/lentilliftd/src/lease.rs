//! Lease handling in the owner task.

use crate::owner::Task;
use lentillift_core::id;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use lentillift_fleet::grant::Attempt;
use lentillift_fleet::grant::Claim;
use lentillift_fleet::grant::Verdict;
use lentillift_fleet::lease_manager::Effect;
use lentillift_fleet::lease_manager::LeaseState;
use lentillift_fleet::lease_manager::Transfer;
use lentillift_node::link::Peer;
use lentillift_node::message::Message;
use lentillift_owner::core::Event;
use std::collections::VecDeque;
use tokio::sync::oneshot;

/// Inputs about leases, from other tasks and processes.
#[derive(Debug)]
pub enum Input {
    /// A process claims backend servers from this one.
    Claims {
        /// The claiming process.
        from: Peer,
        /// When it sent the claims, by its clock.
        sent: Time,
        /// One claim per backend server.
        claims: Vec<Claim>,
    },
    /// A guardian answered claims.
    Verdicts {
        /// The guardian's host.
        from: id::Host,
        /// When this process sent the claims, by its own clock.
        sent: Time,
        /// One verdict per claim, with the claim's backend server and attempt.
        verdicts: Vec<(id::Backend, Attempt, Verdict)>,
    },
    /// A process releases grants.
    Release {
        /// The releasing process.
        from: Peer,
        /// The backend servers, with the attempt that each was granted to.
        released: Vec<(id::Backend, Attempt)>,
    },
    /// A lease holder hands a backend server over to this process.
    Cede(Transfer),
    /// A successor confirmed that it has taken over a backend server.
    Ceded {
        /// The successor's host.
        by: id::Host,
        /// The backend server that was handed over.
        backend: id::Backend,
    },
    /// A sub-request that was to be forwarded never left this process.
    Returned {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// The process shuts down: hand over all backend servers, then complete the channel.
    Leave(oneshot::Sender<()>),
}

impl Task {
    /// Handles an input about leases.
    pub(crate) async fn handle_lease_input(&mut self, now: Time, input: Input) {
        let effects = match input {
            Input::Claims { from, sent, claims } => {
                self.answer_claims(now, from, sent, claims).await
            }
            Input::Verdicts {
                from,
                sent,
                verdicts,
            } => self.leases.handle_verdicts(now, &from, sent, verdicts),
            Input::Release { from, released } => {
                let Peer { host, incarnation } = from;
                self.leases
                    .handle_release(now, &host, incarnation, &released);
                Vec::new()
            }
            Input::Cede(transfer) => self.leases.accept_transfer(now, transfer),
            Input::Ceded { by, backend } => self.leases.handle_confirmation(now, &backend, &by),
            Input::Returned { from, sub } => {
                let message = Message::Result {
                    component: sub.work.component(),
                    id: sub.id,
                    result: sub::Result::not_run(Failure::Connection),
                    load: None,
                };
                self.peers.send(&from, message).await;
                Vec::new()
            }
            Input::Leave(done) => {
                self.board
                    .event("lease", &self.local_peer.host, "handing over");
                self.handover_done = Some(done);
                self.leases.leave(now)
            }
        };
        self.apply_lease_effects(now, effects).await;
    }

    /// Answers claims as a guardian of the claimed backend servers.
    async fn answer_claims(
        &mut self,
        now: Time,
        from: Peer,
        sent: Time,
        claims: Vec<Claim>,
    ) -> Vec<Effect> {
        let (verdicts, effects) = self.decide_claims(now, &from, claims);
        let message = Message::Verdicts { sent, verdicts };
        self.peers.send(&from.host, message).await;
        effects
    }

    fn decide_claims(
        &mut self,
        now: Time,
        from: &Peer,
        claims: Vec<Claim>,
    ) -> (Vec<(id::Backend, Attempt, Verdict)>, Vec<Effect>) {
        let (verdicts, effects) =
            self.leases
                .handle_claims(now, &from.host, from.incarnation, &claims);
        let answers = claims.into_iter().zip(verdicts);
        let answers = answers.map(|(claim, verdict)| (claim.backend, claim.attempt, verdict));
        (answers.collect(), effects)
    }

    /// Applies the effects of lease handling, and the further effects that these produce.
    pub(crate) async fn apply_lease_effects(&mut self, now: Time, effects: Vec<Effect>) {
        let mut queue = VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            match effect {
                Effect::Claim { to, sent, claims } if to == self.local_peer.host => {
                    // Decided directly, not by a message: with its input channel full, this task
                    // would wait for itself forever.
                    let local_peer = self.local_peer.clone();
                    let (verdicts, effects) = self.decide_claims(now, &local_peer, claims);
                    queue.extend(effects);
                    queue.extend(self.leases.handle_verdicts(
                        now,
                        &local_peer.host,
                        sent,
                        verdicts,
                    ));
                }
                Effect::Claim { to, sent, claims } => {
                    let count = claims.len() as u64;
                    self.board.add("lentillift_claims_total", &[], count);
                    let message = Message::Claims { sent, claims };
                    self.peers.send(&to, message).await;
                }
                Effect::Release { to, released } if to == self.local_peer.host => {
                    let local_peer = self.local_peer.clone();
                    self.leases.handle_release(
                        now,
                        &local_peer.host,
                        local_peer.incarnation,
                        &released,
                    );
                }
                Effect::Release { to, released } => {
                    self.peers.send(&to, Message::Release(released)).await;
                }
                Effect::Acquired { backend, transfer } => {
                    self.on_acquired(now, backend, transfer).await;
                }
                Effect::Confirm { to, backend } => {
                    self.peers.send(&to, Message::Ceded(backend)).await;
                }
                Effect::Changed(backend) => self.update_lease_state(now, backend).await,
            }
        }
        self.hand_over(now).await;
        if self.leases.is_empty()
            && let Some(done) = self.handover_done.take()
        {
            // The send fails if the shutdown has timed out waiting for it.
            let _ = done.send(());
        }
    }

    async fn on_acquired(&mut self, now: Time, backend: id::Backend, transfer: Option<Transfer>) {
        let detail = match &transfer {
            Some(transfer) => format!("taken over from {}", transfer.from.host),
            None => "acquired".to_owned(),
        };
        self.board.event("lease", &backend, detail);
        let acquired = Event::Acquired {
            backend: backend.clone(),
            transfer,
        };
        self.handle(now, acquired).await;
        self.update_lease_state(now, backend).await;
    }

    /// Passes the state of the lease on `backend` to the owner.
    async fn update_lease_state(&mut self, now: Time, backend: id::Backend) {
        let hold = self.leases.lease_state(now, &backend);
        if matches!(hold, LeaseState::No(_)) && self.has_state_for(&backend) {
            let detail = format!("no longer held: {hold:?}");
            self.board.event("lease", &backend, detail);
        }
        self.handle(now, Event::Hold { backend, hold }).await;
    }

    /// Hands over each backend server that is being ceded and has no request in flight, or whose
    /// wait for them has timed out.
    pub(crate) async fn hand_over(&mut self, now: Time) {
        for (backend, overdue) in self.leases.ceding(now) {
            let status = self.owner.handover_state(now, &backend);
            if status.in_flight > 0 && !overdue {
                continue;
            }
            let Some((to, from)) = self.leases.hand_over(now, &backend) else {
                continue;
            };
            let transfer = Transfer {
                backend,
                from,
                limit: status.limit,
                in_flight: status.in_flight,
                left: status.left,
            };
            self.peers.send(&to, Message::Cede(transfer)).await;
        }
    }
}
