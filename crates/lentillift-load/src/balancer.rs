//! A model of the platform's load balancer: round robin over the processes that report ready.

use crate::control::Control;
use anyhow::Context;
use lentillift_standin::control::Host;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use ureq::Agent;

/// Timeout of a readiness check; a process that answers later counts as not ready.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Addresses of a process, from the JSON line that it prints at start-up.
///
/// The line is in a file called `HOST@DOMAIN.json`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct Process {
    caller: SocketAddr,
    node: SocketAddr,
    operator: SocketAddr,
}

/// A load balancer over the processes whose files are in a directory.
#[derive(Debug)]
pub struct Balancer {
    directory: PathBuf,
    agent: Agent,
    known: Mutex<BTreeMap<String, Process>>,
    ready: Mutex<Vec<SocketAddr>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Creates a balancer that knows no processes until the first [`Balancer::refresh`].
    pub fn new(directory: &Path) -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .timeout_global(Some(CHECK_TIMEOUT))
            .build();
        Self {
            directory: directory.to_owned(),
            agent: config.into(),
            known: Mutex::default(),
            ready: Mutex::default(),
            next: AtomicUsize::new(0),
        }
    }

    /// Returns the callers' address of the next ready process, in turn; none if none is ready.
    pub fn pick(&self) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        ready.get(next.checked_rem(ready.len())?).copied()
    }

    /// Number of processes that were ready at the last refresh.
    pub fn ready_count(&self) -> usize {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        ready.len()
    }

    /// Reads the directory again, announces new and removed processes to the platform's stand-in, and
    /// checks the readiness of each process.
    ///
    /// # Errors
    ///
    /// When the directory can't be read or the platform's stand-in can't be reached.
    pub fn refresh(&self, control: &Control) -> anyhow::Result<()> {
        let found = self.read_directory()?;
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, process) in &found {
            if known.get(name) != Some(process) {
                control.add_host(&host_entry(name, process)?)?;
            }
        }
        for name in known.keys().filter(|name| !found.contains_key(*name)) {
            control.remove_host(name.split('@').next().unwrap_or(name))?;
        }
        let ready = found.values().filter(|process| self.is_ready(process));
        let ready = ready.map(|process| process.caller).collect();
        *self.ready.lock().unwrap_or_else(PoisonError::into_inner) = ready;
        *known = found;
        Ok(())
    }

    fn read_directory(&self) -> anyhow::Result<BTreeMap<String, Process>> {
        let mut found = BTreeMap::new();
        for file in std::fs::read_dir(&self.directory).context("read the directory of hosts")? {
            let path = file?.path();
            let name = path.file_stem().and_then(|name| name.to_str());
            // A file that is still being written does not parse; the next refresh reads it again.
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            if let (Some(name), Ok(process)) = (name, serde_json::from_str(&text)) {
                found.insert(name.to_owned(), process);
            }
        }
        Ok(found)
    }

    fn is_ready(&self, process: &Process) -> bool {
        let url = format!("http://{}/readyz", process.operator);
        let response = self.agent.get(url).call();
        response.is_ok_and(|response| response.status() == 200)
    }
}

/// The entry of a process in the platform's list of hosts, from its file's name.
fn host_entry(name: &str, process: &Process) -> anyhow::Result<Host> {
    let (host, domain) = name
        .split_once('@')
        .context("file name must be HOST@DOMAIN.json")?;
    Ok(Host {
        host: host.to_owned(),
        domain: domain.to_owned(),
        node: process.node,
    })
}
