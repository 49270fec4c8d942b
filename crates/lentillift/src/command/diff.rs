//! `lentillift diff`: describes what a new revision changes.

use crate::command::Command;
use crate::command::arguments;
use crate::command::configure;
use crate::command::read;
use crate::command::show;
use crate::command::show_json;
use crate::exit::Exit;
use getopts::Matches;
use getopts::Options;
use lentillift_settings::answers::Answers;
use lentillift_settings::change;
use lentillift_settings::config;
use lentillift_settings::config::Config;
use lentillift_settings::document::Document;
use lentillift_settings::kind::Kind;
use lentillift_settings::review;
use std::fmt::Write;

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "diff",
    arguments: "OLD NEW",
    summary: "describe what a new revision changes",
    about: "Compares two configurations, or the configurations generated from two files of answers,
and describes what changes when NEW is published after OLD.",
    examples: &[(
        "lentillift diff config.json answers.jsonc",
        "What would publishing these answers change?",
    )],
    options,
    run,
};

fn options(_: &mut Options) {}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let [old, new] = arguments(matches, ["OLD", "NEW"])?;
    let (old, new) = (load(&old)?, load(&new)?);
    let changes = change::describe(&old, &new);
    if matches.opt_present("json") {
        let json = serde_json::json!({
            "old_revision": old.revision,
            "new_revision": new.revision,
            "changes": changes,
        });
        show_json(&json)?;
        return Ok(Exit::Done);
    }
    let mut text = format!("Revision {} after {}:\n", new.revision, old.revision);
    for change in &changes {
        let _ = writeln!(text, "  {change}");
    }
    if changes.is_empty() {
        text.push_str("  Nothing changes.\n");
    }
    show(&text);
    Ok(Exit::Done)
}

/// Reads a configuration, or generates it if the file has answers.
fn load(file: &str) -> anyhow::Result<Config> {
    let text = read(file)?;
    let document = Document::parse(file, &text)?;
    if Kind::detect(&document) == Kind::Answers {
        let answers = Answers::parse(file, &text)?;
        return Ok(configure::generate_config(file, &answers)?.config);
    }
    let config: Config = document.decode(&config::SHAPE)?;
    document.ensure_no_faults(review::config(&config))?;
    Ok(config)
}
