//! Requests in flight: sent by this process, their home, and not yet completed.

use crate::core::Once;
use crate::core::Timer;
use crate::event::Effect;
use crate::key::Key;
use crate::submit::ActionRequest;
use crate::submit::ActionResponse;
use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::refusal::Cause;
use lentillift_core::sub;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use lentillift_core::time::Time;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of backend servers that one request is sent to.
///
/// The next server is tried only after it is certain that the previous one did not run the request.
/// A service has two backend servers or a few more: when the third attempt fails the whole service
/// is refusing, and further attempts would only add to its load.
const MAX_ATTEMPTS: usize = 3;

/// Delay after which a refused caller may retry.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a request stays in flight after its last waiter was answered.
///
/// Long enough that a caller which retries gets the result at once.
const ABANDON_AFTER: Duration = Duration::from_secs(10);

/// A party that waits for the response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// A caller of this process.
    Caller(id::Request),
    /// An entry on another host.
    Entry(id::Host, id::Request),
}

impl Waiter {
    /// The effect that sends `response` to the waiter.
    pub(crate) fn answer(self, response: ActionResponse) -> Effect {
        match self {
            Self::Caller(request) => Effect::Settle {
                request,
                settled: response,
            },
            Self::Entry(to, request) => Effect::Answer {
                to,
                request,
                settled: response,
            },
        }
    }
}

/// A request that was sent to an owner and whose result is outstanding.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) action: ActionRequest,
    pub(crate) owner: id::Host,
    /// Backend servers that it was sent to, the current one last.
    tried: Vec<id::Backend>,
    /// The waiters, each with the deadline of its response.
    waiters: Vec<(Waiter, Time)>,
}

impl<R> Once<R>
where
    R: Rng,
{
    /// Sends a request whose id is unused, or refuses it and closes the id.
    pub(crate) fn send_new(
        &mut self,
        now: Time,
        key: &Key,
        action: ActionRequest,
        waiter: Waiter,
        deadline: Time,
    ) -> Vec<Effect> {
        if let Err(response) = self.check_sendable(now, &action, deadline) {
            self.id_table(key).close(key.number);
            return vec![waiter.answer(response)];
        }
        let Some((backend, owner)) = self.choose_backend(&action.service, &[]) else {
            self.id_table(key).close(key.number);
            return vec![waiter.answer(no_backend_accepted())];
        };
        let share = self.share(&action.caller);
        if !share.is_some_and(|share| self.in_flight_quota.try_acquire(&action.caller, share)) {
            self.id_table(key).close(key.number);
            let full = ActionResponse::not_run(Cause::Overload, "too many requests are under way");
            return vec![waiter.answer(full.retry_after(RETRY_AFTER))];
        }
        let digest = crate::record::digest(&action.service, &action.body);
        self.id_table(key).mark_sent(key.number, digest);
        let request = InFlight {
            action,
            owner: owner.clone(),
            tried: vec![backend.clone()],
            waiters: vec![(waiter, deadline)],
        };
        self.timers.insert((deadline, Timer::Flight(key.clone())));
        self.in_flight.insert(key.clone(), request);
        vec![self.dispatch(now, key, backend, owner, deadline)]
    }

    /// Adds a waiter to a request in flight.
    pub(crate) fn add_waiter(&mut self, key: &Key, waiter: Waiter, deadline: Time) -> Vec<Effect> {
        match self.in_flight.get_mut(key) {
            Some(request) => {
                request.waiters.push((waiter, deadline));
                self.timers.insert((deadline, Timer::Flight(key.clone())));
                Vec::new()
            }
            None => vec![waiter.answer(reply_lost())],
        }
    }

    /// Checks that a request may be sent; the error is its refusal.
    fn check_sendable(
        &self,
        now: Time,
        action: &ActionRequest,
        deadline: Time,
    ) -> Result<(), ActionResponse> {
        if self.leaving.is_some() {
            let leaving =
                ActionResponse::not_run(Cause::Leaving, "the id's home is ending; take a new id");
            return Err(leaving.retry_after(RETRY_AFTER));
        }
        self.check(now, &action.service, &action.caller)
            .map_err(|refusal| {
                let response = ActionResponse::not_run(refusal.cause, &refusal.detail);
                match refusal.retry_after {
                    Some(after) => response.retry_after(after),
                    None => response,
                }
            })?;
        let config = self.view.values.config.as_ref();
        let max_ms = config.map_or(0, |config| config.most_allowance_ms);
        if action.allowance > Duration::from_millis(max_ms) || deadline <= now {
            let found_ms = action.allowance.as_millis();
            let detail = format!("allowance: found {found_ms} ms, up to {max_ms} ms is right");
            return Err(ActionResponse::not_run(Cause::Allowance, &detail));
        }
        Ok(())
    }

    /// Picks a random backend server in service that is not among `tried`, and its owner.
    fn choose_backend(
        &mut self,
        service: &id::Service,
        tried: &[id::Backend],
    ) -> Option<(id::Backend, id::Host)> {
        let placement = self.view.values.placements.get(service)?;
        let usable: Vec<_> = placement
            .servers
            .keys()
            .filter(|backend| self.view.in_service(backend) && !tried.contains(backend))
            .filter_map(|backend| Some((backend, self.view.owner(backend)?)))
            .collect();
        if usable.is_empty() {
            return None;
        }
        let (backend, owner) = usable[self.rng.random_range(0..usable.len())];
        Some((backend.clone(), owner.clone()))
    }

    /// Builds the sub-request for an owner; its allowance ends at `deadline`.
    fn dispatch(
        &mut self,
        now: Time,
        key: &Key,
        backend: id::Backend,
        owner: id::Host,
        deadline: Time,
    ) -> Effect {
        self.next_sub += 1;
        self.keys_by_sub.insert(self.next_sub, key.clone());
        let action = &self.in_flight[key].action;
        let sub = Sub {
            id: self.next_sub,
            service: action.service.clone(),
            backend,
            caller: action.caller.clone(),
            work: Work::Action {
                key: action.key.as_str().into(),
            },
            allowance: deadline.saturating_sub(now),
            body: action.body.clone(),
            hedge: false,
        };
        Effect::Send { to: owner, sub }
    }

    /// Handles an owner's result.
    ///
    /// A late result still updates the record of a request that was already reported as unknown.
    pub(crate) fn handle_result(
        &mut self,
        now: Time,
        id: id::Sub,
        result: sub::Result,
    ) -> Vec<Effect> {
        let Some(key) = self.keys_by_sub.remove(&id) else {
            return Vec::new();
        };
        match result {
            sub::Result::Reply(body) => self.complete(&key, body.into()),
            other if other.outcome() == Outcome::NotRun => self.retry(now, &key),
            _ => self.mark_unknown(&key),
        }
    }

    /// Records that a request ran, and answers its waiters with the reply.
    fn complete(&mut self, key: &Key, reply: Arc<[u8]>) -> Vec<Effect> {
        if let Some(ids) = self.try_id_table(key) {
            ids.mark_done(key.number, &reply);
        }
        self.answer_waiters(key, &ActionResponse::done(Some(reply)))
    }

    /// Sends a request that certainly did not run to another backend server, if time allows.
    fn retry(&mut self, now: Time, key: &Key) -> Vec<Effect> {
        if let Some(ids) = self.try_id_table(key) {
            ids.mark_not_run(key.number);
        }
        let Some(request) = self.in_flight.get(key) else {
            return Vec::new();
        };
        let Some(deadline) = request.waiters.iter().map(|(_, deadline)| *deadline).max() else {
            // There is no waiter to answer "not run", so the id stays usable.
            return self.answer_waiters(key, &no_backend_accepted());
        };
        let service = request.action.service.clone();
        let digest = crate::record::digest(&service, &request.action.body);
        let tried = request.tried.clone();
        let may_retry = tried.len() < MAX_ATTEMPTS && deadline > now && self.leaving.is_none();
        let next = match may_retry {
            true => self.choose_backend(&service, &tried),
            false => None,
        };
        let Some((backend, owner)) = next else {
            if let Some(ids) = self.try_id_table(key) {
                ids.close(key.number);
            }
            return self.answer_waiters(key, &no_backend_accepted());
        };
        let Some(ids) = self.try_id_table(key) else {
            return self.answer_waiters(key, &reply_lost());
        };
        ids.mark_sent(key.number, digest);
        if let Some(request) = self.in_flight.get_mut(key) {
            request.tried.push(backend.clone());
            request.owner = owner.clone();
        }
        vec![self.dispatch(now, key, backend, owner, deadline)]
    }

    /// Ends a request that may or may not have run, and answers its waiters "unknown".
    pub(crate) fn mark_unknown(&mut self, key: &Key) -> Vec<Effect> {
        if let Some(ids) = self.try_id_table(key) {
            ids.mark_unknown(key.number);
        }
        self.answer_waiters(key, &reply_lost())
    }

    /// Removes a request from those in flight and answers all its waiters.
    fn answer_waiters(&mut self, key: &Key, response: &ActionResponse) -> Vec<Effect> {
        let Some(request) = self.in_flight.remove(key) else {
            return Vec::new();
        };
        self.in_flight_quota.release(&request.action.caller);
        for (_, deadline) in &request.waiters {
            self.timers.remove(&(*deadline, Timer::Flight(key.clone())));
        }
        let waiters = request.waiters.into_iter();
        waiters
            .map(|(waiter, _)| waiter.answer(response.clone()))
            .collect()
    }

    /// Answers the waiters whose deadline has passed; the request stays in flight for retries.
    pub(crate) fn time_out_waiters(&mut self, now: Time, key: &Key) -> Vec<Effect> {
        let Some(request) = self.in_flight.get_mut(key) else {
            return Vec::new();
        };
        let expired = request
            .waiters
            .extract_if(.., |(_, deadline)| *deadline <= now);
        let expired = expired.map(|(waiter, _)| {
            let response = ActionResponse::unknown("no reply in time; ask again with the same id");
            waiter.answer(response.retry_after(RETRY_AFTER))
        });
        let effects: Vec<Effect> = expired.collect();
        if request.waiters.is_empty() {
            let timer = Timer::Abandoned(key.clone());
            self.timers.insert((now + ABANDON_AFTER, timer));
        }
        effects
    }

    /// Ends a request without waiters whose result did not arrive.
    ///
    /// Otherwise an owner that hangs would use up the quota of requests in flight for good.
    pub(crate) fn abandon(&mut self, key: &Key) -> Vec<Effect> {
        match self.in_flight.get(key) {
            Some(request) if request.waiters.is_empty() => self.mark_unknown(key),
            _ => Vec::new(),
        }
    }
}

fn no_backend_accepted() -> ActionResponse {
    let detail = "no backend server took it; take a new id to try again";
    ActionResponse::not_run(Cause::Overload, detail).retry_after(RETRY_AFTER)
}

fn reply_lost() -> ActionResponse {
    ActionResponse::unknown("the reply was lost; ask again with the same id")
        .retry_after(RETRY_AFTER)
}
