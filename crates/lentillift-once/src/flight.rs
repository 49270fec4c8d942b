//! Requests that were sent from here, their home.

use crate::core::Due;
use crate::core::Once;
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

/// Backend servers that one request is offered to at most.
///
/// Each further one is tried only after the one before has certainly not run it. A service has two
/// backend servers or a few more; past the third try the whole service is refusing, and a further
/// one would only add to its load.
const MOST_TRIES: usize = 3;

/// When a caller that was turned away may come back.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a request stays under way after the last who waited for it was answered.
///
/// Long enough for a caller to ask again and get the result at once.
const KEEP: Duration = Duration::from_secs(10);

/// Who waits for the outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Asker {
    /// A caller of this process.
    Caller(id::Request),
    /// An entry on another host.
    Entry(id::Host, id::Request),
}

impl Asker {
    /// Answers whoever waits.
    pub(crate) fn settle(self, settled: ActionResponse) -> Effect {
        match self {
            Self::Caller(request) => Effect::Settle { request, settled },
            Self::Entry(to, request) => Effect::Answer {
                to,
                request,
                settled,
            },
        }
    }
}

/// A request that was sent from here and whose result is awaited.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) submit: ActionRequest,
    pub(crate) owner: id::Host,
    /// Backend servers that it was offered to, the last one now.
    tried: Vec<id::Backend>,
    /// Those who wait, with the time at which each must have its answer.
    askers: Vec<(Asker, Time)>,
}

impl<R> Once<R>
where
    R: Rng,
{
    /// Sends a request for the first time, or refuses it and closes its id.
    pub(crate) fn launch(
        &mut self,
        now: Time,
        key: &Key,
        submit: ActionRequest,
        asker: Asker,
        by: Time,
    ) -> Vec<Effect> {
        if let Err(settled) = self.objection(now, &submit, by) {
            self.ids(key).close(key.number);
            return vec![asker.settle(settled)];
        }
        let Some((backend, owner)) = self.choose(&submit.service, &[]) else {
            self.ids(key).close(key.number);
            return vec![asker.settle(nowhere())];
        };
        let share = self.share(&submit.caller);
        if !share.is_some_and(|share| self.room.take(&submit.caller, share)) {
            self.ids(key).close(key.number);
            let full = ActionResponse::not_run(Cause::Overload, "too many requests are under way");
            return vec![asker.settle(full.retry_after(RETRY_AFTER))];
        }
        let digest = crate::record::digest(&submit.service, &submit.body);
        self.ids(key).start(key.number, digest);
        let flight = Flight {
            submit,
            owner: owner.clone(),
            tried: vec![backend.clone()],
            askers: vec![(asker, by)],
        };
        self.due.insert((by, Due::Flight(key.clone())));
        self.flights.insert(key.clone(), flight);
        vec![self.dispatch(now, key, backend, owner, by)]
    }

    /// Lets one more wait for a request that is under way.
    pub(crate) fn join(&mut self, key: &Key, asker: Asker, by: Time) -> Vec<Effect> {
        match self.flights.get_mut(key) {
            Some(flight) => {
                flight.askers.push((asker, by));
                self.due.insert((by, Due::Flight(key.clone())));
                Vec::new()
            }
            None => vec![asker.settle(lost())],
        }
    }

    /// Why a request can't be sent at all.
    fn objection(&self, now: Time, submit: &ActionRequest, by: Time) -> Result<(), ActionResponse> {
        if self.leaving.is_some() {
            let leaving =
                ActionResponse::not_run(Cause::Leaving, "the id's home is ending; take a new id");
            return Err(leaving.retry_after(RETRY_AFTER));
        }
        self.check(now, &submit.service, &submit.caller)
            .map_err(|refusal| {
                let settled = ActionResponse::not_run(refusal.cause, &refusal.detail);
                match refusal.retry_after {
                    Some(after) => settled.retry_after(after),
                    None => settled,
                }
            })?;
        let most = self.view.values.config.as_ref();
        let most = most.map_or(0, |config| config.most_allowance_ms);
        if submit.allowance > Duration::from_millis(most) || by <= now {
            let found = submit.allowance.as_millis();
            let detail = format!("allowance: found {found} ms, up to {most} ms is right");
            return Err(ActionResponse::not_run(Cause::Allowance, &detail));
        }
        Ok(())
    }

    /// A backend server of the service that may be used, and its owner.
    fn choose(
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

    fn dispatch(
        &mut self,
        now: Time,
        key: &Key,
        backend: id::Backend,
        owner: id::Host,
        by: Time,
    ) -> Effect {
        self.next_sub += 1;
        self.subs.insert(self.next_sub, key.clone());
        let submit = &self.flights[key].submit;
        let sub = Sub {
            id: self.next_sub,
            service: submit.service.clone(),
            backend,
            caller: submit.caller.clone(),
            work: Work::Action {
                key: submit.key.as_str().into(),
            },
            allowance: by.saturating_sub(now),
            body: submit.body.clone(),
            hedge: false,
        };
        Effect::Send { to: owner, sub }
    }

    /// Takes in an owner's answer; one for a request that was given up as lost still counts.
    pub(crate) fn result(&mut self, now: Time, id: id::Sub, result: sub::Result) -> Vec<Effect> {
        let Some(key) = self.subs.remove(&id) else {
            return Vec::new();
        };
        match result {
            sub::Result::Reply(body) => self.ran(&key, body.into()),
            other if other.outcome() == Outcome::NotRun => self.again(now, &key),
            _ => self.lose(&key),
        }
    }

    fn ran(&mut self, key: &Key, reply: Arc<[u8]>) -> Vec<Effect> {
        if let Some(home) = self.try_ids(key) {
            home.done(key.number, &reply);
        }
        self.settle_all(key, &ActionResponse::done(Some(reply)))
    }

    /// Offers a request that certainly did not run to another backend server, if time allows.
    fn again(&mut self, now: Time, key: &Key) -> Vec<Effect> {
        if let Some(home) = self.try_ids(key) {
            home.release(key.number);
        }
        let Some(flight) = self.flights.get(key) else {
            return Vec::new();
        };
        let Some(by) = flight.askers.iter().map(|(_, by)| *by).max() else {
            // Nobody waits, so nobody is told "not run": the id may be used again.
            return self.settle_all(key, &nowhere());
        };
        let service = flight.submit.service.clone();
        let digest = crate::record::digest(&service, &flight.submit.body);
        let tried = flight.tried.clone();
        let may = tried.len() < MOST_TRIES && by > now && self.leaving.is_none();
        let next = match may {
            true => self.choose(&service, &tried),
            false => None,
        };
        let Some((backend, owner)) = next else {
            if let Some(home) = self.try_ids(key) {
                home.close(key.number);
            }
            return self.settle_all(key, &nowhere());
        };
        let Some(home) = self.try_ids(key) else {
            return self.settle_all(key, &lost());
        };
        home.start(key.number, digest);
        if let Some(flight) = self.flights.get_mut(key) {
            flight.tried.push(backend.clone());
            flight.owner = owner.clone();
        }
        vec![self.dispatch(now, key, backend, owner, by)]
    }

    /// Gives up a request of which it can't be known whether it ran.
    pub(crate) fn lose(&mut self, key: &Key) -> Vec<Effect> {
        if let Some(home) = self.try_ids(key) {
            home.unknown(key.number);
        }
        self.settle_all(key, &lost())
    }

    fn settle_all(&mut self, key: &Key, settled: &ActionResponse) -> Vec<Effect> {
        let Some(flight) = self.flights.remove(key) else {
            return Vec::new();
        };
        self.room.give(&flight.submit.caller);
        for (_, by) in &flight.askers {
            self.due.remove(&(*by, Due::Flight(key.clone())));
        }
        let askers = flight.askers.into_iter();
        askers
            .map(|(asker, _)| asker.settle(settled.clone()))
            .collect()
    }

    /// Answers those whose time is up; the request stays under way for whoever asks again.
    pub(crate) fn time_out(&mut self, now: Time, key: &Key) -> Vec<Effect> {
        let Some(flight) = self.flights.get_mut(key) else {
            return Vec::new();
        };
        let late = flight.askers.extract_if(.., |(_, by)| *by <= now);
        let late = late.map(|(asker, _)| {
            let settled = ActionResponse::unknown("no reply in time; ask again with the same id");
            asker.settle(settled.retry_after(RETRY_AFTER))
        });
        let effects: Vec<Effect> = late.collect();
        if flight.askers.is_empty() {
            let due = Due::Abandoned(key.clone());
            self.due.insert((now + KEEP, due));
        }
        effects
    }

    /// Gives up a request that nobody waits for and whose result does not come.
    ///
    /// Without this an owner that hangs would fill the room for requests under way for good.
    pub(crate) fn abandon(&mut self, key: &Key) -> Vec<Effect> {
        match self.flights.get(key) {
            Some(flight) if flight.askers.is_empty() => self.lose(key),
            _ => Vec::new(),
        }
    }
}

fn nowhere() -> ActionResponse {
    let detail = "no backend server took it; take a new id to try again";
    ActionResponse::not_run(Cause::Overload, detail).retry_after(RETRY_AFTER)
}

fn lost() -> ActionResponse {
    ActionResponse::unknown("the reply was lost; ask again with the same id")
        .retry_after(RETRY_AFTER)
}
