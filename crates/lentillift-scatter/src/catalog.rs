//! This host's copy of the published state, and how updates change it.
//!
//! Updates arrive late, twice and by several routes; the publishing service goes down, loses its
//! history, and lets entries lapse while nobody could renew them. A process that applied every
//! update as it came would go back to an older configuration, send work to the previous process of
//! a backend server, or drop all backend servers at once after an outage.

use crate::config::Config;
use crate::config::Version;
use crate::grace::Grace;
use crate::server::Entry;
use crate::server::Server;
use crate::server::Stage;
use crate::source::Decoded;
use crate::source::Item;
use crate::source::Update;
use crate::view::View;
use lentillift_core::id;
use lentillift_core::time::Time;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of removed keys whose revision is kept, to reject older updates of them and to
/// tell followers of the removal; above it, the older half is dropped.
const MAX_REMOVED: usize = 4096;

/// Number of backend servers whose latest process is kept before those without an entry are
/// dropped.
const MAX_PROCESSES: usize = 20_000;

/// A published item, with what was decoded from it.
#[derive(Debug, Clone)]
struct HeldItem {
    revision: id::Revision,
    item: Item,
    server: Option<Arc<Server>>,
    evacuated: Option<id::Domain>,
}

/// The latest process of a backend server; kept after its entry is gone.
#[derive(Debug, Clone, Copy, Default)]
struct Process {
    /// Start of the process, see [`Entry::process_start_ms`].
    start_ms: u64,
    /// Until when it may be used, counted from the first notice that it is leaving or that its
    /// entry is gone; none if it takes work.
    // INVARIANT: Never extended until the server takes work again: a leaving server publishes
    // more than one entry, and none of them grants it more time.
    usable_until: Option<Time>,
}

impl Process {
    /// Applies an entry published with this process start and stage; returns until when the server
    /// may be used as a last resort, none if it takes work.
    fn observe(&mut self, start_ms: u64, stage: Stage, until: Time) -> Option<Time> {
        if self.start_ms != start_ms || stage == Stage::Ready {
            self.usable_until = None;
        }
        self.start_ms = start_ms;
        match stage {
            Stage::Ready => None,
            Stage::Leaving => Some(self.mark_leaving(until)),
        }
    }

    /// Marks the server as leaving, usable until `until` or an earlier known time; returns that
    /// time.
    fn mark_leaving(&mut self, until: Time) -> Time {
        let until = self.usable_until.map_or(until, |known| known.min(until));
        self.usable_until = Some(until);
        until
    }
}

/// A change of the known state, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// This version of the configuration came into force.
    Config(Version),
    /// An item was rejected: an older version, or malformed.
    Refused {
        /// Key of the item.
        key: String,
        /// Why it was rejected.
        cause: String,
    },
    /// A backend server published an entry with this stage.
    Server(id::Backend, Stage),
    /// The entry of this backend server is gone; until when it may be used as a last resort.
    Lapsed(id::Backend, Time),
    /// A failure domain was evacuated (true), or may be used again (false).
    Evacuation(id::Domain, bool),
}

/// This host's copy of the published state.
#[derive(Debug, Default)]
pub struct Catalog {
    // INVARIANT: Never replaced by a configuration with a lower version.
    config: Option<Arc<Config>>,
    held: BTreeMap<String, HeldItem>,
    /// Revision at which each removed key was removed.
    removed: BTreeMap<String, id::Revision>,
    /// Latest process that each backend server reported.
    processes: HashMap<id::Backend, Process>,
    /// Backend servers whose entry is gone, and until when they may be used.
    lapsed: BTreeMap<id::Backend, (Arc<Server>, Time)>,
    /// Grace periods of the update that is being applied.
    grace: Option<Grace>,
    // INVARIANT: All changes up to this revision have been applied.
    revision: id::Revision,
    /// Revision after which `held` and `removed` contain every key that has changed. Followers that
    /// know everything up to it are sent the last state of those keys only: sending each superseded
    /// version of a large configuration would keep the link busy and delay the one in force.
    complete_after: id::Revision,
}

impl Catalog {
    /// Returns the revision up to which everything is known; 0 before the first update.
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns the version of the configuration in force; none before the first.
    pub fn version(&self) -> Option<Version> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Applies an update, decoding each item with `decode`; returns the changes it made.
    pub fn apply<D>(&mut self, now: Time, update: Update, grace: Grace, decode: D) -> Vec<Change>
    where
        D: Fn(&Item) -> Decoded,
    {
        let mut changes = Vec::new();
        self.grace = Some(grace);
        let revision = match update {
            Update::All { revision, items } => {
                self.replace(now, revision, items, decode, &mut changes);
                revision
            }
            Update::Changes { revision, items } => {
                for item in items {
                    self.put(now, item, &decode, &mut changes);
                }
                revision
            }
        };
        self.revision = self.revision.max(revision);
        changes
    }

    /// Applies a snapshot: items that it lacks are removed unless they are newer.
    fn replace<D>(
        &mut self,
        now: Time,
        revision: id::Revision,
        items: Vec<Item>,
        decode: D,
        changes: &mut Vec<Change>,
    ) where
        D: Fn(&Item) -> Decoded,
    {
        let present: BTreeSet<String> = items.iter().map(|item| item.key.clone()).collect();
        let missing: Vec<String> = self
            .held
            .iter()
            .filter(|(key, held)| !present.contains(*key) && held.revision <= revision)
            .map(|(key, _)| key.clone())
            .collect();
        let first = self.revision == 0;
        for key in missing {
            self.remove(now, &key, revision, changes);
        }
        for item in items {
            self.put(now, item, &decode, changes);
        }
        if first {
            // Removals before this revision are not known.
            self.complete_after = revision;
        }
    }

    /// Applies one change unless the same or a later one of its key is known.
    fn put<D>(&mut self, now: Time, item: Item, decode: &D, changes: &mut Vec<Change>)
    where
        D: Fn(&Item) -> Decoded,
    {
        let known = self.held.get(&item.key).map(|held| held.revision);
        let known = known.or_else(|| self.removed.get(&item.key).copied());
        if known.is_some_and(|known| item.revision <= known) {
            return;
        }
        if item.value.is_none() {
            self.remove(now, &item.key, item.revision, changes);
            return;
        }
        let mut held = HeldItem {
            revision: item.revision,
            item: item.clone(),
            server: None,
            evacuated: None,
        };
        match decode(&item) {
            Decoded::Config(config) => self.configure(*config, &item.key, changes),
            Decoded::Server(entry) => match self.register(now, entry, changes) {
                Some(server) => held.server = Some(server),
                // An entry of a previous process: keep the entry of the latest one.
                None => held.server = self.held.get(&item.key).and_then(|old| old.server.clone()),
            },
            Decoded::Evacuation(domain) => {
                changes.push(Change::Evacuation(domain.clone(), true));
                held.evacuated = Some(domain);
            }
            Decoded::Malformed(cause) => changes.push(Change::Refused {
                key: item.key.clone(),
                cause,
            }),
            Decoded::Other => return,
        }
        self.removed.remove(&item.key);
        self.held.insert(item.key, held);
    }

    /// Puts a configuration in force unless a later one already is.
    fn configure(&mut self, config: Config, key: &str, changes: &mut Vec<Change>) {
        if self.version().is_some_and(|known| config.version < known) {
            changes.push(Change::Refused {
                key: key.to_owned(),
                cause: format!("version {} is older than the one in force", config.version),
            });
            return;
        }
        if self.version() != Some(config.version) {
            changes.push(Change::Config(config.version));
        }
        self.config = Some(Arc::new(config));
    }

    /// Takes in a backend server's entry; none if it is from a previous process.
    fn register(
        &mut self,
        now: Time,
        entry: Entry,
        changes: &mut Vec<Change>,
    ) -> Option<Arc<Server>> {
        let process = self.processes.entry(entry.id.clone()).or_default();
        if entry.process_start_ms < process.start_ms && entry.process_start_ms > 0 {
            return None;
        }
        let until = self.grace.map_or(now, |grace| grace.leaving);
        let last_resort_until = process.observe(entry.process_start_ms, entry.stage, until);
        changes.push(Change::Server(entry.id.clone(), entry.stage));
        self.lapsed.remove(&entry.id);
        let cold_until = match entry.cold_for {
            Duration::ZERO => Time::ZERO,
            left => now.saturating_add(left),
        };
        Some(Arc::new(Server {
            entry,
            cold_until,
            last_resort_until,
        }))
    }

    /// Removes a key; a backend server stays usable as a last resort for its grace period.
    fn remove(&mut self, now: Time, key: &str, revision: id::Revision, changes: &mut Vec<Change>) {
        self.removed.insert(key.to_owned(), revision);
        self.trim_removed();
        let Some(held) = self.held.remove(key) else {
            return;
        };
        if let Some(domain) = held.evacuated {
            changes.push(Change::Evacuation(domain, false));
        }
        if let Some(server) = held.server {
            let backend = server.entry.id.clone();
            let until = self.grace.map_or(now, |grace| grace.lapsed);
            let until = self
                .processes
                .entry(backend.clone())
                .or_default()
                .mark_leaving(until);
            changes.push(Change::Lapsed(backend.clone(), until));
            let server = Server {
                last_resort_until: Some(until),
                ..(*server).clone()
            };
            self.lapsed.insert(backend, (Arc::new(server), until));
        }
    }

    /// Drops the older half of the removals once there are more than [`MAX_REMOVED`].
    fn trim_removed(&mut self) {
        if self.removed.len() <= MAX_REMOVED {
            return;
        }
        let mut revisions: Vec<id::Revision> = self.removed.values().copied().collect();
        revisions.sort_unstable();
        let forgotten = revisions[revisions.len() / 2];
        self.removed.retain(|_, revision| *revision > forgotten);
        self.complete_after = self.complete_after.max(forgotten);
    }

    /// Drops lapsed backend servers that may not be used any more; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, (_, until)| *until > now);
        if self.processes.len() > MAX_PROCESSES {
            let held = self.held.values().filter_map(|held| held.server.as_ref());
            let held: BTreeSet<id::Backend> = held.map(|s| s.entry.id.clone()).collect();
            self.processes.retain(|backend, _| held.contains(backend));
        }
        self.lapsed.len() != before
    }

    /// Builds the view that requests are served from; none until a configuration is known.
    pub fn view(&self) -> Option<View> {
        let config = self.config.clone()?;
        let mut servers: HashMap<id::Service, Vec<Arc<Server>>> = HashMap::new();
        let held = self.held.values().filter_map(|held| held.server.as_ref());
        let lapsed = self.lapsed.values().map(|(server, _)| server);
        for server in held.chain(lapsed) {
            let service = server.entry.service.clone();
            servers.entry(service).or_default().push(server.clone());
        }
        let evacuated = self.held.values().filter_map(|held| held.evacuated.clone());
        Some(View {
            config,
            servers,
            evacuated: evacuated.collect(),
        })
    }

    /// Returns the update for a follower that knows everything up to `after`; none if it is up to
    /// date.
    pub fn update_since(&self, after: id::Revision) -> Option<Update> {
        if self.revision == 0 || after >= self.revision {
            return None;
        }
        if after > 0 && after >= self.complete_after {
            return Some(Update::Changes {
                revision: self.revision,
                items: self.changed(after),
            });
        }
        Some(Update::All {
            revision: self.revision,
            items: self.held.values().map(|held| held.item.clone()).collect(),
        })
    }

    /// Returns the last state of each key that changed after the given revision, removals first.
    fn changed(&self, after: id::Revision) -> Vec<Item> {
        let removed = self
            .removed
            .iter()
            .filter(|(_, revision)| **revision > after);
        let removed = removed.map(|(key, revision)| Item {
            key: key.clone(),
            revision: *revision,
            value: None,
        });
        let held = self.held.values().filter(|held| held.revision > after);
        let mut held: Vec<Item> = held.map(|held| held.item.clone()).collect();
        held.sort_by_key(|item| item.revision);
        removed.chain(held).collect()
    }
}
