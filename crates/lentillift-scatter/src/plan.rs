//! The plan of a request: which services it asks, by when, and what makes a sufficient answer.

use crate::caller::Caller;
use crate::config::Route;
use crate::config::Target;
use crate::core::Core;
use crate::switch::Mechanism;
use crate::view::View;
use lentillift_core::fingerprint::Fingerprint;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// The plan of a request.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The route of the request.
    pub route: Arc<Route>,
    /// The latest view when the request arrived.
    pub view: Arc<View>,
    /// Services to ask, one for each shard.
    pub services: Vec<id::Service>,
    /// When the request arrived.
    pub arrived: Time,
    /// When a sufficient but incomplete answer should be sent.
    pub soft_deadline: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Minimum fraction of the shards in an answer; none if any will do.
    pub min_coverage: Option<f64>,
    /// Maximum number of backend servers that each shard's request may be sent to.
    pub attempts: u32,
    /// Content that the request shares with its retries; none if it is exempt from quarantine.
    pub fingerprint: Option<Fingerprint>,
    /// Whether other hosts may be asked.
    pub branches: bool,
    /// Whether only backend servers of this failure domain may be asked, and no leg may be sent
    /// twice.
    pub local_only: bool,
}

impl Plan {
    /// Creates the plan for a request of `caller` that arrived at `now`, with `left` until it stops
    /// waiting.
    pub fn new(
        core: &mut Core,
        caller: &mut Caller,
        route: &Arc<Route>,
        view: &Arc<View>,
        services: Vec<id::Service>,
        now: Time,
        left: Duration,
    ) -> Self {
        let objective = route.objective;
        let spent = core.time_spent(route, left);
        caller.note(&mut core.caller_rtt, spent, objective);
        let rtt = match core.options.switches.is_on(Mechanism::CallerWay) {
            true => caller.rtt(&core.caller_rtt),
            false => core.caller_rtt.rtt(),
        };
        let margin = core.options.margin + rtt + core.lag.mean();
        let margin = margin.min(objective / 3);
        let coverage = match &route.target {
            Target::Scatter(scatter) => scatter.coverage,
            Target::Split(_) => 1.0,
        };
        let left = left.min(route.timeout);
        let deadline = now + left.saturating_sub(margin.min(left / 10));
        Self {
            route: route.clone(),
            view: view.clone(),
            services,
            arrived: now,
            soft_deadline: match core.options.switches.is_on(Mechanism::PartialAnswers) {
                true => (now + objective.saturating_sub(margin + spent)).min(deadline),
                false => deadline,
            },
            deadline,
            min_coverage: Some(coverage),
            attempts: route.attempts,
            fingerprint: None,
            branches: core.options.branches && core.options.switches.is_on(Mechanism::Branches),
            local_only: false,
        }
    }

    /// Creates the plan for a request from another host that arrived at `now`.
    pub fn branch(
        route: &Arc<Route>,
        view: &Arc<View>,
        services: Vec<id::Service>,
        now: Time,
        deadline: Time,
    ) -> Self {
        Self {
            route: route.clone(),
            view: view.clone(),
            services,
            arrived: now,
            soft_deadline: deadline,
            deadline,
            min_coverage: None,
            attempts: 1,
            fingerprint: None,
            branches: false,
            local_only: true,
        }
    }

    /// Requires an answer by `end`, as when this process ends then.
    pub fn end_by(&mut self, end: Time) {
        self.deadline = self.deadline.min(end);
        self.soft_deadline = self.soft_deadline.min(end);
    }

    /// Sets the fingerprint of the request's content.
    pub fn with_fingerprint(self, fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint: Some(fingerprint),
            ..self
        }
    }
}
