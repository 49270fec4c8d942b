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
const RENEWAL_PERIOD: Duration = Duration::from_millis(250);

/// The latest view and what has changed since.
#[derive(Debug, Default)]
pub(crate) struct ViewState {
    view: Arc<View>,
    hosts_changed: bool,
    values_changed: bool,
    renewed_at: Time,
}

impl ViewState {
    /// The latest view.
    pub(crate) fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Marks the view as outdated after a change of a host.
    pub(crate) fn mark_hosts_changed(&mut self) {
        self.hosts_changed = true;
    }

    /// Marks the view as outdated after a change of a value, which may also put hosts in or out of
    /// service.
    pub(crate) fn mark_values_changed(&mut self) {
        self.hosts_changed = true;
        self.values_changed = true;
    }
}

impl<R> Fleet<R> {
    /// Rebuilds the view if something in it has changed or it must be renewed.
    pub(crate) fn refresh_view(&mut self, now: Time) -> Option<Arc<View>> {
        let deadline = self.freshness.deadline();
        let old = &self.view_state.view;
        let renewal =
            deadline != old.fresh_until && self.view_state.renewed_at + RENEWAL_PERIOD <= now;
        // A process that lost or regained its proof must act on that at once.
        let freshness_changed = old.is_fresh(now) != (now < deadline);
        if !self.view_state.hosts_changed && !renewal && !freshness_changed {
            return None;
        }
        let mut view = match self.view_state.hosts_changed {
            true => {
                let values = self.view_state.values_changed.then(|| self.store.values());
                old.updated(values, self.hosts())
            }
            false => View::clone(old),
        };
        view.fresh_until = deadline;
        let view = Arc::new(view);
        self.view_state = ViewState {
            view: view.clone(),
            hosts_changed: false,
            values_changed: false,
            renewed_at: now,
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
