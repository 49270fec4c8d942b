//! The commands, and what they share: parsing, help, errors and output.

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

/// A subcommand of the tool.
pub(crate) struct Command {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// Arguments after the name, as the usage line shows them.
    pub(crate) arguments: &'static str,
    /// Description in one line, for the list of commands.
    pub(crate) summary: &'static str,
    /// Description in a few lines, for its help.
    pub(crate) about: &'static str,
    /// Example command lines, each with a description.
    pub(crate) examples: &'static [(&'static str, &'static str)],
    /// Adds its options to the common ones.
    pub(crate) options: fn(&mut Options),
    /// Runs it with parsed options.
    pub(crate) run: fn(&Matches) -> anyhow::Result<Exit>,
}

/// All commands besides `demo`, in the order of the help.
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

/// The command line is wrong; ends with exit code 2.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct UsageError(pub(crate) String);

/// A process could not be reached; ends with exit code 3.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct Unreachable(pub(crate) String);

impl Command {
    /// Parses the arguments after the command's name and runs it.
    pub(crate) fn start(&self, arguments: &[String]) -> Exit {
        let mut options = Options::new();
        options.optflag("h", "help", "show this help");
        options.optflag("", "json", "write JSON instead of text");
        (self.options)(&mut options);
        // Before parsing, which would fail because required options and arguments are missing.
        if arguments.iter().any(|a| a == "--help" || a == "-h") {
            show(&self.help(&options));
            return Exit::Done;
        }
        let matches = match options.parse(arguments) {
            Ok(matches) => matches,
            Err(error) => return self.report_usage_error(&error.to_string()),
        };
        match (self.run)(&matches) {
            Ok(exit) => exit,
            Err(error) => self.report_failure(&error, matches.opt_present("json")),
        }
    }

    /// The help text, with the options and examples.
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

    /// Prints an error in the command line.
    fn report_usage_error(&self, what: &str) -> Exit {
        eprintln!("lentillift {}: {what}", self.name);
        eprintln!("Try `lentillift {} --help`.", self.name);
        Exit::Usage
    }

    /// Prints an error of the run, and returns the exit code for it.
    fn report_failure(&self, error: &anyhow::Error, json: bool) -> Exit {
        if let Some(UsageError(what)) = error.downcast_ref() {
            return self.report_usage_error(what);
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

/// Returns the positional arguments; fails unless there are as many as `names`.
pub(crate) fn arguments<const N: usize>(
    matches: &Matches,
    names: [&str; N],
) -> anyhow::Result<[String; N]> {
    let free = matches.free.clone();
    let found = free.len();
    free.try_into().map_err(|_| {
        let names = names.join(" ");
        UsageError(format!("found {found} arguments, expected {names}")).into()
    })
}

/// Reads a file as text.
pub(crate) fn read(file: &str) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("read {file}"))
}

/// Replaces the content of a file atomically: writes a new file and renames it.
///
/// If the tool were stopped while it overwrote the file, half of the answers would be lost, and
/// operators would notice only at the next change, perhaps at night.
pub(crate) fn replace(file: &str, text: &str) -> anyhow::Result<()> {
    let new = format!("{file}.new");
    std::fs::write(&new, text).with_context(|| format!("write {new}"))?;
    std::fs::rename(&new, file).with_context(|| format!("replace {file}"))
}

/// Writes `text` to the file given by `--output`, or to standard output.
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
/// Errors are ignored: a reader such as `head` closes the pipe when it has read enough.
pub(crate) fn show(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Writes a value as one line of JSON to standard output.
pub(crate) fn show_json<T>(value: &T) -> anyhow::Result<()>
where
    T: Serialize,
{
    show(&(serde_json::to_string(value)? + "\n"));
    Ok(())
}

/// Whether a file exists.
pub(crate) fn exists(file: &str) -> bool {
    Path::new(file).exists()
}
