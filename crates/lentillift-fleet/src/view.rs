//! What one process holds to be true of the fleet at a point in time.

use crate::rendezvous;
use crate::seen::Seen;
use lentillift_core::id;
use lentillift_settings::config::Config;
use lentillift_settings::placement::Placement;
use lentillift_settings::placement::Server;
use lentillift_settings::placement::State;
use lentillift_settings::roster::Roster;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::HashMap;
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
    /// The host that owns it, if any host is alive.
    pub owner: Option<id::Host>,
}

/// An immutable picture of the fleet, made anew at each change.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Seen", into = "Seen")]
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
        let mut backends = HashMap::new();
        for (service, placement) in &values.placements {
            for (name, server) in &placement.servers {
                let backend = Backend {
                    service: service.clone(),
                    server: server.clone(),
                    owner: rendezvous::choose(name, &alive).cloned(),
                };
                backends.insert(name.clone(), backend);
            }
        }
        Self {
            values,
            backends,
            alive,
        }
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
