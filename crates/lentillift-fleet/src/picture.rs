//! Derives the view from membership and the published values.

use crate::core::Fleet;
use crate::member::Member;
use crate::view::Host;
use crate::view::View;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_settings::placement::State;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Period at which an otherwise unchanged view is renewed.
///
/// Often enough that its deadline stays far away in normal operation.
const RENEWAL: Duration = Duration::from_millis(250);

/// The latest view and what has changed since.
#[derive(Debug, Default)]
pub(crate) struct Picture {
    view: Arc<View>,
    hosts: bool,
    values: bool,
    drawn: Time,
}

impl Picture {
    /// The latest view.
    pub(crate) fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Marks the view as outdated after a change of a host.
    pub(crate) fn touch_hosts(&mut self) {
        self.hosts = true;
    }

    /// Marks the view as outdated after a change of a value, which may also put hosts in or out of
    /// service.
    pub(crate) fn touch_values(&mut self) {
        self.hosts = true;
        self.values = true;
    }
}

impl<R> Fleet<R> {
    /// Rebuilds the view if something in it has changed or it must be renewed.
    pub(crate) fn draw(&mut self, now: Time) -> Option<Arc<View>> {
        let until = self.freshness.until();
        let old = &self.picture.view;
        let renewal = until != old.fresh_until && self.picture.drawn + RENEWAL <= now;
        // A process that lost or regained its proof must act on that at once.
        let turned = old.is_fresh(now) != (now < until);
        if !self.picture.hosts && !renewal && !turned {
            return None;
        }
        let mut view = match self.picture.hosts {
            true => {
                let values = self.picture.values.then(|| self.store.values());
                old.follow(values, self.hosts())
            }
            false => View::clone(old),
        };
        view.fresh_until = until;
        let view = Arc::new(view);
        self.picture = Picture {
            view: view.clone(),
            hosts: false,
            values: false,
            drawn: now,
        };
        Some(view)
    }

    fn hosts(&self) -> BTreeMap<id::Host, Host> {
        let members = self.table.iter().chain([&self.own]);
        members
            .map(|member| (member.host.clone(), self.host(member)))
            .collect()
    }

    fn host(&self, member: &Member) -> Host {
        Host {
            address: member.address,
            domain: member.domain.clone(),
            region: self.region(&member.domain),
            incarnation: member.incarnation,
            stage: member.stage,
            health: member.health,
            out: self.is_out(member),
        }
    }

    /// The region of a failure domain.
    pub(crate) fn region(&self, domain: &id::Domain) -> id::Region {
        let config = self.store.values().config.as_ref();
        config
            .map(|config| config.region(domain))
            .unwrap_or_default()
    }

    /// Whether a host must not be given work, whatever stage it announces.
    ///
    /// A host that is known only from peers may be given work if its failure domain is configured.
    pub(crate) fn is_out(&self, member: &Member) -> bool {
        let values = self.store.values();
        let out = values.config.as_ref().is_some_and(|config| {
            config.is_out(&member.host, &member.domain) || !config.domains.contains(&member.domain)
        });
        let entry = values.roster.as_ref();
        let entry = entry.and_then(|roster| roster.hosts.get(&member.host));
        out || entry.is_some_and(|entry| entry.state == State::Leaving)
    }
}
