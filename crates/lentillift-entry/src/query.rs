//! The state of one query: its shards, their replies and its deadline.

use crate::answer::Answer;
use crate::answer::SearchRequest;
use lentillift_core::coverage::Coverage;
use lentillift_core::coverage::Missing;
use lentillift_core::coverage::Reason;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::hit;
use lentillift_core::hit::Hit;
use lentillift_core::id;
use lentillift_core::outcome::Outcome;
use lentillift_core::snapshot::Map;
use lentillift_core::time::Time;
use std::collections::BTreeSet;

/// State of one shard of a query.
#[derive(Debug)]
pub enum ShardState {
    /// A sub-request is in flight, or the shard waits for the result of the canary.
    Pending {
        /// Replicas that were tried, the current one last.
        tried: Vec<id::Backend>,
    },
    /// The hits of the shard's reply.
    Answered(Vec<Hit>),
    /// The shard is missing from the answer, for this reason.
    Missing(Reason),
}

/// A running query, shared by all callers that sent the same one.
#[derive(Debug)]
pub struct Query {
    /// The request of the first caller. The others differ at most in caller, limit, minimum
    /// coverage and allowance.
    pub search: SearchRequest,
    /// Rank of the best class among its callers; 0 is the best.
    pub rank: u8,
    /// Numbers of the requests that wait for its answer.
    pub members: BTreeSet<id::Request>,
    /// The map of the snapshot that the query is pinned to.
    pub map: Map,
    /// State of each part of `map`, by position.
    // INVARIANT: Has the same length as `map.parts`.
    pub states: Vec<ShardState>,
    /// Time at which it started.
    pub started_at: Time,
    /// Whether it was restarted at a newer snapshot.
    pub restarted: bool,
    /// Whether a failed sub-request may have run, or one had run before a restart.
    pub may_have_run: bool,
    /// The latest deadline among its callers, when it is answered even if incomplete.
    pub deadline: Time,
    /// Hash of its content, equal for all attempts of the same query.
    pub fingerprint: Fingerprint,
    /// Shards, by position, that are sent only after the canary got a reply.
    pub deferred: Vec<usize>,
    /// Position of the shard that is sent first to test whether the query ends servers.
    pub canary: Option<usize>,
    /// Whether it was admitted as a canary although it is suspect or quarantined.
    pub on_trial: bool,
}

impl Query {
    /// Creates a query that no sub-request was sent for.
    pub fn new(search: SearchRequest, map: Map, now: Time, deadline: Time) -> Self {
        Self {
            fingerprint: Fingerprint::of("POST", &search.service, "/v1/search", &search.body),
            deferred: Vec::new(),
            canary: None,
            on_trial: false,
            search,
            rank: u8::MAX,
            members: BTreeSet::new(),
            states: initial_states(&map),
            map,
            started_at: now,
            restarted: false,
            may_have_run: false,
            deadline,
        }
    }

    /// Resets the query to another snapshot, and discards the replies so far.
    pub fn restart(&mut self, map: Map) {
        self.may_have_run |= self.has_reply();
        self.restarted = true;
        self.deferred.clear();
        self.canary = None;
        self.states = initial_states(&map);
        self.map = map;
    }

    /// Marks a shard as missing.
    pub fn mark_missing(&mut self, position: usize, reason: Reason) {
        self.states[position] = ShardState::Missing(reason);
    }

    /// Whether a backend server has replied at the current snapshot.
    pub fn has_reply(&self) -> bool {
        let mut states = self.states.iter();
        states.any(|state| matches!(state, ShardState::Answered(_)))
    }

    /// Whether any backend server ran a part of it, as far as known.
    pub fn outcome(&self) -> Outcome {
        match (self.has_reply(), self.may_have_run || !self.is_settled()) {
            (true, _) => Outcome::Done,
            (false, true) => Outcome::Unknown,
            (false, false) => Outcome::NotRun,
        }
    }

    /// Whether every shard has replied or is missing.
    pub fn is_settled(&self) -> bool {
        !self
            .states
            .iter()
            .any(|state| matches!(state, ShardState::Pending { .. }))
    }

    /// Whether a shard is missing.
    pub fn has_missing_shard(&self) -> bool {
        let mut states = self.states.iter();
        states.any(|state| matches!(state, ShardState::Missing(_)))
    }

    /// Merges the replies into an answer of up to `limit` hits.
    ///
    /// A shard that is still pending counts as one that missed the deadline.
    pub fn answer(&self, limit: usize) -> Answer {
        let mut coverage = Coverage {
            shards: self.map.parts.len() as u32,
            answered: 0,
            weight: self.map.weight(),
            covered: 0,
            missing: Vec::new(),
        };
        let mut lists = Vec::with_capacity(self.states.len());
        for (part, state) in self.map.parts.iter().zip(&self.states) {
            let reason = match state {
                ShardState::Answered(hits) => {
                    coverage.answered += 1;
                    coverage.covered += part.weight;
                    lists.push(hits.clone());
                    continue;
                }
                ShardState::Pending { .. } => Reason::Deadline,
                ShardState::Missing(reason) => *reason,
            };
            coverage.missing.push(Missing {
                shard: part.shard,
                weight: part.weight,
                reason,
            });
        }
        Answer {
            snapshot: self.map.snapshot,
            coverage,
            hits: hit::merge(lists, limit),
        }
    }
}

/// The states of all shards before any sub-request is sent.
fn initial_states(map: &Map) -> Vec<ShardState> {
    let states = map
        .parts
        .iter()
        .map(|_| ShardState::Missing(Reason::NoReplica));
    states.collect()
}
