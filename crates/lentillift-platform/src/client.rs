//! Reading and watching the platform's configuration service.

use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::Agent;

/// Largest value that the service holds, in bytes, and some room for its head.
const VALUE_LIMIT: u64 = 1024 * 1024 + 4096;

/// Time over a watch's own wait after which it is given up.
const GRACE: Duration = Duration::from_secs(2);

/// The keys that the service holds, with the version of each.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Version of the whole; it changes with every key.
    pub version: u64,
    /// Version of each key.
    pub keys: BTreeMap<String, u64>,
}

/// A client of the configuration service.
#[derive(Debug, Clone)]
pub struct Client {
    agent: Agent,
    address: SocketAddr,
}

impl Client {
    /// Makes a client; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder().proxy(None).max_redirects(0).build();
        Self {
            agent: config.into(),
            address,
        }
    }

    /// Waits until the index is newer than `since`, at most for `wait`, and returns it.
    ///
    /// # Errors
    ///
    /// When the service can't be reached or its answer is malformed.
    pub fn watch(&self, since: u64, wait: Duration) -> Result<Index> {
        let path = format!("/v1/index?since={since}&wait_ms={}", wait.as_millis());
        let body = self.get(&path, wait + GRACE)?;
        serde_json::from_slice(&body).map_err(|e| self.error(Step::Decode, e))
    }

    /// Reads the value of a key.
    ///
    /// # Errors
    ///
    /// When the service can't be reached, has no such key, or the value is too large.
    pub fn value(&self, key: &str) -> Result<Vec<u8>> {
        self.get(&format!("/v1/values/{key}"), GRACE)
    }

    fn get(&self, path: &str, timeout: Duration) -> Result<Vec<u8>> {
        let request = self
            .agent
            .get(format!("http://{}{path}", self.address))
            .config()
            .timeout_global(Some(timeout))
            .build();
        let mut response = request.call().map_err(|e| self.error(Step::Read, e))?;
        let body = response.body_mut().with_config().limit(VALUE_LIMIT);
        body.read_to_vec().map_err(|e| self.error(Step::Read, e))
    }

    fn error(&self, step: Step, cause: impl ToString) -> Error {
        Error::new(step, format!("platform {}", self.address), cause)
    }
}
