//! Handles how sends end.

use super::Branch;
use super::Query;
use crate::core::Core;
use crate::leg::Attempt;
use crate::leg::Target;
use crate::outcome::BranchUpdate;
use crate::outcome::Outcome;
use crate::outcome::Send;
use crate::replica::Observation;
use crate::replica::SendId;
use crate::server::Server;
use lentillift_core::time::Time;

impl Query {
    /// Handles the end of a send; returns the sends that follow from it.
    pub fn ended(
        &mut self,
        core: &mut Core,
        now: Time,
        send_id: SendId,
        outcome: Outcome,
    ) -> Vec<Send> {
        if let Some(branch) = self.branches.remove(&send_id) {
            return self.branch_updated(core, now, send_id, branch, outcome);
        }
        let found = self.legs.iter_mut().enumerate();
        let mut found = found.filter_map(|(i, leg)| Some((i, leg.remove(send_id)?)));
        let Some((leg, sent)) = found.next() else {
            return Vec::new();
        };
        let Target::Server(server) = &sent.target else {
            return Vec::new();
        };
        self.record_outcome(core, now, &sent, server, &outcome);
        let backend = server.entry.id.clone();
        let state = &mut self.legs[leg];
        match outcome {
            Outcome::Part { .. } => {
                state.may_have_run.push(backend);
                // A second reply for the same leg is not needed.
                if state.done.is_none() {
                    state.done = Some(send_id);
                    state.hedge_at = None;
                    state.waits_for_canary = false;
                }
                self.server_answered(core, now);
                return Vec::new();
            }
            Outcome::Failure { .. } => {
                state.may_have_run.push(backend);
                state.failed = Some(send_id);
            }
            Outcome::ServerEnded => {
                state.may_have_run.push(backend);
                self.server_ended(core, server, sent.canary, now);
            }
            Outcome::Broken | Outcome::Branch(_) => state.may_have_run.push(backend),
            Outcome::Rejected { .. } | Outcome::Misdirected => {
                self.rejections += 1;
                state.rejected_by.push(backend);
            }
            Outcome::Unreachable | Outcome::Withheld => {
                if outcome == Outcome::Unreachable {
                    state.rejected_by.push(backend);
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

    /// Records the end of a send in the state of its server.
    fn record_outcome(
        &self,
        core: &mut Core,
        now: Time,
        sent: &Attempt,
        server: &Server,
        outcome: &Outcome,
    ) {
        let (observation, load) = match outcome {
            Outcome::Part { load } => {
                let took = now.saturating_sub(sent.sent);
                core.replied(sent.send_id, server, &self.plan.route, took, now, *load);
                return;
            }
            Outcome::Failure { load } => (Observation::Failed, *load),
            Outcome::Rejected { load } => (Observation::Rejected, *load),
            Outcome::Misdirected => {
                core.replicas
                    .get(&server.entry.id)
                    .note_reused_address(&server.entry);
                (Observation::Misdirected, None)
            }
            Outcome::Unreachable => (Observation::Unreachable, None),
            Outcome::Withheld => (Observation::Abandoned, None),
            Outcome::Broken | Outcome::ServerEnded | Outcome::Branch(_) => {
                (Observation::Failed, None)
            }
        };
        core.ended(sent.send_id, &server.entry.id, observation, now, load);
    }

    /// Handles an update or the end of a branch; returns the sends that follow from it.
    fn branch_updated(
        &mut self,
        core: &mut Core,
        now: Time,
        send_id: SendId,
        mut branch: Branch,
        outcome: Outcome,
    ) -> Vec<Send> {
        // Whether the host itself sent an update, as opposed to this host giving it up.
        let is_update = matches!(outcome, Outcome::Branch(_));
        let update = match outcome {
            Outcome::Branch(update) => update,
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
        if !update.done.is_empty() {
            branch.note_reply_delay(core, now);
            self.server_answered(core, now);
        }
        if is_update {
            core.loss.note(update.done.len(), update.failed.len(), now);
        }
        let answered = branch.has_reported || !update.done.is_empty();
        let mut to_retry = Vec::new();
        for leg in &update.done {
            let state = &mut self.legs[*leg];
            state.remove(send_id);
            state.may_have_run_in.push(branch.domain.clone());
            // The host's records are merged and can't be separated: its part replaces what another
            // send returned for this leg.
            state.done = Some(send_id);
            state.hedge_at = None;
            state.waits_for_canary = false;
        }
        for leg in &update.declined {
            let state = &mut self.legs[*leg];
            if state.remove(send_id).is_some() {
                state.arrivals -= 1;
                to_retry.push(*leg);
            }
        }
        for leg in &update.failed {
            let state = &mut self.legs[*leg];
            if state.remove(send_id).is_some() {
                state.may_have_run_in.push(branch.domain.clone());
                to_retry.push(*leg);
            }
        }
        let is_reported = |leg: &usize| {
            let lists = [&update.done, &update.declined, &update.failed];
            lists.iter().any(|list| list.contains(leg))
        };
        branch.legs.retain(|leg| !is_reported(leg));
        // Declined legs are reported early; the others are late only once the first update was due.
        // When they counted as late from the first message on, whole searches were sent twice.
        let due = now >= branch.first_update_due;
        if due && !branch.has_reported && !update.last {
            to_retry.extend(&branch.legs);
        }
        branch.has_reported |= due;
        if update.last {
            core.hosts.ended(&branch.host, now, answered);
        } else {
            self.branches.insert(send_id, branch);
        }
        let mut sends = Vec::new();
        for leg in to_retry {
            sends.extend(self.retry(core, leg, now));
        }
        sends
    }

    /// Handles the end of a send after the request was answered.
    pub fn ended_after_answer(
        &mut self,
        core: &mut Core,
        now: Time,
        send_id: SendId,
        outcome: Outcome,
    ) {
        for leg in &mut self.legs {
            leg.hedge_at = None;
        }
        if let Some(mut branch) = self.branches.remove(&send_id) {
            let answered = matches!(outcome, Outcome::Branch(_));
            match &outcome {
                Outcome::Branch(update) if !update.last => {
                    branch.note_reply_delay(core, now);
                    branch.has_reported |= now >= branch.first_update_due;
                    self.branches.insert(send_id, branch);
                }
                _ => core.hosts.ended(&branch.host, now, answered),
            }
            return;
        }
        let found = self.legs.iter_mut().find_map(|leg| leg.remove(send_id));
        if let Some(sent) = found
            && let Target::Server(server) = &sent.target
        {
            self.record_outcome(core, now, &sent, server, &outcome);
            match outcome {
                Outcome::Part { .. } => self.server_answered(core, now),
                Outcome::ServerEnded => self.server_ended(core, server, sent.canary, now),
                _ => {}
            }
        }
    }

    /// Abandons all sends that have not ended.
    pub fn abandon(&mut self, core: &mut Core, now: Time) {
        for sent in self.legs.iter_mut().flat_map(|leg| leg.in_flight.drain(..)) {
            if let Target::Server(server) = &sent.target {
                core.ended(
                    sent.send_id,
                    &server.entry.id,
                    Observation::Abandoned,
                    now,
                    None,
                );
            }
        }
        for branch in std::mem::take(&mut self.branches).values() {
            core.hosts.ended(&branch.host, now, true);
        }
    }
}
