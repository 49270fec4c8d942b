//! Driving the stand-ins.

use anyhow::Context;
use lentillift_standin::control::Host;
use lentillift_standin::fault::Fault;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::Agent;

/// Longest time that a call may take.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What one backend server has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Count {
    /// Requests that were started.
    pub requests: u64,
    /// Most requests under way at a time.
    pub peak: u32,
    /// Times that more requests were under way than it bears.
    pub overloads: u64,
    /// Times that it started over cold.
    pub falls: u64,
    /// Requests that it shed.
    pub shed: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// How often each idempotency key was run.
    pub actions: BTreeMap<String, u64>,
}

/// What all stand-ins have seen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Counts {
    /// The backend servers by name.
    pub backends: BTreeMap<String, Count>,
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
    /// Makes a client; nothing is sent yet.
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

    /// Makes a host known to the platform.
    ///
    /// # Errors
    ///
    /// When the stand-in can't be reached.
    pub fn add_host(&self, host: &Host) -> anyhow::Result<()> {
        self.post("hosts", &serde_json::to_string(host)?)
    }

    /// Tells the platform that a host is gone.
    ///
    /// # Errors
    ///
    /// When the stand-in can't be reached.
    pub fn remove_host(&self, host: &str) -> anyhow::Result<()> {
        let url = format!("http://{}/hosts/{host}", self.address);
        self.agent.delete(url).call().context("control")?;
        Ok(())
    }

    /// Brings about a fault.
    ///
    /// # Errors
    ///
    /// When the stand-in can't be reached or knows no such thing.
    pub fn fault(&self, fault: &Fault) -> anyhow::Result<()> {
        self.post("faults", &serde_json::to_string(fault)?)
    }

    /// What all stand-ins have seen so far.
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
