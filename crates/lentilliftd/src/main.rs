//! Runs one process of the system.

#![forbid(unsafe_code)]

use anyhow::Context;
use getopts::Matches;
use getopts::Options;
use lentillift_settings::daemon::Settings;
use lentillift_settings::jsonc;
use lentilliftd::daemon::Daemon;
use lentilliftd::daemon::Sockets;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tracing::info;

/// Environment variable that names a directory for traces of the decisions of this process.
const TRACES: &str = "LENTILLIFT_TRACE";

/// Worker threads for sockets and decisions.
const WORKERS: usize = 2;

/// Longest wait at the end for blocking calls that are still under way.
const SHUTDOWN: Duration = Duration::from_secs(1);

fn main() -> anyhow::Result<()> {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file, JSON with comments", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "show this help");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: lentilliftd --settings FILE"));
        return Ok(());
    }
    let settings = settings(&matches)?;
    if matches.opt_present("check") {
        println!("settings are right");
        return Ok(());
    }
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()?;
    runtime.block_on(run(settings))?;
    runtime.shutdown_timeout(SHUTDOWN);
    Ok(())
}

fn settings(matches: &Matches) -> anyhow::Result<Settings> {
    let file = matches
        .opt_str("settings")
        .context("--settings is missing")?;
    let text = std::fs::read_to_string(&file).with_context(|| file.clone())?;
    Ok(jsonc::parse(&file, &text)?)
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
    info!(host = %settings.host, "started");
    let mut terminate = signal(SignalKind::terminate())?;
    terminate.recv().await;
    info!("stopping");
    daemon.stop().await;
    Ok(())
}
