//! Load patterns in virtual time, each with its module on and off, judged by what callers receive.

#[path = "../tests/bench/mod.rs"]
mod bench;

use bench::table;

fn main() {
    let only = std::env::args().nth(1);
    let pace = std::env::args().nth(2).and_then(|pace| pace.parse().ok());
    println!(
        "pattern | policy | callers | asked | whole | partial | refused | late | p50 ms | p99 ms | slowest refusal ms"
    );
    for pattern in table::ALL {
        if only
            .as_ref()
            .is_none_or(|only| pattern.name.contains(only.as_str()))
        {
            for line in (pattern.run)(pace.unwrap_or(1.0)) {
                println!("{} | {line}", pattern.name);
            }
        }
    }
}
