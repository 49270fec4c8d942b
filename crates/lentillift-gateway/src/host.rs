//! State that all tasks of this process share.

mod availability;

use crate::caller_connection::Connections;
use crate::dialect::Dialect;
use crate::feed_wire::Content;
use crate::metric;
use crate::metric::Registry;
use crate::peer::Peers;
use crate::pool::Pool;
use crate::source::Source;
use crate::upload::Uploads;
use lentillift_core::error::Result;
use lentillift_core::excerpt;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_core::time::Time;
use lentillift_fleet::follow;
use lentillift_fleet::follow::Admission;
use lentillift_fleet::follow::Origin;
use lentillift_fleet::follow::outage::Evidence;
use lentillift_fleet::follow::relay_path::RelayPath;
use lentillift_fleet::swim::Swim;
use lentillift_scatter::catalog::Catalog;
use lentillift_scatter::catalog::Change;
use lentillift_scatter::core::Core;
use lentillift_scatter::delay::Delays;
use lentillift_scatter::grace::Grace;
use lentillift_scatter::grace::LastKnown;
use lentillift_scatter::share::Roster;
use lentillift_scatter::source::Update;
use lentillift_scatter::switch::Mechanism;
use rand::rngs::StdRng;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::watch;
use tracing::info;
use tracing::warn;

/// Lifecycle stage of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Normal operation; before the first configuration, callers are not served yet.
    Serving,
    /// Shutting down: readiness fails, so that the balancer stops sending callers.
    Leaving,
    /// Idle caller connections are closed.
    Closing,
    /// Remaining connections are dropped.
    Over,
}

/// Encoded update for followers that have revision `after`.
#[derive(Debug, Clone)]
pub(crate) struct EncodedUpdate {
    after: id::Revision,
    content: Content,
}

/// Origin and age of an update, for the log.
struct Provenance {
    origin: Option<Origin>,
    /// When the update was applied.
    at: Time,
    /// Age of the update.
    age: Duration,
    /// Age of the local state just before the update; none before the first one.
    previous_age: Option<Duration>,
    /// Time since the last outage of the service; none if there was none.
    since_outage: Option<Duration>,
}

/// State that all tasks of this process share.
///
/// Cells are never borrowed across an await.
pub struct Host<D, S> {
    /// This host's name.
    pub name: id::Host,
    /// This host's failure domain.
    pub domain: id::Domain,
    /// Clock of all decisions.
    pub clock: Clock,
    /// Protocol headers of callers and backend servers.
    pub dialect: D,
    /// Client of the configuration service.
    pub source: S,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Bodies of callers' requests.
    pub uploads: Uploads,
    /// Connections to other hosts.
    pub peers: Peers,
    /// Metrics of this process.
    pub metrics: Registry,
    /// Decision state that requests share.
    pub core: RefCell<Core>,
    /// Local copy of the published state.
    pub catalog: RefCell<Catalog>,
    /// Membership of the fleet.
    pub swim: RefCell<Swim<StdRng>>,
    /// When the local state was last verified to be complete; none before the first update.
    pub verified_at: Cell<Option<Time>>,
    /// What this host knows of failed calls to the configuration service.
    pub outage: RefCell<Evidence>,
    /// Bounds on the age of the published state.
    pub freshness: follow::Options,
    /// False after the configuration service failed for this host, until it follows another origin
    /// or the service responds again.
    pub origin_reachable: Cell<bool>,
    /// Origin that is followed at present; none while one is being selected.
    pub origin: RefCell<Option<Origin>>,
    /// Hosts through which the local state came. Kept while another origin is selected, so that
    /// followers of this host are not selected as its origin.
    pub path: RefCell<RelayPath>,
    /// Hosts among which fleet-wide limits are divided.
    pub roster: RefCell<Roster>,
    /// Signals that quarantine records have changed and should be sent to other hosts.
    pub quarantine_changed: Notify,
    /// Estimated delays of requests from other hosts.
    pub delays: RefCell<Delays>,
    /// Callers' connections.
    pub connections: Rc<Connections>,
    /// Last encoded update; most followers have the same revision, so it can be reused.
    // INVARIANT: None once the local state has changed.
    pub(crate) last_update: RefCell<Option<EncodedUpdate>>,
    /// Number of hosts that follow this one.
    pub followers: Cell<usize>,
    /// Counter that increases with each change that followers or waiting requests need to see.
    pub changed: watch::Sender<u64>,
    /// Lifecycle stage of this process.
    pub stage: watch::Sender<Stage>,
    /// Time by which every request is to be answered, because this process ends soon after; none
    /// while no end is planned.
    pub answers_due: Cell<Option<Time>>,
}

impl<D, S> std::fmt::Debug for Host<D, S> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Host").field("name", &self.name).finish()
    }
}

impl<D, S> Host<D, S>
where
    D: Dialect,
    S: Source,
{
    /// Time by the host's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Begins to shut down: readiness fails, and requests that can't be answered by `answers_due`
    /// are no longer waited for.
    pub fn leave(&self, answers_due: Time) {
        self.answers_due.set(Some(answers_due));
        self.stage.send_replace(Stage::Leaving);
    }

    /// Whether `mechanism` is switched on.
    pub fn is_on(&self, mechanism: Mechanism) -> bool {
        self.core.borrow().options.switches.is_on(mechanism)
    }

    /// Applies an update whose state was verified `age` ago, and notifies followers at once.
    /// Without an update, only the verification time advances.
    pub fn apply_update(&self, update: Option<Update>, age: Duration) {
        let now = self.now();
        if let Some(update) = update {
            let provenance = Provenance {
                origin: self.origin.borrow().clone(),
                at: now,
                age,
                previous_age: self.age(),
                since_outage: self.time_since_outage(),
            };
            let source = &self.source;
            let grace = self.lapse_grace();
            let mut catalog = self.catalog.borrow_mut();
            let before = catalog.revision();
            let changes = catalog.apply(now, update, grace, |item| source.decode(item));
            let revision = catalog.revision();
            drop(catalog);
            let log = |change| log_change(change, revision, &provenance);
            changes.iter().for_each(log);
            if !changes.is_empty() || before != revision {
                self.publish_view();
            }
        }
        if self.catalog.borrow().revision() > 0 {
            let at = now.saturating_sub(age);
            let before = self.verified_at.get();
            let latest = before.map_or(at, |old| old.max(at));
            self.verified_at.set(Some(latest));
            if self.freshness.is_newer_proof(before, Some(latest)) {
                self.changed.send_modify(|count| *count += 1);
            }
        }
    }

    /// Times until which servers that the update reports as leaving or gone may still be used.
    fn lapse_grace(&self) -> Grace {
        let before = LastKnown {
            confirmed_at: self.verified_at.get(),
            unavailable_at: self.outage_at(),
        };
        Grace::within(self.freshness.bound, self.now(), before)
    }

    /// Records the path of the local state, and notifies followers at once if it changes: a
    /// follower may find itself on it, which is a cycle.
    pub fn set_path(&self, path: RelayPath) {
        if *self.path.borrow() != path {
            self.path.replace(path);
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Age of the local state: time since it was last verified to be complete; none before the
    /// first update.
    pub fn age(&self) -> Option<Duration> {
        let verified_at = self.verified_at.get()?;
        Some(self.now().saturating_sub(verified_at))
    }

    /// Whether a request is served from the local state now, or waits for an update. It doesn't wait
    /// while the service is unavailable, or this host's own calls fail: no update would come.
    fn admit(&self) -> Admission {
        let outdated = self.age().filter(|age| *age > self.freshness.bound);
        let Some(age) = outdated.filter(|_| self.is_on(Mechanism::CatchUp)) else {
            return Admission::Serve;
        };
        let failures = [self.time_since_outage(), self.time_since_own_failure()];
        let since_unavailable = failures.into_iter().flatten().min();
        self.freshness.admit(age, since_unavailable)
    }

    /// Waits, for at most `limit`, until the local state is fresh enough to serve from.
    pub async fn catch_up(&self, limit: Duration) {
        let Admission::Await(wait) = self.admit() else {
            return;
        };
        let mut changed = self.changed.subscribe();
        let caught_up = async {
            while self.admit() != Admission::Serve {
                // The sender belongs to this host, so it is not dropped while this waits.
                let _ = changed.changed().await;
            }
        };
        let waited = tokio::time::timeout(wait.min(limit), caught_up).await;
        let kind = match waited {
            Ok(()) => "news came",
            Err(_) => "no news",
        };
        self.metrics.count(metric::CAUGHT_UP, kind);
    }

    /// Encodes the update for a follower that has revision `after`; none if the follower is up to
    /// date.
    ///
    /// # Errors
    ///
    /// When it can't be encoded.
    pub(crate) fn update_after(&self, after: id::Revision) -> Result<Option<Content>> {
        if let Some(last) = self.last_update.borrow().as_ref()
            && last.after == after
        {
            return Ok(Some(last.content.clone()));
        }
        let Some(update) = self.catalog.borrow().update_since(after) else {
            return Ok(None);
        };
        let content = Content::encode(update, self.is_on(Mechanism::Packing), "follower")?;
        self.last_update.replace(Some(EncodedUpdate {
            after,
            content: content.clone(),
        }));
        Ok(Some(content))
    }

    /// Makes the local state the view that new requests use, and notifies followers.
    pub fn publish_view(&self) {
        self.last_update.replace(None);
        let view = self.catalog.borrow().view();
        if let Some(view) = view {
            self.core.borrow_mut().adopt(view);
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Readiness for callers.
    pub fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Serving && self.core.borrow().view.is_some()
    }

    /// Updates the list of hosts from the membership.
    pub fn update_hosts(&self) {
        self.update_share();
        let swim = self.swim.borrow();
        let serving = swim.serving();
        let serving = serving.map(|m| (m.host.clone(), m.domain.clone()));
        self.core.borrow_mut().hosts.update(serving);
    }

    /// Updates this host's share of fleet-wide limits. Also called periodically, since hosts that
    /// ended stop counting after a while.
    pub fn update_share(&self) {
        let swim = self.swim.borrow();
        let mut core = self.core.borrow_mut();
        let now = self.now();
        let window = core.options.budget.window;
        let present = swim.present().map(|m| &m.host);
        let place = self
            .roster
            .borrow_mut()
            .update(&self.name, present, now, window);
        core.share.update(place, now, window);
        self.metrics.gauge(metric::HOSTS, f64::from(place.hosts));
    }
}

fn log_change(change: &Change, revision: id::Revision, provenance: &Provenance) {
    match change {
        Change::Config(version) => info!(
            event = "config",
            version,
            revision,
            origin = ?provenance.origin,
            age_ms = provenance.age.as_millis() as u64,
            before_ms = provenance.previous_age.map(|age| age.as_millis() as u64),
            "in force"
        ),
        Change::Refused { key, cause } => {
            let cause = excerpt::start_of(cause);
            warn!(event = "item", key, cause, revision, "refused")
        }
        Change::Server(backend, stage) => {
            info!(event = "backend", %backend, ?stage, revision, "published");
        }
        Change::Lapsed(backend, until) => info!(
            event = "backend",
            %backend,
            revision,
            age_ms = provenance.age.as_millis() as u64,
            usable_ms = until.saturating_sub(provenance.at).as_millis() as u64,
            outage_ms = provenance.since_outage.map(|since| since.as_millis() as u64),
            "entry gone"
        ),
        Change::Evacuation(domain, out) => {
            info!(event = "evacuation", %domain, out, revision, "changed");
        }
    }
}
