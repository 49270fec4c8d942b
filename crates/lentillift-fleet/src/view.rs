//! What one process holds to be true of the fleet at a point in time.

use crate::guardian;
use crate::rendezvous;
use crate::seen::Seen;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_settings::config::Config;
use lentillift_settings::placement::Placement;
use lentillift_settings::placement::Server;
use lentillift_settings::placement::State;
use lentillift_settings::roster::Roster;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// The values in force at this process.
#[derive(Debug, Clone, Default)]
pub struct Values {
    /// The configuration, once one has been accepted.
    pub config: Option<Arc<Config>>,
    /// The list of hosts, once one has been accepted.
    pub roster: Option<Arc<Roster>>,
    /// The placements of services.
    pub placements: BTreeMap<id::Service, Arc<Placement>>,
}

/// A backend server with its service and its owner.
#[derive(Debug, Clone)]
pub struct Backend {
    /// The service it belongs to.
    pub service: id::Service,
    /// What the platform publishes about it.
    pub server: Server,
    /// The hosts whose majority says who owns it, those that should own it first.
    pub guardians: Vec<id::Host>,
    /// The host that should own it: its first guardian that is alive and in service.
    pub owner: Option<id::Host>,
}

/// How far a host's process has come, as the process itself says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// It gathers what it must know before it takes work.
    Starting,
    /// It takes work.
    Serving,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It has ended.
    Gone,
}

/// What the other processes found out about a host by probing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// It answers, as far as anybody knows.
    Alive,
    /// It failed to answer and has not contradicted yet.
    Suspect,
    /// It failed to answer for longer than a live host would.
    Dead,
}

/// A host as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Where its process listens for the others, by TCP and UDP.
    pub address: SocketAddr,
    /// The failure domain it is in.
    pub domain: id::Domain,
    /// The region its failure domain is in.
    pub region: id::Region,
    /// The incarnation of its process; 0 as long as nobody has heard of it.
    pub incarnation: id::Incarnation,
    /// How far its process has come.
    pub stage: Stage,
    /// Whether it answers.
    pub health: Health,
    /// Whether operators have taken it or its failure domain out, or it is published as leaving.
    pub out: bool,
}

impl Host {
    /// Whether it may be given work.
    pub fn is_usable(&self) -> bool {
        self.stage == Stage::Serving && self.health != Health::Dead && !self.out
    }
}

/// An immutable picture of the fleet, made anew at each change; cloning it is cheap.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Seen", into = "Seen")]
pub struct View {
    /// Changes with everything but [`Self::fresh_until`].
    pub generation: u64,
    /// When this picture is too old to act on, unless it is renewed.
    ///
    /// A process that is paused or cut off stops renewing it. Who compares it with the clock at
    /// each act needs no message to learn of the pause.
    pub fresh_until: Time,
    /// The values in force.
    pub values: Arc<Values>,
    /// All backend servers by name.
    pub backends: Arc<HashMap<id::Backend, Backend>>,
    /// All hosts that are published or were heard of, this process's own included.
    pub hosts: Arc<BTreeMap<id::Host, Host>>,
    /// Hosts that may be given work, in the order of their names.
    // INVARIANT: When made by `derive`, the hosts of `hosts` for which `is_usable` holds.
    pub alive: Arc<[id::Host]>,
}

impl View {
    /// Derives a view that stays fresh from the values in force and the hosts held to be alive.
    pub fn new(values: Values, alive: Vec<id::Host>) -> Self {
        Self {
            generation: 0,
            fresh_until: Time::MAX,
            backends: Arc::new(backends(&values, &alive, None)),
            values: Arc::new(values),
            hosts: Arc::default(),
            alive: alive.into(),
        }
    }

    /// Derives a view from the values in force and all that is known of hosts.
    pub fn derive(
        generation: u64,
        fresh_until: Time,
        values: Values,
        hosts: BTreeMap<id::Host, Host>,
    ) -> Self {
        let usable = hosts.iter().filter(|(_, host)| host.is_usable());
        let alive = usable.map(|(name, _)| name.clone()).collect();
        Self {
            generation,
            fresh_until,
            hosts: Arc::new(hosts),
            ..Self::new(values, alive)
        }
    }

    /// Whether operators have taken a host, or its failure domain, out of service.
    pub fn is_out(&self, host: &id::Host) -> bool {
        is_out(&self.values, host)
    }

    /// Derives the view that follows this one, with new values if there are any.
    pub fn follow(&self, values: Option<&Values>, hosts: BTreeMap<id::Host, Host>) -> Self {
        let generation = self.generation + 1;
        // To choose owners costs backend servers times hosts; most changes of hosts, as from one
        // incarnation to the next, leave the choice as it is.
        if values.is_none() && usable(&hosts).eq(usable(&self.hosts)) {
            return Self {
                generation,
                hosts: Arc::new(hosts),
                ..self.clone()
            };
        }
        let values = values.unwrap_or(&self.values).clone();
        let alive: Vec<id::Host> = usable(&hosts).map(|(name, ..)| name.clone()).collect();
        Self {
            generation,
            fresh_until: self.fresh_until,
            backends: Arc::new(backends(&values, &alive, Some(self))),
            values: Arc::new(values),
            hosts: Arc::new(hosts),
            alive: alive.into(),
        }
    }

    /// The guardians of a backend server, if they are the same by `roster` as in this view.
    ///
    /// They rest on the published list and the failure domain alone. To weigh all hosts for each
    /// backend server again at every other change would keep the task that answers probes for half a
    /// second at the target size, and others would take the process for dead.
    fn kept_guardians(
        &self,
        roster: Option<&Arc<Roster>>,
        backend: &id::Backend,
        domain: &id::Domain,
    ) -> Option<Vec<id::Host>> {
        let old = self.values.roster.as_ref()?;
        let known = self.backends.get(backend)?;
        let same = Arc::ptr_eq(old, roster?) && known.server.domain == *domain;
        same.then(|| known.guardians.clone())
    }

    /// Whether the process may still act on this picture at `now`.
    pub fn is_fresh(&self, now: Time) -> bool {
        now < self.fresh_until
    }

    /// Whether new work may be sent to `backend`, as far as operators and the platform say.
    pub fn in_service(&self, backend: &str) -> bool {
        let Some(backend) = self.backends.get(backend) else {
            return false;
        };
        let out = self
            .values
            .config
            .as_ref()
            .is_some_and(|config| config.domains_out.contains(&backend.server.domain));
        backend.server.state == State::Live && !out
    }

    /// The host that owns `backend`.
    pub fn owner(&self, backend: &str) -> Option<&id::Host> {
        self.backends.get(backend)?.owner.as_ref()
    }
}

/// The hosts that may be given work, with all on which the choice among them may rest.
fn usable(
    hosts: &BTreeMap<id::Host, Host>,
) -> impl Iterator<Item = (&id::Host, &id::Domain, &id::Region)> {
    let usable = hosts.iter().filter(|(_, host)| host.is_usable());
    usable.map(|(name, host)| (name, &host.domain, &host.region))
}

fn backends(
    values: &Values,
    alive: &[id::Host],
    old: Option<&View>,
) -> HashMap<id::Backend, Backend> {
    let roster = values.roster.as_ref();
    let able = alive.iter().filter(|host| !is_out(values, host));
    let able: HashSet<&id::Host> = able.collect();
    let mut backends = HashMap::new();
    for (service, placement) in &values.placements {
        for (name, server) in &placement.servers {
            let kept = old.and_then(|old| old.kept_guardians(roster, name, &server.domain));
            let guardians = kept.unwrap_or_else(|| guardians(values, alive, name, &server.domain));
            let backend = Backend {
                service: service.clone(),
                server: server.clone(),
                owner: guardians.iter().find(|host| able.contains(host)).cloned(),
                guardians,
            };
            backends.insert(name.clone(), backend);
        }
    }
    backends
}

/// The guardians of a backend server; without a published list, one of the hosts known otherwise.
fn guardians(
    values: &Values,
    alive: &[id::Host],
    backend: &str,
    domain: &id::Domain,
) -> Vec<id::Host> {
    let Some(roster) = &values.roster else {
        let chosen = rendezvous::choose(backend, alive);
        return chosen.cloned().into_iter().collect();
    };
    let mut guardians = guardian::choose(backend, domain, roster);
    guardian::prefer(&mut guardians, roster, domain);
    guardians
}

fn is_out(values: &Values, host: &id::Host) -> bool {
    let Some(config) = &values.config else {
        return false;
    };
    let entry = values.roster.as_ref().and_then(|list| list.hosts.get(host));
    config.hosts_out.contains(host)
        || entry.is_some_and(|entry| config.domains_out.contains(&entry.domain))
}
