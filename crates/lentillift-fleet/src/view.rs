//! What one process holds to be true of the fleet at a point in time.

use crate::guardian;
use lentillift_core::id;
use lentillift_settings::config::Config;
use lentillift_settings::placement::Placement;
use lentillift_settings::placement::Server;
use lentillift_settings::placement::State;
use lentillift_settings::roster::Roster;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
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

/// An immutable picture of the fleet, made anew at each change.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The values in force.
    pub values: Values,
    /// All backend servers by name.
    pub backends: HashMap<id::Backend, Backend>,
    /// Hosts that are held to be alive.
    pub alive: Vec<id::Host>,
}

impl View {
    /// Derives a view from the values in force and the hosts held to be alive.
    pub fn new(values: Values, alive: Vec<id::Host>) -> Self {
        let mut view = Self {
            values,
            backends: HashMap::new(),
            alive,
        };
        view.backends = view.place();
        view
    }

    /// All backend servers with their guardians and the hosts that should own them.
    fn place(&self) -> HashMap<id::Backend, Backend> {
        let able: HashSet<&id::Host> = self.alive.iter().filter(|h| !self.is_out(h)).collect();
        let mut backends = HashMap::new();
        for (service, placement) in &self.values.placements {
            for (name, server) in &placement.servers {
                let guardians = self.guardians(name, &server.domain);
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

    fn guardians(&self, backend: &str, domain: &id::Domain) -> Vec<id::Host> {
        let Some(roster) = &self.values.roster else {
            return Vec::new();
        };
        let mut guardians = guardian::choose(backend, roster);
        guardian::prefer(&mut guardians, roster, domain);
        guardians
    }

    /// Whether operators have taken a host, or its failure domain, out of service.
    pub fn is_out(&self, host: &id::Host) -> bool {
        let Some(config) = &self.values.config else {
            return false;
        };
        let roster = self.values.roster.as_ref();
        let entry = roster.and_then(|roster| roster.hosts.get(host));
        config.hosts_out.contains(host)
            || entry.is_some_and(|entry| config.domains_out.contains(&entry.domain))
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
