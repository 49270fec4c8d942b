//! Runs the simulated configuration service and backend servers of a world file in one process.
//!
//! Prints the addresses of the configuration service and of the control interface as one JSON line.

#![forbid(unsafe_code)]

use anyhow::Context;
use getopts::Options;
use lentillift_settings::jsonc;
use lentillift_standin::control;
use lentillift_standin::world::World;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Worker threads of the runtime; enough that the stand-ins do not limit the result of a load run.
const WORKER_THREADS: usize = 4;

const USAGE: &str = "Usage: lentillift-standin [--policies-off] WORLD";

fn main() -> anyhow::Result<()> {
    let mut options = Options::new();
    options.optflag(
        "",
        "policies-off",
        "publish a configuration with all load policies switched off",
    );
    options.optflag("h", "help", "show this help");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(());
    }
    let file = matches.free.first().context(USAGE)?;
    let text = std::fs::read_to_string(file).with_context(|| file.clone())?;
    let mut world: World = jsonc::parse(file, &text)?;
    if matches.opt_present("policies-off") {
        world.config.policy.switch_off();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(run(&world))
}

async fn run(world: &World) -> anyhow::Result<()> {
    let (_stop, stopped) = watch::channel(false);
    let running = world.start(&stopped).await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let listening = serde_json::json!({
        "platform": running.address,
        "control": listener.local_addr()?,
    });
    println!("{listening}");
    control::serve(running, listener, stopped).await;
    Ok(())
}
