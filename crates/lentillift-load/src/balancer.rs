//! The platform's balancer in small: it sends callers to processes that say they are ready.

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

/// Longest time that a process may take to say that it is ready.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A process, as its start-up line and the name of its file tell.
///
/// The file is called `HOST@DOMAIN.json`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct Process {
    caller: SocketAddr,
    node: SocketAddr,
    operator: SocketAddr,
}

/// A balancer over the processes whose files are in a directory.
#[derive(Debug)]
pub struct Balancer {
    directory: PathBuf,
    agent: Agent,
    known: Mutex<BTreeMap<String, Process>>,
    ready: Mutex<Vec<SocketAddr>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Starts without processes.
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

    /// The process that the next caller goes to.
    pub fn pick(&self) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        ready.get(next.checked_rem(ready.len())?).copied()
    }

    /// How many processes are ready.
    pub fn ready(&self) -> usize {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        ready.len()
    }

    /// Looks for new and gone processes, tells the platform, and asks each if it is ready.
    ///
    /// # Errors
    ///
    /// When the directory can't be read or the platform's stand-in can't be told.
    pub fn check(&self, control: &Control) -> anyhow::Result<()> {
        let found = self.find()?;
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, process) in &found {
            if known.get(name) != Some(process) {
                control.add_host(&host(name, process)?)?;
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

    fn find(&self) -> anyhow::Result<BTreeMap<String, Process>> {
        let mut found = BTreeMap::new();
        for file in std::fs::read_dir(&self.directory).context("hosts")? {
            let path = file?.path();
            let name = path.file_stem().and_then(|name| name.to_str());
            // A file that is still being written is read the next time.
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

fn host(name: &str, process: &Process) -> anyhow::Result<Host> {
    let (host, domain) = name.split_once('@').context("HOST@DOMAIN.json is right")?;
    Ok(Host {
        host: host.to_owned(),
        domain: domain.to_owned(),
        node: process.node,
    })
}
