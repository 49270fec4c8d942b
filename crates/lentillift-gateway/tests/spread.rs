//! Time until a large configuration reaches every host, over the links of the smallest hosts.

mod common;

use common::MemorySource;
use common::SharedHost;
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
use lentillift_scatter::source::Update;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bandwidth of a small host's link in bytes per second: 20 Mbit/s.
const LINK: f64 = 2_500_000.0;

/// Size factor of a published value sent by the service, which encodes it as base64.
const TEXT: f64 = 4.0 / 3.0;

fn random_word(rng: &mut StdRng) -> String {
    let letters = (0..7).map(|_| char::from(rng.random_range(b'a'..=b'z')));
    letters.collect()
}

/// A configuration of `routes` routes with random names, which do not compress well.
fn document(routes: usize) -> String {
    let mut rng = StdRng::seed_from_u64(7);
    let routes: Vec<String> = (0..routes)
        .map(|_| {
            format!(
                "{{\"name\":\"r-{}\",\"host\":\"{}.example\",\"prefix\":\"/{}/\",\"kind\":\"idempotent\",\
                 \"timeout_ms\":5000,\"objective_ms\":500,\"priority\":2,\"service\":\"{}\",\"attempts\":2}}",
                random_word(&mut rng),
                random_word(&mut rng),
                random_word(&mut rng),
                random_word(&mut rng)
            )
        })
        .collect();
    format!("{{\"routes\":[{}]}}", routes.join(","))
}

fn apply_config(host: &SharedHost, revision: id::Revision, value: String) {
    let item = Item {
        revision,
        ..item("config", value)
    };
    let items = vec![item];
    let update = match revision {
        1 => Update::All { revision, items },
        _ => Update::Changes { revision, items },
    };
    host.apply_update(Some(update), Duration::ZERO);
}

/// Size in bytes of the message to a follower that has revision 1, after the configuration has
/// grown to `routes` routes and one of them was changed.
async fn message_bytes(routes: usize) -> f64 {
    let (_listener, node) = listener().await;
    let reader = host("reader", "a", node, MemorySource::default());
    apply_config(&reader, 1, document(10));
    apply_config(&reader, 2, document(routes));
    apply_config(&reader, 3, document(routes) + "-changed");
    let mut body = feed::serve::body(reader, 1, None);
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

/// Seconds until every host has a message of `bytes` bytes, if all hosts agree on the membership
/// and each host sends the message to all its followers at once over its single link.
fn spread(fleet: &[Candidate], read: f64, bytes: f64) -> f64 {
    let mut followers: BTreeMap<id::Host, Vec<id::Host>> = BTreeMap::new();
    let mut has: Vec<(id::Host, f64)> = Vec::new();
    for own in fleet {
        let others: Vec<Candidate> = fleet.iter().filter(|one| *one != own).cloned().collect();
        match follow::rank_origins(own, &others, follow::FANOUT, 0)
            .into_iter()
            .next()
        {
            Some(Origin::Host(origin)) => {
                followers.entry(origin).or_default().push(own.host.clone())
            }
            _ => has.push((own.host.clone(), read * TEXT / LINK)),
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
    assert_eq!(
        reached,
        fleet.len(),
        "some hosts are not reached from a host that reads the service"
    );
    last
}

/// An operator adds routes by the thousand and changes one of them a second later. Callers of some
/// hosts were answered from the old configuration for seconds after the bound, and searches that
/// reached the first host of a failure domain timed out. That host sent a copy of both versions to
/// each other host of its domain, over a link of two and a half megabytes per second. The evidence:
/// the links of just these hosts were saturated, the versions took effect on the others in the
/// order in which their copies completed, and processors and the service were idle. Now each host
/// forwards only the last version, to three others.
macro_rules! in_force {
    ($($name:ident: $domains:expr, $each:expr, $routes:expr, $bound:expr;)*) => {$(
        #[test]
        fn $name() {
            run(async {
                let bytes = message_bytes($routes).await;
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
