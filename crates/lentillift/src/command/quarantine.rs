//! `lentillift quarantine`: requests that end the backend servers which run them.

use crate::command::Command;
use crate::command::Unreachable;
use crate::command::show;
use crate::exit::Exit;
use crate::fetch;
use getopts::Matches;
use getopts::Options;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::Agent;

/// Longest wait for one process.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "quarantine",
    arguments: "ADDR...",
    summary: "show requests that end backend servers, or let one be sent again",
    about:
        "Asks the operators' port of each process which requests backend servers ended under: their
fingerprint, as it stands in the logs, whether they are suspect, quarantined or cleared, how
many servers ended and how long ago, and when one server will be asked again whether it bears
the request. With --lift the request is sent again; one process is enough, it tells the others.",
    examples: &[
        (
            "lentillift quarantine 10.0.0.1:8106 10.0.0.2:8106",
            "Look at two processes.",
        ),
        (
            "lentillift quarantine --lift 9c41d07be2a35f68 10.0.0.1:8106",
            "Let a request be sent again once its backend servers are mended.",
        ),
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt(
        "",
        "lift",
        "let requests with this fingerprint be sent again",
        "FINGERPRINT",
    );
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let addresses = fetch::addresses(&matches.free)?;
    let agent = fetch::agent(TIMEOUT);
    match matches.opt_str("lift") {
        Some(fingerprint) => lift(&agent, &addresses, &fingerprint),
        None => list(&agent, &addresses),
    }
}

fn list(agent: &Agent, addresses: &[SocketAddr]) -> anyhow::Result<Exit> {
    let mut text = String::new();
    let mut failed = Vec::new();
    for address in addresses {
        match read(agent, *address) {
            Ok(held) => {
                for line in held.lines() {
                    writeln!(text, "{address} {line}")?;
                }
            }
            Err(error) => failed.push(format!("{address}: {error}")),
        }
    }
    show(&text);
    if !failed.is_empty() {
        return Err(Unreachable(failed.join("; ")).into());
    }
    Ok(Exit::Done)
}

fn read(agent: &Agent, address: SocketAddr) -> Result<String, ureq::Error> {
    let response = agent.get(format!("http://{address}/quarantine")).call();
    response?.body_mut().read_to_string()
}

/// Has the first process that holds the request let it be sent again.
fn lift(agent: &Agent, addresses: &[SocketAddr], fingerprint: &str) -> anyhow::Result<Exit> {
    let mut failed = Vec::new();
    for address in addresses {
        let path = format!("http://{address}/quarantine/{fingerprint}");
        match agent.delete(path).call() {
            Ok(response) if response.status().is_success() => {
                show(&format!("{address} lifted {fingerprint}\n"));
                return Ok(Exit::Done);
            }
            Ok(_) => failed.push(format!("{address}: does not hold {fingerprint}")),
            Err(error) => failed.push(format!("{address}: {error}")),
        }
    }
    Err(Unreachable(failed.join("; ")).into())
}
