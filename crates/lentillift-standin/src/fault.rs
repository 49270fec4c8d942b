//! Faults that a load run brings about on the platform's side.

use crate::backend::cold_for;
use crate::world::Running;
use lentillift_core::id;
use lentillift_settings::placement::State;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// A fault, or its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", deny_unknown_fields)]
pub enum Fault {
    /// A backend server takes `factor` times as long; 1 ends it.
    Slow {
        /// The backend server.
        backend: id::Backend,
        /// How many times as long it takes.
        factor: u32,
    },
    /// A backend server takes requests and never answers.
    Hang {
        /// The backend server.
        backend: id::Backend,
    },
    /// A backend server answers again.
    Heal {
        /// The backend server.
        backend: id::Backend,
    },
    /// A backend server is in a cold start, and says so or not.
    Cold {
        /// The backend server.
        backend: id::Backend,
        /// How long the cold start lasts, in milliseconds.
        ms: u64,
        /// Whether it keeps that to itself.
        unsaid: bool,
    },
    /// A backend server reports a load that is not the true one.
    Lie {
        /// The backend server.
        backend: id::Backend,
        /// The load that it reports.
        load: f64,
    },
    /// A backend server is published as leaving.
    Leave {
        /// Its service.
        service: id::Service,
        /// The backend server.
        backend: id::Backend,
    },
    /// Operators take a failure domain out of service.
    DomainOut {
        /// The failure domain.
        domain: id::Domain,
    },
    /// Operators take a failure domain back into service; its backend servers are cold.
    DomainIn {
        /// The failure domain.
        domain: id::Domain,
    },
    /// A new snapshot is published and the one before the last is dropped.
    Snapshot {
        /// The service.
        service: id::Service,
    },
    /// Nothing changes here; the report gets a mark, for what the script does by itself.
    Mark {
        /// What the mark says.
        text: String,
    },
}

/// How long the backend servers of a returning failure domain are cold.
const RETURN_COLD: Duration = Duration::from_secs(2);

impl Fault {
    /// Brings the fault about.
    ///
    /// # Errors
    ///
    /// Names what does not exist.
    pub fn apply(&self, running: &mut Running) -> Result<(), String> {
        match self {
            Self::Slow { backend, factor } => running.set(backend, |b| b.factor = *factor),
            Self::Hang { backend } => running.set(backend, |b| b.hung = true),
            Self::Heal { backend } => running.set(backend, |b| {
                b.hung = false;
                b.factor = 1;
                b.reported_load = None;
            }),
            Self::Cold {
                backend,
                ms,
                unsaid,
            } => running.set(backend, |b| {
                b.cold_time = Duration::from_millis(*ms);
                b.cold_until = cold_for(b.cold_time);
                b.cold_unsaid = *unsaid;
            }),
            Self::Lie { backend, load } => running.set(backend, |b| b.reported_load = Some(*load)),
            Self::Leave { service, backend } => {
                let placed = running.place(service, |placement| {
                    if let Some(server) = placement.servers.get_mut(backend) {
                        server.state = State::Leaving;
                    }
                });
                placed.then_some(()).ok_or(format!("no service {service}"))
            }
            Self::DomainOut { domain } => {
                running.revise(|config| {
                    config.domains_out.insert(domain.clone());
                });
                Ok(())
            }
            Self::DomainIn { domain } => {
                running.chill_domain(domain);
                running.revise(|config| {
                    config.domains_out.remove(domain);
                });
                Ok(())
            }
            Self::Snapshot { service } => {
                running.next_snapshot(service);
                Ok(())
            }
            Self::Mark { .. } => Ok(()),
        }
    }
}

impl Running {
    fn set(
        &self,
        backend: &id::Backend,
        change: impl FnOnce(&mut crate::behavior::Behavior),
    ) -> Result<(), String> {
        let found = self.backends.get(backend);
        let found = found.ok_or_else(|| format!("no backend server {backend}"))?;
        found.set(change);
        Ok(())
    }

    fn chill_domain(&self, domain: &id::Domain) {
        for backend in self.in_domain(domain) {
            backend.set(|b| {
                b.cold_time = RETURN_COLD;
                b.cold_until = cold_for(RETURN_COLD);
            });
        }
    }
}
