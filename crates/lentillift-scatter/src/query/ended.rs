//! What follows from how a send ended.

use super::Branch;
use super::Query;
use crate::core::Core;
use crate::leg::Target;
use crate::leg::Try;
use crate::outcome::BranchUpdate;
use crate::outcome::Outcome;
use crate::outcome::Send;
use crate::replica::SendId;
use crate::replica::Sign;
use crate::server::Server;
use lentillift_core::time::Time;

impl Query {
    /// Takes in how a send ended; says what to send now.
    pub fn ended(
        &mut self,
        core: &mut Core,
        now: Time,
        number: SendId,
        outcome: Outcome,
    ) -> Vec<Send> {
        if let Some(branch) = self.branches.remove(&number) {
            return self.branch_ended(core, now, number, branch, outcome);
        }
        let found = self.legs.iter_mut().enumerate();
        let mut found = found.filter_map(|(i, leg)| Some((i, leg.take(number)?)));
        let Some((leg, sent)) = found.next() else {
            return Vec::new();
        };
        let Target::Server(server) = &sent.target else {
            return Vec::new();
        };
        self.note(core, now, &sent, server, &outcome);
        let backend = server.entry.id.clone();
        let state = &mut self.legs[leg];
        match outcome {
            Outcome::Part { .. } => {
                state.ran.push(backend);
                // A second reply for a leg is not needed.
                if state.done.is_none() {
                    state.done = Some(number);
                    state.hedge_at = None;
                    state.held = false;
                }
                self.server_answered(core, now);
                return Vec::new();
            }
            Outcome::Failure { .. } => {
                state.ran.push(backend);
                state.failed = Some(number);
            }
            Outcome::ServerEnded => {
                state.ran.push(backend);
                self.server_ended(core, server, sent.canary, now);
            }
            Outcome::Broken | Outcome::Branch(_) => state.ran.push(backend),
            Outcome::Rejected { .. } | Outcome::Misdirected => {
                self.rejections += 1;
                state.turned_away.push(backend);
            }
            Outcome::Unreachable | Outcome::Withheld => {
                if outcome == Outcome::Unreachable {
                    state.turned_away.push(backend);
                }
                state.arrivals -= 1;
                if sent.repeat {
                    let service = state.service.clone();
                    core.refund(&service, now);
                }
            }
        }
        if sent.canary {
            self.canary_ended(now);
        }
        self.retry(core, leg, now)
    }

    fn note(&self, core: &mut Core, now: Time, sent: &Try, server: &Server, outcome: &Outcome) {
        let (sign, load) = match outcome {
            Outcome::Part { load } => {
                let took = now.saturating_sub(sent.sent);
                core.replied(sent.number, server, &self.plan.route, took, now, *load);
                return;
            }
            Outcome::Failure { load } => (Sign::Failed, *load),
            Outcome::Rejected { load } => (Sign::Rejected, *load),
            Outcome::Misdirected => {
                core.replicas.get(&server.entry.id).moved(&server.entry);
                (Sign::Misdirected, None)
            }
            Outcome::Unreachable => (Sign::Unreachable, None),
            Outcome::Withheld => (Sign::Abandoned, None),
            Outcome::Broken | Outcome::ServerEnded | Outcome::Branch(_) => (Sign::Failed, None),
        };
        core.ended(sent.number, &server.entry.id, sign, now, load);
    }

    fn branch_ended(
        &mut self,
        core: &mut Core,
        now: Time,
        number: SendId,
        mut branch: Branch,
        outcome: Outcome,
    ) -> Vec<Send> {
        // Whether the host itself told, rather than this one giving it up.
        let is_told = matches!(outcome, Outcome::Branch(_));
        let brought = match outcome {
            Outcome::Branch(brought) => brought,
            Outcome::Unreachable => BranchUpdate {
                done: Vec::new(),
                declined: branch.legs.clone(),
                failed: Vec::new(),
                last: true,
            },
            _ => BranchUpdate {
                done: Vec::new(),
                declined: Vec::new(),
                failed: branch.legs.clone(),
                last: true,
            },
        };
        if !brought.done.is_empty() {
            branch.arrived(core, now);
            self.server_answered(core, now);
        }
        if is_told {
            core.loss
                .note(brought.done.len(), brought.failed.len(), now);
        }
        let answered = branch.told || !brought.done.is_empty();
        let mut again = Vec::new();
        for leg in &brought.done {
            let state = &mut self.legs[*leg];
            state.take(number);
            state.ran_in.push(branch.domain.clone());
            // The host's records are merged and can't be taken apart: what another send brought for
            // this leg is left out in its favour.
            state.done = Some(number);
            state.hedge_at = None;
            state.held = false;
        }
        for leg in &brought.declined {
            let state = &mut self.legs[*leg];
            if state.take(number).is_some() {
                state.arrivals -= 1;
                again.push(*leg);
            }
        }
        for leg in &brought.failed {
            let state = &mut self.legs[*leg];
            if state.take(number).is_some() {
                state.ran_in.push(branch.domain.clone());
                again.push(*leg);
            }
        }
        let told = |leg: &usize| {
            let lists = [&brought.done, &brought.declined, &brought.failed];
            lists.iter().any(|list| list.contains(leg))
        };
        branch.legs.retain(|leg| !told(leg));
        // What it declines it tells at once; only when it was due to tell what it has are the others
        // late. Taken for late at its first word, whole searches were sent twice.
        let due = now >= branch.first;
        if due && !branch.told && !brought.last {
            again.extend(&branch.legs);
        }
        branch.told |= due;
        if brought.last {
            core.hosts.ended(&branch.host, now, answered);
        } else {
            self.branches.insert(number, branch);
        }
        let mut sends = Vec::new();
        for leg in again {
            sends.extend(self.retry(core, leg, now));
        }
        sends
    }

    /// Takes in how a send ended after the request was answered.
    pub fn ended_after_answer(
        &mut self,
        core: &mut Core,
        now: Time,
        number: SendId,
        outcome: Outcome,
    ) {
        for leg in &mut self.legs {
            leg.hedge_at = None;
        }
        if let Some(mut branch) = self.branches.remove(&number) {
            let answered = matches!(outcome, Outcome::Branch(_));
            match &outcome {
                Outcome::Branch(brought) if !brought.last => {
                    branch.arrived(core, now);
                    branch.told |= now >= branch.first;
                    self.branches.insert(number, branch);
                }
                _ => core.hosts.ended(&branch.host, now, answered),
            }
            return;
        }
        let found = self.legs.iter_mut().find_map(|leg| leg.take(number));
        if let Some(sent) = found
            && let Target::Server(server) = &sent.target
        {
            self.note(core, now, &sent, server, &outcome);
            match outcome {
                Outcome::Part { .. } => self.server_answered(core, now),
                Outcome::ServerEnded => self.server_ended(core, server, sent.canary, now),
                _ => {}
            }
        }
    }

    /// Gives up on all sends that have not ended.
    pub fn abandon(&mut self, core: &mut Core, now: Time) {
        for sent in self.legs.iter_mut().flat_map(|leg| leg.tries.drain(..)) {
            if let Target::Server(server) = &sent.target {
                core.ended(sent.number, &server.entry.id, Sign::Abandoned, now, None);
            }
        }
        for branch in std::mem::take(&mut self.branches).values() {
            core.hosts.ended(&branch.host, now, true);
        }
    }
}
