//! `lentillift configure`: generates the configuration to publish from answers.

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
    about: "Checks ANSWERS and writes the configuration generated from them, with its revision, to
standard output or to --output. Decisions and their reasons go to standard error.
Publish the configuration under the key `config` of the platform's configuration service.",
    examples: &[
        (
            "lentillift configure answers.jsonc --output config.json",
            "Generate the configuration and show the decisions.",
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
    options.optflag("q", "quiet", "do not show the decisions");
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let [file] = arguments(matches, ["ANSWERS"])?;
    let answers = Answers::parse(&file, &read(&file)?)?;
    let generated = generate_config(&file, &answers)?;
    if matches.opt_present("json") {
        output(matches, &(serde_json::to_string_pretty(&generated)? + "\n"))?;
        return Ok(Exit::Done);
    }
    output(matches, &text(&generated.config)?)?;
    if !matches.opt_present("quiet") {
        print_decisions(&answers, &generated);
    }
    Ok(Exit::Done)
}

/// Generates a configuration; faults in it are reported for `file`, at its first line.
pub(crate) fn generate_config(file: &str, answers: &Answers) -> Result<Generated, Report> {
    generate::generate(answers).map_err(|faults| Report {
        file: file.to_owned(),
        faults: faults
            .into_iter()
            .map(|fault| Line { line: 1, fault })
            .collect(),
    })
}

/// The text of a configuration, as it is to be published.
pub(crate) fn text(config: &Config) -> anyhow::Result<String> {
    Ok(serde_json::to_string_pretty(config)? + "\n")
}

/// Prints the size of the configuration, and each decision with its reason, to standard error.
fn print_decisions(answers: &Answers, generated: &Generated) {
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
