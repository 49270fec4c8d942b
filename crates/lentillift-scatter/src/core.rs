//! State that all requests of a host share: the view they are served from, what is known of backend
//! servers, the budgets, and reply times.

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

/// Parameters of how requests are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Limits on repeated sends.
    pub budget: budget::Options,
    /// Limits on requests to cold backend servers.
    pub cold: limit::Cold,
    /// Time by which an answer has to leave this host before the objective, beyond the round trip
    /// to its caller: for merging, writing, and one poll of a busy process.
    pub margin: Duration,
    /// Number of objectives for which a backend server may work on a shard's part.
    ///
    /// A longer reply is too late for its caller, and occupies a slot that other requests wait for.
    pub shard_timeout_objectives: u32,
    /// Quantile of the reply times after which another replica is tried.
    pub hedge_quantile: f64,
    /// Maximum fraction of the objective after which another replica is tried.
    pub max_hedge_fraction: f64,
    /// Whether other hosts are asked for shards that have no replica in this failure domain.
    pub branches: bool,
    /// Maximum number of shards that one host asks for directly in one search; the rest go through
    /// other hosts.
    ///
    /// A host sends and reads sequentially, so a search of many shards takes as long as its slowest
    /// host is busy with it.
    pub max_direct: usize,
    /// Parameters of the quarantine.
    pub quarantine: quarantine::Options,
    /// Mechanisms that an operator has switched off.
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

/// Fraction of the objective that is assumed as the typical reply time before any reply was seen.
const INITIAL_TYPICAL_FRACTION: f64 = 0.12;

/// Estimated reply times of one route's sends.
#[derive(Debug, Clone, Copy)]
pub struct ReplyTimes {
    /// Median reply time.
    pub typical: Duration,
    /// Quantile of the reply times after which another replica is tried.
    pub hedge_delay: Duration,
}

impl ReplyTimes {
    /// Returns the estimate before any reply was seen.
    fn initial(objective: Duration) -> Self {
        let typical = objective.mul_f64(INITIAL_TYPICAL_FRACTION);
        Self {
            typical,
            hedge_delay: typical * 2,
        }
    }

    /// Adds a reply time, moving each quantile by one step.
    fn record(&mut self, took: Duration, quantile: f64) {
        self.typical = quantile::step(self.typical, took, 0.5);
        self.hedge_delay = quantile::step(self.hedge_delay, took, quantile).max(self.typical);
    }
}

/// Weight of one timer in the moving average of the lag.
const LAG_WEIGHT: f64 = 0.05;

/// How late this host's timers fire on average, because its processor is busy or preempted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lag {
    mean: Duration,
}

impl Lag {
    /// Adds a timer that fired `late`.
    pub fn note(&mut self, late: Duration) {
        let late = late.min(MAX_LAG_SAMPLE);
        self.mean = self.mean.mul_f64(1.0 - LAG_WEIGHT) + late.mul_f64(LAG_WEIGHT);
    }

    /// Returns the average lag, by which timers should be set earlier.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}

/// Maximum lag that one timer counts for; a process that was stopped for seconds is no slower
/// afterwards.
const MAX_LAG_SAMPLE: Duration = Duration::from_millis(50);

/// State that all requests of a host share.
#[derive(Debug)]
pub struct Core {
    /// Parameters of how requests are served.
    pub options: Options,
    /// This host's name.
    pub name: id::Host,
    /// This host's failure domain.
    pub domain: id::Domain,
    /// This host's share of fleet-wide limits.
    pub share: Share,
    /// The latest view; none before the first.
    pub view: Option<Arc<View>>,
    /// A hash of the host's name, which differs between hosts.
    pub host_hash: u64,
    /// State of each backend server.
    pub replicas: ReplicaTable,
    /// The other hosts.
    pub hosts: Hosts,
    /// Recent loss of shards that other hosts were asked for.
    pub loss: Loss,
    /// Requests during which backend servers ended.
    pub quarantine: quarantine::Table,
    /// Round trip that is assumed for callers without a measurement.
    pub caller_rtt: DefaultRtt,
    /// How late this host's timers fire.
    pub lag: Lag,
    ledger: Ledger,
    /// Longest waiting time that callers of each route announced.
    longest_wait: HashMap<Arc<str>, Duration>,
    reply_times: HashMap<Arc<str>, ReplyTimes>,
    last_send_id: SendId,
}

/// A replica to send to.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The backend server.
    pub server: Arc<Server>,
    /// Expected time until its reply.
    pub expected: Duration,
}

impl Core {
    /// Creates the state of a new process: no view, no estimates.
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

    /// Makes `view` the latest view and drops state of servers, services and routes that it lacks.
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

    /// Returns the id of the next send.
    pub fn next_send_id(&mut self) -> SendId {
        self.last_send_id += 1;
        self.last_send_id
    }

    /// Returns the estimated reply times of the route.
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

    /// Returns the time that a caller with `left` to wait has already spent, e.g. on opening a
    /// connection.
    ///
    /// Callers of a route announce the same time when they have spent none of it, so the difference
    /// from the longest time is what was spent. More than half an objective means another kind of
    /// caller, or one that retries; hurrying would gain nothing there.
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

    /// Counts the first send of a request to a service towards the budget.
    pub fn earn(&mut self, service: &id::Service, now: Time) {
        self.ledger.earn(&self.options.budget, service, now);
    }

    /// Whether other hosts lose no more shards than repeats can make up for.
    pub fn may_use_branches(&self, now: Time) -> bool {
        let switch = self.options.switches.is_on(Mechanism::Loss);
        !switch || self.loss.share(now) <= self.options.budget.ratio
    }

    /// Takes a repeated send from the budget; false if the budget denies it.
    pub fn spend(&mut self, service: &id::Service, now: Time, purpose: Purpose) -> bool {
        let Options {
            budget, switches, ..
        } = &self.options;
        // Without the reserve every repeat counts as one that an answer depends on.
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

    /// Returns a repeated send that never reached a backend server to the budget.
    pub fn refund(&mut self, service: &id::Service, now: Time) {
        self.ledger.refund(&self.options.budget, service, now);
    }

    /// Returns the repeated sends that the budgets of all services together still allow.
    pub fn budget_left(&mut self, now: Time) -> f64 {
        self.ledger.left(&self.options.budget, &self.share, now)
    }

    /// Returns the best backend server of `service` among those that `allows` accepts.
    ///
    /// Limits come from `view`, but servers from the latest view only: a request that waited must
    /// not go to a failure domain that was evacuated, or to a server that left, after the request
    /// arrived.
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
        let limits = view.config.services.get(service);
        let mut context = ChoiceContext {
            now,
            domain: &self.domain,
            share: &self.share,
            typical,
            connections: limits.map_or(1, |limits| limits.connections),
            cold_rate: limits.and_then(|limits| limits.cold_rate),
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
            // All are backed off. One request at a time finds out whether one has recovered.
            context.includes_backed_off = true;
            best = replicas.choose(&context, servers.iter().filter(is_allowed).filter(is_ready));
        }
        best.map(|(server, expected)| Choice {
            server: server.clone(),
            expected,
        })
    }

    /// Whether the chosen server is backed off, and was chosen only for lack of another.
    pub fn is_backed_off(&mut self, choice: &Choice, now: Time) -> bool {
        self.replicas
            .get(&choice.server.entry.id)
            .is_backed_off(now)
    }

    /// Whether a send to `server` that was decided earlier may still be made.
    ///
    /// Between the choice and the first byte a connection is opened, or the process waits for a
    /// processor. Meanwhile an update may announce an evacuation, or that the server is leaving.
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

    /// Returns the request's fingerprint unless quarantine is switched off.
    pub(crate) fn tracked(&self, fingerprint: Option<Fingerprint>) -> Option<Fingerprint> {
        let switches = &self.options.switches;
        fingerprint.filter(|_| switches.is_on(Mechanism::Quarantine))
    }

    /// Returns how to treat a request that has just arrived.
    pub fn admit(&mut self, fingerprint: Option<Fingerprint>, now: Time) -> Admission {
        match self.tracked(fingerprint) {
            Some(known) => self.quarantine.admit(&self.options.quarantine, known, now),
            None => Admission::Serve,
        }
    }

    /// Returns the quarantine verdict on a request.
    pub fn verdict(&self, fingerprint: Option<Fingerprint>, now: Time) -> Verdict {
        let known = self.tracked(fingerprint);
        known.map_or(Verdict::Clear, |known| self.quarantine.verdict(known, now))
    }

    /// Records that `server` ended while it had the request and no other server had replied to it.
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
            let process = quarantine::process_id(id, *process_start_ms);
            let end = End { process, canary };
            let options = &self.options.quarantine;
            self.quarantine.record_end(options, known, end, now);
        }
    }

    /// Merges another host's quarantine records; returns how many were new.
    pub fn merge_quarantine(&mut self, accounts: &[quarantine::SharedRecord], now: Time) -> usize {
        if !self.options.switches.is_on(Mechanism::Quarantine) {
            return 0;
        }
        self.quarantine
            .merge(&self.options.quarantine, accounts, now)
    }

    /// Drops quarantine records that have expired.
    pub fn expire_quarantine(&mut self, now: Time) {
        self.quarantine.expire(&self.options.quarantine, now);
    }

    /// Records that a server ran the request and replied.
    pub fn server_answered(&mut self, fingerprint: Option<Fingerprint>, now: Time) {
        if let Some(known) = self.tracked(fingerprint) {
            self.quarantine
                .record_reply(&self.options.quarantine, known, now);
        }
    }

    /// Records a send to a backend server.
    pub fn sent(&mut self, send_id: SendId, server: &Server, now: Time) {
        let replica = self.replicas.get(&server.entry.id);
        replica.sent(send_id, now);
        if server.cold_until > now {
            replica.sent_cold(now);
        }
    }

    /// Records a complete reply and how long it took.
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

    /// Records any other end of a send to a backend server.
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
