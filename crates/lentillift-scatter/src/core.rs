//! What all requests of a host share: the picture they are served by, what is known of backend
//! servers, budgets, and how long replies take.

use crate::book::Around;
use crate::book::Book;
use crate::budget;
use crate::caller::Usual;
use crate::config::Route;
use crate::host::Hosts;
use crate::ledger::Ledger;
use crate::ledger::Purpose;
use crate::limit;
use crate::loss::Loss;
use crate::quantile;
use crate::replica::Load;
use crate::replica::Number;
use crate::replica::Sign;
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
    pub patience: u32,
    /// Quantile of reply times after which another replica is asked.
    pub hedge_quantile: f64,
    /// Largest part of the objective after which another replica is asked.
    pub hedge_by: f64,
    /// Whether other hosts are asked for shards that have no replica in this failure domain.
    pub branches: bool,
    /// Shards that one host asks for by itself in one search; others are asked for the rest.
    ///
    /// A host sends and reads one after the other, so a search of many shards takes as long as its
    /// slowest host is busy with it.
    pub direct: usize,
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
            patience: 2,
            hedge_quantile: 0.95,
            hedge_by: 0.35,
            branches: true,
            direct: 32,
            quarantine: quarantine::Options::default(),
            switches: Switches::default(),
        }
    }
}

/// Part of the objective that a reply is held to take before any was seen.
const FIRST_TYPICAL: f64 = 0.12;

/// Reply times of one route's sends.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Median.
    pub typical: Duration,
    /// The quantile after which another replica is asked.
    pub late: Duration,
}

impl Pace {
    fn first(objective: Duration) -> Self {
        let typical = objective.mul_f64(FIRST_TYPICAL);
        Self {
            typical,
            late: typical * 2,
        }
    }

    /// Takes in a reply time, moving each quantile by a step for its side.
    fn note(&mut self, took: Duration, quantile: f64) {
        self.typical = quantile::step(self.typical, took, 0.5);
        self.late = quantile::step(self.late, took, quantile).max(self.typical);
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
        let late = late.min(MOST_LAG);
        self.mean = self.mean.mul_f64(1.0 - LAG_WEIGHT) + late.mul_f64(LAG_WEIGHT);
    }

    /// What a timer is to be set earlier by.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}

/// Most that one timer counts; a process that stood still for seconds is no slower afterwards.
const MOST_LAG: Duration = Duration::from_millis(50);

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
    pub ticket: u64,
    /// What is known of backend servers.
    pub book: Book,
    /// Other hosts.
    pub hosts: Hosts,
    /// Shards that other hosts were asked for in vain.
    pub loss: Loss,
    /// Requests under which backend servers ended.
    pub quarantine: quarantine::Table,
    /// How far away callers are that have not told.
    pub callers: Usual,
    /// How late this host's timers fire.
    pub lag: Lag,
    ledger: Ledger,
    /// Longest time that callers of each route said they would wait.
    patience: HashMap<Arc<str>, Duration>,
    paces: HashMap<Arc<str>, Pace>,
    next: Number,
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
            ticket: rendezvous::weight("ticket", &name),
            name,
            domain,
            share,
            view: None,
            book: Book::default(),
            hosts: Hosts::default(),
            loss: Loss::default(),
            quarantine: quarantine::Table::default(),
            callers: Usual::default(),
            lag: Lag::default(),
            ledger: Ledger::default(),
            patience: HashMap::new(),
            paces: HashMap::new(),
            next: 0,
        }
    }

    /// Serves requests that arrive from now on by `view`.
    pub fn adopt(&mut self, view: View) {
        let servers = view.servers.values().flatten();
        let known: HashSet<_> = servers.map(|s| s.entry.id.clone()).collect();
        self.book.retain(|backend| known.contains(backend));
        self.ledger.retain(|service| {
            view.config.services.contains_key(service) || view.servers.contains_key(service)
        });
        let routes: HashSet<Arc<str>> = view.config.routes().map(|r| r.name.clone()).collect();
        self.paces.retain(|route, _| routes.contains(route));
        self.patience.retain(|route, _| routes.contains(route));
        self.view = Some(Arc::new(view));
    }

    /// A number for the next send.
    pub fn number(&mut self) -> Number {
        self.next += 1;
        self.next
    }

    /// Reply times of the route's sends.
    pub fn pace(&mut self, route: &Route) -> Pace {
        let first = || Pace::first(route.objective);
        match self.paces.get(&route.name) {
            Some(pace) => *pace,
            None => *self.paces.entry(route.name.clone()).or_insert_with(first),
        }
    }

    /// Time that a caller with `left` to wait has already spent, on a first connection or the like.
    ///
    /// Callers of a route say the same when they have spent nothing, so what is less than the most is
    /// time spent. More than an objective is a caller of another kind, or one that comes again, and
    /// nothing is gained by hurrying.
    pub fn spent(&mut self, route: &Route, left: Duration) -> Duration {
        let most = match self.patience.get_mut(&route.name) {
            Some(most) => most,
            None => self.patience.entry(route.name.clone()).or_insert(left),
        };
        *most = left.max(*most);
        let spent = most.saturating_sub(left);
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
    pub fn trusts_hosts(&self, now: Time) -> bool {
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
        let mut around = Around {
            now,
            domain: &self.domain,
            share: &self.share,
            typical,
            connections: bounds.map_or(1, |bounds| bounds.connections),
            cold_rate: bounds.and_then(|bounds| bounds.cold_rate),
            cold: self.options.cold,
            ticket: self.ticket,
            desperate: false,
        };
        let may = |server: &&Arc<Server>| {
            !latest.evacuated.contains(&server.entry.domain) && allows(server)
        };
        let ready = |server: &&Arc<Server>| server.last_resort_until.is_none();
        let last = |server: &&Arc<Server>| server.last_resort_until.is_some_and(|at| now < at);
        let book = &mut self.book;
        let mut best = book.choose(&around, servers.iter().filter(may).filter(ready));
        if best.is_none() && self.options.switches.is_on(Mechanism::LastResort) {
            best = book.choose(&around, servers.iter().filter(may).filter(last));
        }
        if best.is_none() {
            // All are left alone for a while. One request at a time finds out whether one is back.
            around.desperate = true;
            best = book.choose(&around, servers.iter().filter(may).filter(ready));
        }
        best.map(|(server, expected)| Choice {
            server: server.clone(),
            expected,
        })
    }

    /// Whether the server of a choice is left alone for now, and was chosen for want of another.
    pub fn is_down(&mut self, choice: &Choice, now: Time) -> bool {
        self.book.get(&choice.server.entry.id).is_down(now)
    }

    /// Whether a send to `server` that was decided earlier may still leave.
    ///
    /// What goes wrong without it: between the choice and the first byte a connection is opened or the
    /// processor is elsewhere, and news of an evacuation or of the server's leaving comes in.
    pub fn may_leave(&self, server: &Server, now: Time) -> bool {
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
    pub(crate) fn remembers(&self, fingerprint: Option<Fingerprint>) -> Option<Fingerprint> {
        let switches = &self.options.switches;
        fingerprint.filter(|_| switches.is_on(Mechanism::Quarantine))
    }

    /// How a request that has just arrived is treated.
    pub fn admit(&mut self, fingerprint: Option<Fingerprint>, now: Time) -> Admission {
        match self.remembers(fingerprint) {
            Some(known) => self.quarantine.admit(&self.options.quarantine, known, now),
            None => Admission::Serve,
        }
    }

    /// What is held of a request.
    pub fn verdict(&self, fingerprint: Option<Fingerprint>, now: Time) -> Verdict {
        let known = self.remembers(fingerprint);
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
        if let Some(known) = self.remembers(fingerprint) {
            let Entry { id, born, .. } = &server.entry;
            let process = quarantine::process_id(id, *born);
            let end = End { process, canary };
            let options = &self.options.quarantine;
            self.quarantine.record_end(options, known, end, now);
        }
    }

    /// Takes in what another host holds of requests under which servers ended; says how much was new.
    pub fn hear(&mut self, accounts: &[quarantine::SharedRecord], now: Time) -> usize {
        if !self.options.switches.is_on(Mechanism::Quarantine) {
            return 0;
        }
        self.quarantine
            .merge(&self.options.quarantine, accounts, now)
    }

    /// Forgets what is known of requests and led to nothing.
    pub fn forget(&mut self, now: Time) {
        self.quarantine.expire(&self.options.quarantine, now);
    }

    /// Notes that a server ran the request and replied.
    pub fn server_answered(&mut self, fingerprint: Option<Fingerprint>, now: Time) {
        if let Some(known) = self.remembers(fingerprint) {
            self.quarantine
                .record_reply(&self.options.quarantine, known, now);
        }
    }

    /// Notes a send to a backend server.
    pub fn sent(&mut self, number: Number, server: &Server, now: Time) {
        let replica = self.book.get(&server.entry.id);
        replica.sent(number, now);
        if server.cold_until > now {
            replica.sent_cold(now);
        }
    }

    /// Notes a whole reply and how long it took.
    pub fn replied(
        &mut self,
        number: Number,
        server: &Server,
        route: &Route,
        took: Duration,
        now: Time,
        load: Option<Load>,
    ) {
        let mut pace = self.pace(route);
        let slowness = took.as_secs_f64() / pace.typical.as_secs_f64();
        pace.note(took, self.options.hedge_quantile);
        self.paces.insert(route.name.clone(), pace);
        let sign = Sign::Replied { slowness };
        self.ended(number, &server.entry.id, sign, now, load);
    }

    /// Notes how a send to a backend server ended otherwise.
    pub fn ended(
        &mut self,
        number: Number,
        backend: &id::Backend,
        sign: Sign,
        now: Time,
        load: Option<Load>,
    ) {
        self.book.get(backend).ended(number, now, sign, load);
    }
}
