//! Runs the stand-ins of a load scenario.

#![forbid(unsafe_code)]

use anyhow::Context;
use lentillift_settings::jsonc;
use lentillift_standin::control;
use lentillift_standin::world::World;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The part of a scenario that is of concern here.
#[derive(Debug, Deserialize)]
struct Scenario {
    world: World,
}

fn main() -> anyhow::Result<()> {
    let file = std::env::args().nth(1);
    let file = file.context("Usage: lentillift-standin SCENARIO")?;
    let text = std::fs::read_to_string(&file).with_context(|| file.clone())?;
    let scenario: Scenario = jsonc::parse(&file, &text)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    runtime.block_on(run(&scenario.world))
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
