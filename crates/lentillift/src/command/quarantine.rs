//! `lentillift quarantine`: lists requests that terminate backend servers, and lifts their quarantine.

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

/// Timeout of a request to one process.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "quarantine",
    arguments: "ADDR...",
    summary: "show requests that terminate backend servers, or lift the quarantine of one",
    about:
        "Lists, from the operators' port of each process, the requests during which backend servers
terminated: their fingerprint, as in the logs, whether they are suspect, quarantined or
cleared, how many servers terminated and how long ago, and when the request will next be tried
on one server. With --lift the request may be sent again; one process is enough, it informs
the others.",
    examples: &[
        (
            "lentillift quarantine 10.0.0.1:8106 10.0.0.2:8106",
            "List the requests known to two processes.",
        ),
        (
            "lentillift quarantine --lift 9c41d07be2a35f68 10.0.0.1:8106",
            "Allow a request again after its backend servers are fixed.",
        ),
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt(
        "",
        "lift",
        "allow requests with this fingerprint again",
        "FINGERPRINT",
    );
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let addresses = fetch::parse_addresses(&matches.free)?;
    let agent = fetch::agent(TIMEOUT);
    match matches.opt_str("lift") {
        Some(fingerprint) => lift(&agent, &addresses, &fingerprint),
        None => list(&agent, &addresses),
    }
}

/// Prints the requests that each process has a record of.
fn list(agent: &Agent, addresses: &[SocketAddr]) -> anyhow::Result<Exit> {
    let mut text = String::new();
    let mut failed = Vec::new();
    for address in addresses {
        match read(agent, *address) {
            Ok(records) => {
                for line in records.lines() {
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

/// Lifts the quarantine at the first process that has a record of the request.
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
