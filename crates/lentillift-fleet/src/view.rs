//! Immutable snapshot of the fleet as one process knows it.

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
    /// The configuration, once one is in force.
    pub config: Option<Arc<Config>>,
    /// The list of hosts, once one is in force.
    pub roster: Option<Arc<Roster>>,
    /// Placements of the services.
    pub placements: BTreeMap<id::Service, Arc<Placement>>,
}

/// A backend server with its service and its owner.
#[derive(Debug, Clone)]
pub struct Backend {
    /// The service it belongs to.
    pub service: id::Service,
    /// Entry in the service's published placement.
    pub server: Server,
    /// The hosts whose majority decides who owns it, those that should own it first.
    pub guardians: Vec<id::Host>,
    /// The host that should own it: its first guardian that is alive and in service.
    pub owner: Option<id::Host>,
}

/// Lifecycle stage of a host's process, as the process itself announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// It collects the state that it needs before it accepts work.
    Starting,
    /// It accepts work.
    Serving,
    /// It finishes its work and accepts nothing new.
    Leaving,
    /// It has ended.
    Gone,
}

/// Health of a host as found by other processes that probe it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// It answers, as far as is known.
    Alive,
    /// It failed to answer and has not refuted the suspicion yet.
    Suspect,
    /// It failed to answer for longer than a live host would.
    Dead,
}

/// A host as this process knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Address at which its process listens for other processes, by TCP and UDP.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: id::Domain,
    /// Region of its failure domain.
    pub region: id::Region,
    /// Incarnation of its process; 0 until something has been heard of it.
    pub incarnation: id::Incarnation,
    /// Lifecycle stage of its process.
    pub stage: Stage,
    /// Result of probing the host.
    pub health: Health,
    /// Whether operators have taken the host or its failure domain out of service, or it is
    /// published as leaving.
    pub out: bool,
}

impl Host {
    /// Whether it may be given work.
    pub fn is_usable(&self) -> bool {
        self.stage == Stage::Serving && self.health != Health::Dead && !self.out
    }
}

/// Immutable snapshot of the fleet, replaced at each change; cheap to clone.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Seen", into = "Seen")]
pub struct View {
    /// Changes with every part of the view except [`Self::fresh_until`]; 0 for a view made by
    /// [`Self::new`].
    pub generation: u64,
    /// Time from which the view is too old to act on, unless it is renewed.
    ///
    /// A process that is paused or cut off stops renewing it. Code that compares it with the clock
    /// before each action needs no message to learn of the pause.
    pub fresh_until: Time,
    /// The values in force.
    pub values: Arc<Values>,
    /// All backend servers by name.
    pub backends: Arc<HashMap<id::Backend, Backend>>,
    /// All hosts that are published or were heard of, this one included.
    pub hosts: Arc<BTreeMap<id::Host, Host>>,
    /// Hosts that may be given work, in order of name.
    // INVARIANT: When made by `derive`, the hosts of `hosts` for which `is_usable` holds.
    pub alive: Arc<[id::Host]>,
}

impl View {
    /// Derives a view that never expires from the values in force and the hosts considered alive.
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

    /// Derives a view from the values in force and the state of all known hosts.
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

    /// Derives the next view, with new values if there are any.
    pub fn updated(&self, values: Option<&Values>, hosts: BTreeMap<id::Host, Host>) -> Self {
        let generation = self.generation + 1;
        // Choosing owners costs backend servers times hosts; most changes of hosts, such as a new
        // incarnation, leave the choice unchanged.
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

    /// The guardians of a backend server, if they are the same under `roster` as in this view.
    ///
    /// They depend only on the published list and the failure domain. Weighing all hosts again for
    /// each backend server at every other change would block the task that answers probes for half
    /// a second at the target size, and others would consider the process dead.
    fn unchanged_guardians(
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

    /// Whether the process may still act on this view at `now`.
    pub fn is_fresh(&self, now: Time) -> bool {
        now < self.fresh_until
    }

    /// Whether operators and the platform allow new work to be sent to `backend`.
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

    /// The host that should own `backend`.
    pub fn owner(&self, backend: &str) -> Option<&id::Host> {
        self.backends.get(backend)?.owner.as_ref()
    }
}

/// The hosts that may be given work, with every property that the choice among them may depend on.
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
            let unchanged =
                old.and_then(|old| old.unchanged_guardians(roster, name, &server.domain));
            let guardians =
                unchanged.unwrap_or_else(|| guardians(values, alive, name, &server.domain));
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
    guardian::prefer_domain(&mut guardians, roster, domain);
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
