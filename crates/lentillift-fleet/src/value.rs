//! Published values in force at this process.
//!
//! For each key the highest valid revision ever seen stays in force, whichever process or service
//! it came from.

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

/// Key under which a value is published: `config`, `hosts` or `service/NAME`.
pub type Key = Arc<str>;

/// Largest value, in bytes; the platform stores no larger ones.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Prefix of the keys of placements.
const SERVICE_PREFIX: &str = "service/";

/// Orders the values of one key: the one with the higher stamp is in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// Revision that the value states.
    pub revision: id::Revision,
    /// Hash of the value's bytes, which breaks ties.
    ///
    /// Two operators may publish different contents under one revision. Without the hash, some
    /// processes would keep one and some the other permanently.
    pub checksum: u64,
}

/// A value that is in force.
#[derive(Debug, Clone)]
pub struct Value {
    /// Decides whether another value replaces this one.
    pub stamp: Stamp,
    /// The configuration service's version number of the key when the value was read there.
    pub version: u64,
    /// Bytes of the value, as published.
    pub body: Arc<[u8]>,
}

/// A value that was parsed and passed its checks.
enum Checked {
    Config(Arc<Config>),
    Roster(Arc<Roster>),
    Placement(id::Service, Arc<Placement>),
}

/// Result of offering a value to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The value is in force now and has this stamp.
    Taken(Stamp),
    /// The value, or one with a higher stamp, was in force already.
    Old,
}

/// The published values that are in force at this process.
#[derive(Debug, Default)]
pub struct Store {
    // INVARIANT: The stamp under a key never decreases.
    held: BTreeMap<Key, Value>,
    // INVARIANT: The values of `held`, parsed and checked.
    values: Values,
    // INVARIANT: XOR of the hashes of all keys with their stamps.
    digest: u64,
}

/// Whether `key` is one that the system reads; values under other keys are ignored.
pub fn is_known(key: &str) -> bool {
    key.len() <= MAX_KEY_BYTES
        && (key == "config" || key == "hosts" || key.starts_with(SERVICE_PREFIX))
}

impl Store {
    /// The values in force, parsed.
    pub fn values(&self) -> &Values {
        &self.values
    }

    /// The value in force under `key`.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.held.get(key)
    }

    /// Stamp of the value in force under `key`, or the lowest stamp if there is none.
    pub fn stamp(&self, key: &str) -> Stamp {
        self.get(key)
            .map_or_else(Stamp::default, |value| value.stamp)
    }

    /// All keys with the stamps of their values.
    pub fn stamps(&self) -> impl Iterator<Item = (&Key, Stamp)> {
        self.held.iter().map(|(key, value)| (key, value.stamp))
    }

    /// Order-independent hash of all keys and stamps; equal for processes with the same values in
    /// force.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether the configuration and the host list are in force; a process does not serve before.
    pub fn is_complete(&self) -> bool {
        self.values.config.is_some() && self.values.roster.is_some()
    }

    /// Puts a value in force if it is valid and its stamp is higher than that of the current one.
    ///
    /// # Errors
    ///
    /// When the value is invalid for its key. The current value stays in force.
    pub fn offer(&mut self, key: &str, version: u64, body: &[u8]) -> Result<Offer> {
        let (revision, checked) = check(key, body)?;
        let sum = XxHash64::oneshot(0, body);
        let stamp = Stamp {
            revision,
            checksum: sum,
        };
        if stamp == self.stamp(key)
            && let Some(held) = self.held.get_mut(key)
        {
            held.version = held.version.max(version);
        }
        if stamp <= self.stamp(key) {
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
            stamp,
            version,
            body: body.into(),
        };
        self.digest ^= hash(key, stamp);
        if let Some(old) = self.held.insert(key.into(), value) {
            self.digest ^= hash(key, old.stamp);
        }
        Ok(Offer::Taken(stamp))
    }
}

fn hash(key: &str, stamp: Stamp) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    (key, stamp).hash(&mut hasher);
    hasher.finish()
}

/// Parses and checks a value.
fn check(key: &str, body: &[u8]) -> Result<(id::Revision, Checked)> {
    if body.len() > MAX_VALUE_BYTES {
        let cause = format!(
            "found {} bytes, at most {MAX_VALUE_BYTES} is right",
            body.len()
        );
        return Err(Error::new(Step::Check, key, cause));
    }
    let text = std::str::from_utf8(body).map_err(|e| Error::new(Step::Decode, key, e))?;
    match key.strip_prefix(SERVICE_PREFIX) {
        Some(service) => {
            let placement: Placement = jsonc::parse(key, text)?;
            fail_on_faults(key, placement.faults())?;
            let revision = placement.revision;
            let checked = Checked::Placement(service.into(), Arc::new(placement));
            Ok((revision, checked))
        }
        None if key == "config" => {
            let config: Config = jsonc::parse(key, text)?;
            fail_on_faults(key, config.faults())?;
            Ok((config.revision, Checked::Config(Arc::new(config))))
        }
        None if key == "hosts" => {
            let roster: Roster = jsonc::parse(key, text)?;
            fail_on_faults(key, roster.faults())?;
            Ok((roster.revision, Checked::Roster(Arc::new(roster))))
        }
        None => Err(Error::new(Step::Check, key, "no such key")),
    }
}

fn fail_on_faults(key: &str, faults: Vec<String>) -> Result<()> {
    if faults.is_empty() {
        return Ok(());
    }
    Err(Error::new(Step::Check, key, faults.join("; ")))
}
