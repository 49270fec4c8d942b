//! Requests that end each backend server which begins to run them.

mod common;

use common::Act;
use common::Shared;
use common::ask;
use common::backend;
use common::fragile::FATAL;
use common::fragile::Fragile;
use common::fragile::Nature;
use common::get;
use common::run;
use common::serve;
use common::singles;

fn ended(host: &Shared) -> u64 {
    let text = host.board.render(host.now());
    let line = text
        .lines()
        .find(|line| line.starts_with("lentillift_gateway_servers_ended_total "));
    line.map_or(0, |line| {
        let count = line.rsplit(' ').next().expect("a value");
        count.parse().expect("a number")
    })
}

/// A server that ended looks like one that lost a reply, and nobody finds the request that ended it.
#[test]
fn an_ended_server_is_told_from_a_lost_reply() {
    run(async {
        let lossy = backend(vec![Act::WriteAndClose(String::new())]).await;
        let served = serve(singles(&[lossy.address])).await;
        ask(served.front, &get("/once/x", "i1")).await;
        assert_eq!(ended(&served.host), 0);
        let fragile = Fragile::start(Nature::quick('a')).await;
        let served = serve(singles(&[fragile.address])).await;
        ask(served.front, &get(&format!("/once/{FATAL}"), "i2")).await;
        assert_eq!(ended(&served.host), 1);
    });
}
