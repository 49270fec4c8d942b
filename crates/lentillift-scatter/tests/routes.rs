//! Choice of a route, and of one of its services.

mod common;

use common::config;
use common::route;
use common::single;
use lentillift_scatter::config::Kind;
use lentillift_scatter::config::Part;
use lentillift_scatter::config::Route;
use lentillift_scatter::config::Target;

fn named(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        ..route(single("s"), Kind::Idempotent)
    }
}

macro_rules! finds {
    ($($name:ident: $host:expr, $path:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let config = config(1, vec![
                named("short", "one.example", "/a/"),
                named("long", "one.example", "/a/b/"),
                named("other", "two.example", "/a/"),
            ]);
            let found = config.route($host, $path).map(|route| route.name.to_string());
            let expected: Option<&str> = $expected;
            assert_eq!(found.as_deref(), expected);
        }
    )*};
}

finds! {
    longest_prefix: "one.example", "/a/b/c" => Some("long");
    shorter_prefix: "one.example", "/a/bc" => Some("short");
    by_host: "two.example", "/a/b/" => Some("other");
    host_with_port: "two.example:8080", "/a/" => Some("other");
    host_in_capitals: "TWO.example", "/a/" => Some("other");
    no_slash_at_the_end: "one.example", "/a" => None;
    unknown_host: "three.example", "/a/" => None;
    unknown_path: "one.example", "/b/" => None;
}

/// Two services share a route nine to one. With a counter on each host, a host with few requests
/// would send none to the smaller one; by the request's id the shares hold over all hosts.
#[test]
fn shares_follow_weights() {
    let part = |service: &str, weight| Part {
        service: service.into(),
        weight,
    };
    let target = Target::Split(vec![part("big", 900), part("small", 100)]);
    let ids = (0..10_000).map(|n| format!("{n:x}"));
    let small = ids.filter(|id| target.service(id).is_some_and(|s| &**s == "small"));
    let small = small.count();
    assert!((900..1100).contains(&small), "{small} of 10,000");
}

/// An operator sets every weight to zero for a moment. The route would not answer any request.
#[test]
fn weights_of_zero_serve_the_first() {
    let part = Part {
        service: "s".into(),
        weight: 0,
    };
    let target = Target::Split(vec![part]);
    assert_eq!(target.service("x").map(|s| &**s), Some("s"));
}
