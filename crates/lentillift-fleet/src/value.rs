//! The published values that are in force at this process.
//!
//! Of each key the highest valid revision that was ever seen stays in force, from whomever it came.

use crate::view::Values;
use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::id;
use lentillift_settings::config::Config;
use lentillift_settings::jsonc;
use lentillift_settings::placement::Placement;
use lentillift_settings::roster::Roster;
use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use twox_hash::XxHash64;

/// Name under which a value is published.
pub type Key = Arc<str>;

/// Largest value, in bytes; the platform holds none that is larger.
pub const LIMIT: usize = 1024 * 1024;

/// Longest key, in bytes.
const KEY_LIMIT: usize = 256;

/// Prefix of the keys of placements.
const SERVICE: &str = "service/";

/// Which of two values of one key is in force: the one with the higher mark.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// The value's revision.
    pub revision: id::Revision,
    /// Hash of the value.
    ///
    /// Two operators may publish one revision with different contents. Without this, some processes
    /// would keep the one and some the other for good.
    pub checksum: u64,
}

/// A value that is in force.
#[derive(Debug, Clone)]
pub struct Value {
    /// Its mark.
    pub mark: Stamp,
    /// The configuration service's version number of the key when it was read there.
    pub version: u64,
    /// The value as it was published.
    pub body: Arc<[u8]>,
}

/// A value after its checks.
enum Checked {
    Config(Arc<Config>),
    Roster(Arc<Roster>),
    Placement(id::Service, Arc<Placement>),
}

/// What became of a value that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is in force now.
    Taken(Stamp),
    /// It is in force already, or a higher one is.
    Old,
}

/// The published values that are in force at this process.
#[derive(Debug, Default)]
pub struct Store {
    // INVARIANT: The mark under a key never falls.
    held: BTreeMap<Key, Value>,
    // INVARIANT: What `held` says, parsed and checked.
    values: Values,
    // INVARIANT: Exclusive or of the hashes of all keys with their marks.
    digest: u64,
}

/// Whether `key` is one that the system reads.
pub fn is_known(key: &str) -> bool {
    key.len() <= KEY_LIMIT && (key == "config" || key == "hosts" || key.starts_with(SERVICE))
}

impl Store {
    /// The values that are in force.
    pub fn values(&self) -> &Values {
        &self.values
    }

    /// The value in force under `key`.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.held.get(key)
    }

    /// The mark of the value in force under `key`; the lowest if there is none.
    pub fn mark(&self, key: &str) -> Stamp {
        self.get(key)
            .map_or_else(Stamp::default, |value| value.mark)
    }

    /// All keys with their marks.
    pub fn marks(&self) -> impl Iterator<Item = (&Key, Stamp)> {
        self.held.iter().map(|(key, value)| (key, value.mark))
    }

    /// Equal for two processes at which the same values are in force.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether there is all that a process must know before it serves.
    pub fn is_complete(&self) -> bool {
        self.values.config.is_some() && self.values.roster.is_some()
    }

    /// Puts a value in force if it is valid and higher than the one that is.
    ///
    /// # Errors
    ///
    /// When the value is not what belongs under its key. The one in force stays.
    pub fn offer(&mut self, key: &str, version: u64, body: &[u8]) -> Result<Offer> {
        let (revision, checked) = check(key, body)?;
        let sum = XxHash64::oneshot(0, body);
        let mark = Stamp {
            revision,
            checksum: sum,
        };
        if mark == self.mark(key)
            && let Some(held) = self.held.get_mut(key)
        {
            held.version = held.version.max(version);
        }
        if mark <= self.mark(key) {
            return Ok(Offer::Old);
        }
        match checked {
            Checked::Config(config) => self.values.config = Some(config),
            Checked::Roster(roster) => self.values.roster = Some(roster),
            Checked::Placement(service, placement) => {
                self.values.placements.insert(service, placement);
            }
        }
        let value = Value {
            mark,
            version,
            body: body.into(),
        };
        self.digest ^= hash(key, mark);
        if let Some(old) = self.held.insert(key.into(), value) {
            self.digest ^= hash(key, old.mark);
        }
        Ok(Offer::Taken(mark))
    }
}

fn hash(key: &str, mark: Stamp) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    (key, mark).hash(&mut hasher);
    hasher.finish()
}

/// Parses and checks a value.
fn check(key: &str, body: &[u8]) -> Result<(id::Revision, Checked)> {
    if body.len() > LIMIT {
        let cause = format!("found {} bytes, at most {LIMIT} is right", body.len());
        return Err(Error::new(Step::Check, key, cause));
    }
    let text = std::str::from_utf8(body).map_err(|e| Error::new(Step::Decode, key, e))?;
    match key.strip_prefix(SERVICE) {
        Some(service) => {
            let placement: Placement = jsonc::parse(key, text)?;
            refuse(key, placement.faults())?;
            let revision = placement.revision;
            let checked = Checked::Placement(service.into(), Arc::new(placement));
            Ok((revision, checked))
        }
        None if key == "config" => {
            let config: Config = jsonc::parse(key, text)?;
            refuse(key, config.faults())?;
            Ok((config.revision, Checked::Config(Arc::new(config))))
        }
        None if key == "hosts" => {
            let roster: Roster = jsonc::parse(key, text)?;
            refuse(key, roster.faults())?;
            Ok((roster.revision, Checked::Roster(Arc::new(roster))))
        }
        None => Err(Error::new(Step::Check, key, "no such key")),
    }
}

fn refuse(key: &str, faults: Vec<String>) -> Result<()> {
    if faults.is_empty() {
        return Ok(());
    }
    Err(Error::new(Step::Check, key, faults.join("; ")))
}
