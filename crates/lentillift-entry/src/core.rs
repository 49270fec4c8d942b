//! All queries that this process has taken from callers.

use crate::answer::Answer;
use crate::answer::Ask;
use crate::plan;
use crate::query::Query;
use crate::query::State;
use lentillift_core::coverage::Reason;
use lentillift_core::id;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_core::sub;
use lentillift_core::sub::Failure;
use lentillift_core::sub::Sub;
use lentillift_core::sub::Work;
use lentillift_core::time::Time;
use lentillift_fleet::view::View;
use lentillift_settings::config::Kind;
use rand::Rng;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time kept back from an allowance for the merge and the way to the caller.
///
/// The merge of 68 lists takes well under a millisecond; the rest covers the callers' network.
const MARGIN: Duration = Duration::from_millis(5);

/// Replicas of one shard that a query tries at most.
const MOST_TRIES: usize = 2;

/// What happens to an entry.
#[derive(Debug)]
pub enum Event {
    /// A caller asked.
    Ask {
        /// Number under which the answer is to be returned.
        request: id::Request,
        /// What the caller asked.
        ask: Ask,
    },
    /// The caller went away.
    Gone {
        /// The request's number.
        request: id::Request,
    },
    /// An owner answered a sub-request.
    Reply {
        /// The sub-request's number.
        id: id::Sub,
        /// The result.
        result: sub::Result,
    },
    /// The link to an owner ended; what it was sent may or may not have arrived.
    Down {
        /// The owner's host.
        host: id::Host,
    },
    /// Time passed.
    Tick,
    /// The view of the fleet changed.
    View(Arc<View>),
}

/// What an entry wants done.
#[derive(Debug)]
pub enum Effect {
    /// Send a sub-request to an owner.
    Send {
        /// The owner.
        to: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// Tell an owner that a sub-request's reply is of no more use.
    Cancel {
        /// The owner.
        to: id::Host,
        /// The sub-request's number.
        id: id::Sub,
    },
    /// Answer a caller.
    Answer {
        /// The request's number.
        request: id::Request,
        /// The answer.
        answer: Answer,
    },
    /// Turn a caller away.
    Refuse {
        /// The request's number.
        request: id::Request,
        /// Why, and when to come back.
        refusal: Refusal,
    },
}

/// A sub-request under way.
#[derive(Debug)]
struct Flight {
    request: id::Request,
    /// Position of the shard in the query's map.
    position: usize,
    owner: id::Host,
}

/// All queries that this process has taken from callers.
#[derive(Debug)]
pub struct Entry<R> {
    view: Arc<View>,
    queries: HashMap<id::Request, Query>,
    flights: HashMap<id::Sub, Flight>,
    /// Deadlines of the queries under way.
    deadlines: BTreeSet<(Time, id::Request)>,
    next_sub: id::Sub,
    rng: R,
}

impl<R> Entry<R>
where
    R: Rng,
{
    /// Starts without a view, hence refusing everything.
    pub fn new(rng: R) -> Self {
        Self {
            view: Arc::default(),
            queries: HashMap::new(),
            flights: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_sub: 0,
            rng,
        }
    }

    /// Takes in an event and says what to do about it.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match event {
            Event::Ask { request, ask } => self.ask(now, request, ask),
            Event::Gone { request } => self.abandon(request),
            Event::Reply { id, result } => self.reply(now, id, result),
            Event::Down { host } => self.lose(now, &host),
            Event::Tick => self.expire(now),
            Event::View(view) => {
                self.view = view;
                Vec::new()
            }
        }
    }

    /// When [`Event::Tick`] is next due.
    pub fn next_wake(&self) -> Option<Time> {
        self.deadlines.first().map(|(time, _)| *time)
    }

    fn ask(&mut self, now: Time, request: id::Request, ask: Ask) -> Vec<Effect> {
        let query = match self.admit(now, ask) {
            Ok(query) => query,
            Err(refusal) => return vec![Effect::Refuse { request, refusal }],
        };
        let shards = query.map.parts.len();
        self.deadlines.insert((query.deadline, request));
        self.queries.insert(request, query);
        let mut effects = Vec::with_capacity(shards);
        for position in 0..shards {
            effects.extend(self.try_replica(now, request, position, Vec::new()));
        }
        effects.extend(self.finish_if_settled(request));
        effects
    }

    /// Checks a query and pins it to a snapshot.
    fn admit(&self, now: Time, ask: Ask) -> Result<Query, Refusal> {
        // A process that was paused or cut off knows nothing of what was taken out meanwhile.
        if !self.view.fresh(now) {
            return Err(Refusal::new(Cause::Stale, "no fresh view of the fleet")
                .retry_after(Duration::from_secs(1)));
        }
        let Some(config) = &self.view.values.config else {
            return Err(Refusal::new(Cause::Stale, "no configuration yet")
                .retry_after(Duration::from_secs(1)));
        };
        let service = config.services.get(&ask.service);
        if service.is_none_or(|service| service.kind != Kind::Search) {
            let detail = format!("no search service `{}`", ask.service);
            return Err(Refusal::new(Cause::UnknownService, detail));
        }
        if !config.callers.contains_key(&ask.caller) {
            let detail = format!("no caller `{}`", ask.caller);
            return Err(Refusal::new(Cause::UnknownCaller, detail));
        }
        if !config.allows(ask.allowance) {
            let detail = format!(
                "found {} ms, from {} to {} ms is right",
                ask.allowance.as_millis(),
                config.least_allowance_ms,
                config.most_allowance_ms
            );
            return Err(Refusal::new(Cause::Allowance, detail));
        }
        let Some(map) = plan::snapshot(&self.view, &ask.service) else {
            return Err(Refusal::new(Cause::NoSnapshot, "no snapshot is published"));
        };
        let deadline = now + ask.allowance.saturating_sub(MARGIN);
        Ok(Query::new(ask, map.clone(), deadline))
    }

    /// Sends the sub-request for one shard to a replica that was not tried yet.
    fn try_replica(
        &mut self,
        now: Time,
        request: id::Request,
        position: usize,
        mut tried: Vec<id::Backend>,
    ) -> Option<Effect> {
        let query = self.queries.get_mut(&request)?;
        let part = &query.map.parts[position];
        let usable: Vec<&id::Backend> = part
            .replicas
            .iter()
            .filter(|backend| self.view.in_service(backend) && !tried.contains(backend))
            .collect();
        if usable.is_empty() {
            return None;
        }
        let backend = usable[self.rng.random_range(0..usable.len())].clone();
        let owner = self.view.owner(&backend)?.clone();
        tried.push(backend.clone());
        self.next_sub += 1;
        let sub = Sub {
            id: self.next_sub,
            service: query.ask.service.clone(),
            backend,
            caller: query.ask.caller.clone(),
            work: Work::Search {
                snapshot: query.map.snapshot,
                shard: part.shard,
            },
            allowance: query.deadline.saturating_sub(now),
            body: query.ask.body.clone(),
        };
        query.states[position] = State::Pending { tried };
        let flight = Flight {
            request,
            position,
            owner: owner.clone(),
        };
        self.flights.insert(sub.id, flight);
        Some(Effect::Send { to: owner, sub })
    }

    fn reply(&mut self, now: Time, id: id::Sub, result: sub::Result) -> Vec<Effect> {
        // A reply that is late or doubled finds no flight and counts for nothing.
        let Some(flight) = self.flights.remove(&id) else {
            return Vec::new();
        };
        let Some(query) = self.queries.get_mut(&flight.request) else {
            return Vec::new();
        };
        let state = &mut query.states[flight.position];
        let mut effects = Vec::new();
        match result {
            sub::Result::Hits(hits) => *state = State::Answered(hits),
            sub::Result::Reply(_) => *state = State::Missing(Reason::Failed),
            sub::Result::Failed { failure, .. } => {
                let old = std::mem::replace(state, State::Missing(reason(failure)));
                if let State::Pending { tried } = old
                    && tried.len() < MOST_TRIES
                {
                    let again = self.try_replica(now, flight.request, flight.position, tried);
                    effects.extend(again);
                }
            }
        }
        effects.extend(self.finish_if_settled(flight.request));
        effects
    }

    /// Gives up the sub-requests that were with a host whose link ended.
    fn lose(&mut self, now: Time, host: &id::Host) -> Vec<Effect> {
        let lost = self.flights.iter().filter(|(_, f)| f.owner == *host);
        let mut lost: Vec<id::Sub> = lost.map(|(id, _)| *id).collect();
        lost.sort_unstable();
        let failed = || sub::Result::unknown(Failure::Connection);
        let effects = lost.into_iter().map(|id| self.reply(now, id, failed()));
        effects.flatten().collect()
    }

    fn finish_if_settled(&mut self, request: id::Request) -> Vec<Effect> {
        match self.queries.get(&request) {
            Some(query) if query.is_settled() => self.finish(request),
            _ => Vec::new(),
        }
    }

    fn expire(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().copied()
            && deadline <= now
        {
            effects.extend(self.finish(request));
        }
        effects
    }

    fn finish(&mut self, request: id::Request) -> Vec<Effect> {
        let Some(query) = self.queries.remove(&request) else {
            return Vec::new();
        };
        self.deadlines.remove(&(query.deadline, request));
        let mut effects = self.cancel_flights(request);
        let least = query.ask.least_coverage;
        let answer = query.finish();
        if answer.coverage.share() < least {
            let detail = format!("reached {:.4}, asked for {least}", answer.coverage.share());
            let refusal = Refusal::new(Cause::Coverage, detail);
            effects.push(Effect::Refuse { request, refusal });
        } else {
            effects.push(Effect::Answer { request, answer });
        }
        effects
    }

    fn abandon(&mut self, request: id::Request) -> Vec<Effect> {
        if let Some(query) = self.queries.remove(&request) {
            self.deadlines.remove(&(query.deadline, request));
        }
        self.cancel_flights(request)
    }

    /// Cancels what is still under way for a request.
    fn cancel_flights(&mut self, request: id::Request) -> Vec<Effect> {
        let gone = self
            .flights
            .extract_if(|_, flight| flight.request == request);
        gone.map(|(id, flight)| Effect::Cancel {
            to: flight.owner,
            id,
        })
        .collect()
    }
}

/// What a failure means for a shard's place in the answer.
fn reason(failure: Failure) -> Reason {
    match failure {
        Failure::Refused | Failure::Shed => Reason::Refused,
        Failure::Cold => Reason::Cold,
        Failure::SnapshotGone => Reason::SnapshotGone,
        Failure::Out => Reason::DomainOut,
        Failure::NotOwner => Reason::NoReplica,
        Failure::Timeout => Reason::Deadline,
        Failure::Connection | Failure::Malformed => Reason::Failed,
    }
}
