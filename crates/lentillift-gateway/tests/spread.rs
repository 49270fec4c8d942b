//! How long a configuration that has grown takes to every host, over the links of the smallest ones.

mod common;

use common::Memory;
use common::Shared;
use common::host;
use common::item;
use common::listener;
use common::run;
use http_body_util::BodyExt;
use lentillift_core::id;
use lentillift_fleet::follow;
use lentillift_fleet::follow::Candidate;
use lentillift_fleet::follow::Origin;
use lentillift_gateway::feed;
use lentillift_scatter::source::Item;
use lentillift_scatter::source::News;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes a second of a small host's link: 20 Mbit/s.
const LINK: f64 = 2_500_000.0;

/// Bytes of a published value on the way from the service, which sends it as base64 text.
const TEXT: f64 = 4.0 / 3.0;

fn word(rng: &mut StdRng) -> String {
    let letters = (0..7).map(|_| char::from(rng.random_range(b'a'..=b'z')));
    letters.collect()
}

/// A configuration of so many routes, with names that nobody can foresee.
fn document(routes: usize) -> String {
    let mut rng = StdRng::seed_from_u64(7);
    let routes: Vec<String> = (0..routes)
        .map(|_| {
            format!(
                "{{\"name\":\"r-{}\",\"host\":\"{}.example\",\"prefix\":\"/{}/\",\"kind\":\"idempotent\",\
                 \"timeout_ms\":5000,\"objective_ms\":500,\"priority\":2,\"service\":\"{}\",\"attempts\":2}}",
                word(&mut rng),
                word(&mut rng),
                word(&mut rng),
                word(&mut rng)
            )
        })
        .collect();
    format!("{{\"routes\":[{}]}}", routes.join(","))
}

fn learn(host: &Shared, revision: id::Revision, value: String) {
    let item = Item {
        revision,
        ..item("config", value)
    };
    let items = vec![item];
    let news = match revision {
        1 => News::All { revision, items },
        _ => News::Changes { revision, items },
    };
    host.learn(Some(news), Duration::ZERO);
}

/// Bytes that a follower is told which knows the first revision, when the configuration has grown to so
/// many routes and one of them was changed after that.
async fn told(routes: usize) -> f64 {
    let (_listener, node) = listener().await;
    let reader = host("reader", "a", node, Memory::default());
    learn(&reader, 1, document(10));
    learn(&reader, 2, document(routes));
    learn(&reader, 3, document(routes) + "-changed");
    let mut body = feed::tell::tell(reader, 1, None);
    let frame = body.frame().await.expect("a frame").expect("no error");
    let bytes = frame.into_data().expect("data");
    bytes.len() as f64
}

fn fleet(domains: usize, each: usize) -> Vec<Candidate> {
    let hosts = (0..domains).flat_map(|domain| {
        (0..each).map(move |number| Candidate {
            host: format!("d{domain}-{number}").as_str().into(),
            domain: format!("d{domain}").as_str().into(),
        })
    });
    hosts.collect()
}

/// Seconds until each host has a message of so many bytes, if all hosts agree on who is there: whoever
/// has it sends it to all its followers at once, over its one link.
fn spread(fleet: &[Candidate], read: f64, bytes: f64) -> f64 {
    let mut followers: BTreeMap<id::Host, Vec<id::Host>> = BTreeMap::new();
    let mut has: Vec<(id::Host, f64)> = Vec::new();
    for me in fleet {
        let others: Vec<Candidate> = fleet.iter().filter(|one| *one != me).cloned().collect();
        match follow::rank_origins(me, &others, follow::FANOUT, 0)
            .into_iter()
            .next()
        {
            Some(Origin::Host(origin)) => {
                followers.entry(origin).or_default().push(me.host.clone())
            }
            _ => has.push((me.host.clone(), read * TEXT / LINK)),
        }
    }
    let (mut reached, mut last) = (0, 0.0_f64);
    while let Some((host, at)) = has.pop() {
        reached += 1;
        last = last.max(at);
        let followers = followers.remove(&host).unwrap_or_default();
        let later = at + followers.len() as f64 * bytes / LINK;
        has.extend(followers.into_iter().map(|follower| (follower, later)));
    }
    assert_eq!(reached, fleet.len(), "someone follows nobody who reads");
    last
}

/// An operator adds routes by the thousand and changes one of them a second later. Callers of some hosts
/// were answered by the old configuration for seconds after the bound, and searches that came to the first
/// host of a failure domain timed out. That host sent each other host of its failure domain a copy, of both
/// versions, over a link that carries two and a half megabytes a second. What proved it: the links of just
/// these hosts were full, the versions came into force on the others in the order in which their copies
/// ended, and processors and the service were idle. Now each host passes on the last version to three.
macro_rules! in_force {
    ($($name:ident: $domains:expr, $each:expr, $routes:expr, $bound:expr;)*) => {$(
        #[test]
        fn $name() {
            run(async {
                let bytes = told($routes).await;
                let read = document($routes).len() as f64;
                let seconds = spread(&fleet($domains, $each), read, bytes);
                assert!(seconds < $bound, "{seconds:.1} s for {bytes} bytes a host");
            });
        }
    )*};
}

in_force! {
    a_grown_configuration_is_in_force_in_time_on_six_hosts: 3, 2, 1_400, 3.0;
    a_grown_configuration_is_in_force_in_time_on_sixty_hosts: 4, 15, 1_400, 5.0;
    a_grown_configuration_is_in_force_in_time_on_ninety_hosts: 4, 23, 4_200, 5.0;
    a_grown_configuration_is_in_force_in_time_on_760_hosts: 8, 95, 5_500, 19.0;
}
