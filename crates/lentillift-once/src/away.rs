//! Requests that were passed on to their home on another host.
//!
//! Only the home can say "not run": the same id may have come to it through another entry before.
//! An entry that can't reach the home therefore says "unknown", even when the request never left it.

use crate::core::Due;
use crate::core::Once;
use crate::event::Effect;
use crate::flight::RETRY_AFTER;
use crate::key::Key;
use crate::submit::ActionRequest;
use crate::submit::ActionResponse;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::rendezvous;
use lentillift_fleet::view::View;
use rand::Rng;

/// Requests that are passed on at a time at most.
const MOST: usize = 4096;

/// A request that was passed on.
#[derive(Debug)]
pub(crate) struct Away {
    submit: ActionRequest,
    home: id::Host,
    /// The host that it is with now: the home, or the one that may have taken over from it.
    to: id::Host,
    by: Time,
}

/// The host that takes over the ids of `home` when that leaves.
pub(crate) fn successor<'a>(view: &'a View, home: &str, me: &str) -> Option<&'a id::Host> {
    let others = view.alive.iter();
    rendezvous::choose(
        home,
        others.filter(|host| &***host != home && &***host != me),
    )
}

impl<R> Once<R>
where
    R: Rng,
{
    /// Passes a request on to its home.
    pub(crate) fn pass(
        &mut self,
        now: Time,
        request: id::Request,
        key: &Key,
        submit: ActionRequest,
        by: Time,
    ) -> Vec<Effect> {
        if self.away.len() >= MOST {
            let settled =
                ActionResponse::unknown("too many requests are under way here; ask again");
            return vec![Effect::Settle {
                request,
                settled: settled.retry_after(RETRY_AFTER),
            }];
        }
        let published = self.view.values.roster.as_ref();
        let published = published.is_some_and(|roster| roster.hosts.contains_key(&key.host));
        let to = match published && key.host != self.host {
            true => Some(key.host.clone()),
            false => successor(&self.view, &key.host, &self.host).cloned(),
        };
        let Some(to) = to else {
            return vec![Effect::Settle {
                request,
                settled: unreachable(),
            }];
        };
        let away = Away {
            submit,
            home: key.host.clone(),
            to,
            by,
        };
        let effect = forward(now, request, &away);
        self.due.insert((by, Due::Away(request)));
        self.away.insert(request, away);
        vec![effect]
    }

    /// Answers the caller of a request that was passed on.
    pub(crate) fn back(
        &mut self,
        from: &id::Host,
        request: id::Request,
        settled: ActionResponse,
    ) -> Vec<Effect> {
        match self.away.get(&request) {
            // An answer that is late finds nobody, or another host being asked.
            Some(away) if away.to == *from => self.settle_away(request, settled),
            _ => Vec::new(),
        }
    }

    /// Tries the host that may have taken over, once, when the home is gone.
    pub(crate) fn elsewhere(
        &mut self,
        now: Time,
        from: Option<&id::Host>,
        request: id::Request,
    ) -> Vec<Effect> {
        let Some(away) = self.away.get_mut(&request) else {
            return Vec::new();
        };
        if from.is_some_and(|from| *from != away.to) {
            return Vec::new();
        }
        let next = match away.to == away.home {
            true => successor(&self.view, &away.home, &self.host),
            false => None,
        };
        match next {
            Some(next) => {
                away.to = next.clone();
                vec![forward(now, request, away)]
            }
            None => self.settle_away(request, unreachable()),
        }
    }

    /// Gives up what was with a host whose link ended: it may or may not have arrived.
    pub(crate) fn away_down(&mut self, host: &id::Host) -> Vec<Effect> {
        let lost = self.away.iter().filter(|(_, away)| away.to == *host);
        let mut lost: Vec<id::Request> = lost.map(|(request, _)| *request).collect();
        lost.sort_unstable();
        let settled = lost
            .into_iter()
            .flat_map(|request| self.settle_away(request, unreachable()));
        settled.collect()
    }

    /// Answers a caller whose time is up.
    pub(crate) fn settle_away(
        &mut self,
        request: id::Request,
        settled: ActionResponse,
    ) -> Vec<Effect> {
        let Some(away) = self.away.remove(&request) else {
            return Vec::new();
        };
        self.due.remove(&(away.by, Due::Away(request)));
        vec![Effect::Settle { request, settled }]
    }
}

fn forward(now: Time, request: id::Request, away: &Away) -> Effect {
    let submit = ActionRequest {
        allowance: away.by.saturating_sub(now),
        ..away.submit.clone()
    };
    Effect::Forward {
        to: away.to.clone(),
        request,
        submit,
    }
}

pub(crate) fn unreachable() -> ActionResponse {
    let detail = "the id's home can't be reached or is gone; ask again with the same id";
    ActionResponse::unknown(detail).retry_after(RETRY_AFTER)
}
