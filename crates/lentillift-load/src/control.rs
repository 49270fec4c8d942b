//! A client of the stand-ins' control interface, which adds hosts, injects faults and reads counts.

use anyhow::Context;
use lentillift_standin::control::Host;
use lentillift_standin::fault::Fault;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::Agent;

/// Timeout of a call to the control interface.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Counters of one backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct BackendCounts {
    /// Requests that it started to run.
    pub requests: u64,
    /// Maximum number of requests in flight at a time.
    pub peak: u32,
    /// Times that more requests were in flight than it has capacity for.
    pub overloads: u64,
    /// Times that it restarted cold.
    pub falls: u64,
    /// Requests that it shed.
    pub shed: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Number of runs of each idempotency key.
    pub actions: BTreeMap<String, u64>,
}

/// Counters of all stand-ins.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Counts {
    /// Counters of the backend servers, by name.
    pub backends: BTreeMap<String, BackendCounts>,
    /// Calls to the configuration service.
    pub platform_calls: u64,
}

/// A client of the stand-ins' control interface.
#[derive(Debug, Clone)]
pub struct Control {
    agent: Agent,
    address: SocketAddr,
}

impl Control {
    /// Creates a client without connecting.
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            address,
        }
    }

    /// Adds a host to the platform's list of hosts.
    ///
    /// # Errors
    ///
    /// When the stand-in can't be reached.
    pub fn add_host(&self, host: &Host) -> anyhow::Result<()> {
        self.post("hosts", &serde_json::to_string(host)?)
    }

    /// Removes a host from the platform's list of hosts.
    ///
    /// # Errors
    ///
    /// When the stand-in can't be reached.
    pub fn remove_host(&self, host: &str) -> anyhow::Result<()> {
        let url = format!("http://{}/hosts/{host}", self.address);
        self.agent.delete(url).call().context("control")?;
        Ok(())
    }

    /// Injects a fault.
    ///
    /// # Errors
    ///
    /// When the stand-in can't be reached or refuses the fault, for instance because it names an unknown
    /// backend server.
    pub fn fault(&self, fault: &Fault) -> anyhow::Result<()> {
        self.post("faults", &serde_json::to_string(fault)?)
    }

    /// Reads the counters of all stand-ins since their start.
    ///
    /// # Errors
    ///
    /// When the stand-in can't be reached.
    pub fn counts(&self) -> anyhow::Result<Counts> {
        let url = format!("http://{}/counts", self.address);
        let mut response = self.agent.get(url).call().context("control")?;
        let text = response.body_mut().read_to_string()?;
        Ok(serde_json::from_str(&text)?)
    }

    fn post(&self, route: &str, body: &str) -> anyhow::Result<()> {
        let url = format!("http://{}/{route}", self.address);
        let sent = self.agent.post(url).send(body);
        sent.with_context(|| format!("control {route} {body}"))?;
        Ok(())
    }
}
