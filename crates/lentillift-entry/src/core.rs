//! State machine of one entry: all queries that this process has taken from callers.

mod canary;
mod restart;
mod result;
mod send;

use crate::answer::Answer;
use crate::answer::SearchRequest;
use crate::cache;
use crate::cache::AnswerCache;
use crate::in_flight::InFlight;
use crate::plan;
use crate::plan::MissingSnapshots;
use crate::query::Query;
use lentillift_core::id;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_core::sub;
use lentillift_core::sub::Load;
use lentillift_core::sub::Sub;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine;
use lentillift_fleet::quarantine::Admission as QuarantineAdmission;
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

/// An input of an [`Entry`]. Recorded in traces, so its names are part of a stored format.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A caller sent a query.
    Ask {
        /// Number of the request, which its answer or refusal carries.
        request: id::Request,
        /// The query.
        ask: SearchRequest,
    },
    /// The caller closed its connection.
    Gone {
        /// Number of the request.
        request: id::Request,
    },
    /// An owner answered a sub-request.
    Reply {
        /// Number of the sub-request.
        id: id::Sub,
        /// How the sub-request ended.
        result: sub::Result,
        /// Load of the backend server, if its owner reported it.
        load: Option<Load>,
    },
    /// The link to an owner ended; messages sent over it may or may not have arrived.
    Down {
        /// The owner's host.
        host: id::Host,
    },
    /// A deadline or hedge may be due; see [`Entry::next_wake`].
    Tick,
    /// The view of the fleet changed.
    View(Arc<View>),
}

/// An output of an [`Entry`]: an action for the process to carry out.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Send a sub-request to an owner.
    Send {
        /// Host of the owner.
        to: id::Host,
        /// The sub-request.
        sub: Sub,
    },
    /// Cancel a sub-request at its owner.
    Cancel {
        /// Host of the owner.
        to: id::Host,
        /// Number of the sub-request.
        id: id::Sub,
    },
    /// Answer a caller.
    Answer {
        /// Number of the request.
        request: id::Request,
        /// The answer.
        answer: Answer,
    },
    /// Refuse a query.
    Refuse {
        /// Number of the request.
        request: id::Request,
        /// The reason, and when a retry makes sense.
        refusal: Refusal,
    },
}

/// A caller's request, which may share its run with others.
#[derive(Debug)]
struct Member {
    run: id::Request,
    search: SearchRequest,
    deadline: Time,
}

/// Admission, hedging and retry state of one service.
#[derive(Debug, Default)]
struct ServiceControls {
    admission: Admission,
    hedge: Hedge,
    retry: Retry,
}

/// State machine of one entry: all queries that this process has taken from callers.
#[derive(Debug)]
pub struct Entry<R> {
    view: Arc<View>,
    policy: Policy,
    domain: Option<id::Domain>,
    members: HashMap<id::Request, Member>,
    /// Running queries, by the number of the request that started each.
    // INVARIANT: Each has at least one member.
    queries: HashMap<id::Request, Query>,
    /// The runs that further callers with the same query can share.
    runs: Runs,
    cache: AnswerCache,
    in_flight: InFlight,
    /// Deadlines of the members.
    deadlines: BTreeSet<(Time, id::Request)>,
    loads: Loads,
    missing_snapshots: MissingSnapshots,
    /// Queries, by fingerprint, under which backend servers ended.
    quarantine: quarantine::Table,
    // INVARIANT: Holds configured services only.
    controls: HashMap<id::Service, ServiceControls>,
    next_sub: id::Sub,
    counts: Counts,
    rng: R,
}

impl<R> Entry<R>
where
    R: Rng,
{
    /// Creates an entry without a view of the fleet; it refuses everything until it gets one.
    pub fn new(mut rng: R) -> Self {
        // Numbers start at a random value so that a late reply to the previous process on this host
        // can't match one of ours.
        let next_sub = rng.random::<id::Sub>() >> 1;
        Self {
            view: Arc::default(),
            policy: Policy::default(),
            domain: None,
            members: HashMap::new(),
            queries: HashMap::new(),
            runs: Runs::default(),
            cache: AnswerCache::new(cache::DEFAULT_MAX_BYTES),
            in_flight: InFlight::default(),
            deadlines: BTreeSet::new(),
            loads: Loads::default(),
            missing_snapshots: MissingSnapshots::default(),
            quarantine: quarantine::Table::default(),
            controls: HashMap::new(),
            next_sub,
            counts: Counts::default(),
            rng,
        }
    }

    /// Sets the failure domain of this process, whose backend servers are preferred.
    pub fn with_domain(mut self, domain: id::Domain) -> Self {
        self.domain = Some(domain);
        self
    }

    /// Sets the capacity of the answer cache, in bytes; 0 disables it.
    pub fn with_cache_bytes(mut self, max_bytes: usize) -> Self {
        self.cache = AnswerCache::new(max_bytes);
        self
    }

    /// Handles an event and returns the effects to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match event {
            Event::Ask { request, ask } => self.start_search(now, request, ask),
            Event::Gone { request } => self.abandon(now, request),
            Event::Reply { id, result, load } => self.on_result(now, id, result, load),
            Event::Down { host } => self.fail_host(now, &host),
            Event::Tick => self.tick(now),
            Event::View(view) => {
                self.apply_view(view);
                Vec::new()
            }
        }
    }

    /// Time at which [`Event::Tick`] is next due.
    pub fn next_wake(&self) -> Option<Time> {
        let deadline = self.deadlines.first().map(|(time, _)| *time);
        let hedge = self.in_flight.next_hedge();
        deadline.into_iter().chain(hedge).min()
    }

    /// Counters of decisions, since they were last taken.
    pub fn counts(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// Replaces the view, and drops state of what it no longer contains.
    fn apply_view(&mut self, view: Arc<View>) {
        let unchanged = view.generation > 0 && view.generation == self.view.generation;
        self.view = view;
        if unchanged {
            return;
        }
        let config = self.view.values.config.as_ref();
        self.policy = config.map_or_else(Policy::default, |config| config.policy.clone());
        let placements = &self.view.values.placements;
        self.cache.retain(|service, snapshot| {
            let placement = placements.get(service);
            placement.is_some_and(|p| p.maps.iter().any(|map| map.snapshot == snapshot))
        });
        let backends = &self.view.backends;
        self.loads.retain(|backend| backends.contains_key(backend));
        self.controls
            .retain(|name, _| config.is_some_and(|config| config.services.contains_key(name)));
    }

    /// Answers a request from the cache, adds it to a run of the same query, or starts a run.
    fn start_search(
        &mut self,
        now: Time,
        request: id::Request,
        search: SearchRequest,
    ) -> Vec<Effect> {
        let query = match self.validate(now, &search) {
            Ok(query) => query,
            Err(refusal) => return vec![Effect::Refuse { request, refusal }],
        };
        let key = coalescing_key(&query);
        let coalescing = &self.policy.coalescing;
        if coalescing.on
            && let Some(answer) = self.cache.get(&key, search.limit)
        {
            self.counts.add("lentillift_kept_answers_total");
            let answer = answer.clone();
            return vec![Effect::Answer { request, answer }];
        }
        if let coalescing::Decision::Join(run) = self.runs.decide(coalescing, &key) {
            self.counts.add("lentillift_coalesced_total");
            self.add_member(request, run, search, query.deadline, query.rank);
            return Vec::new();
        }
        let quarantine_admission = self.quarantine_admission(now, &query);
        if let QuarantineAdmission::Refuse(left) = quarantine_admission {
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
        self.add_member(request, request, search, deadline, rank);
        let mut effects = match quarantine_admission {
            QuarantineAdmission::Canary => self.start_with_canary(now, request),
            _ => self.start(now, request),
        };
        effects.extend(self.finish_if_settled(now, request));
        effects
    }

    /// Adds a request to the members of a run.
    fn add_member(
        &mut self,
        request: id::Request,
        run: id::Request,
        search: SearchRequest,
        deadline: Time,
        rank: u8,
    ) {
        if let Some(query) = self.queries.get_mut(&run) {
            query.members.insert(request);
            query.deadline = query.deadline.max(deadline);
            query.rank = query.rank.min(rank);
        }
        self.deadlines.insert((deadline, request));
        let member = Member {
            run,
            search,
            deadline,
        };
        self.members.insert(request, member);
    }

    /// Validates a request and pins its query to a snapshot.
    fn validate(&self, now: Time, search: &SearchRequest) -> Result<Query, Refusal> {
        // A process that was paused or partitioned missed what was taken out of service meanwhile.
        if !self.view.is_fresh(now) {
            return Err(Refusal::new(Cause::Stale, "no fresh view of the fleet")
                .retry_after(Duration::from_secs(1)));
        }
        let Some(config) = &self.view.values.config else {
            return Err(Refusal::new(Cause::Stale, "no configuration yet")
                .retry_after(Duration::from_secs(1)));
        };
        let service = config.services.get(&search.service);
        let Some(service) = service.filter(|service| service.kind == Kind::Search) else {
            let detail = format!("no search service `{}`", search.service);
            return Err(Refusal::new(Cause::UnknownService, detail));
        };
        if !config.callers.contains_key(&search.caller) {
            let detail = format!("no caller `{}`", search.caller);
            return Err(Refusal::new(Cause::UnknownCaller, detail));
        }
        if !config.allows(search.allowance) {
            let detail = format!(
                "found {} ms, from {} to {} ms is right",
                search.allowance.as_millis(),
                config.least_allowance_ms,
                config.most_allowance_ms
            );
            return Err(Refusal::new(Cause::Allowance, detail));
        }
        let Some(map) =
            plan::choose_snapshot(&self.view, &search.service, &self.missing_snapshots, now)
        else {
            return Err(Refusal::new(Cause::NoSnapshot, "no snapshot is published"));
        };
        let deadline = partial::answer_deadline(&self.policy.partial, now, search.allowance);
        let class = config.class(service, &search.caller);
        let mut query = Query::new(search.clone(), map.clone(), now, deadline);
        query.rank = class.map_or(u8::MAX, |class| class.rank);
        Ok(query)
    }

    /// Applies admission control to a query.
    fn admit(&mut self, now: Time, query: &Query) -> Result<(), Refusal> {
        let config = self.view.values.config.as_ref();
        let caller = config.and_then(|config| config.callers.get(&query.search.caller));
        let ask = admission::Request {
            rank: query.rank,
            caller: query.search.caller.clone(),
            weight: caller.map_or(1, |caller| caller.weight),
            cost: query.map.parts.len() as u32,
        };
        let controls = self
            .controls
            .entry(query.search.service.clone())
            .or_default();
        match controls.admission.decide(&self.policy.admission, now, &ask) {
            admission::Decision::Take => Ok(()),
            admission::Decision::Refuse { retry_after } => {
                self.counts.add("lentillift_admission_refused_total");
                let detail = "more is asked than the service can answer in time";
                Err(Refusal::new(Cause::Overload, detail).retry_after(retry_after))
            }
        }
    }
}

/// The key under which identical queries share a run and a cached answer.
fn coalescing_key(query: &Query) -> Key {
    Key {
        service: query.search.service.clone(),
        snapshot: query.map.snapshot,
        body: query.search.body.clone(),
    }
}
