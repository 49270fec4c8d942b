//! The task that reads what the platform publishes and derives the view of the fleet.

use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_core::time::Time;
use lentillift_fleet::view::Health;
use lentillift_fleet::view::Host;
use lentillift_fleet::view::Stage;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use lentillift_operator::server::Board;
use lentillift_platform::client::Client;
use lentillift_platform::client::Index;
use lentillift_settings::config::Config;
use lentillift_settings::jsonc;
use lentillift_settings::placement::Placement;
use lentillift_settings::placement::State;
use lentillift_settings::roster::Entry;
use lentillift_settings::roster::Roster;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::warn;

/// How long one watch waits for a change.
const WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed call, so that a service in trouble is not called without end.
const PAUSE: Duration = Duration::from_millis(500);

/// The task that derives the view.
#[derive(Debug)]
pub struct Task {
    client: Client,
    board: Board,
    index: Index,
    values: Values,
    generation: u64,
    view: watch::Sender<Arc<View>>,
}

impl Task {
    /// Makes the task; nothing is read yet.
    pub fn new(client: Client, board: Board, view: watch::Sender<Arc<View>>) -> Self {
        Self {
            client,
            board,
            index: Index::default(),
            values: Values::default(),
            generation: 0,
            view,
        }
    }

    /// Follows the platform until no one looks at the view any more.
    pub async fn run(mut self) {
        let mut failing = false;
        while !self.view.is_closed() {
            let client = self.client.clone();
            let since = self.index.version;
            let watch = tokio::task::spawn_blocking(move || client.watch(since, WAIT));
            let failed = match watch.await {
                Ok(Ok(index)) => self.take(index).await.err(),
                Ok(Err(error)) => Some(error),
                Err(_) => return,
            };
            if let Some(error) = &failed {
                if !failing {
                    warn!(%error, "configuration service fails");
                    self.board
                        .event("platform", "configuration service", error.to_string());
                }
                tokio::time::sleep(PAUSE).await;
            }
            failing = failed.is_some();
        }
    }

    /// Reads the keys that are new in `index`.
    async fn take(&mut self, index: Index) -> Result<()> {
        let mut changed = false;
        for (key, version) in &index.keys {
            if self.index.keys.get(key) == Some(version) {
                continue;
            }
            let client = self.client.clone();
            let name = key.clone();
            let read = tokio::task::spawn_blocking(move || client.value(&name)).await;
            let value = read.map_err(|e| Error::new(Step::Read, key, e))??;
            match self.accept(key, &value) {
                Ok(accepted) => changed |= accepted,
                Err(error) => {
                    warn!(%error, "value refused");
                    self.board.event("refused", key, error.to_string());
                }
            }
        }
        self.index = index;
        if changed {
            self.derive();
        }
        Ok(())
    }

    /// Puts a value in force if it is valid and newer; says whether it did.
    fn accept(&mut self, key: &str, value: &[u8]) -> Result<bool> {
        let text = std::str::from_utf8(value).map_err(|e| Error::new(Step::Decode, key, e))?;
        match key.split_once('/') {
            Some(("service", service)) => {
                let new: Placement = jsonc::parse(key, text)?;
                let old = self.values.placements.get(service);
                if old.is_some_and(|old| old.revision >= new.revision) {
                    return Ok(false);
                }
                self.values.placements.insert(service.into(), Arc::new(new));
            }
            None if key == "config" => {
                let new: Config = jsonc::parse(key, text)?;
                let faults = new.faults();
                if !faults.is_empty() {
                    return Err(Error::new(Step::Check, key, faults.join("; ")));
                }
                let old = self.values.config.as_ref();
                if old.is_some_and(|old| old.revision >= new.revision) {
                    return Ok(false);
                }
                let detail = format!("revision {}", new.revision);
                self.board.event("in force", key, detail);
                self.values.config = Some(Arc::new(new));
            }
            None if key == "hosts" => {
                let new: Roster = jsonc::parse(key, text)?;
                let old = self.values.roster.as_ref();
                if old.is_some_and(|old| old.revision >= new.revision) {
                    return Ok(false);
                }
                self.values.roster = Some(Arc::new(new));
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn derive(&mut self) {
        let hosts = hosts(&self.values);
        let ready = self.values.config.is_some() && self.values.roster.is_some();
        self.board.set_ready(ready);
        self.generation += 1;
        let view = View::derive(self.generation, Time::MAX, self.values.clone(), hosts);
        self.view.send_replace(Arc::new(view));
    }
}

/// The published hosts.
fn hosts(values: &Values) -> BTreeMap<id::Host, Host> {
    let Some(roster) = &values.roster else {
        return BTreeMap::new();
    };
    let entries = roster.hosts.iter();
    entries
        .map(|(name, entry)| (name.clone(), host(values, name, entry)))
        .collect()
}

fn host(values: &Values, name: &id::Host, entry: &Entry) -> Host {
    let config = values.config.as_ref();
    let out = config.is_some_and(|config| config.is_out(name, &entry.domain));
    Host {
        address: entry.address,
        domain: entry.domain.clone(),
        region: config.map(|c| c.region(&entry.domain)).unwrap_or_default(),
        incarnation: 0,
        stage: Stage::Serving,
        health: Health::Alive,
        out: out || entry.state == State::Leaving,
    }
}
