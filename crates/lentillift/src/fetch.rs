//! Reading from many processes at once.

use crate::command::Unreachable;
use crate::command::Usage;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use ureq::Agent;

/// Longest wait for one process.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Processes that are asked at a time.
const WORKERS: usize = 32;

/// Largest answer that is read, in bytes.
const LIMIT: u64 = 64 * 1024 * 1024;

/// What came of asking one process.
pub(crate) struct Fetched<T> {
    /// Its address.
    pub(crate) address: SocketAddr,
    /// What it answered, or why not.
    pub(crate) result: Result<T, String>,
}

/// Parses the addresses on a command line.
pub(crate) fn addresses(free: &[String]) -> Result<Vec<SocketAddr>, Usage> {
    if free.is_empty() {
        return Err(Usage("found no ADDR, at least one is right".to_owned()));
    }
    free.iter().map(|text| address(text)).collect()
}

/// Parses one address.
pub(crate) fn address(text: &str) -> Result<SocketAddr, Usage> {
    let right = "right is an IP address with its port, like 10.0.0.7:7072";
    text.parse()
        .map_err(|_| Usage(format!("found {text}, {right}")))
}

/// A client that takes any status as an answer.
pub(crate) fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(timeout))
        .build()
        .into()
}

/// Reads `path` from all addresses, in their order.
pub(crate) fn all<T>(addresses: &[SocketAddr], path: &str) -> Vec<Fetched<T>>
where
    T: DeserializeOwned + Send,
{
    let agent = agent(TIMEOUT);
    let next = AtomicUsize::new(0);
    let fetched = Mutex::new(Vec::with_capacity(addresses.len()));
    std::thread::scope(|scope| {
        for _ in 0..WORKERS.min(addresses.len()) {
            scope.spawn(|| {
                while let Some(address) = addresses.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = one(&agent, *address, path);
                    let address = *address;
                    let mut fetched = fetched.lock().unwrap_or_else(PoisonError::into_inner);
                    fetched.push(Fetched { address, result });
                }
            });
        }
    });
    let mut fetched = fetched.into_inner().unwrap_or_else(PoisonError::into_inner);
    fetched.sort_by_key(|one| addresses.iter().position(|known| *known == one.address));
    fetched
}

fn one<T>(agent: &Agent, address: SocketAddr, path: &str) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let called = agent.get(format!("http://{address}{path}")).call();
    let mut response = called.map_err(|e| e.to_string())?;
    let status = response.status().as_u16();
    if status != 200 {
        return Err(format!("found status {status}, right is 200"));
    }
    let body = response.body_mut().with_config().limit(LIMIT).read_to_vec();
    let body = body.map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| format!("not an operators' port: {e}"))
}

/// Fails if no process could be reached.
pub(crate) fn any<T>(fetched: &[Fetched<T>]) -> Result<(), Unreachable> {
    let mut failed = Vec::new();
    for one in fetched {
        match &one.result {
            Ok(_) => return Ok(()),
            Err(error) => failed.push(format!("{}: {error}", one.address)),
        }
    }
    Err(Unreachable(failed.join("; ")))
}
