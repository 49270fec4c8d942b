//! Requests that are forwarded to their home on another host.
//!
//! Only the home can answer "not run", because the same id may have reached it through another
//! entry before. An entry that can't reach the home therefore answers "unknown", even if the
//! request never left its process.

use crate::core::Once;
use crate::core::Timer;
use crate::event::Effect;
use crate::in_flight::RETRY_AFTER;
use crate::key::Key;
use crate::submit::ActionRequest;
use crate::submit::ActionResponse;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::rendezvous;
use lentillift_fleet::view::View;
use rand::Rng;

/// Maximum number of forwarded requests that await a response.
const MAX_FORWARDED: usize = 4096;

/// A forwarded request that awaits a response.
#[derive(Debug)]
pub(crate) struct Forwarded {
    action: ActionRequest,
    home: id::Host,
    /// The host that it was sent to last: the home, or the one that may have taken over from it.
    to: id::Host,
    deadline: Time,
}

/// The host that takes over the ids of `home` when `home` leaves; never `this_host`.
pub(crate) fn successor<'a>(view: &'a View, home: &str, this_host: &str) -> Option<&'a id::Host> {
    let alive = view.alive.iter();
    rendezvous::choose(
        home,
        alive.filter(|host| &***host != home && &***host != this_host),
    )
}

impl<R> Once<R>
where
    R: Rng,
{
    /// Forwards a request to its home, or to the home's successor if the home is no longer in the
    /// published list of hosts.
    pub(crate) fn forward_to_home(
        &mut self,
        now: Time,
        request: id::Request,
        key: &Key,
        action: ActionRequest,
        deadline: Time,
    ) -> Vec<Effect> {
        if self.forwarded.len() >= MAX_FORWARDED {
            let response =
                ActionResponse::unknown("too many requests are under way here; ask again");
            return vec![Effect::Settle {
                request,
                settled: response.retry_after(RETRY_AFTER),
            }];
        }
        let published = self.view.values.roster.as_ref();
        let is_published = published.is_some_and(|roster| roster.hosts.contains_key(&key.host));
        let to = match is_published && key.host != self.host {
            true => Some(key.host.clone()),
            false => successor(&self.view, &key.host, &self.host).cloned(),
        };
        let Some(to) = to else {
            return vec![Effect::Settle {
                request,
                settled: home_unreachable(),
            }];
        };
        let forwarded = Forwarded {
            action,
            home: key.host.clone(),
            to,
            deadline,
        };
        let effect = forward_effect(now, request, &forwarded);
        self.timers.insert((deadline, Timer::Away(request)));
        self.forwarded.insert(request, forwarded);
        vec![effect]
    }

    /// Passes the response of the host that a request was forwarded to on to its caller.
    pub(crate) fn finish_from_home(
        &mut self,
        from: &id::Host,
        request: id::Request,
        settled: ActionResponse,
    ) -> Vec<Effect> {
        match self.forwarded.get(&request) {
            // A late response finds no request, or one that was since forwarded to another host.
            Some(forwarded) if forwarded.to == *from => self.finish_forwarded(request, settled),
            _ => Vec::new(),
        }
    }

    /// Forwards a request to the home's successor after the home did not take it; once only.
    ///
    /// `from` is the host that rejected the request, or none if it never left this process.
    pub(crate) fn try_successor(
        &mut self,
        now: Time,
        from: Option<&id::Host>,
        request: id::Request,
    ) -> Vec<Effect> {
        let Some(forwarded) = self.forwarded.get_mut(&request) else {
            return Vec::new();
        };
        if from.is_some_and(|from| *from != forwarded.to) {
            return Vec::new();
        }
        let next = match forwarded.to == forwarded.home {
            true => successor(&self.view, &forwarded.home, &self.host),
            false => None,
        };
        match next {
            Some(next) => {
                forwarded.to = next.clone();
                vec![forward_effect(now, request, forwarded)]
            }
            None => self.finish_forwarded(request, home_unreachable()),
        }
    }

    /// Answers "unknown" to all requests forwarded to a host whose link ended.
    ///
    /// They may or may not have arrived.
    pub(crate) fn fail_forwarded(&mut self, host: &id::Host) -> Vec<Effect> {
        let lost = self
            .forwarded
            .iter()
            .filter(|(_, forwarded)| forwarded.to == *host);
        let mut lost: Vec<id::Request> = lost.map(|(request, _)| *request).collect();
        lost.sort_unstable();
        let effects = lost
            .into_iter()
            .flat_map(|request| self.finish_forwarded(request, home_unreachable()));
        effects.collect()
    }

    /// Answers the caller of a forwarded request and forgets the request.
    pub(crate) fn finish_forwarded(
        &mut self,
        request: id::Request,
        settled: ActionResponse,
    ) -> Vec<Effect> {
        let Some(forwarded) = self.forwarded.remove(&request) else {
            return Vec::new();
        };
        self.timers
            .remove(&(forwarded.deadline, Timer::Away(request)));
        vec![Effect::Settle { request, settled }]
    }
}

/// The effect that sends a request to `forwarded.to`, with the time that is left as its allowance.
fn forward_effect(now: Time, request: id::Request, forwarded: &Forwarded) -> Effect {
    let action = ActionRequest {
        allowance: forwarded.deadline.saturating_sub(now),
        ..forwarded.action.clone()
    };
    Effect::Forward {
        to: forwarded.to.clone(),
        request,
        submit: action,
    }
}

pub(crate) fn home_unreachable() -> ActionResponse {
    let detail = "the id's home can't be reached or is gone; ask again with the same id";
    ActionResponse::unknown(detail).retry_after(RETRY_AFTER)
}
