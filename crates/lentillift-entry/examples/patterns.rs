//! Load patterns in virtual time, each with its module on and off, judged by what callers receive.

#[path = "../tests/bench/mod.rs"]
mod bench;

use bench::patterns;

fn main() {
    let only = std::env::args().nth(1);
    println!(
        "pattern | policy | callers | asked | whole | partial | refused | late | p50 ms | p99 ms | slowest refusal ms"
    );
    for pattern in patterns::ALL {
        if only
            .as_ref()
            .is_none_or(|only| pattern.name.contains(only.as_str()))
        {
            for line in (pattern.run)() {
                println!("{} | {line}", pattern.name);
            }
        }
    }
}
