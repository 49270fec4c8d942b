//! Number of backend servers that move when the hosts change.

use lentillift_core::id;
use lentillift_fleet::rendezvous;
use std::collections::BTreeMap;

const BACKENDS: usize = 4600;

fn hosts(count: usize) -> Vec<id::Host> {
    (0..count)
        .map(|number| format!("host-{number}").into())
        .collect()
}

/// The owner of each backend server.
fn owners(hosts: &[id::Host]) -> Vec<id::Host> {
    let backends = (0..BACKENDS).map(|number| format!("name-search-{number}"));
    let owners = backends.filter_map(|backend| rendezvous::choose(&backend, hosts).cloned());
    owners.collect()
}

/// Turns each case into a test: number of hosts, and the largest share of one host in percent of
/// the mean.
macro_rules! cases {
    ($($name:ident: $count:expr, $most:expr;)+) => {
        $(
            #[test]
            fn $name() {
                check($count, $most);
            }
        )+
    };
}

cases! {
    six_hosts: 6, 115;
    nine_hosts: 9, 120;
    thirty_hosts: 30, 135;
    target_size: 760, 330;
}

fn check(count: usize, most: usize) {
    let all = hosts(count);
    let before = owners(&all);
    let mut shares: BTreeMap<&id::Host, usize> = BTreeMap::new();
    for owner in &before {
        *shares.entry(owner).or_default() += 1;
    }
    let largest = shares.values().max().copied().unwrap_or(0);
    assert!(
        largest * 100 <= BACKENDS.div_ceil(count) * most,
        "{largest}"
    );
    // One host leaves: what it owned moves, and nothing else does.
    let rest: Vec<id::Host> = all[1..].to_vec();
    let after = owners(&rest);
    for (before, after) in before.iter().zip(&after) {
        assert_eq!(before != after, *before == all[0]);
    }
}
