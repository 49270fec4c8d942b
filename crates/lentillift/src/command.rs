//! The commands and what they have in common.

pub(crate) mod check;
pub(crate) mod configure;
pub(crate) mod diff;
pub(crate) mod explain;
pub(crate) mod init;
pub(crate) mod load;
pub(crate) mod quarantine;
pub(crate) mod query;
pub(crate) mod service;
pub(crate) mod status;
pub(crate) mod timeline;

use crate::exit;
use crate::exit::Exit;
use anyhow::Context;
use getopts::Matches;
use getopts::Options;
use lentillift_settings::fault::Report;
use serde::Serialize;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::Path;

/// A command.
pub(crate) struct Command {
    /// Its name.
    pub(crate) name: &'static str,
    /// What follows its name.
    pub(crate) arguments: &'static str,
    /// What it does, in one line.
    pub(crate) summary: &'static str,
    /// What it does, in a few lines.
    pub(crate) about: &'static str,
    /// Command lines that work, with what each does.
    pub(crate) examples: &'static [(&'static str, &'static str)],
    /// Adds its options.
    pub(crate) options: fn(&mut Options),
    /// Runs it.
    pub(crate) run: fn(&Matches) -> anyhow::Result<Exit>,
}

/// All commands but the demonstration.
pub(crate) const ALL: &[Command] = &[
    init::COMMAND,
    configure::COMMAND,
    check::COMMAND,
    diff::COMMAND,
    service::DOMAIN,
    service::HOST,
    status::COMMAND,
    query::COMMAND,
    timeline::COMMAND,
    explain::COMMAND,
    quarantine::COMMAND,
    load::COMMAND,
];

/// A command line that is wrong.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct Usage(pub(crate) String);

/// A process that could not be reached.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct Unreachable(pub(crate) String);

impl Command {
    /// Parses the arguments after the command's name and runs it.
    pub(crate) fn start(&self, arguments: &[String]) -> Exit {
        let mut options = Options::new();
        options.optflag("h", "help", "show this help");
        options.optflag("", "json", "write JSON in place of text");
        (self.options)(&mut options);
        // Before anything is checked: who asks for help has not filled in the rest.
        if arguments.iter().any(|a| a == "--help" || a == "-h") {
            show(&self.help(&options));
            return Exit::Done;
        }
        let matches = match options.parse(arguments) {
            Ok(matches) => matches,
            Err(error) => return self.misused(&error.to_string()),
        };
        match (self.run)(&matches) {
            Ok(exit) => exit,
            Err(error) => self.failed(&error, matches.opt_present("json")),
        }
    }

    fn help(&self, options: &Options) -> String {
        let brief = format!(
            "Usage: lentillift {} [OPTIONS] {}\n\n{}",
            self.name, self.arguments, self.about
        );
        let mut help = options.usage(&brief);
        help.push_str("\nExamples:\n");
        for (line, what) in self.examples {
            let _ = writeln!(help, "  {line}\n      {what}");
        }
        help.push('\n');
        help.push_str(exit::HELP);
        help
    }

    fn misused(&self, what: &str) -> Exit {
        eprintln!("lentillift {}: {what}", self.name);
        eprintln!("Try `lentillift {} --help`.", self.name);
        Exit::Usage
    }

    fn failed(&self, error: &anyhow::Error, json: bool) -> Exit {
        if let Some(Usage(what)) = error.downcast_ref() {
            return self.misused(what);
        }
        if let Some(report) = error.downcast_ref::<Report>() {
            match json {
                true => show(&format!("{}\n", serde_json::json!([report]))),
                false => eprintln!("{report}"),
            }
            return Exit::Failed;
        }
        if json {
            show(&format!(
                "{}\n",
                serde_json::json!({ "error": format!("{error:#}") })
            ));
        }
        eprintln!("lentillift {}: {error:#}", self.name);
        match error.is::<Unreachable>() {
            true => Exit::Unreachable,
            false => Exit::Failed,
        }
    }
}

/// The free arguments, which must be as many as `names`.
pub(crate) fn arguments<const N: usize>(
    matches: &Matches,
    names: [&str; N],
) -> anyhow::Result<[String; N]> {
    let free = matches.free.clone();
    let found = free.len();
    free.try_into().map_err(|_| {
        let names = names.join(" ");
        Usage(format!("found {found} arguments, right is {names}")).into()
    })
}

/// Reads a file as text.
pub(crate) fn read(file: &str) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("read {file}"))
}

/// Replaces a file by `text` in one step.
///
/// A tool that is stopped halfway through writing would leave half of the answers, and operators
/// would find out at the next change, at night. The old file stays whole until the new one is.
pub(crate) fn replace(file: &str, text: &str) -> anyhow::Result<()> {
    let new = format!("{file}.new");
    std::fs::write(&new, text).with_context(|| format!("write {new}"))?;
    std::fs::rename(&new, file).with_context(|| format!("replace {file}"))
}

/// Writes to the file of `--output`, else to standard output.
pub(crate) fn output(matches: &Matches, text: &str) -> anyhow::Result<()> {
    match matches.opt_str("output") {
        Some(file) => replace(&file, text),
        None => {
            show(text);
            Ok(())
        }
    }
}

/// Writes text to standard output.
///
/// A reader that has seen enough, such as `head`, closes the pipe; that is no fault of ours.
pub(crate) fn show(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Writes a JSON value and a line end to standard output.
pub(crate) fn show_json<T>(value: &T) -> anyhow::Result<()>
where
    T: Serialize,
{
    show(&(serde_json::to_string(value)? + "\n"));
    Ok(())
}

/// Whether a file is there.
pub(crate) fn exists(file: &str) -> bool {
    Path::new(file).exists()
}
