//! Searches through hosts that have different configurations.

mod common;

use common::Reaction;
use common::SharedHost;
use common::backend;
use common::complete_reply;
use common::front;
use common::get;
use common::header;
use common::introduce;
use common::item;
use common::run;
use common::send_request;
use common::start;
use common::status;
use lentillift_scatter::source::Item;
use std::time::Duration;

/// Names of the shards.
const SHARDS: &str = "s0 s1 s2 s3 s4";

/// One server in failure domain `b` for each shard, which replies after `delay` with two records of
/// its own letters.
async fn servers(delay: Duration) -> Vec<Item> {
    let mut items = Vec::new();
    for (n, letters) in ["aj", "bi", "ch", "dg", "ef"].into_iter().enumerate() {
        let records: String = letters.chars().map(record).collect();
        let server = backend(vec![Reaction::Pause(delay, complete_reply(&records))]).await;
        items.push(item(&format!("b{n}"), format!("s{n} {} b", server.address)));
    }
    items
}

/// A record of 16 times this letter.
fn record(letter: char) -> String {
    letter.to_string().repeat(16)
}

/// Published state with the servers and a configuration with these words.
fn state(servers: &[Item], words: &str) -> Vec<Item> {
    let config = item("config", words.to_owned());
    servers.iter().cloned().chain([config]).collect()
}

fn counted(host: &SharedHost, line: &str) -> bool {
    host.metrics.render(host.now()).contains(line)
}

/// Searches through a host that asks another host for all shards. Both know the same servers, and
/// have configurations with the shards and these words; checks the records of the answer, and that
/// no part is missing and no server was asked directly.
macro_rules! search {
    ($($(#[$doc:meta])* $name:ident: $asking:expr, $asked:expr, $delay:expr => $records:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            run(async {
                let servers = servers($delay).await;
                let asking = format!("{SHARDS} {}", $asking);
                let asking = start("asking", "a", state(&servers, &asking)).await;
                let asked = format!("{SHARDS} {}", $asked);
                let asked = start("asked", "b", state(&servers, &asked)).await;
                introduce(&asked, &asking);
                let answer = send_request(front(&asking).await, &get("/all/x", "i")).await;
                assert_eq!(status(&answer), 200, "{answer}");
                assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
                let expected: String = $records.chars().map(record).collect();
                assert!(answer.ends_with(&format!("\r\n\r\n{expected}")), "{answer}");
                assert!(!counted(&asking, "kind=\"far\""));
            });
        }
    )*};
}

search! {
    same_configuration: "records=7", "records=7", Duration::ZERO => "jihgfed";
    /// Guards against an answer that lacks some of the greatest records of its parts, because the
    /// other host merged them for a route with fewer records.
    the_other_host_has_a_route_with_fewer_records:
        "records=7", "records=2", Duration::ZERO => "jihgfed";
    the_other_host_has_a_route_with_more_records:
        "records=2", "records=7", Duration::ZERO => "ji";
    /// Guards against direct sends to distant servers for as long as the other host lacks the route.
    the_other_host_sends_the_path_to_one_service:
        "records=7", "one-service", Duration::ZERO => "jihgfed";
    /// Guards against parts that are given up by the objective of another route.
    the_other_host_has_a_route_with_a_shorter_objective:
        "records=7", "records=7 objective=5", Duration::from_millis(100) => "jihgfed";
}
