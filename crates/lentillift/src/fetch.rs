//! Reads from the operators' ports of many processes at once.

use crate::command::Unreachable;
use crate::command::UsageError;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use ureq::Agent;

/// Timeout of a request to one process.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Number of worker threads, which limits the requests in flight.
const WORKERS: usize = 32;

/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Result of a request to one process.
pub(crate) struct Fetched<T> {
    /// Address of its operators' port.
    pub(crate) address: SocketAddr,
    /// The decoded response, or why there is none.
    pub(crate) result: Result<T, String>,
}

/// Parses the addresses on a command line; at least one is required.
pub(crate) fn parse_addresses(free: &[String]) -> Result<Vec<SocketAddr>, UsageError> {
    if free.is_empty() {
        return Err(UsageError(
            "found no ADDR, at least one is right".to_owned(),
        ));
    }
    free.iter().map(|text| parse_address(text)).collect()
}

/// Parses an IP address with its port.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, UsageError> {
    let expected = "expected an IP address with its port, like 10.0.0.7:7072";
    text.parse()
        .map_err(|_| UsageError(format!("found {text}, {expected}")))
}

/// An HTTP client that returns responses of any status and follows no redirects.
pub(crate) fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(timeout))
        .build()
        .into()
}

/// Sends `GET path` to all addresses in parallel; the results are in the order of the addresses.
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
                    let result = fetch_one(&agent, *address, path);
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

fn fetch_one<T>(agent: &Agent, address: SocketAddr, path: &str) -> Result<T, String>
where
    T: DeserializeOwned,
{
    let called = agent.get(format!("http://{address}{path}")).call();
    let mut response = called.map_err(|e| e.to_string())?;
    let status = response.status().as_u16();
    if status != 200 {
        return Err(format!("found status {status}, expected 200"));
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_BODY_BYTES)
        .read_to_vec();
    let body = body.map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| format!("not an operators' port: {e}"))
}

/// Fails unless at least one process could be reached.
pub(crate) fn require_any<T>(fetched: &[Fetched<T>]) -> Result<(), Unreachable> {
    let mut failed = Vec::new();
    for one in fetched {
        match &one.result {
            Ok(_) => return Ok(()),
            Err(error) => failed.push(format!("{}: {error}", one.address)),
        }
    }
    Err(Unreachable(failed.join("; ")))
}
