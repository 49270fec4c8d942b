//! Measures what ownership costs and how much of it moves as the fleet grows; run in a release
//! build.
//!
//! Prints, for each size, the share of backend servers whose owner and whose guardians change when
//! one host leaves the published list, and the claims that a process sends per second and to how
//! many peers.

use lentillift_fleet::guardian;
use lentillift_settings::placement::State;
use lentillift_settings::roster::Entry;
use lentillift_settings::roster::Roster;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

/// Numbers of hosts, backend servers and failure domains of each size.
const SIZES: [(usize, usize, usize); 5] = [
    (6, 140, 3),
    (9, 140, 4),
    (30, 460, 4),
    (100, 1400, 4),
    (760, 4600, 8),
];

fn main() {
    println!("hosts servers owner_moves guardian_moves peers claims_per_s choose_ms");
    for (hosts, servers, domains) in SIZES {
        let before = roster(hosts, domains);
        let mut after = before.clone();
        after.hosts.remove("host-0");
        let names: Vec<String> = (0..servers).map(|n| format!("notice-search-{n}")).collect();
        let started = Instant::now();
        let old: Vec<_> = names
            .iter()
            .map(|n| guardian::choose(n, "d0", &before))
            .collect();
        let elapsed = started.elapsed();
        let new: Vec<_> = names
            .iter()
            .map(|n| guardian::choose(n, "d0", &after))
            .collect();
        let pairs = || old.iter().zip(&new);
        let owners = pairs().filter(|(a, b)| a.first() != b.first()).count();
        let sets = pairs().filter(|(a, b)| a != b).count();
        // A holder sends renewals to all its guardians but itself, once a second.
        let mut renewed: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        let mut claims = 0;
        for guardians in &old {
            claims += guardians.len() - 1;
            let mut rest = guardians.iter();
            if let Some(holder) = rest.next() {
                renewed.entry(holder).or_default().extend(rest);
            }
        }
        let peers: usize = renewed.values().map(BTreeSet::len).sum();
        println!(
            "{hosts} {servers} {:.4} {:.4} {:.1} {:.1} {:.1}",
            owners as f64 / servers as f64,
            sets as f64 / servers as f64,
            peers as f64 / hosts as f64,
            claims as f64 / hosts as f64,
            elapsed.as_secs_f64() * 1e3,
        );
    }
}

fn roster(hosts: usize, domains: usize) -> Roster {
    let host = |number: usize| {
        let entry = Entry {
            address: ([127, 0, 0, 1], 1000 + number as u16).into(),
            domain: format!("d{}", number % domains).into(),
            state: State::Live,
        };
        (format!("host-{number}").into(), entry)
    };
    Roster {
        regions: BTreeMap::new(),
        revision: 1,
        hosts: (0..hosts).map(host).collect(),
    }
}
