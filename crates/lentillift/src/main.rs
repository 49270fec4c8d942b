//! The command-line tool for configuration, operation and load tests.

#![forbid(unsafe_code)]

mod command;
mod demo;
mod exit;
mod fetch;
mod table;

use crate::exit::Exit;
use std::fmt::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((name, rest)) = arguments.split_first() else {
        eprint!("{}", help());
        return Exit::Usage.into();
    };
    if let Some(command) = command::ALL.iter().find(|command| command.name == name) {
        return command.start(rest).into();
    }
    if let ("help", Some(about)) = (name.as_str(), rest.first())
        && let Some(command) = command::ALL.iter().find(|command| command.name == about)
    {
        return command.start(&["--help".to_owned()]).into();
    }
    match name.as_str() {
        "demo" => demo::run(rest),
        "help" | "--help" | "-h" => {
            command::show(&help());
            ExitCode::SUCCESS
        }
        "--version" | "-V" => {
            println!("lentillift {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        other => {
            eprintln!("lentillift: found {other}, expected one of the commands below");
            eprint!("{}", help());
            Exit::Usage.into()
        }
    }
}

fn help() -> String {
    let mut help = "Usage: lentillift COMMAND [OPTIONS] [ARGUMENTS]\n\nCommands:\n".to_owned();
    for command in command::ALL {
        let _ = writeln!(help, "  {:10} {}", command.name, command.summary);
    }
    let demo = "run a small fleet on loopback, send it requests, and report the results";
    let _ = writeln!(
        help,
        "  {:10} {demo}\n  {:10} show this help",
        "demo", "help"
    );
    help.push_str("\n`lentillift COMMAND --help` explains a command and shows examples.\n\n");
    help.push_str(exit::HELP);
    help
}
