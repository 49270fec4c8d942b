//! One query's shards, replies and deadline.

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

/// Where a query stands with one of its shards.
#[derive(Debug)]
pub enum State {
    /// A sub-request is under way.
    Pending {
        /// Replicas that were tried, the one under way last.
        tried: Vec<id::Backend>,
    },
    /// The shard's reply is at hand.
    Answered(Vec<Hit>),
    /// The shard is given up.
    Missing(Reason),
}

/// A query under way, for one caller or several that asked the same.
#[derive(Debug)]
pub struct Query {
    /// What the first caller asked; the others differ in limit, least coverage and allowance only.
    pub ask: SearchRequest,
    /// Rank of the best class among its callers.
    pub rank: u8,
    /// The callers that wait for it.
    pub members: BTreeSet<id::Request>,
    /// The map of the snapshot that the query keeps to.
    pub map: Map,
    /// Where it stands with each part of `map`, by position.
    // INVARIANT: As long as `map.parts`.
    pub states: Vec<State>,
    /// When it was asked.
    pub since: Time,
    /// Whether it was started anew at a newer snapshot.
    pub restarted: bool,
    /// Whether a sub-request that failed may have run.
    pub reached: bool,
    /// When the last caller's answer is put together, complete or not.
    pub deadline: Time,
    /// What it has in common with other attempts of the same query.
    pub fingerprint: Fingerprint,
    /// Shards that wait until it is known what the query does to servers, by position.
    pub held: Vec<usize>,
    /// The shard that finds out.
    pub canary: Option<usize>,
    /// Whether it was let in to find out, though it is suspect or quarantined.
    pub trial: bool,
}

impl Query {
    /// Starts a query of which no shard has been asked.
    pub fn new(ask: SearchRequest, map: Map, now: Time, deadline: Time) -> Self {
        Self {
            fingerprint: Fingerprint::of("POST", &ask.service, "/v1/search", &ask.body),
            held: Vec::new(),
            canary: None,
            trial: false,
            ask,
            rank: u8::MAX,
            members: BTreeSet::new(),
            states: blank(&map),
            map,
            since: now,
            restarted: false,
            reached: false,
            deadline,
        }
    }

    /// Starts anew at another snapshot; nothing of the replies so far is kept.
    pub fn restart(&mut self, map: Map) {
        self.reached |= self.ran();
        self.restarted = true;
        self.held.clear();
        self.canary = None;
        self.states = blank(&map);
        self.map = map;
    }

    /// Gives a shard up.
    pub fn give_up(&mut self, position: usize, reason: Reason) {
        self.states[position] = State::Missing(reason);
    }

    /// Whether a backend server has run a part of it at the present snapshot.
    pub fn ran(&self) -> bool {
        let mut states = self.states.iter();
        states.any(|state| matches!(state, State::Answered(_)))
    }

    /// What is known of whether any backend server ran a part of it.
    pub fn outcome(&self) -> Outcome {
        match (self.ran(), self.reached || !self.is_settled()) {
            (true, _) => Outcome::Done,
            (false, true) => Outcome::Unknown,
            (false, false) => Outcome::NotRun,
        }
    }

    /// Whether no shard's reply is awaited.
    pub fn is_settled(&self) -> bool {
        !self
            .states
            .iter()
            .any(|state| matches!(state, State::Pending { .. }))
    }

    /// Whether a shard is given up.
    pub fn has_hole(&self) -> bool {
        let mut states = self.states.iter();
        states.any(|state| matches!(state, State::Missing(_)))
    }

    /// Puts an answer of up to `limit` hits together; a shard that is still awaited has missed
    /// the deadline.
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
                State::Answered(hits) => {
                    coverage.answered += 1;
                    coverage.covered += part.weight;
                    lists.push(hits.clone());
                    continue;
                }
                State::Pending { .. } => Reason::Deadline,
                State::Missing(reason) => *reason,
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

/// The states of shards none of which was asked.
fn blank(map: &Map) -> Vec<State> {
    let states = map.parts.iter().map(|_| State::Missing(Reason::NoReplica));
    states.collect()
}
