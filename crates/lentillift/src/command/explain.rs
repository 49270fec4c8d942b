//! `lentillift explain`: explains the result of one request from the logs of all processes.

use crate::command::Command;
use crate::command::UsageError;
use crate::command::show;
use crate::command::show_json;
use crate::exit::Exit;
use anyhow::Context;
use getopts::Matches;
use getopts::Options;
use lentillift::explanation;
use lentillift::explanation::Explanation;
use std::io::Read;

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "explain",
    arguments: "ID FILE...",
    summary: "explain the result of one request from the logs of all processes",
    about:
        "Reads logs of any number of processes, `-` for standard input, and shows every line about
the request ID in order of time, with state changes of the same processes shortly before: lost
origins, changes of the configuration, of hosts and of the backend servers involved. Lines of
other programs and lines that are cut off are counted and left out.",
    examples: &[
        (
            "lentillift explain 9c41d07be2a35f68 front-1.log front-2.log",
            "Show what delayed the request or made it fail.",
        ),
        (
            "cat *.log | lentillift explain 9c41d07be2a35f68 -",
            "The same from standard input.",
        ),
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt(
        "",
        "around",
        "show state changes up to SECONDS before the request (5)",
        "SECONDS",
    );
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let Some((id, files)) = matches.free.split_first() else {
        return Err(UsageError("found no request id, expected ID FILE...".to_owned()).into());
    };
    if files.is_empty() {
        return Err(UsageError("found no log, expected ID FILE...".to_owned()).into());
    }
    let lookback_s = matches.opt_get_default("around", explanation::DEFAULT_LOOKBACK_S)?;
    let mut logs = Vec::new();
    for file in files {
        logs.push((file.as_str(), read_log(file)?));
    }
    let explanation = Explanation::find(id, lookback_s, &logs);
    if matches.opt_present("json") {
        show_json(&explanation.to_json())?;
    } else {
        show(&explanation.to_text());
    }
    match explanation.is_empty() {
        true => Ok(Exit::Failed),
        false => Ok(Exit::Done),
    }
}

/// Reads a log. Invalid UTF-8, as in a line that is cut off, becomes replacement characters.
fn read_log(file: &str) -> anyhow::Result<String> {
    let mut bytes = Vec::new();
    if file == "-" {
        let read = std::io::stdin().read_to_end(&mut bytes);
        read.context("read standard input")?;
    } else {
        bytes = std::fs::read(file).with_context(|| format!("read {file}"))?;
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
