//! `lentillift init`: writes a questionnaire with example answers.

use crate::command::Command;
use crate::command::UsageError;
use crate::command::exists;
use crate::command::replace;
use crate::command::show;
use crate::command::show_json;
use crate::exit::Exit;
use getopts::Matches;
use getopts::Options;
use lentillift_settings::answers::QUESTIONNAIRE;

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "init",
    arguments: "[FILE]",
    summary: "write a questionnaire to fill in",
    about: "Writes a questionnaire about services, callers, priorities, sizes and failure domains.
Each question is explained beside it and has an answer to change. Without FILE it goes
to standard output.",
    examples: &[
        (
            "lentillift init answers.jsonc",
            "Create a file of answers for a new team.",
        ),
        ("lentillift init | less", "Read the questions."),
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optflag("", "force", "overwrite FILE");
}

fn run(matches: &Matches) -> anyhow::Result<Exit> {
    let file = match matches.free.as_slice() {
        [] => {
            show(QUESTIONNAIRE);
            return Ok(Exit::Done);
        }
        [file] => file,
        _ => return Err(UsageError("at most one FILE is right".to_owned()).into()),
    };
    if exists(file) && !matches.opt_present("force") {
        anyhow::bail!("{file} already exists; --force overwrites it");
    }
    replace(file, QUESTIONNAIRE)?;
    match matches.opt_present("json") {
        true => show_json(&serde_json::json!({ "file": file }))?,
        false => {
            eprintln!("Wrote {file}. Next: change the answers, then `lentillift check {file}`.")
        }
    }
    Ok(Exit::Done)
}
