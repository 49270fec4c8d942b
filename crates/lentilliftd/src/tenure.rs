//! The part of the owner's task that keeps its leases.

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

/// What other tasks and processes say about leases.
#[derive(Debug)]
pub enum Mail {
    /// A process claims backend servers from this one.
    Claims {
        /// The process.
        from: Peer,
        /// When it sent the claims, by its clock.
        sent: Time,
        /// The claims.
        claims: Vec<Claim>,
    },
    /// A guardian answered claims.
    Verdicts {
        /// The guardian.
        from: id::Host,
        /// When the claims were sent.
        sent: Time,
        /// The answers.
        verdicts: Vec<(id::Backend, Attempt, Verdict)>,
    },
    /// A process gives grants back.
    Release {
        /// The process.
        from: Peer,
        /// What it gives back.
        released: Vec<(id::Backend, Attempt)>,
    },
    /// A holder hands a backend server over to this process.
    Cede(Transfer),
    /// A successor has taken over.
    Ceded {
        /// The successor.
        by: id::Host,
        /// The backend server.
        backend: id::Backend,
    },
    /// A sub-request that was passed on never left this process.
    Returned {
        /// The host whose entry sent it.
        from: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// The process is to end: hand everything over, and answer when that is done.
    Leave(oneshot::Sender<()>),
}

impl Task {
    /// Takes in what is said about leases.
    pub(crate) async fn open_lease(&mut self, now: Time, mail: Mail) {
        let effects = match mail {
            Mail::Claims { from, sent, claims } => self.guard(now, from, sent, claims).await,
            Mail::Verdicts {
                from,
                sent,
                verdicts,
            } => self.tenure.handle_verdicts(now, &from, sent, verdicts),
            Mail::Release { from, released } => {
                let Peer { host, incarnation } = from;
                self.tenure
                    .handle_release(now, &host, incarnation, &released);
                Vec::new()
            }
            Mail::Cede(transfer) => self.tenure.accept_transfer(now, transfer),
            Mail::Ceded { by, backend } => self.tenure.handle_confirmation(now, &backend, &by),
            Mail::Returned { from, sub } => {
                let message = Message::Result {
                    desk: sub.work.desk(),
                    id: sub.id,
                    result: sub::Result::not_run(Failure::Connection),
                    load: None,
                };
                self.peers.send(&from, message).await;
                Vec::new()
            }
            Mail::Leave(done) => {
                self.board.event("lease", &self.me.host, "handing over");
                self.leaving = Some(done);
                self.tenure.leave(now)
            }
        };
        self.keep(now, effects).await;
    }

    /// Answers claims as a guardian.
    async fn guard(
        &mut self,
        now: Time,
        from: Peer,
        sent: Time,
        claims: Vec<Claim>,
    ) -> Vec<Effect> {
        let (verdicts, effects) = self.decide(now, &from, claims);
        let message = Message::Verdicts { sent, verdicts };
        self.peers.send(&from.host, message).await;
        effects
    }

    fn decide(
        &mut self,
        now: Time,
        from: &Peer,
        claims: Vec<Claim>,
    ) -> (Vec<(id::Backend, Attempt, Verdict)>, Vec<Effect>) {
        let (verdicts, effects) =
            self.tenure
                .handle_claims(now, &from.host, from.incarnation, &claims);
        let answers = claims.into_iter().zip(verdicts);
        let answers = answers.map(|(claim, verdict)| (claim.backend, claim.attempt, verdict));
        (answers.collect(), effects)
    }

    /// Carries out what the leases want done, and what follows from it.
    pub(crate) async fn keep(&mut self, now: Time, effects: Vec<Effect>) {
        let mut queue = VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            match effect {
                Effect::Claim { to, sent, claims } if to == self.me.host => {
                    // Not by mail: a full mailbox of this very task would hold it up for good.
                    let me = self.me.clone();
                    let (verdicts, effects) = self.decide(now, &me, claims);
                    queue.extend(effects);
                    queue.extend(self.tenure.handle_verdicts(now, &me.host, sent, verdicts));
                }
                Effect::Claim { to, sent, claims } => {
                    let count = claims.len() as u64;
                    self.board.add("lentillift_claims_total", &[], count);
                    let message = Message::Claims { sent, claims };
                    self.peers.send(&to, message).await;
                }
                Effect::Release { to, released } if to == self.me.host => {
                    let me = self.me.clone();
                    self.tenure
                        .handle_release(now, &me.host, me.incarnation, &released);
                }
                Effect::Release { to, released } => {
                    self.peers.send(&to, Message::Release(released)).await;
                }
                Effect::Acquired { backend, transfer } => {
                    self.acquired(now, backend, transfer).await;
                }
                Effect::Confirm { to, backend } => {
                    self.peers.send(&to, Message::Ceded(backend)).await;
                }
                Effect::Changed(backend) => self.changed(now, backend).await,
            }
        }
        self.hand_over(now).await;
        if self.tenure.is_empty()
            && let Some(done) = self.leaving.take()
        {
            // Who waits for it may have run out of patience.
            let _ = done.send(());
        }
    }

    async fn acquired(&mut self, now: Time, backend: id::Backend, transfer: Option<Transfer>) {
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
        self.changed(now, backend).await;
    }

    /// Tells the owner what it may do now.
    async fn changed(&mut self, now: Time, backend: id::Backend) {
        let hold = self.tenure.lease_state(now, &backend);
        if matches!(hold, LeaseState::No(_)) && self.lost(&backend) {
            let detail = format!("no longer held: {hold:?}");
            self.board.event("lease", &backend, detail);
        }
        self.handle(now, Event::Hold { backend, hold }).await;
    }

    /// Hands over what no request is under way for any more, or what has waited for long enough.
    pub(crate) async fn hand_over(&mut self, now: Time) {
        for (backend, overdue) in self.tenure.ceding(now) {
            let standing = self.owner.standing(now, &backend);
            if standing.in_flight > 0 && !overdue {
                continue;
            }
            let Some((to, from)) = self.tenure.hand_over(now, &backend) else {
                continue;
            };
            let transfer = Transfer {
                backend,
                from,
                limit: standing.limit,
                in_flight: standing.in_flight,
                left: standing.left,
            };
            self.peers.send(&to, Message::Cede(transfer)).await;
        }
    }
}
