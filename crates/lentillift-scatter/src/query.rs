//! One request from its arrival to its answer.
//!
//! Patterns it answers:
//!
//! - A search over twenty shards meets a paused backend server in every second case. Each shard's
//!   part is asked for again at another replica as soon as it takes longer than most do; the budget
//!   bounds how often.
//! - A part that is still missing when the answer has to leave to arrive in time is left out, if the
//!   caller accepts an answer without it: an answer that is late is worth little to its caller,
//!   and one that lacks a shard in twenty is worth most of the whole. The answer says what it lacks.
//! - Shards without a replica in this failure domain are asked for through one host in a failure
//!   domain that has them. It merges, so that one small reply crosses in place of twenty.
//! - A request that nobody can serve is refused at once.

use crate::config::Kind;
use crate::config::Route;
use crate::core::Choice;
use crate::core::Core;
use crate::host::Bucket;
use crate::leg::Leg;
use crate::leg::State;
use crate::leg::Target;
use crate::leg::Try;
use crate::replica::Load;
use crate::replica::Number;
use crate::replica::Sign;
use crate::server::Server;
use crate::view::View;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Fewest shards for which another host is asked; below, its reply is no smaller than theirs.
const LEAST_BRANCH: usize = 3;

/// Time that the way to another host and back takes, with its work: two round trips within a region,
/// and as much again for a host that is busy.
const BRANCH_TRIP: Duration = Duration::from_millis(8);

/// Largest part of the shards that are hedged as stragglers.
///
/// If more are late than that, this host is what is slow: it has not got round to sending or reading
/// yet, and to send everything twice would make it slower still.
const STRAGGLERS: f64 = 0.25;

/// Time after which it is looked again whether replies have come in.
const HOLD: Duration = Duration::from_millis(4);

/// Part of the objective after which that no longer counts: a reply that is sent for later comes late.
const LAST_HEDGE: f64 = 0.5;

/// Shortest pause before a replica that turned a request away is asked again.
const AGAIN: Duration = Duration::from_millis(8);

/// Refusals by backend servers after which a request is given up.
const MOST_REJECTIONS: usize = 3;

/// What is asked, and what makes an answer.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The route.
    pub route: Arc<Route>,
    /// The picture that the request arrived under.
    pub view: Arc<View>,
    /// Services to ask, one for each shard.
    pub services: Vec<id::Service>,
    /// When it arrived.
    pub arrived: Time,
    /// When an answer that lacks parts should leave.
    pub soft: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Least share of the shards that makes an answer; none if whatever is there will do.
    pub coverage: Option<f64>,
    /// Backend servers that each shard's request may be sent to.
    pub attempts: u32,
    /// Whether other hosts may be asked.
    pub branches: bool,
    /// Whether only backend servers of this failure domain may be asked, and no leg twice.
    pub near_only: bool,
}

impl Plan {
    /// A plan for a caller's request that arrived at `now` and has `left` to be answered.
    pub fn new(
        core: &mut Core,
        route: &Arc<Route>,
        view: &Arc<View>,
        services: Vec<id::Service>,
        now: Time,
        left: Duration,
    ) -> Self {
        let objective = route.objective;
        let margin = core.options.margin + core.lag.mean();
        let margin = margin.min(objective / 3);
        let spent = core.spent(route, left);
        let coverage = match &route.target {
            crate::config::Target::Scatter(scatter) => scatter.coverage,
            crate::config::Target::Split(_) => 1.0,
        };
        let left = left.min(route.timeout);
        let deadline = now + left.saturating_sub(margin.min(left / 10));
        Self {
            route: route.clone(),
            view: view.clone(),
            services,
            arrived: now,
            soft: (now + objective.saturating_sub(margin + spent)).min(deadline),
            deadline,
            coverage: Some(coverage),
            attempts: route.attempts,
            branches: core.options.branches,
            near_only: false,
        }
    }

    /// A plan for another host's question that arrived at `now`.
    pub fn branch(
        route: &Arc<Route>,
        view: &Arc<View>,
        services: Vec<id::Service>,
        now: Time,
        deadline: Time,
    ) -> Self {
        Self {
            route: route.clone(),
            view: view.clone(),
            services,
            arrived: now,
            soft: deadline,
            deadline,
            coverage: None,
            attempts: 1,
            branches: false,
            near_only: true,
        }
    }
}

/// Something to be sent.
#[derive(Debug, Clone)]
pub struct Send {
    /// Its number.
    pub number: Number,
    /// Where to.
    pub target: Target,
    /// The legs that it is for.
    pub legs: Vec<usize>,
    /// Time until the receiver should give up.
    pub left: Duration,
    /// Time until a host that is asked should tell for the first time what it has.
    pub first: Duration,
    /// Whether it repeats an earlier send.
    pub repeat: bool,
}

/// How a send ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A whole reply that can be used.
    Part {
        /// What the server said of its load.
        load: Option<Load>,
    },
    /// The server's own failure; it ran.
    Failure {
        /// What the server said of its load.
        load: Option<Load>,
    },
    /// The server said that it did not run it.
    Rejected {
        /// What the server said of its load.
        load: Option<Load>,
    },
    /// Another server has the address; it did not run.
    Misdirected,
    /// It never left this host.
    Unreachable,
    /// It may have run; the reply was lost, cut off, late or malformed.
    Broken,
    /// Another host told of some legs.
    Branch(Brought),
}

/// What another host told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Brought {
    /// Legs whose part it brought.
    pub done: Vec<usize>,
    /// Legs for which it sent nothing.
    pub declined: Vec<usize>,
    /// Legs whose send brought nothing.
    pub failed: Vec<usize>,
    /// Whether it has told of all legs.
    pub last: bool,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Wait for a reply, and until then at most.
    Wait(Time),
    /// Answer with the parts that these sends brought.
    Answer {
        /// The sends, in the order of the legs; one that brought several legs is named once.
        sends: Vec<Number>,
        /// Legs whose part is left out.
        missing: usize,
    },
    /// Pass the backend server's own failure on.
    Pass(Number),
    /// It has not run and will not; say when to come back.
    Refuse(Duration),
    /// It may have run and there is no answer.
    Fail,
    /// It may have run and the time is over.
    Timeout,
}

/// Whether backend servers that turned a leg away may be asked again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turned {
    /// It has just happened: they would do it again.
    Leave,
    /// Some time has passed.
    Ask,
}

/// A send to another host.
#[derive(Debug)]
struct Branch {
    host: id::Host,
    domain: id::Domain,
    /// Legs of which nothing was heard.
    legs: Vec<usize>,
    /// Whether it has told anything.
    told: bool,
}

impl Branch {
    fn new(host: id::Host, domain: &id::Domain, legs: Vec<usize>) -> Self {
        Self {
            host,
            domain: domain.clone(),
            legs,
            told: false,
        }
    }
}

/// One request.
#[derive(Debug)]
pub struct Query {
    plan: Plan,
    legs: Vec<Leg>,
    /// Sends to other hosts that have not ended.
    branches: BTreeMap<Number, Branch>,
    /// Sends that were made as repeats.
    repeats: u32,
    /// Repeats that the budget did not allow.
    unpaid: u32,
    rejections: usize,
}

impl Query {
    /// Starts; says what to send.
    pub fn start(core: &mut Core, plan: Plan, now: Time) -> (Self, Vec<Send>) {
        let legs = plan.services.iter().cloned().map(Leg::new).collect();
        let mut query = Self {
            plan,
            legs,
            branches: BTreeMap::new(),
            repeats: 0,
            unpaid: 0,
            rejections: 0,
        };
        let choices = query.choices(core, now);
        let reachable = choices.iter().flatten().count();
        if !query.suffices(reachable) {
            return (query, Vec::new());
        }
        let sends = query.first(core, choices, now);
        (query, sends)
    }

    /// The plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Sends that were made as repeats.
    pub fn repeats(&self) -> u32 {
        self.repeats
    }

    /// Repeats that the budget did not allow.
    pub fn unpaid(&self) -> u32 {
        self.unpaid
    }

    /// The service of a leg.
    pub fn service(&self, leg: usize) -> Option<&id::Service> {
        self.legs.get(leg).map(|leg| &leg.service)
    }

    /// The legs whose part is not here.
    pub fn missing(&self) -> impl Iterator<Item = &Leg> {
        self.legs.iter().filter(|leg| leg.done.is_none())
    }

    fn choices(&self, core: &mut Core, now: Time) -> Vec<Option<Choice>> {
        let typical = core.pace(&self.plan.route).typical;
        let view = &self.plan.view;
        let domain = self.plan.near_only.then(|| core.domain.clone());
        let legs = self.legs.iter();
        legs.map(|leg| {
            let may = |server: &Server| domain.as_ref().is_none_or(|d| server.entry.domain == *d);
            core.choose(view, &leg.service, typical, now, may)
        })
        .collect()
    }

    /// Makes the first sends: to hosts for many legs at once, directly for the others.
    fn first(&mut self, core: &mut Core, choices: Vec<Option<Choice>>, now: Time) -> Vec<Send> {
        let mut groups = match self.plan.branches && self.legs.len() > 1 {
            true => self.groups(core, &choices, now),
            false => Vec::new(),
        };
        groups.retain(|group| group.legs.len() >= LEAST_BRANCH);
        let grouped: Vec<usize> = groups.iter().flat_map(|g| g.legs.clone()).collect();
        let mut sends = Vec::new();
        for group in groups {
            sends.push(self.branch(core, group, now));
        }
        for (leg, choice) in choices.into_iter().enumerate() {
            if let Some(choice) = choice
                && !grouped.contains(&leg)
            {
                sends.push(self.direct(core, leg, choice.server, now, false));
            }
        }
        sends
    }

    /// Legs that other hosts should be asked for.
    fn groups(&self, core: &Core, choices: &[Option<Choice>], now: Time) -> Vec<Branch> {
        let reachable = (0..self.legs.len()).filter(|leg| choices[*leg].is_some());
        let (near, far) = reachable.partition(|leg| {
            let mut servers = self.servers(core, *leg);
            servers.any(|server| server.entry.domain == core.domain)
        });
        let mut groups = self.far_groups(core, far, now);
        groups.extend(self.near_groups(core, near, now));
        groups
    }

    fn servers<'a>(&self, core: &'a Core, leg: usize) -> impl Iterator<Item = &'a Arc<Server>> {
        let service = &self.legs[leg].service;
        let view = core.view.as_ref();
        view.and_then(|view| view.servers.get(service))
            .into_iter()
            .flatten()
    }

    /// Legs with a replica here that are too many for one host, by the hosts that share them.
    fn near_groups(&self, core: &Core, legs: Vec<usize>, now: Time) -> Vec<Branch> {
        let buckets = legs.len().div_ceil(core.options.direct.max(1));
        if buckets < 2 {
            return Vec::new();
        }
        let mut parts: BTreeMap<Bucket, Vec<usize>> = BTreeMap::new();
        for leg in legs {
            let bucket = Bucket::of(&self.legs[leg].service, buckets);
            parts.entry(bucket).or_default().push(leg);
        }
        let domain = &core.domain;
        let parts = parts.into_iter().filter_map(|(bucket, legs)| {
            let host = core.hosts.owner(domain, &core.name, bucket, now)?;
            Some(Branch::new(host, domain, legs))
        });
        parts.collect()
    }

    /// Legs without a replica in this failure domain, by the hosts that should be asked for them.
    ///
    /// As few hosts as possible: of replicas in two other failure domains either will do, and one
    /// reply for all of them is smaller than two.
    fn far_groups(&self, core: &Core, mut rest: Vec<usize>, now: Time) -> Vec<Branch> {
        let mut groups = Vec::new();
        while !rest.is_empty() {
            let mut covers: BTreeMap<&id::Domain, Vec<usize>> = BTreeMap::new();
            for leg in &rest {
                let domains: BTreeSet<&id::Domain> = self
                    .servers(core, *leg)
                    .map(|server| &server.entry.domain)
                    .collect();
                for domain in domains {
                    covers.entry(domain).or_default().push(*leg);
                }
            }
            let hosts = covers.into_iter().filter_map(|(domain, legs)| {
                let host = core.hosts.choose(domain, now)?;
                Some(Branch::new(host, domain, legs))
            });
            let best = hosts.max_by_key(|group| {
                (
                    group.legs.len(),
                    std::cmp::Reverse(core.hosts.used(&group.host)),
                )
            });
            let Some(mut group) = best else {
                break;
            };
            group.legs.truncate(core.options.direct.max(LEAST_BRANCH));
            rest.retain(|leg| !group.legs.contains(leg));
            groups.push(group);
        }
        groups
    }

    /// Asks a backend server.
    fn direct(
        &mut self,
        core: &mut Core,
        leg: usize,
        server: Arc<Server>,
        now: Time,
        repeat: bool,
    ) -> Send {
        let number = core.number();
        core.sent(number, &server, now);
        self.earn(core, leg, now);
        self.repeats += u32::from(repeat);
        let hedge_at = self.patience(core).map(|patience| now + patience);
        let target = Target::Server(server);
        let state = &mut self.legs[leg];
        state.arrivals += 1;
        state.tries.push(Try {
            number,
            target: target.clone(),
            sent: now,
            repeat,
        });
        state.hedge_at = hedge_at;
        Send {
            number,
            target,
            legs: vec![leg],
            left: self.left(core, now),
            first: Duration::ZERO,
            repeat,
        }
    }

    /// Counts a leg's request for the budget, once, at the host that has the caller.
    fn earn(&mut self, core: &mut Core, leg: usize, now: Time) {
        if self.plan.near_only {
            return;
        }
        let state = &mut self.legs[leg];
        if !std::mem::replace(&mut state.earned, true) {
            let service = state.service.clone();
            core.earn(&service, now);
        }
    }

    /// Asks another host for many legs.
    fn branch(&mut self, core: &mut Core, branch: Branch, now: Time) -> Send {
        let number = core.number();
        core.hosts.sent(&branch.host, now);
        let target = Target::Host {
            host: branch.host.clone(),
            domain: branch.domain.clone(),
        };
        let patience = self.patience(core).unwrap_or_default();
        for leg in &branch.legs {
            self.earn(core, *leg, now);
            let state = &mut self.legs[*leg];
            state.arrivals += 1;
            state.tries.push(Try {
                number,
                target: target.clone(),
                sent: now,
                repeat: false,
            });
            state.hedge_at = Some(now + patience + BRANCH_TRIP);
        }
        let legs = branch.legs.clone();
        self.branches.insert(number, branch);
        Send {
            number,
            target,
            legs,
            left: self.left(core, now),
            first: patience,
            repeat: false,
        }
    }

    /// Time that a receiver gets: what is left, and for a shard no more than is useful.
    fn left(&self, core: &Core, now: Time) -> Duration {
        let left = self.plan.deadline.saturating_sub(now);
        if self.legs.len() < 2 {
            return left;
        }
        let useful = self.plan.arrived + self.plan.route.objective * core.options.patience;
        match useful.saturating_sub(now) {
            useful if useful < self.plan.route.objective / 2 => left,
            useful => left.min(useful),
        }
    }

    /// Time after which another replica is asked; none if none may be.
    fn patience(&self, core: &mut Core) -> Option<Duration> {
        if self.plan.route.kind == Kind::Once || self.plan.near_only {
            return None;
        }
        let pace = core.pace(&self.plan.route);
        let most = self.plan.route.objective.mul_f64(core.options.hedge_by);
        let least = pace.typical.mul_f64(1.3);
        Some(pace.late.min(most).max(least))
    }

    /// Takes in how a send ended; says what to send now.
    pub fn ended(
        &mut self,
        core: &mut Core,
        now: Time,
        number: Number,
        outcome: Outcome,
    ) -> Vec<Send> {
        if let Some(branch) = self.branches.remove(&number) {
            return self.branch_ended(core, now, number, branch, outcome);
        }
        let found = self.legs.iter_mut().enumerate();
        let mut found = found.filter_map(|(i, leg)| Some((i, leg.take(number)?)));
        let Some((leg, sent)) = found.next() else {
            return Vec::new();
        };
        let Target::Server(server) = &sent.target else {
            return Vec::new();
        };
        self.note(core, now, &sent, server, &outcome);
        let backend = server.entry.id.clone();
        let state = &mut self.legs[leg];
        match outcome {
            Outcome::Part { .. } => {
                state.ran.push(backend);
                // A second reply for a leg is not needed.
                if state.done.is_none() {
                    state.done = Some(number);
                    state.hedge_at = None;
                }
                return Vec::new();
            }
            Outcome::Failure { .. } => {
                state.ran.push(backend);
                state.failed = Some(number);
            }
            Outcome::Broken | Outcome::Branch(_) => state.ran.push(backend),
            Outcome::Rejected { .. } | Outcome::Misdirected => {
                self.rejections += 1;
                state.turned_away.push(backend);
            }
            Outcome::Unreachable => {
                state.turned_away.push(backend);
                state.arrivals -= 1;
                if sent.repeat {
                    let service = state.service.clone();
                    core.refund(&service, now);
                }
            }
        }
        self.retry(core, leg, now)
    }

    fn note(&self, core: &mut Core, now: Time, sent: &Try, server: &Server, outcome: &Outcome) {
        let (sign, load) = match outcome {
            Outcome::Part { load } => {
                let took = now.saturating_sub(sent.sent);
                core.replied(sent.number, server, &self.plan.route, took, now, *load);
                return;
            }
            Outcome::Failure { load } => (Sign::Failed, *load),
            Outcome::Rejected { load } => (Sign::Rejected, *load),
            Outcome::Misdirected => (Sign::Misdirected, None),
            Outcome::Unreachable => (Sign::Unreachable, None),
            Outcome::Broken | Outcome::Branch(_) => (Sign::Failed, None),
        };
        core.ended(sent.number, &server.entry.id, sign, now, load);
    }

    fn branch_ended(
        &mut self,
        core: &mut Core,
        now: Time,
        number: Number,
        mut branch: Branch,
        outcome: Outcome,
    ) -> Vec<Send> {
        let brought = match outcome {
            Outcome::Branch(brought) => brought,
            Outcome::Unreachable => Brought {
                done: Vec::new(),
                declined: branch.legs.clone(),
                failed: Vec::new(),
                last: true,
            },
            _ => Brought {
                done: Vec::new(),
                declined: Vec::new(),
                failed: branch.legs.clone(),
                last: true,
            },
        };
        let answered = branch.told || !brought.done.is_empty();
        let mut again = Vec::new();
        for leg in &brought.done {
            let state = &mut self.legs[*leg];
            state.take(number);
            state.ran_in.push(branch.domain.clone());
            // The host's records are merged and can't be taken apart: what another send brought for
            // this leg is left out in its favour.
            state.done = Some(number);
            state.hedge_at = None;
        }
        for leg in &brought.declined {
            let state = &mut self.legs[*leg];
            if state.take(number).is_some() {
                state.arrivals -= 1;
                again.push(*leg);
            }
        }
        for leg in &brought.failed {
            let state = &mut self.legs[*leg];
            if state.take(number).is_some() {
                state.ran_in.push(branch.domain.clone());
                again.push(*leg);
            }
        }
        let told = |leg: &usize| {
            let lists = [&brought.done, &brought.declined, &brought.failed];
            lists.iter().any(|list| list.contains(leg))
        };
        branch.legs.retain(|leg| !told(leg));
        if !branch.told && !brought.last {
            // It told of those that took no longer than most do: the others are late.
            again.extend(&branch.legs);
        }
        branch.told = true;
        if brought.last {
            core.hosts.ended(&branch.host, now, answered);
        } else {
            self.branches.insert(number, branch);
        }
        let mut sends = Vec::new();
        for leg in again {
            sends.extend(self.retry(core, leg, now));
        }
        sends
    }

    /// Asks another replica for a leg whose send ended without a part.
    fn retry(&mut self, core: &mut Core, leg: usize, now: Time) -> Vec<Send> {
        let state = &self.legs[leg];
        if state.done.is_some() {
            return Vec::new();
        }
        if self.rejections_exhausted() {
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        self.again(core, leg, now, Turned::Leave)
    }

    /// Whether a request to a single service was turned away too often to go on.
    fn rejections_exhausted(&self) -> bool {
        self.legs.len() == 1 && self.rejections >= MOST_REJECTIONS
    }

    /// Sends once more for a leg, or sets the time of the next look.
    fn again(&mut self, core: &mut Core, leg: usize, now: Time, turned: Turned) -> Vec<Send> {
        let state = &self.legs[leg];
        if self.plan.near_only && state.arrivals > 0 {
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        let once = self.plan.route.kind == Kind::Once;
        let limit = if once { 1 } else { self.plan.attempts as usize };
        if state.attempts() >= limit {
            self.legs[leg].hedge_at = None;
            return Vec::new();
        }
        let Some(choice) = self.other(core, leg, now, turned) else {
            return self.look_later(core, leg, now);
        };
        let repeat = self.legs[leg].arrivals > 0;
        let service = self.legs[leg].service.clone();
        if repeat && !core.spend(&service, now) {
            self.unpaid += 1;
            return self.look_later(core, leg, now);
        }
        vec![self.direct(core, leg, choice.server, now, repeat)]
    }

    /// A replica that was not asked for this leg, and whose reply would come in time.
    fn other(&self, core: &mut Core, leg: usize, now: Time, turned: Turned) -> Option<Choice> {
        let typical = core.pace(&self.plan.route).typical;
        let state = &self.legs[leg];
        let view = &self.plan.view;
        let domain = self.plan.near_only.then(|| core.domain.clone());
        let may = |server: &Server| {
            let near = domain.as_ref().is_none_or(|d| server.entry.domain == *d);
            near && !state.has_asked(server)
        };
        let fresh = |server: &Server| may(server) && !state.turned_away.contains(&server.entry.id);
        let choice = core.choose(view, &state.service, typical, now, fresh);
        let choice = choice.or_else(|| {
            let idle = state.tries.is_empty() && turned == Turned::Ask;
            let again = |server: &Server| idle && may(server);
            core.choose(view, &state.service, typical, now, again)
        })?;
        (now + choice.expected < self.plan.deadline).then_some(choice)
    }

    fn look_later(&mut self, core: &mut Core, leg: usize, now: Time) -> Vec<Send> {
        let pause = core.pace(&self.plan.route).typical.max(AGAIN);
        let at = now + pause;
        let in_time = at < self.plan.deadline;
        let single = self.legs.len() == 1 && self.legs[leg].tries.is_empty();
        // Nothing is to be gained by waiting for a service that nobody serves now.
        let hopeless = single && self.legs[leg].is_untouched() && self.rejections == 0;
        self.legs[leg].hedge_at = (in_time && !hopeless).then_some(at);
        Vec::new()
    }

    /// Says what to send now that time has passed.
    pub fn tick(&mut self, core: &mut Core, now: Time) -> Vec<Send> {
        let mut sends = Vec::new();
        let held = self.holds_hedges(now);
        for leg in 0..self.legs.len() {
            let state = &mut self.legs[leg];
            if state.done.is_some() || state.hedge_at.is_none_or(|at| at > now) {
                continue;
            }
            if let Some(until) = held
                && !state.tries.is_empty()
            {
                state.hedge_at = Some(until);
                continue;
            }
            self.doubt_hosts(core, leg, now);
            sends.extend(self.again(core, leg, now, Turned::Ask));
        }
        sends
    }

    /// Until when hedges wait because too much is late for it to be the servers' fault.
    fn holds_hedges(&self, now: Time) -> Option<Time> {
        let open = self.legs.iter().filter(|leg| leg.done.is_none()).count();
        let few = (self.legs.len() as f64 * STRAGGLERS).max(2.0);
        let last = self.plan.arrived + self.plan.route.objective.mul_f64(LAST_HEDGE);
        let held = open as f64 > few && now < last;
        held.then(|| last.min(now + HOLD))
    }

    /// Holds a host that is late for one in trouble.
    fn doubt_hosts(&self, core: &mut Core, leg: usize, now: Time) {
        for sent in &self.legs[leg].tries {
            let heard = self.branches.get(&sent.number).is_some_and(|b| b.told);
            if let Target::Host { host, .. } = &sent.target
                && !heard
            {
                core.hosts.doubt(host, now);
            }
        }
    }

    /// Takes in how a send ended after the request was answered.
    pub fn close(&mut self, core: &mut Core, now: Time, number: Number, outcome: Outcome) {
        for leg in &mut self.legs {
            leg.hedge_at = None;
        }
        if let Some(branch) = self.branches.remove(&number) {
            let answered = matches!(outcome, Outcome::Branch(_));
            match &outcome {
                Outcome::Branch(brought) if !brought.last => {
                    self.branches.insert(number, branch);
                }
                _ => core.hosts.ended(&branch.host, now, answered),
            }
            return;
        }
        let found = self.legs.iter_mut().find_map(|leg| leg.take(number));
        if let Some(sent) = found
            && let Target::Server(server) = &sent.target
        {
            self.note(core, now, &sent, server, &outcome);
        }
    }

    /// Gives up on all sends that have not ended.
    pub fn abandon(&mut self, core: &mut Core, now: Time) {
        for sent in self.legs.iter_mut().flat_map(|leg| leg.tries.drain(..)) {
            if let Target::Server(server) = &sent.target {
                core.ended(sent.number, &server.entry.id, Sign::Abandoned, now, None);
            }
        }
        for branch in std::mem::take(&mut self.branches).values() {
            core.hosts.ended(&branch.host, now, true);
        }
    }

    fn suffices(&self, parts: usize) -> bool {
        match self.plan.coverage {
            Some(least) => {
                let share = parts as f64 / self.legs.len().max(1) as f64;
                parts > 0 && share >= least
            }
            None => true,
        }
    }

    /// Says what to do next.
    pub fn next(&self, now: Time) -> Next {
        let done = self.legs.iter().filter(|leg| leg.done.is_some()).count();
        let lost = self.legs.iter().filter(|leg| leg.is_lost()).count();
        let over = now >= self.plan.deadline;
        let settled = done + lost == self.legs.len();
        let hopeless = !self.suffices(self.legs.len() - lost);
        if self.suffices(done) && (settled || over || now >= self.plan.soft) {
            return self.answer();
        }
        if settled || over || hopeless {
            return self.verdict(over);
        }
        Next::Wait(self.due(now))
    }

    /// When to look again if no send ends before.
    pub fn due(&self, now: Time) -> Time {
        let hedges = self.legs.iter().filter(|leg| leg.done.is_none());
        let hedges = hedges.filter_map(|leg| leg.hedge_at);
        let soft = Some(self.plan.soft).filter(|soft| *soft > now);
        let due = hedges.chain(soft).min().unwrap_or(self.plan.deadline);
        due.min(self.plan.deadline)
    }

    /// How far each leg has come.
    pub fn states(&self) -> impl Iterator<Item = State> {
        self.legs.iter().map(Leg::state)
    }

    fn answer(&self) -> Next {
        let mut sends: Vec<Number> = self.legs.iter().filter_map(|leg| leg.done).collect();
        let missing = self.legs.len() - sends.len();
        sends.sort_unstable();
        sends.dedup();
        Next::Answer { sends, missing }
    }

    fn verdict(&self, over: bool) -> Next {
        if let [leg] = self.legs.as_slice()
            && let Some(number) = leg.failed
        {
            return Next::Pass(number);
        }
        let untouched = self.legs.iter().all(Leg::is_untouched);
        match (untouched, over) {
            (true, _) => Next::Refuse(self.retry_after()),
            (false, true) => Next::Timeout,
            (false, false) => Next::Fail,
        }
    }

    /// When a caller that is refused should come back: after half an objective, when a pause or a
    /// short queue has passed.
    fn retry_after(&self) -> Duration {
        self.plan.route.objective / 2
    }
}
