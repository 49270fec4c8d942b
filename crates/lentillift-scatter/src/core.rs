//! What all requests of a host share: the picture they are served by, what is known of backend
//! servers, budgets, and how long replies take.

use crate::budget;
use crate::caller::DefaultRtt;
use crate::config::Route;
use crate::host::Hosts;
use crate::ledger::Ledger;
use crate::ledger::Purpose;
use crate::limit;
use crate::loss::Loss;
use crate::quantile;
use crate::replica::Load;
use crate::replica::Observation;
use crate::replica::SendId;
use crate::replica_table::ChoiceContext;
use crate::replica_table::ReplicaTable;
use crate::server::Entry;
use crate::server::Server;
use crate::share::Share;
use crate::switch::Mechanism;
use crate::switch::Switches;
use crate::view::View;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::quarantine;
use lentillift_fleet::quarantine::Admission;
use lentillift_fleet::quarantine::End;
use lentillift_fleet::quarantine::Verdict;
use lentillift_fleet::rendezvous;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Figures of how requests are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Bounds on repeated sends.
    pub budget: budget::Options,
    /// Bounds on requests to cold backend servers.
    pub cold: limit::Cold,
    /// Time before the objective at which an answer has to leave this host to arrive in time, beyond
    /// the way to its caller and back: merging, writing, and a poll of a busy process.
    pub margin: Duration,
    /// Objectives for which a backend server may work on a shard's part.
    ///
    /// What takes longer comes too late for its caller, and holds a slot that others wait for.
    pub shard_timeout_objectives: u32,
    /// Quantile of reply times after which another replica is asked.
    pub hedge_quantile: f64,
    /// Largest part of the objective after which another replica is asked.
    pub max_hedge_fraction: f64,
    /// Whether other hosts are asked for shards that have no replica in this failure domain.
    pub branches: bool,
    /// Shards that one host asks for by itself in one search; others are asked for the rest.
    ///
    /// A host sends and reads one after the other, so a search of many shards takes as long as its
    /// slowest host is busy with it.
    pub max_direct: usize,
    /// Figures of quarantine.
    pub quarantine: quarantine::Options,
    /// What an operator has switched off.
    pub switches: Switches,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            budget: budget::Options {
                ratio: 0.2,
                extra: 0,
                window: Duration::from_secs(10),
            },
            cold: limit::Cold {
                factor: 1.0,
                extra: 0.0,
            },
            margin: Duration::from_millis(5),
            shard_timeout_objectives: 2,
            hedge_quantile: 0.95,
            max_hedge_fraction: 0.35,
            branches: true,
            max_direct: 32,
            quarantine: quarantine::Options::default(),
            switches: Switches::default(),
        }
    }
}

/// Part of the objective that a reply is held to take before any was seen.
const INITIAL_TYPICAL_FRACTION: f64 = 0.12;

/// Reply times of one route's sends.
#[derive(Debug, Clone, Copy)]
pub struct ReplyTimes {
    /// Median.
    pub typical: Duration,
    /// The quantile after which another replica is asked.
    pub hedge_delay: Duration,
}

impl ReplyTimes {
    fn initial(objective: Duration) -> Self {
        let typical = objective.mul_f64(INITIAL_TYPICAL_FRACTION);
        Self {
            typical,
            hedge_delay: typical * 2,
        }
    }

    /// Takes in a reply time, moving each quantile by a step for its side.
    fn record(&mut self, took: Duration, quantile: f64) {
        self.typical = quantile::step(self.typical, took, 0.5);
        self.hedge_delay = quantile::step(self.hedge_delay, took, quantile).max(self.typical);
    }
}

/// Weight of one timer in the estimate of how late they fire.
const LAG_WEIGHT: f64 = 0.05;

/// How late this host's timers fire, because its processor is busy or taken away.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lag {
    mean: Duration,
}

impl Lag {
    /// Notes a timer that fired `late`.
    pub fn note(&mut self, late: Duration) {
        let late = late.min(MAX_LAG_SAMPLE);
        self.mean = self.mean.mul_f64(1.0 - LAG_WEIGHT) + late.mul_f64(LAG_WEIGHT);
    }

    /// What a timer is to be set earlier by.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}

/// Most that one timer counts; a process that stood still for seconds is no slower afterwards.
const MAX_LAG_SAMPLE: Duration = Duration::from_millis(50);

/// What all requests of a host share.
#[derive(Debug)]
pub struct Core {
    /// Figures.
    pub options: Options,
    /// This host's name.
    pub name: id::Host,
    /// This host's failure domain.
    pub domain: id::Domain,
    /// This host's share of what all may do.
    pub share: Share,
    /// The latest picture; none before the first.
    pub view: Option<Arc<View>>,
    /// A number that differs between hosts.
    pub host_hash: u64,
    /// What is known of backend servers.
    pub replicas: ReplicaTable,
    /// Other hosts.
    pub hosts: Hosts,
    /// Shards that other hosts were asked for in vain.
    pub loss: Loss,
    /// Requests under which backend servers ended.
    pub quarantine: quarantine::Table,
    /// How far away callers are that have not told.
    pub caller_rtt: DefaultRtt,
    /// How late this host's timers fire.
    pub lag: Lag,
    ledger: Ledger,
    /// Longest time that callers of each route said they would wait.
    longest_wait: HashMap<Arc<str>, Duration>,
    reply_times: HashMap<Arc<str>, ReplyTimes>,
    last_send_id: SendId,
}

/// A replica to send to.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The backend server.
    pub server: Arc<Server>,
    /// Time until its reply.
    pub expected: Duration,
}

impl Core {
    /// Starts with nothing known.
    pub fn new(options: Options, name: id::Host, domain: id::Domain, share: Share) -> Self {
        Self {
            options,
            host_hash: rendezvous::weight("ticket", &name),
            name,
            domain,
            share,
            view: None,
            replicas: ReplicaTable::default(),
            hosts: Hosts::default(),
            loss: Loss::default(),
            quarantine: quarantine::Table::default(),
            caller_rtt: DefaultRtt::default(),
            lag: Lag::default(),
            ledger: Ledger::default(),
            longest_wait: HashMap::new(),
            reply_times: HashMap::new(),
            last_send_id: 0,
        }
    }

    /// Serves requests that arrive from now on by `view`.
    pub fn adopt(&mut self, view: View) {
        let servers = view.servers.values().flatten();
        let known: HashSet<_> = servers.map(|s| s.entry.id.clone()).collect();
        self.replicas.retain(|backend| known.contains(backend));
        self.ledger.retain(|service| {
            view.config.services.contains_key(service) || view.servers.contains_key(service)
        });
        let routes: HashSet<Arc<str>> = view.config.routes().map(|r| r.name.clone()).collect();
        self.reply_times.retain(|route, _| routes.contains(route));
        self.longest_wait.retain(|route, _| routes.contains(route));
        self.view = Some(Arc::new(view));
    }

    /// A number for the next send.
    pub fn next_send_id(&mut self) -> SendId {
        self.last_send_id += 1;
        self.last_send_id
    }

    /// Reply times of the route's sends.
    pub fn reply_times(&mut self, route: &Route) -> ReplyTimes {
        let initial = || ReplyTimes::initial(route.objective);
        match self.reply_times.get(&route.name) {
            Some(times) => *times,
            None => *self
                .reply_times
                .entry(route.name.clone())
                .or_insert_with(initial),
        }
    }

    /// Time that a caller with `left` to wait has already spent, on a first connection or the like.
    ///
    /// Callers of a route say the same when they have spent nothing, so what is less than the most is
    /// time spent. More than an objective is a caller of another kind, or one that comes again, and
    /// nothing is gained by hurrying.
    pub fn time_spent(&mut self, route: &Route, left: Duration) -> Duration {
        let longest = match self.longest_wait.get_mut(&route.name) {
            Some(longest) => longest,
            None => self.longest_wait.entry(route.name.clone()).or_insert(left),
        };
        *longest = left.max(*longest);
        let spent = longest.saturating_sub(left);
        match spent < route.objective / 2 {
            true => spent,
            false => Duration::ZERO,
        }
    }

    /// Notes the first send of a request for a service.
    pub fn earn(&mut self, service: &id::Service, now: Time) {
        self.ledger.earn(&self.options.budget, service, now);
    }

    /// Whether other hosts lose no more shards than repeats can make up for.
    pub fn may_use_branches(&self, now: Time) -> bool {
        let switch = self.options.switches.is_on(Mechanism::Loss);
        !switch || self.loss.share(now) <= self.options.budget.ratio
    }

    /// Pays for a repeated send.
    pub fn spend(&mut self, service: &id::Service, now: Time, purpose: Purpose) -> bool {
        let Options {
            budget, switches, ..
        } = &self.options;
        // Without the reserve every repeat counts as one that decides about an answer.
        let purpose = match switches.is_on(Mechanism::Reserve) {
            true => purpose,
            false => Purpose::Answer,
        };
        let allowed = switches.is_on(Mechanism::Repeats);
        allowed
            && self
                .ledger
                .spend(budget, &self.share, service, now, purpose)
    }

    /// Takes back a repeated send that never reached a backend server.
    pub fn refund(&mut self, service: &id::Service, now: Time) {
        self.ledger.refund(&self.options.budget, service, now);
    }

    /// What the budgets of all services still allow together.
    pub fn budget_left(&mut self, now: Time) -> f64 {
        self.ledger.left(&self.options.budget, &self.share, now)
    }

    /// The best backend server of `service` that `allows` lets through.
    ///
    /// Under `view`, but never one that the latest picture excludes: a request that waited must not
    /// go to a failure domain that was evacuated, or to a server that left, since it arrived.
    pub fn choose<F>(
        &mut self,
        view: &View,
        service: &id::Service,
        typical: Duration,
        now: Time,
        allows: F,
    ) -> Option<Choice>
    where
        F: Fn(&Server) -> bool,
    {
        let latest = self.view.clone()?;
        let servers = latest.servers.get(service)?;
        let bounds = view.config.services.get(service);
        let mut context = ChoiceContext {
            now,
            domain: &self.domain,
            share: &self.share,
            typical,
            connections: bounds.map_or(1, |bounds| bounds.connections),
            cold_rate: bounds.and_then(|bounds| bounds.cold_rate),
            cold: self.options.cold,
            host_hash: self.host_hash,
            includes_backed_off: false,
        };
        let is_allowed = |server: &&Arc<Server>| {
            !latest.evacuated.contains(&server.entry.domain) && allows(server)
        };
        let is_ready = |server: &&Arc<Server>| server.last_resort_until.is_none();
        let is_last_resort =
            |server: &&Arc<Server>| server.last_resort_until.is_some_and(|at| now < at);
        let replicas = &mut self.replicas;
        let mut best =
            replicas.choose(&context, servers.iter().filter(is_allowed).filter(is_ready));
        if best.is_none() && self.options.switches.is_on(Mechanism::LastResort) {
            best = replicas.choose(
                &context,
                servers.iter().filter(is_allowed).filter(is_last_resort),
            );
        }
        if best.is_none() {
            // All are left alone for a while. One request at a time finds out whether one is back.
            context.includes_backed_off = true;
            best = replicas.choose(&context, servers.iter().filter(is_allowed).filter(is_ready));
        }
        best.map(|(server, expected)| Choice {
            server: server.clone(),
            expected,
        })
    }

    /// Whether the server of a choice is left alone for now, and was chosen for want of another.
    pub fn is_backed_off(&mut self, choice: &Choice, now: Time) -> bool {
        self.replicas
            .get(&choice.server.entry.id)
            .is_backed_off(now)
    }

    /// Whether a send to `server` that was decided earlier may still leave.
    ///
    /// What goes wrong without it: between the choice and the first byte a connection is opened or the
    /// processor is elsewhere, and news of an evacuation or of the server's leaving comes in.
    pub fn may_send(&self, server: &Server, now: Time) -> bool {
        let Some(view) = &self.view else {
            return false;
        };
        if view.evacuated.contains(&server.entry.domain) {
            return false;
        }
        let mut known = view
            .servers
            .get(&server.entry.service)
            .into_iter()
            .flatten();
        known
            .find(|known| known.entry.id == server.entry.id)
            .is_some_and(|known| known.last_resort_until.is_none_or(|at| now < at))
    }

    /// The request's fingerprint, if anything is to be remembered of it.
    pub(crate) fn tracked(&self, fingerprint: Option<Fingerprint>) -> Option<Fingerprint> {
        let switches = &self.options.switches;
        fingerprint.filter(|_| switches.is_on(Mechanism::Quarantine))
    }

    /// How a request that has just arrived is treated.
    pub fn admit(&mut self, fingerprint: Option<Fingerprint>, now: Time) -> Admission {
        match self.tracked(fingerprint) {
            Some(known) => self.quarantine.admit(&self.options.quarantine, known, now),
            None => Admission::Serve,
        }
    }

    /// What is held of a request.
    pub fn verdict(&self, fingerprint: Option<Fingerprint>, now: Time) -> Verdict {
        let known = self.tracked(fingerprint);
        known.map_or(Verdict::Clear, |known| self.quarantine.verdict(known, now))
    }

    /// Notes that `server` ended while it had the request, with no reply of another to it.
    pub fn server_ended(
        &mut self,
        fingerprint: Option<Fingerprint>,
        server: &Server,
        canary: bool,
        now: Time,
    ) {
        if let Some(known) = self.tracked(fingerprint) {
            let Entry {
                id,
                process_start_ms,
                ..
            } = &server.entry;
            let process = quarantine::process(id, *process_start_ms);
            let end = End { process, canary };
            let options = &self.options.quarantine;
            self.quarantine.ended(options, known, end, now);
        }
    }

    /// Takes in what another host holds of requests under which servers ended; says how much was new.
    pub fn merge_quarantine(&mut self, accounts: &[quarantine::Account], now: Time) -> usize {
        if !self.options.switches.is_on(Mechanism::Quarantine) {
            return 0;
        }
        self.quarantine
            .hear(&self.options.quarantine, accounts, now)
    }

    /// Forgets what is known of requests and led to nothing.
    pub fn expire_quarantine(&mut self, now: Time) {
        self.quarantine.expire(&self.options.quarantine, now);
    }

    /// Notes that a server ran the request and replied.
    pub fn server_answered(&mut self, fingerprint: Option<Fingerprint>, now: Time) {
        if let Some(known) = self.tracked(fingerprint) {
            self.quarantine
                .answered(&self.options.quarantine, known, now);
        }
    }

    /// Notes a send to a backend server.
    pub fn sent(&mut self, send_id: SendId, server: &Server, now: Time) {
        let replica = self.replicas.get(&server.entry.id);
        replica.sent(send_id, now);
        if server.cold_until > now {
            replica.sent_cold(now);
        }
    }

    /// Notes a whole reply and how long it took.
    pub fn replied(
        &mut self,
        send_id: SendId,
        server: &Server,
        route: &Route,
        took: Duration,
        now: Time,
        load: Option<Load>,
    ) {
        let mut times = self.reply_times(route);
        let slowness = took.as_secs_f64() / times.typical.as_secs_f64();
        times.record(took, self.options.hedge_quantile);
        self.reply_times.insert(route.name.clone(), times);
        let observation = Observation::Replied { slowness };
        self.ended(send_id, &server.entry.id, observation, now, load);
    }

    /// Notes how a send to a backend server ended otherwise.
    pub fn ended(
        &mut self,
        send_id: SendId,
        backend: &id::Backend,
        observation: Observation,
        now: Time,
        load: Option<Load>,
    ) {
        self.replicas
            .get(backend)
            .ended(send_id, now, observation, load);
    }
}
