//! Arrivals drawn from a scenario: reproducible, at the scenario's rates and key frequencies.

use lentillift_load::arrival;
use lentillift_load::arrival::Arrival;
use lentillift_load::scenario::Scenario;
use lentillift_settings::jsonc;
use std::time::Duration;

const SCENARIO: &str = r#"{
  "title": "burst",
  "seconds": 30,
  "seed": 1,
  "streams": [{
    "service": "search", "caller": "phones", "rate": 100, "allowance_ms": 100,
    "keys": 1000, "zipf": 1.0, "burst": { "at": 10, "seconds": 10, "factor": 5 }
  }]
}"#;

fn draw() -> Vec<Arrival> {
    let scenario: Scenario = jsonc::parse("scenario", SCENARIO).expect("a scenario");
    arrival::draw(&scenario)
}

fn between(arrivals: &[Arrival], from: u64, to: u64) -> usize {
    let span = Duration::from_secs(from)..Duration::from_secs(to);
    let due = arrivals
        .iter()
        .filter(|arrival| span.contains(&arrival.due));
    due.count()
}

/// Runs that are compared must send the same requests at the same times; otherwise their difference
/// comes from the random draw and not from the change under test.
#[test]
fn the_same_seed_draws_the_same_arrivals() {
    assert_eq!(draw(), draw());
}

#[test]
fn rates_follow_the_scenario() {
    let arrivals = draw();
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.due));
    // Within 10% of 1,000 and of 5,000 arrivals; the fixed seed makes the counts reproducible.
    assert!((900..1100).contains(&between(&arrivals, 0, 10)));
    assert!((4500..5500).contains(&between(&arrivals, 10, 20)));
    assert!((900..1100).contains(&between(&arrivals, 20, 30)));
}

/// With 1,000 keys and a Zipf exponent of 1, the first key gets 13% of the requests and the second
/// half of that.
#[test]
fn key_frequencies_follow_the_zipf_distribution() {
    let arrivals = draw();
    let share = |key| {
        let same = arrivals.iter().filter(|arrival| arrival.key == key).count();
        same as f64 / arrivals.len() as f64
    };
    assert!((0.12..0.15).contains(&share(0)), "found {}", share(0));
    assert!((0.055..0.08).contains(&share(1)), "found {}", share(1));
}
