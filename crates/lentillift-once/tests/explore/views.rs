//! Views of the fleet that a process may have, including stale ones.

use crate::world::HOSTS;
use crate::world::name;
use lentillift_fleet::view::Values;
use lentillift_fleet::view::View;
use lentillift_settings::jsonc;
use std::sync::Arc;
use std::sync::LazyLock;

/// All views that were published. View 0 has all hosts, view `n` lacks host `n - 1`, and the last
/// one has no configuration. A process may have any of them.
pub(crate) static VIEWS: LazyLock<Vec<Arc<View>>> =
    LazyLock::new(|| (0..HOSTS + 2).map(view).collect());

fn view(which: usize) -> Arc<View> {
    let hosts = (0..HOSTS)
        .filter(|host| which == 0 || *host != which - 1)
        .map(|host| {
            format!(r#""host-{host}":{{"address":"127.0.0.1:1","domain":"a","state":"live"}}"#)
        });
    let hosts = hosts.collect::<Vec<_>>().join(",");
    let roster = format!(r#"{{"revision":1,"hosts":{{{hosts}}}}}"#);
    let config = r#"{"revision":1,"domains":["a"],"classes":{"c":{"rank":0,"queue_ms":9}},
        "callers":{"x":{"weight":1}},"least_allowance_ms":1,"most_allowance_ms":1000,
        "services":{"file":{"kind":"action","class":"c","slots":2,"connections":2,"cold_slots":1,"connect_ms":1}}}"#;
    let servers = r#"{"revision":1,"maps":[],"servers":{
        "b0":{"address":"127.0.0.1:1","domain":"a","state":"live"},
        "b1":{"address":"127.0.0.1:1","domain":"a","state":"live"}}}"#;
    let values = Values {
        // The last view has the hosts but no configuration yet.
        config: (which <= HOSTS).then(|| Arc::new(jsonc::parse("config", config).expect("config"))),
        roster: Some(Arc::new(jsonc::parse("hosts", &roster).expect("hosts"))),
        placements: [(
            "file".into(),
            Arc::new(jsonc::parse("s", servers).expect("placement")),
        )]
        .into(),
    };
    let alive = (0..HOSTS).filter(|host| which == 0 || *host != which - 1);
    Arc::new(View::new(values, alive.map(name).collect()))
}
