//! `lentillift load`: runs an open-loop load test against running processes.

use crate::command::Command;
use crate::command::UsageError;
use crate::command::arguments;
use crate::command::read;
use crate::command::show;
use crate::command::show_json;
use crate::exit::Exit;
use anyhow::Context;
use getopts::Matches;
use getopts::Options;
use lentillift_load::control::Control;
use lentillift_load::html;
use lentillift_load::report;
use lentillift_load::report::Report;
use lentillift_load::run;
use lentillift_load::run::Progress;
use lentillift_load::scenario::Scenario;
use lentillift_settings::jsonc;
use std::path::PathBuf;

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "load",
    arguments: "SCENARIO",
    summary: "put load on running processes and report what callers receive",
    about:
        "Draws the arrivals of SCENARIO before the run and sends each request when it is due, however
late other responses are. Latency is measured from the due time. Faults are injected
through the stand-ins' control address. `bench/run` starts all processes that are needed.",
    examples: &[(
        "bench/run bench/quiet-night.jsonc",
        "Start stand-ins and processes on loopback, run the load, and stop them.",
    )],
    options,
    run,
};

fn options(options: &mut Options) {
    options.reqopt("", "control", "control address of the stand-ins", "ADDR");
    options.reqopt(
        "",
        "hosts",
        "directory with the first line of each process, as HOST@DOMAIN.json",
        "DIR",
    );
    options.optopt(
        "",
        "processes",
        "number of ready processes to wait for",
        "N",
    );
    options.optopt("", "html", "write the report as a page to FILE", "FILE");
    options.optopt("", "save", "write the report as JSON to FILE", "FILE");
    options.optopt("", "baseline", "compare with the report in FILE", "FILE");
}

/// Prints the progress to standard error, so that a script can read the report apart from it.
fn print_progress(progress: Progress) {
    let Progress {
        elapsed,
        ended,
        requests,
    } = progress;
    eprintln!(
        "{} s: {ended} of {requests} requests ended",
        elapsed.as_secs()
    );
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let [file] = arguments(matches, ["SCENARIO"])?;
    let scenario: Scenario = jsonc::parse(&file, &read(&file)?)?;
    let control: String = matches.opt_get("control")?.context("--control")?;
    let control = control
        .parse()
        .map_err(|e| UsageError(format!("--control: {e}")))?;
    let hosts: PathBuf = matches.opt_get("hosts")?.context("--hosts")?;
    let processes = matches.opt_get_default("processes", 1)?;
    let outcome = run::run(
        &scenario,
        &Control::new(control),
        &hosts,
        processes,
        print_progress,
    )?;
    let report = report::summarise(&scenario, &outcome);
    if let Some(file) = matches.opt_str("html") {
        std::fs::write(&file, html::render(&report)).context(file)?;
    }
    if let Some(file) = matches.opt_str("save") {
        std::fs::write(&file, serde_json::to_vec_pretty(&report)?).context(file)?;
    }
    if matches.opt_present("json") {
        show_json(&report)?;
        return Ok(Exit::Done);
    }
    let mut text = report.table();
    if let Some(file) = matches.opt_str("baseline") {
        let baseline: Report = serde_json::from_str(&read(&file)?).context(file)?;
        text.push_str(&report.ratios(&baseline));
    }
    show(&text);
    Ok(Exit::Done)
}
