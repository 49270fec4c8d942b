//! What all tasks of this process share.

use crate::dialect::Dialect;
use crate::feed;
use crate::metric;
use crate::metric::Board;
use crate::peer::Peers;
use crate::pool::Pool;
use crate::source::Source;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_core::time::Time;
use lentillift_fleet::swim::Swim;
use lentillift_scatter::catalog::Catalog;
use lentillift_scatter::catalog::Change;
use lentillift_scatter::catalog::Grace;
use lentillift_scatter::core::Core;
use lentillift_scatter::source::News;
use rand::rngs::StdRng;
use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;
use tokio::sync::watch;
use tracing::info;
use tracing::warn;

/// How far this process has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It has no configuration yet, or takes callers.
    Serving,
    /// No more callers should be sent here.
    Leaving,
    /// Connections without a request are closed.
    Closing,
    /// What is left is cut off.
    Over,
}

/// What all tasks of this process share.
///
/// Cells are borrowed only between two awaits.
pub struct Host<D, S> {
    /// This host's name.
    pub name: id::Host,
    /// This host's failure domain.
    pub domain: id::Domain,
    /// The clock that all decisions go by.
    pub clock: Clock,
    /// How callers and backend servers spell things.
    pub dialect: D,
    /// Where the configuration is published.
    pub source: S,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Connections to other hosts.
    pub peers: Peers,
    /// Counters.
    pub board: Board,
    /// What requests share.
    pub core: RefCell<Core>,
    /// What is believed of the published state.
    pub catalog: RefCell<Catalog>,
    /// Membership.
    pub swim: RefCell<Swim<StdRng>>,
    /// When what is believed was last known to be all there is; none before the first news.
    pub proved: Cell<Option<Time>>,
    /// How soon news has to be here.
    pub news: feed::Options,
    /// Whether the service last answered this host, or it has another origin since.
    pub steady: Cell<bool>,
    /// Connections of callers.
    pub callers: Cell<usize>,
    /// Rises with every change of what is believed.
    pub changed: watch::Sender<u64>,
    /// How far this process has come.
    pub stage: watch::Sender<Stage>,
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
    /// The time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Takes in news that held `age` ago.
    pub fn learn(&self, news: Option<News>, age: Duration) {
        let now = self.now();
        if let Some(news) = news {
            let source = &self.source;
            let grace = self.grace();
            let mut catalog = self.catalog.borrow_mut();
            let before = catalog.revision();
            let changes = catalog.learn(now, news, grace, |item| source.decode(item));
            let revision = catalog.revision();
            drop(catalog);
            changes.iter().for_each(|change| tell(change, revision));
            if !changes.is_empty() || before != revision {
                self.redraw();
            }
        }
        if self.catalog.borrow().revision() > 0 {
            let at = now.saturating_sub(age);
            let latest = self.proved.get().map_or(at, |old| old.max(at));
            self.proved.set(Some(latest));
        }
    }

    /// How long servers that leave may still be asked, by whether the service was away.
    fn grace(&self) -> Grace {
        let grace = Grace::within(self.news.bound);
        let away = self.age().is_none_or(|age| age > self.news.stale());
        match away {
            true => grace.after_absence(),
            false => grace,
        }
    }

    /// Time since what is believed was known to be all there is.
    pub fn age(&self) -> Option<Duration> {
        let proved = self.proved.get()?;
        Some(self.now().saturating_sub(proved))
    }

    /// Serves new requests by what is believed now.
    pub fn redraw(&self) {
        let view = self.catalog.borrow().view();
        if let Some(view) = view {
            self.core.borrow_mut().adopt(view);
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Serving && self.core.borrow().view.is_some()
    }

    /// Takes in which hosts there are.
    pub fn count_hosts(&self) {
        let swim = self.swim.borrow();
        let mut core = self.core.borrow_mut();
        let hosts = swim.present().count() as u32;
        core.share.hosts = hosts;
        let serving = swim.serving();
        core.hosts
            .update(serving.map(|m| (m.host.clone(), m.domain.clone())));
        self.board.gauge(metric::HOSTS, f64::from(hosts));
    }
}

fn tell(change: &Change, revision: id::Revision) {
    match change {
        Change::Config(version) => info!(event = "config", version, revision, "in force"),
        Change::Refused { key, cause } => warn!(event = "item", key, cause, revision, "refused"),
        Change::Server(backend, stage) => {
            info!(event = "backend", %backend, ?stage, revision, "published");
        }
        Change::Lapsed(backend) => info!(event = "backend", %backend, revision, "entry gone"),
        Change::Evacuation(domain, out) => {
            info!(event = "evacuation", %domain, out, revision, "changed");
        }
    }
}
