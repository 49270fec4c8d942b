//! Client that reads values from the platform's configuration service and watches for changes.

use lentillift_core::error::Error;
use lentillift_core::error::Result;
use lentillift_core::error::Step;
use lentillift_core::percent;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::Agent;

/// Maximum size of a response, in bytes: the largest value that the service stores, 1 MiB, and some
/// room for its head.
const MAX_BODY_BYTES: u64 = 1024 * 1024 + 4096;

/// Timeout of a request, on top of the time that a watch asks the service to wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The keys that the service stores, with the version of each.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Version of the index; it changes whenever a key changes.
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
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder().proxy(None).max_redirects(0).build();
        Self {
            agent: config.into(),
            address,
        }
    }

    /// Returns the index once its version is above `since`, or after `wait` in any case.
    ///
    /// # Errors
    ///
    /// If the service can't be reached, responds with an error status, or sends a malformed index.
    pub fn watch(&self, since: u64, wait: Duration) -> Result<Index> {
        let path = format!("/v1/index?since={since}&wait_ms={}", wait.as_millis());
        let body = self.get(&path, wait + REQUEST_TIMEOUT)?;
        serde_json::from_slice(&body).map_err(|e| self.error(Step::Decode, e))
    }

    /// Reads the value of a key.
    ///
    /// # Errors
    ///
    /// If the service can't be reached, has no such key, or the value is too large.
    pub fn value(&self, key: &str) -> Result<Vec<u8>> {
        self.get(
            &format!("/v1/values/{}", percent::encode(key)),
            REQUEST_TIMEOUT,
        )
    }

    fn get(&self, path: &str, timeout: Duration) -> Result<Vec<u8>> {
        let request = self
            .agent
            .get(format!("http://{}{path}", self.address))
            .config()
            .timeout_global(Some(timeout))
            .build();
        let mut response = request.call().map_err(|e| self.error(Step::Read, e))?;
        let body = response.body_mut().with_config().limit(MAX_BODY_BYTES);
        body.read_to_vec().map_err(|e| self.error(Step::Read, e))
    }

    fn error(&self, step: Step, cause: impl ToString) -> Error {
        Error::new(step, format!("platform {}", self.address), cause)
    }
}
