//! Arrivals are drawn beforehand: the same for each run of a scenario, and at the rates it names.

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

/// Two runs that are compared must ask the same at the same times, or their difference shows the
/// draw and not what was changed.
#[test]
fn the_same_seed_draws_the_same_arrivals() {
    assert_eq!(draw(), draw());
}

#[test]
fn rates_are_those_of_the_scenario() {
    let arrivals = draw();
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.due));
    // Within a tenth of 1,000 and 5,000; the seed is fixed.
    assert!((900..1100).contains(&between(&arrivals, 0, 10)));
    assert!((4500..5500).contains(&between(&arrivals, 10, 20)));
    assert!((900..1100).contains(&between(&arrivals, 20, 30)));
}

/// Of a thousand keys by Zipf's law with exponent 1 the first gets 13% and the second half of that.
#[test]
fn frequent_keys_are_as_frequent_as_zipf_says() {
    let arrivals = draw();
    let share = |key| {
        let same = arrivals.iter().filter(|arrival| arrival.key == key).count();
        same as f64 / arrivals.len() as f64
    };
    assert!((0.12..0.15).contains(&share(0)), "found {}", share(0));
    assert!((0.055..0.08).contains(&share(1)), "found {}", share(1));
}
