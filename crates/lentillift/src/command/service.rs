//! `lentillift domain` and `lentillift host`: take a failure domain or a host out of service or bring
//! it back.

use crate::command::Command;
use crate::command::UsageError;
use crate::command::arguments;
use crate::command::configure;
use crate::command::output;
use crate::command::read;
use crate::command::replace;
use crate::command::show;
use crate::exit::Exit;
use getopts::Matches;
use getopts::Options;
use lentillift_settings::answers::Answers;
use lentillift_settings::change;
use lentillift_settings::revise;
use lentillift_settings::revise::Direction;
use lentillift_settings::revise::Revised;
use lentillift_settings::revise::Unit;

/// The command for failure domains.
pub(crate) const DOMAIN: Command = Command {
    name: "domain",
    arguments: "out|in NAME ANSWERS",
    summary: "take a failure domain out of service or bring it back",
    about: ABOUT,
    examples: &[
        (
            "lentillift domain out d2 answers.jsonc --output config.json",
            "Take d2 out; publish config.json, and d2 gets no new work within seconds.",
        ),
        (
            "lentillift domain in d2 answers.jsonc --dry-run",
            "Show what bringing d2 back would change.",
        ),
    ],
    options,
    run: |matches| run(matches, Unit::Domain),
};

/// The command for hosts.
pub(crate) const HOST: Command = Command {
    name: "host",
    arguments: "out|in NAME ANSWERS",
    summary: "take a host out of service or bring it back",
    about: ABOUT,
    examples: &[(
        "lentillift host out entry-3 answers.jsonc --output config.json",
        "Take the host out; publish config.json.",
    )],
    options,
    run: |matches| run(matches, Unit::Host),
};

const ABOUT: &str =
    "Revises ANSWERS in place, keeps their comments, raises the revision, and writes the new
configuration to standard output or to --output. Publish it under the key `config`: the
system itself writes nothing. If it is out already, the revision stays the same.";

fn options(options: &mut Options) {
    options.optopt("o", "output", "write the configuration to FILE", "FILE");
    options.optflag("n", "dry-run", "change no file; show what would change");
}

fn run(matches: &Matches, unit: Unit) -> anyhow::Result<Exit> {
    let [direction, name, file] = arguments(matches, ["out|in", "NAME", "ANSWERS"])?;
    let way = match direction.as_str() {
        "out" => Direction::Out,
        "in" => Direction::In,
        other => return Err(UsageError(format!("found {other}, expected out or in")).into()),
    };
    let text = read(&file)?;
    let before = configure::generate_config(&file, &Answers::parse(&file, &text)?)?.config;
    let revised = revise::update_out_of_service(&file, &text, unit, way, &name)?;
    let after = configure::generate_config(&file, &revised.answers)?.config;
    let changes = change::describe(&before, &after);
    if matches.opt_present("dry-run") {
        report(matches, &revised, &changes);
        return Ok(Exit::Done);
    }
    // The answers are written first. If only the output were written, the next change would generate
    // a second configuration of the same revision, and the later one would never come into force.
    if revised.changed {
        replace(&file, &revised.text)?;
    }
    if matches.opt_present("json") {
        let json = serde_json::json!({
            "changed": revised.changed,
            "revision": after.revision,
            "changes": changes,
            "config": after,
        });
        output(matches, &(json.to_string() + "\n"))?;
    } else {
        output(matches, &configure::text(&after)?)?;
        report(matches, &revised, &changes);
    }
    Ok(Exit::Done)
}

/// Prints the revision and the changes.
fn report(matches: &Matches, revised: &Revised, changes: &[String]) {
    let revision = revised.answers.revision;
    if matches.opt_present("json") {
        let json = serde_json::json!({
            "changed": revised.changed,
            "revision": revision,
            "changes": changes,
        });
        show(&format!("{json}\n"));
        return;
    }
    match revised.changed {
        true => eprintln!("Revision {revision}:"),
        false => eprintln!("Nothing changes; revision {revision} stays."),
    }
    for change in changes {
        eprintln!("  {change}");
    }
}
