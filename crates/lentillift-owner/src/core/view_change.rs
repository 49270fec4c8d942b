//! Effects of a new view of the fleet.

use super::Effect;
use super::Owner;
use crate::server::Server;
use lentillift_core::id;
use lentillift_core::sub::Failure;
use lentillift_core::time::Time;
use lentillift_fleet::view::View;
use lentillift_settings::policy::Policy;
use std::sync::Arc;

impl Owner {
    /// Applies a new view: refuses sub-requests whose server is no longer owned or in service, and
    /// removes servers that are no longer owned; one that returns later starts cold.
    pub(super) fn set_view(&mut self, now: Time, view: Arc<View>) -> Vec<Effect> {
        let same = view.generation > 0 && view.generation == self.view.generation;
        self.view = view;
        if same {
            return Vec::new();
        }
        self.config = self.view.values.config.clone();
        self.policy = self
            .config
            .as_ref()
            .map_or_else(Policy::default, |config| config.policy.clone());
        let mut effects = Vec::new();
        let names: Vec<id::Backend> = self.servers.keys().cloned().collect();
        for backend in names {
            effects.extend(self.update_server(now, &backend));
        }
        let backends = &self.view.backends;
        self.lease_states
            .retain(|backend, _| backends.contains_key(backend));
        self.last_ends.retain(|_, end| now < *end);
        let placements = &self.view.values.placements;
        self.costs
            .retain(|service, _| placements.contains_key(service));
        effects
    }

    fn update_server(&mut self, now: Time, backend: &id::Backend) -> Vec<Effect> {
        let owned = self.may_queue(backend);
        let known = self.view.backends.get(backend);
        let service = known.and_then(|known| {
            let config = self.config.as_ref()?;
            config.services.get(&known.service)
        });
        let Some(server) = self.servers.get_mut(backend) else {
            return Vec::new();
        };
        if let Some(service) = service {
            server.configure(&self.policy, service);
        }
        let mut effects = Vec::new();
        if !owned || service.is_none() || !self.view.in_service(backend) {
            // Whatever it was taken out of service for, it may return with empty caches.
            server.warmup.reset_to_cold(&self.policy.warmup);
            for waiting in server.queue.drain() {
                let failure = self.rejection(now, &waiting.sub);
                effects.push(self.refuse(now, waiting, failure.unwrap_or(Failure::NotOwner)));
            }
        }
        self.set_wake(backend);
        effects.extend(self.process_queue(now, backend));
        self.remove_if_lost(backend);
        effects
    }

    /// Removes a server that is no longer owned here, once none of its requests are in flight.
    pub(super) fn remove_if_lost(&mut self, backend: &id::Backend) {
        let owned = self.may_queue(backend);
        if !owned && self.servers.get(backend).is_some_and(Server::is_idle) {
            self.servers.remove(backend);
        }
    }
}
