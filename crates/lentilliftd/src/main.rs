//! Command line of the daemon: parses flags and settings, and runs one process of the query tier.

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

/// Environment variable with the directory for traces of this process's decisions.
const TRACE_VARIABLE: &str = "LENTILLIFT_TRACE";

/// Worker threads of the asynchronous runtime; blocking calls run on threads of their own.
const WORKER_THREADS: usize = 2;

/// Longest wait at exit for blocking calls still in progress.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Exit code for invalid settings or an invalid command line.
const EXIT_USAGE: u8 = 2;

const USAGE: &str = "\
Usage: lentilliftd [--settings FILE] [OPTIONS]

Runs one process of the query tier. Each setting may be given in FILE (JSON with comments) or as
a flag; a flag takes precedence. Port 0 lets the operating system choose; the first line on
standard output is a JSON object with the addresses in use. On SIGTERM the process finishes the
requests in flight and exits.";

const EXAMPLES: &str = "
Examples:
  lentilliftd --settings lentilliftd.jsonc --check
      Check the settings, report all errors at once, and exit.
  lentilliftd --settings lentilliftd.jsonc --host entry-3 --domain d2
      One file for all hosts, with host-specific values as flags.
  lentilliftd --settings lentilliftd.jsonc --log json
      Write log lines as JSON. RUST_LOG=debug shows more of them.

Environment:
  RUST_LOG          log level or filter, such as debug or warn
  LENTILLIFT_TRACE  directory for traces of this process's decisions, for replay

Exit codes:
  0  stopped on request, or the settings are valid
  1  the process could not run
  2  the settings or the command line are invalid
";

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&error),
    };
    if matches.opt_present("help") {
        print!("{}{EXAMPLES}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    let start = match read_settings(&matches) {
        Ok(start) => start,
        Err(error) => return usage_error(&error),
    };
    if matches.opt_present("check") {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    init_logging(start.log);
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

fn usage_error<E>(error: &E) -> ExitCode
where
    E: std::fmt::Display,
{
    eprintln!("{error:#}");
    eprintln!("Try `lentilliftd --help`.");
    ExitCode::from(EXIT_USAGE)
}

fn read_settings(matches: &Matches) -> anyhow::Result<StartOptions> {
    anyhow::ensure!(
        matches.free.is_empty(),
        "unexpected arguments {:?}, only flags are accepted",
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

/// Sends log lines to standard error, from level `info` up unless `RUST_LOG` sets another filter.
fn init_logging(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Human => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

fn serve(settings: Settings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(run(settings))?;
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    Ok(())
}

async fn run(settings: Settings) -> anyhow::Result<()> {
    let sockets = Sockets::open(&settings).await?;
    // Scripts read the addresses from this line, because the system may have chosen the ports.
    let listening = serde_json::json!({
        "caller": sockets.caller.local_addr()?,
        "node": sockets.node.local_addr()?,
        "operator": sockets.operator.local_addr()?,
    });
    println!("{listening}");
    let started = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let traces = std::env::var_os(TRACE_VARIABLE).map(PathBuf::from);
    let incarnation = started.as_nanos() as u64;
    let daemon = Daemon::start_traced(&settings, sockets, incarnation, traces.as_deref());
    info!(host = %settings.host, domain = %settings.domain, "started");
    let mut terminate = signal(SignalKind::terminate())?;
    terminate.recv().await;
    info!(host = %settings.host, "stopping");
    daemon.stop().await;
    Ok(())
}
