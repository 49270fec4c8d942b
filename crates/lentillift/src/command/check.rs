//! `lentillift check`: reports all faults of files at once.

use crate::command::Command;
use crate::command::UsageError;
use crate::command::read;
use crate::command::show;
use crate::command::show_json;
use crate::exit::Exit;
use getopts::Matches;
use getopts::Options;
use lentillift_settings::answers::Answers;
use lentillift_settings::document::Document;
use lentillift_settings::fault::Report;
use lentillift_settings::kind::Kind;

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "check",
    arguments: "FILE...",
    summary: "check answers, configurations, settings and published values",
    about: "Checks each FILE and names all faults at once: file, line, field, what was found and
what would be right. The kind of a file is detected from its fields unless --as gives it.",
    examples: &[
        (
            "lentillift check answers.jsonc",
            "Check answers before they are used.",
        ),
        (
            "lentillift check --as settings lentilliftd.jsonc",
            "Check a daemon's settings file.",
        ),
        (
            "lentillift check --json *.jsonc",
            "Faults as JSON, for an editor or a script.",
        ),
    ],
    options,
    run,
};

/// Values of `--as`.
const KINDS: [(&str, Kind); 5] = [
    ("answers", Kind::Answers),
    ("config", Kind::Config),
    ("settings", Kind::Settings),
    ("placement", Kind::Placement),
    ("hosts", Kind::Hosts),
];

fn options(options: &mut Options) {
    let kinds = "answers, config, settings, placement or hosts";
    options.optopt("", "as", kinds, "KIND");
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    if matches.free.is_empty() {
        return Err(UsageError("found no FILE, at least one is right".to_owned()).into());
    }
    let forced_kind = match matches.opt_str("as") {
        Some(name) => Some(parse_kind(&name)?),
        None => None,
    };
    let json = matches.opt_present("json");
    let mut reports = Vec::new();
    for file in &matches.free {
        match check(file, &read(file)?, forced_kind) {
            Ok(kind) if !json => show(&format!("{file}: right ({kind})\n")),
            Ok(_) => {}
            Err(report) => reports.push(report),
        }
    }
    if json {
        show_json(&reports)?;
    } else {
        reports.iter().for_each(|report| eprintln!("{report}"));
    }
    Ok(match reports.is_empty() {
        true => Exit::Done,
        false => Exit::Failed,
    })
}

/// Parses the value of `--as`.
fn parse_kind(name: &str) -> Result<Kind, UsageError> {
    let found = KINDS.iter().find(|(known, _)| *known == name);
    let known = KINDS.map(|(known, _)| known).join(", ");
    found
        .map(|(_, kind)| *kind)
        .ok_or_else(|| UsageError(format!("--as: found {name}, expected one of {known}")))
}

/// Checks a file; answers are checked by generating a configuration from them as well.
fn check(file: &str, text: &str, forced_kind: Option<Kind>) -> Result<Kind, Report> {
    let kind = match forced_kind {
        Some(kind) => kind,
        None => Kind::detect(&Document::parse(file, text)?),
    };
    kind.check(file, text)?;
    if kind == Kind::Answers {
        super::configure::generate_config(file, &Answers::parse(file, text)?)?;
    }
    Ok(kind)
}
