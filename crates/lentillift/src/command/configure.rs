//! `lentillift configure`: from answers to the configuration to publish.

use crate::command::Command;
use crate::command::arguments;
use crate::command::output;
use crate::command::read;
use crate::exit::Exit;
use getopts::Matches;
use getopts::Options;
use lentillift_settings::answers::Answers;
use lentillift_settings::config::Config;
use lentillift_settings::fault::Line;
use lentillift_settings::fault::Report;
use lentillift_settings::generate;
use lentillift_settings::generate::Generated;

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "configure",
    arguments: "ANSWERS",
    summary: "generate the configuration to publish",
    about: "Checks ANSWERS and writes the configuration that they lead to, with its revision, to
standard output or to --output. What was decided, and why, goes to standard error.
Publish the configuration under the key `config` of the platform's service.",
    examples: &[
        (
            "lentillift configure answers.jsonc --output config.json",
            "Generate the configuration and read what was decided.",
        ),
        (
            "lentillift configure --json answers.jsonc",
            "Configuration and decisions as one JSON value.",
        ),
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt("o", "output", "write the configuration to FILE", "FILE");
    options.optflag("q", "quiet", "leave out what was decided");
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let [file] = arguments(matches, ["ANSWERS"])?;
    let answers = Answers::parse(&file, &read(&file)?)?;
    let generated = generated(&file, &answers)?;
    if matches.opt_present("json") {
        output(matches, &(serde_json::to_string_pretty(&generated)? + "\n"))?;
        return Ok(Exit::Done);
    }
    output(matches, &text(&generated.config)?)?;
    if !matches.opt_present("quiet") {
        summarise(&answers, &generated);
    }
    Ok(Exit::Done)
}

/// Generates a configuration; what makes it unfit is reported for `file`.
pub(crate) fn generated(file: &str, answers: &Answers) -> Result<Generated, Report> {
    generate::generate(answers).map_err(|faults| Report {
        file: file.to_owned(),
        faults: faults
            .into_iter()
            .map(|fault| Line { line: 1, fault })
            .collect(),
    })
}

/// A configuration as it is published.
pub(crate) fn text(config: &Config) -> anyhow::Result<String> {
    Ok(serde_json::to_string_pretty(config)? + "\n")
}

fn summarise(answers: &Answers, generated: &Generated) {
    eprintln!(
        "{}: revision {}, {} services, {} callers, {} failure domains.",
        answers.organisation,
        generated.config.revision,
        generated.config.services.len(),
        generated.config.callers.len(),
        generated.config.domains.len()
    );
    for decision in &generated.decisions {
        eprintln!("  {}: {}", decision.about, decision.decided);
        eprintln!("      because {}", decision.why);
    }
}
