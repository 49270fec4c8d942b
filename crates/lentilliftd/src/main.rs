//! Runs one process of the system.

#![forbid(unsafe_code)]

use anyhow::Context;
use getopts::Matches;
use getopts::Options;
use lentillift_settings::daemon;
use lentillift_settings::daemon::LogFormat;
use lentillift_settings::daemon::SETTINGS;
use lentillift_settings::daemon::Settings;
use lentillift_settings::daemon::StartOptions;
use lentilliftd::daemon::Daemon;
use lentilliftd::daemon::Sockets;
use serde_json::Map;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tracing::info;
use tracing_subscriber::EnvFilter;

/// Environment variable that names a directory for traces of the decisions of this process.
const TRACES: &str = "LENTILLIFT_TRACE";

/// Worker threads for sockets and decisions.
const WORKERS: usize = 2;

/// Longest wait at the end for blocking calls that are still under way.
const SHUTDOWN: Duration = Duration::from_secs(1);

/// Exit code for settings or a command line that are wrong.
const MISUSED: u8 = 2;

const BRIEF: &str = "\
Usage: lentilliftd [--settings FILE] [OPTIONS]

Runs one process of the query tier. Each setting may stand in FILE (JSON with comments) or be
given as a flag; a flag wins. A port of 0 leaves the choice to the system; the first line on
standard output tells the addresses in use. SIGTERM lets it finish what it has and end.";

const EXAMPLES: &str = "
Examples:
  lentilliftd --settings lentilliftd.jsonc --check
      Check the settings, name all faults at once, and exit.
  lentilliftd --settings lentilliftd.jsonc --host entry-3 --domain d2
      One file for all hosts, with the values of this host as flags.
  lentilliftd --settings lentilliftd.jsonc --log json
      Log lines as JSON. RUST_LOG=debug shows more.

Environment:
  RUST_LOG          which log lines are written, such as debug or warn
  LENTILLIFT_TRACE  directory for traces of this process's decisions, to be replayed

Exit codes:
  0  ended as asked, or the settings are right
  1  it could not run
  2  the settings or the command line are wrong
";

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return misused(&error),
    };
    if matches.opt_present("help") {
        print!("{}{EXAMPLES}", options.usage(BRIEF));
        return ExitCode::SUCCESS;
    }
    let start = match start(&matches) {
        Ok(start) => start,
        Err(error) => return misused(&error),
    };
    if matches.opt_present("check") {
        println!("settings are right");
        return ExitCode::SUCCESS;
    }
    log(start.log);
    match serve(start.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lentilliftd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file, JSON with comments", "FILE");
    for item in SETTINGS {
        options.optopt("", &daemon::flag(item.name), item.help, "VALUE");
    }
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "show this help");
    options
}

fn misused<E>(error: &E) -> ExitCode
where
    E: std::fmt::Display,
{
    eprintln!("{error:#}");
    eprintln!("Try `lentilliftd --help`.");
    ExitCode::from(MISUSED)
}

fn start(matches: &Matches) -> anyhow::Result<StartOptions> {
    anyhow::ensure!(
        matches.free.is_empty(),
        "found {:?}, right are flags only",
        matches.free
    );
    let mut flags = Map::new();
    for item in SETTINGS {
        if let Some(value) = matches.opt_str(&daemon::flag(item.name)) {
            flags.insert(item.name.to_owned(), item.value(&value));
        }
    }
    let file = matches.opt_str("settings");
    let text = match &file {
        Some(file) => std::fs::read_to_string(file).with_context(|| format!("read {file}"))?,
        None => String::new(),
    };
    let file = file.as_deref().map(|file| (file, text.as_str()));
    Ok(daemon::resolve(file, &flags)?)
}

/// Writes log lines to standard error; `RUST_LOG` may ask for more or less.
fn log(log: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    match log {
        LogFormat::Human => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

fn serve(settings: Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()?;
    runtime.block_on(run(settings))?;
    runtime.shutdown_timeout(SHUTDOWN);
    Ok(())
}

async fn run(settings: Settings) -> anyhow::Result<()> {
    let sockets = Sockets::open(&settings).await?;
    // One line for scripts, since the system may have chosen the ports.
    let listening = serde_json::json!({
        "caller": sockets.caller.local_addr()?,
        "node": sockets.node.local_addr()?,
        "operator": sockets.operator.local_addr()?,
    });
    println!("{listening}");
    let started = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let traces = std::env::var_os(TRACES).map(PathBuf::from);
    let incarnation = started.as_nanos() as u64;
    let daemon = Daemon::start_traced(&settings, sockets, incarnation, traces.as_deref());
    info!(host = %settings.host, domain = %settings.domain, "started");
    let mut terminate = signal(SignalKind::terminate())?;
    terminate.recv().await;
    info!(host = %settings.host, "stopping");
    daemon.stop().await;
    Ok(())
}
