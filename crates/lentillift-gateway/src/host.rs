//! What all tasks of this process share.

use crate::dialect::Dialect;
use crate::metric;
use crate::metric::Board;
use crate::notice::Content;
use crate::peer::Peers;
use crate::pool::Pool;
use crate::source::Source;
use lentillift_core::error::Result;
use lentillift_core::id;
use lentillift_core::time::Clock;
use lentillift_core::time::Time;
use lentillift_fleet::follow;
use lentillift_fleet::follow::Admission;
use lentillift_fleet::follow::Origin;
use lentillift_fleet::follow::relay_path::RelayPath;
use lentillift_fleet::swim::Swim;
use lentillift_scatter::catalog::Catalog;
use lentillift_scatter::catalog::Change;
use lentillift_scatter::core::Core;
use lentillift_scatter::delay::Delays;
use lentillift_scatter::grace::Before;
use lentillift_scatter::grace::Grace;
use lentillift_scatter::share::Roster;
use lentillift_scatter::source::News;
use lentillift_scatter::switch::Mechanism;
use rand::rngs::StdRng;
use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;
use tokio::sync::Notify;
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

/// What followers that knew everything up to a revision were told.
#[derive(Debug, Clone)]
pub(crate) struct Told {
    after: id::Revision,
    content: Content,
}

/// Where news came from, for the log.
struct Provenance {
    origin: Option<Origin>,
    /// How old it was.
    age: Duration,
    /// How old was what had been believed until then.
    before: Option<Duration>,
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
    /// When the service was last known to be away; none if it never was.
    pub away: Cell<Option<Time>>,
    /// How soon news has to be here.
    pub news: follow::Options,
    /// Whether the service last answered this host, or it has another origin since.
    pub steady: Cell<bool>,
    /// From whom what is published is learnt at present; none while an origin is looked for.
    pub origin: RefCell<Option<Origin>>,
    /// Hosts over which what is believed came. Kept while another origin is looked for, so that
    /// followers of this host are not taken for one.
    pub way: RefCell<RelayPath>,
    /// The hosts that bounds of the whole fleet are shared with.
    pub roster: RefCell<Roster>,
    /// Tells that other hosts should hear something of requests under which servers ended.
    pub quarantine_changed: Notify,
    /// How long questions of other hosts are held up on their way.
    pub delays: RefCell<Delays>,
    /// Connections of callers.
    pub callers: Cell<usize>,
    /// What followers were told last: most know the same and are told the same.
    // INVARIANT: None once what is believed has changed.
    pub(crate) told: RefCell<Option<Told>>,
    /// Hosts that learn from this one what is published.
    pub followers: Cell<usize>,
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

    /// Whether `mechanism` works.
    pub fn is_on(&self, mechanism: Mechanism) -> bool {
        self.core.borrow().options.switches.is_on(mechanism)
    }

    /// Takes in news that held `age` ago; followers are told of it at once.
    pub fn learn(&self, news: Option<News>, age: Duration) {
        let now = self.now();
        let provenance = Provenance {
            origin: self.origin.borrow().clone(),
            age,
            before: self.age(),
        };
        if let Some(news) = news {
            let source = &self.source;
            let grace = self.grace();
            let mut catalog = self.catalog.borrow_mut();
            let before = catalog.revision();
            let changes = catalog.learn(now, news, grace, |item| source.decode(item));
            let revision = catalog.revision();
            drop(catalog);
            let log = |change| tell(change, revision, &provenance);
            changes.iter().for_each(log);
            if !changes.is_empty() || before != revision {
                self.redraw();
            }
        }
        if self.catalog.borrow().revision() > 0 {
            let at = now.saturating_sub(age);
            let before = self.proved.get();
            let latest = before.map_or(at, |old| old.max(at));
            self.proved.set(Some(latest));
            if self.news.is_newer_proof(before, Some(latest)) {
                self.changed.send_modify(|count| *count += 1);
            }
        }
    }

    /// Until when servers of which news has just come may still be asked.
    fn grace(&self) -> Grace {
        let before = Before {
            proved: self.proved.get(),
            away: self.away.get(),
        };
        Grace::within(self.news.bound, self.now(), before)
    }

    /// Notes that the service was away until `age` ago, as this host found or was told.
    pub fn note_away(&self, age: Duration) {
        let at = Some(self.now().saturating_sub(age));
        self.away.set(self.away.get().max(at));
    }

    /// Time since the service was last known to be away; none if it never was.
    pub fn away(&self) -> Option<Duration> {
        let at = self.away.get()?;
        Some(self.now().saturating_sub(at))
    }

    /// Notes over which hosts what is believed comes, and tells followers at once if that changes: one of
    /// them may find itself on it.
    pub fn take_way(&self, way: RelayPath) {
        if *self.way.borrow() != way {
            self.way.replace(way);
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Time since what is believed was known to be all there is.
    pub fn age(&self) -> Option<Duration> {
        let proved = self.proved.get()?;
        Some(self.now().saturating_sub(proved))
    }

    /// Whether a request is served by what is believed now, or waits for news.
    fn admit(&self) -> Admission {
        match self.age().filter(|_| self.is_on(Mechanism::CatchUp)) {
            Some(age) => self.news.admit(age, self.away()),
            None => Admission::Serve,
        }
    }

    /// Waits, but no longer than `most`, until what is believed may be served by.
    pub async fn catch_up(&self, most: Duration) {
        let Admission::Await(wait) = self.admit() else {
            return;
        };
        let mut changed = self.changed.subscribe();
        let caught_up = async {
            while self.admit() != Admission::Serve {
                // The sender is this host's own and lasts as long.
                let _ = changed.changed().await;
            }
        };
        let waited = tokio::time::timeout(wait.min(most), caught_up).await;
        let kind = match waited {
            Ok(()) => "news came",
            Err(_) => "no news",
        };
        self.board.count(metric::CAUGHT_UP, kind);
    }

    /// What a follower that knows everything up to `after` is told; none if it misses nothing.
    ///
    /// # Errors
    ///
    /// When it can't be encoded.
    pub(crate) fn news_after(&self, after: id::Revision) -> Result<Option<Content>> {
        if let Some(told) = self.told.borrow().as_ref()
            && told.after == after
        {
            return Ok(Some(told.content.clone()));
        }
        let Some(news) = self.catalog.borrow().news(after) else {
            return Ok(None);
        };
        let content = Content::of(news, self.is_on(Mechanism::Packing), "follower")?;
        self.told.replace(Some(Told {
            after,
            content: content.clone(),
        }));
        Ok(Some(content))
    }

    /// Serves new requests by what is believed now.
    pub fn redraw(&self) {
        self.told.replace(None);
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
        self.take_place();
        let swim = self.swim.borrow();
        let serving = swim.serving();
        let serving = serving.map(|m| (m.host.clone(), m.domain.clone()));
        self.core.borrow_mut().hosts.update(serving);
    }

    /// Takes in how many hosts this one shares with; also due as time passes, since those that ended stop
    /// counting after a while.
    pub fn take_place(&self) {
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
        self.board.gauge(metric::HOSTS, f64::from(place.hosts));
    }
}

fn tell(change: &Change, revision: id::Revision, provenance: &Provenance) {
    match change {
        Change::Config(version) => info!(
            event = "config",
            version,
            revision,
            origin = ?provenance.origin,
            age_ms = provenance.age.as_millis() as u64,
            before_ms = provenance.before.map(|age| age.as_millis() as u64),
            "in force"
        ),
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
