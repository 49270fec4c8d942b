//! Faults that a load run injects into the configuration service and the backend servers.

use crate::backend::cold_until;
use crate::world::RunningWorld;
use lentillift_core::id;
use lentillift_settings::placement::State;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// A fault, or the end of one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", deny_unknown_fields)]
pub enum Fault {
    /// Service times of a backend server are multiplied by `factor`; 1 ends the fault.
    Slow {
        /// The backend server.
        backend: id::Backend,
        /// Factor by which service times are multiplied.
        factor: u32,
    },
    /// A backend server accepts requests but never replies.
    Hang {
        /// The backend server.
        backend: id::Backend,
    },
    /// Ends [`Fault::Slow`], [`Fault::Hang`] and [`Fault::Lie`] at a backend server.
    Heal {
        /// The backend server.
        backend: id::Backend,
    },
    /// A backend server begins a cold start, and reports it or not.
    Cold {
        /// The backend server.
        backend: id::Backend,
        /// Duration of the cold start, in milliseconds.
        ms: u64,
        /// Whether it reports `ready` in spite of the cold start.
        unsaid: bool,
    },
    /// A backend server reports a wrong load.
    Lie {
        /// The backend server.
        backend: id::Backend,
        /// Load that it reports in place of the true one.
        load: f64,
    },
    /// A backend server is published as leaving.
    Leave {
        /// Service of the backend server.
        service: id::Service,
        /// The backend server.
        backend: id::Backend,
    },
    /// Operators take a failure domain out of service.
    DomainOut {
        /// The failure domain.
        domain: id::Domain,
    },
    /// Operators return a failure domain to service; its backend servers begin a cold start.
    DomainIn {
        /// The failure domain.
        domain: id::Domain,
    },
    /// A new snapshot is published. Of the older ones only the newest stays published.
    Snapshot {
        /// Service whose snapshot is replaced.
        service: id::Service,
    },
    /// Changes nothing here. The load run's report shows a mark, for a step that the load run does
    /// itself.
    Mark {
        /// Text of the mark.
        text: String,
    },
}

/// Duration of the cold start of the backend servers in a failure domain that returns to service.
const RETURN_COLD_TIME: Duration = Duration::from_secs(2);

impl Fault {
    /// Applies the fault to the running stand-ins.
    ///
    /// # Errors
    ///
    /// Names the service or backend server that does not exist.
    pub fn apply(&self, running: &mut RunningWorld) -> Result<(), String> {
        match self {
            Self::Slow { backend, factor } => {
                running.change_backend(backend, |b| b.factor = *factor)
            }
            Self::Hang { backend } => running.change_backend(backend, |b| b.hung = true),
            Self::Heal { backend } => running.change_backend(backend, |b| {
                b.hung = false;
                b.factor = 1;
                b.reported_load = None;
            }),
            Self::Cold {
                backend,
                ms,
                unsaid,
            } => running.change_backend(backend, |b| {
                b.cold_time = Duration::from_millis(*ms);
                b.cold_until = cold_until(b.cold_time);
                b.hides_cold = *unsaid;
            }),
            Self::Lie { backend, load } => {
                running.change_backend(backend, |b| b.reported_load = Some(*load))
            }
            Self::Leave { service, backend } => {
                let is_found = running.update_placement(service, |placement| {
                    if let Some(server) = placement.servers.get_mut(backend) {
                        server.state = State::Leaving;
                    }
                });
                is_found
                    .then_some(())
                    .ok_or(format!("no service {service}"))
            }
            Self::DomainOut { domain } => {
                running.update_config(|config| {
                    config.domains_out.insert(domain.clone());
                });
                Ok(())
            }
            Self::DomainIn { domain } => {
                running.start_cold_in_domain(domain);
                running.update_config(|config| {
                    config.domains_out.remove(domain);
                });
                Ok(())
            }
            Self::Snapshot { service } => {
                running.publish_next_snapshot(service);
                Ok(())
            }
            Self::Mark { .. } => Ok(()),
        }
    }
}

impl RunningWorld {
    fn change_backend(
        &self,
        backend: &id::Backend,
        change: impl FnOnce(&mut crate::behavior::Behavior),
    ) -> Result<(), String> {
        let target = self.backends.get(backend);
        let target = target.ok_or_else(|| format!("no backend server {backend}"))?;
        target.set(change);
        Ok(())
    }

    fn start_cold_in_domain(&self, domain: &id::Domain) {
        for backend in self.backends_in_domain(domain) {
            backend.set(|b| {
                b.cold_time = RETURN_COLD_TIME;
                b.cold_until = cold_until(RETURN_COLD_TIME);
            });
        }
    }
}
