//! Runs the load patterns in virtual time, each with its mechanism on and off.
//!
//! Prints what callers receive. Arguments: a part of the name of the patterns to run, and a factor
//! for all times.

#[path = "../tests/bench/mod.rs"]
mod bench;

use bench::table;

fn main() {
    let filter = std::env::args().nth(1);
    let time_scale = std::env::args().nth(2).and_then(|arg| arg.parse().ok());
    println!(
        "pattern | policy | callers | asked | whole | partial | refused | late | p50 ms | p99 ms | slowest refusal ms"
    );
    for pattern in table::ALL {
        if filter
            .as_ref()
            .is_none_or(|filter| pattern.name.contains(filter.as_str()))
        {
            for line in (pattern.run)(time_scale.unwrap_or(1.0)) {
                println!("{} | {line}", pattern.name);
            }
        }
    }
}
