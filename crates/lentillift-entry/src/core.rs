//! All queries that this process has taken from callers.

mod doubt;
mod restart;
mod send;
mod settle;

use crate::answer::Answer;
use crate::answer::Ask;
use crate::flights::Flights;
use crate::kept;
use crate::kept::Kept;
use crate::plan;
use crate::plan::Gone;
use crate::query::Query;
use lentillift_core::id;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_core::sub;
use lentillift_core::sub::Load;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine;
use lentillift_fleet::quarantine::Admission as Treatment;
use lentillift_fleet::view::View;
use lentillift_policy::admission;
use lentillift_policy::admission::Admission;
use lentillift_policy::choice::Loads;
use lentillift_policy::coalescing;
use lentillift_policy::coalescing::Key;
use lentillift_policy::coalescing::Runs;
use lentillift_policy::count::Counts;
use lentillift_policy::hedge::Hedge;
use lentillift_policy::partial;
use lentillift_policy::retry::Retry;
use lentillift_settings::config::Kind;
use lentillift_settings::policy::Policy;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// What happens to an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
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
        /// The backend server's load, if its owner told it.
        load: Option<Load>,
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
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
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

/// A caller's query, which may share its run with others.
#[derive(Debug)]
struct Member {
    run: id::Request,
    ask: Ask,
    deadline: Time,
}

/// What an entry remembers of one service.
#[derive(Debug, Default)]
struct Pace {
    admission: Admission,
    hedge: Hedge,
    retry: Retry,
}

/// All queries that this process has taken from callers.
#[derive(Debug)]
pub struct Entry<R> {
    view: Arc<View>,
    policy: Policy,
    domain: Option<id::Domain>,
    members: HashMap<id::Request, Member>,
    /// Queries under way, by the number of the request that started each.
    // INVARIANT: Each has a member that waits for it.
    queries: HashMap<id::Request, Query>,
    /// The queries that further callers can share.
    runs: Runs,
    kept: Kept,
    flights: Flights,
    /// Deadlines of the members.
    deadlines: BTreeSet<(Time, id::Request)>,
    loads: Loads,
    gone: Gone,
    /// Requests under which backend servers ended.
    quarantine: quarantine::Table,
    // INVARIANT: Holds configured services only.
    paces: HashMap<id::Service, Pace>,
    next_sub: id::Sub,
    counts: Counts,
    rng: R,
}

impl<R> Entry<R>
where
    R: Rng,
{
    /// Starts without a view, hence refusing everything.
    pub fn new(mut rng: R) -> Self {
        // A late reply to the process that ran here before must not be taken for one of ours, so
        // numbers don't start where its numbers started.
        let next_sub = rng.random::<id::Sub>() >> 1;
        Self {
            view: Arc::default(),
            policy: Policy::default(),
            domain: None,
            members: HashMap::new(),
            queries: HashMap::new(),
            runs: Runs::default(),
            kept: Kept::new(kept::MOST_BYTES),
            flights: Flights::default(),
            deadlines: BTreeSet::new(),
            loads: Loads::default(),
            gone: Gone::default(),
            quarantine: quarantine::Table::default(),
            paces: HashMap::new(),
            next_sub,
            counts: Counts::default(),
            rng,
        }
    }

    /// Prefers backend servers in the failure domain that this process is in.
    pub fn near(mut self, domain: id::Domain) -> Self {
        self.domain = Some(domain);
        self
    }

    /// Keeps up to `most` bytes of answers.
    pub fn keeping(mut self, most: usize) -> Self {
        self.kept = Kept::new(most);
        self
    }

    /// Takes in an event and says what to do about it.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match event {
            Event::Ask { request, ask } => self.ask(now, request, ask),
            Event::Gone { request } => self.abandon(now, request),
            Event::Reply { id, result, load } => self.reply(now, id, result, load),
            Event::Down { host } => self.lose(now, &host),
            Event::Tick => self.tick(now),
            Event::View(view) => {
                self.refit(view);
                Vec::new()
            }
        }
    }

    /// When [`Event::Tick`] is next due.
    pub fn next_wake(&self) -> Option<Time> {
        let deadline = self.deadlines.first().map(|(time, _)| *time);
        let hedge = self.flights.next_hedge();
        deadline.into_iter().chain(hedge).min()
    }

    /// Counts of decisions since they were last taken.
    pub fn counts(&mut self) -> &mut Counts {
        &mut self.counts
    }

    fn refit(&mut self, view: Arc<View>) {
        let same = view.generation > 0 && view.generation == self.view.generation;
        self.view = view;
        if same {
            return;
        }
        let config = self.view.values.config.as_ref();
        self.policy = config.map_or_else(Policy::default, |config| config.policy.clone());
        let placements = &self.view.values.placements;
        self.kept.retain(|service, snapshot| {
            let placement = placements.get(service);
            placement.is_some_and(|p| p.maps.iter().any(|map| map.snapshot == snapshot))
        });
        let backends = &self.view.backends;
        self.loads.retain(|backend| backends.contains_key(backend));
        self.paces
            .retain(|name, _| config.is_some_and(|config| config.services.contains_key(name)));
    }

    fn ask(&mut self, now: Time, request: id::Request, ask: Ask) -> Vec<Effect> {
        let query = match self.check(now, &ask) {
            Ok(query) => query,
            Err(refusal) => return vec![Effect::Refuse { request, refusal }],
        };
        let key = key(&query);
        let coalescing = &self.policy.coalescing;
        if coalescing.on
            && let Some(answer) = self.kept.get(&key, ask.limit)
        {
            self.counts.add("lentillift_kept_answers_total");
            let answer = answer.clone();
            return vec![Effect::Answer { request, answer }];
        }
        if let coalescing::Next::Join(run) = self.runs.next(coalescing, &key) {
            self.counts.add("lentillift_coalesced_total");
            self.enter(request, run, ask, query.deadline, query.rank);
            return Vec::new();
        }
        let treatment = self.treat(now, &query);
        if let Treatment::Refuse(left) = treatment {
            let detail = "backend servers end under requests with this content";
            let refusal = Refusal::new(Cause::Quarantined, detail).retry_after(left);
            return vec![Effect::Refuse { request, refusal }];
        }
        if let Err(refusal) = self.admit(now, &query) {
            return vec![Effect::Refuse { request, refusal }];
        }
        self.runs.start(key, request);
        let (deadline, rank) = (query.deadline, query.rank);
        self.queries.insert(request, query);
        self.enter(request, request, ask, deadline, rank);
        let mut effects = match treatment {
            Treatment::Canary => self.start_with_canary(now, request),
            _ => self.start(now, request),
        };
        effects.extend(self.finish_if_settled(now, request));
        effects
    }

    /// Makes a caller a member of a run.
    fn enter(
        &mut self,
        request: id::Request,
        run: id::Request,
        ask: Ask,
        deadline: Time,
        rank: u8,
    ) {
        if let Some(query) = self.queries.get_mut(&run) {
            query.members.insert(request);
            query.deadline = query.deadline.max(deadline);
            query.rank = query.rank.min(rank);
        }
        self.deadlines.insert((deadline, request));
        let member = Member { run, ask, deadline };
        self.members.insert(request, member);
    }

    /// Checks a query and pins it to a snapshot.
    fn check(&self, now: Time, ask: &Ask) -> Result<Query, Refusal> {
        // A process that was paused or cut off knows nothing of what was taken out meanwhile.
        if !self.view.is_fresh(now) {
            return Err(Refusal::new(Cause::Stale, "no fresh view of the fleet")
                .retry_after(Duration::from_secs(1)));
        }
        let Some(config) = &self.view.values.config else {
            return Err(Refusal::new(Cause::Stale, "no configuration yet")
                .retry_after(Duration::from_secs(1)));
        };
        let service = config.services.get(&ask.service);
        let Some(service) = service.filter(|service| service.kind == Kind::Search) else {
            let detail = format!("no search service `{}`", ask.service);
            return Err(Refusal::new(Cause::UnknownService, detail));
        };
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
        let Some(map) = plan::snapshot(&self.view, &ask.service, &self.gone, now) else {
            return Err(Refusal::new(Cause::NoSnapshot, "no snapshot is published"));
        };
        let deadline = partial::due(&self.policy.partial, now, ask.allowance);
        let class = config.class(service, &ask.caller);
        let mut query = Query::new(ask.clone(), map.clone(), now, deadline);
        query.rank = class.map_or(u8::MAX, |class| class.rank);
        Ok(query)
    }

    /// Asks whether a query may run beside all others.
    fn admit(&mut self, now: Time, query: &Query) -> Result<(), Refusal> {
        let config = self.view.values.config.as_ref();
        let caller = config.and_then(|config| config.callers.get(&query.ask.caller));
        let ask = admission::Ask {
            rank: query.rank,
            caller: query.ask.caller.clone(),
            weight: caller.map_or(1, |caller| caller.weight),
            cost: query.map.parts.len() as u32,
        };
        let pace = self.paces.entry(query.ask.service.clone()).or_default();
        match pace.admission.next(&self.policy.admission, now, &ask) {
            admission::Next::Take => Ok(()),
            admission::Next::Refuse { retry_after } => {
                self.counts.add("lentillift_admission_refused_total");
                let detail = "more is asked than the service can answer in time";
                Err(Refusal::new(Cause::Overload, detail).retry_after(retry_after))
            }
        }
    }
}

/// What makes another query identical to this one.
fn key(query: &Query) -> Key {
    Key {
        service: query.ask.service.clone(),
        snapshot: query.map.snapshot,
        body: query.ask.body.clone(),
    }
}
