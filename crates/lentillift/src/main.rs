//! The command-line tool.

#![forbid(unsafe_code)]

mod demo;

use std::process::ExitCode;

const HELP: &str = "\
Usage: lentillift COMMAND

Commands:
  demo    run a small fleet on loopback, ask it, and tell what happened
  help    show this help
";

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    match arguments.next().as_deref() {
        Some("demo") => demo::run(),
        Some("help" | "--help" | "-h") => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        _ => {
            eprint!("{HELP}");
            ExitCode::from(2)
        }
    }
}
