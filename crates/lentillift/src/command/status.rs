//! `lentillift status`: shows a summary of the fleet.

use crate::command::Command;
use crate::command::UsageError;
use crate::command::show;
use crate::command::show_json;
use crate::exit::Exit;
use crate::fetch;
use crate::fetch::Fetched;
use crate::table::Table;
use crate::table::alarm;
use getopts::Matches;
use getopts::Options;
use lentillift::fleet::Fleet;
use lentillift::fleet::Node;
use lentillift_operator::status::Status;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

/// Poll interval while waiting for a revision.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Default of the longest wait for a revision, in seconds.
const DEFAULT_WAIT_S: u64 = 30;

/// Maximum number of processes up to which each one has its own line.
const MAX_NODE_LINES: usize = 24;

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "status",
    arguments: "ADDR...",
    summary: "show a summary of the fleet",
    about:
        "Reads the operators' port of each process and shows the revision in force on each, failure
domains in and out of service, backend servers owned and cold, queues, and coverage, p99 and
refusals of each service today, with declines over the days. With more than 24
processes there is a line for each failure domain, and one for each process that isn't
ready, has another revision, or sees fewer hosts than the others. A process keeps 62
days at most and loses them when it stops; for longer times store /metrics elsewhere.",
    examples: &[
        (
            "lentillift status 10.0.0.1:7072 10.0.0.2:7072",
            "Show two processes.",
        ),
        (
            "lentillift status --wait-revision 7 10.0.0.1:7072 10.0.0.2:7072",
            "Wait until revision 7 is in force on both; exit code 1 on timeout.",
        ),
        (
            "lentillift status --days 7 10.0.0.1:7072",
            "Show a line for each service and day.",
        ),
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt(
        "",
        "wait-revision",
        "wait until revision N is in force on all",
        "N",
    );
    options.optopt("", "timeout", "longest wait, in seconds (30)", "S");
    options.optflag("", "nodes", "show each process even if there are many");
    options.optopt("", "days", "show the last N days of each service", "N");
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let addresses = fetch::parse_addresses(&matches.free)?;
    let days = parse_number(matches, "days")?.unwrap_or(0) as usize;
    let timeout = parse_number(matches, "timeout")?.unwrap_or(DEFAULT_WAIT_S);
    if let Some(revision) = parse_number(matches, "wait-revision")? {
        return wait(matches, &addresses, revision, Duration::from_secs(timeout));
    }
    let fetched = fetch::all::<Status>(&addresses, "/status");
    fetch::require_any(&fetched)?;
    let (fleet, unreachable) = summarise(fetched);
    if matches.opt_present("json") {
        show_json(&serde_json::json!({ "fleet": fleet, "unreachable": unreachable }))?;
    } else {
        let each = matches.opt_present("nodes") || fleet.nodes.len() <= MAX_NODE_LINES;
        show(&text(&fleet, &unreachable, days, each));
    }
    Ok(match unreachable.is_empty() {
        true => Exit::Done,
        false => Exit::Unreachable,
    })
}

/// Parses an option with a whole number; none if it is not given.
fn parse_number<T>(matches: &Matches, name: &str) -> Result<Option<T>, UsageError>
where
    T: FromStr,
{
    let text = matches.opt_str(name);
    let usage_error = |text| UsageError(format!("--{name}: found {text}, expected a whole number"));
    text.map(|text| text.parse().map_err(|_| usage_error(text)))
        .transpose()
}

/// Summarises the statuses that were fetched, and lists the processes that could not be reached.
fn summarise(fetched: Vec<Fetched<Status>>) -> (Fleet, Vec<(SocketAddr, String)>) {
    let mut statuses = Vec::new();
    let mut unreachable = Vec::new();
    for one in fetched {
        match one.result {
            Ok(status) => statuses.push(status),
            Err(error) => unreachable.push((one.address, error)),
        }
    }
    (Fleet::new(&statuses), unreachable)
}

/// Waits until `revision` is in force on all processes, or until the timeout.
fn wait(
    matches: &Matches,
    addresses: &[SocketAddr],
    revision: u64,
    timeout: Duration,
) -> anyhow::Result<Exit> {
    let started = Instant::now();
    let mut last_reported = None;
    loop {
        let (fleet, unreachable) = summarise(fetch::all(addresses, "/status"));
        let behind = fleet.nodes.iter().filter(|node| node.revision < revision);
        let behind: Vec<String> = behind.map(|node| node.host.to_string()).collect();
        let missing = unreachable.iter().map(|(address, _)| address.to_string());
        let awaited: Vec<String> = behind.into_iter().chain(missing).collect();
        let waited = started.elapsed();
        if awaited.is_empty() || waited >= timeout {
            let done = awaited.is_empty();
            if matches.opt_present("json") {
                show_json(&serde_json::json!({
                    "revision": revision,
                    "in_force": done,
                    "awaited": awaited,
                    "waited_s": waited.as_secs_f64(),
                }))?;
            } else if done {
                let nodes = fleet.nodes.len();
                show(&format!(
                    "Revision {revision} is in force on all {nodes}.\n"
                ));
            } else {
                eprintln!(
                    "Revision {revision} is not in force on {}.",
                    awaited.join(", ")
                );
            }
            return Ok(if done { Exit::Done } else { Exit::Failed });
        }
        if last_reported.replace(awaited.len()) != Some(awaited.len()) {
            eprintln!("Waiting for {} of {}.", awaited.len(), addresses.len());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The whole output; `each` shows a line for each process instead of each failure domain.
fn text(fleet: &Fleet, unreachable: &[(SocketAddr, String)], days: usize, each: bool) -> String {
    let mut text = match each {
        true => node_table(fleet.nodes.iter()),
        false => domain_table(fleet) + "\n" + &node_table(fleet.unusual()),
    };
    for (address, error) in unreachable {
        let line = format!("{address}: not reached: {error}");
        let _ = writeln!(text, "{}", alarm(&line));
    }
    text.push('\n');
    text.push_str(&service_state(fleet));
    if !fleet.services.is_empty() {
        text.push('\n');
        text.push_str(&service_table(fleet, days));
    }
    for (name, service) in &fleet.services {
        for decline in &service.declines {
            let _ = writeln!(text, "{}", alarm(&format!("DECLINE {name}: {decline}")));
        }
    }
    text
}

/// A line for each failure domain, used when there are too many processes for a line each.
fn domain_table(fleet: &Fleet) -> String {
    let mut table = Table::new(&[
        "DOMAIN",
        "HOSTS",
        "READY",
        "REVISIONS",
        "OWNS",
        "COLD",
        "IN FLIGHT",
        "QUEUE",
        "WAITING",
    ]);
    let names: BTreeSet<&str> = fleet.nodes.iter().map(|node| &*node.domain).collect();
    for name in names {
        let nodes = || fleet.nodes.iter().filter(|node| &*node.domain == name);
        let revisions: BTreeSet<u64> = nodes().map(|node| node.revision).collect();
        let revisions: Vec<String> = revisions.iter().map(u64::to_string).collect();
        table.push(vec![
            name.to_owned(),
            nodes().count().to_string(),
            nodes().filter(|node| node.ready).count().to_string(),
            revisions.join(","),
            nodes().map(|node| node.owned).sum::<usize>().to_string(),
            nodes().map(|node| node.cold).sum::<usize>().to_string(),
            nodes().map(|node| node.in_flight).sum::<u32>().to_string(),
            nodes().map(|node| node.queue).sum::<usize>().to_string(),
            nodes().map(|node| node.waiting).sum::<usize>().to_string(),
        ]);
    }
    table.text()
}

/// A line for each process.
fn node_table<'a, I>(nodes: I) -> String
where
    I: Iterator<Item = &'a Node>,
{
    let mut table = Table::new(&[
        "HOST",
        "DOMAIN",
        "READY",
        "REVISION",
        "UP",
        "SEES",
        "OWNS",
        "COLD",
        "IN FLIGHT",
        "QUEUE",
        "WAITING",
    ]);
    for node in nodes {
        table.push(vec![
            node.host.to_string(),
            node.domain.to_string(),
            if node.ready { "yes" } else { "NO" }.to_owned(),
            node.revision.to_string(),
            age(node.uptime_s),
            node.alive.to_string(),
            node.owned.to_string(),
            node.cold.to_string(),
            node.in_flight.to_string(),
            node.queue.to_string(),
            node.waiting.to_string(),
        ]);
    }
    table.text()
}

/// A duration in its largest whole unit.
fn age(seconds: u64) -> String {
    match seconds {
        0..60 => format!("{seconds}s"),
        60..3600 => format!("{}m", seconds / 60),
        3600..86_400 => format!("{}h", seconds / 3600),
        _ => format!("{}d", seconds / 86_400),
    }
}

/// Failure domains and hosts in and out of service, and differences in revision.
fn service_state(fleet: &Fleet) -> String {
    let mut text = String::new();
    let domains = fleet.domains.iter().map(|(name, is_in)| match is_in {
        true => format!("{name} in"),
        false => alarm(&format!("{name} OUT")),
    });
    let domains: Vec<String> = domains.collect();
    if domains.is_empty() {
        return alarm("No configuration is in force.") + "\n";
    }
    let _ = writeln!(text, "Failure domains: {}.", domains.join(", "));
    if !fleet.hosts_out.is_empty() {
        let hosts: Vec<&str> = fleet.hosts_out.iter().map(|host| &**host).collect();
        let _ = writeln!(text, "Hosts out: {}.", hosts.join(", "));
    }
    if fleet.revisions.len() > 1 {
        let each = fleet.revisions.iter().rev().map(|(revision, hosts)| {
            let hosts: Vec<&str> = hosts.iter().map(|host| &**host).collect();
            format!("{revision} on {}", hosts.join(", "))
        });
        let each: Vec<String> = each.collect();
        let line = format!("Revisions differ: {}.", each.join("; "));
        let _ = writeln!(text, "{}", alarm(&line));
    }
    text
}

/// A line for each service for each of the last `days` days, at least today, and for the last hour.
fn service_table(fleet: &Fleet, days: usize) -> String {
    let mut table = Table::new(&[
        "SERVICE",
        "SPAN",
        "ANSWERS",
        "FULL",
        "COVERAGE",
        "WORST P99",
        "REFUSALS",
    ]);
    for (name, service) in &fleet.services {
        let today = service.days.len().saturating_sub(days.max(1));
        let recent = service.days[today..]
            .iter()
            .map(|day| (date(day.start_s), day));
        let hour = service.hour.iter().map(|hour| ("hour".to_owned(), hour));
        for (span, figures) in recent.chain(hour) {
            table.push(vec![
                name.to_string(),
                span,
                figures.answers.to_string(),
                figures.full.to_string(),
                format!("{:.3}%", figures.coverage * 100.0),
                format!("{:.0} ms", figures.p99_ms),
                figures.refusals.to_string(),
            ]);
        }
    }
    table.text()
}

/// The UTC date of a time in seconds since the Unix epoch.
///
/// Counts days of the Gregorian calendar from 1 March of year 0, so that a leap day is the last day
/// of its year.
fn date(seconds: u64) -> String {
    let days = seconds / 86_400 + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = year + era * 400 + u64::from(month <= 2);
    format!("{year:04}-{month:02}-{day:02}")
}
