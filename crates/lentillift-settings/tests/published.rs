//! Faults of configurations, placements, lists of hosts and settings of a process.

use lentillift_settings::config::Config;
use lentillift_settings::daemon;
use lentillift_settings::daemon::LogFormat;
use lentillift_settings::kind::Kind;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// Applies a change to an example configuration and returns the faults of the result.
fn faults_after(change: fn(&mut Config)) -> Vec<String> {
    let text = include_str!("../../../examples/nafisa.config.json");
    let mut config: Config = serde_json::from_str(text).expect("configuration");
    change(&mut config);
    config.faults()
}

/// Each row gives a change of the example configuration and the only fault that it causes.
macro_rules! invalid_configurations {
    ($($name:ident: $change:expr => $fault:literal;)+) => {$(
        #[test]
        fn $name() {
            assert_eq!(faults_after($change), [$fault]);
        }
    )+};
}

invalid_configurations! {
    revision_zero: |c| c.revision = 0 =>
        "revision: found 0, expected a whole number from 1 to 1000000000";
    revision_without_successor: |c| c.revision = u64::MAX =>
        "revision: found 18446744073709551615, expected a whole number from 1 to 1000000000";
    unknown_domain_out: |c| c.domains_out = ["d9".into()].into() =>
        "domains_out: found \"d9\", expected one of \"d1\", \"d2\", \"d3\", \"d4\"";
    all_domains_out: |c| c.domains_out = c.domains.clone() =>
        "domains_out: found all failure domains, expected at least one in service";
    region_of_no_domain: |c| drop(c.regions.insert("d9".into(), "main".into())) =>
        "regions.d9: found a region of an unknown failure domain, expected one of \"d1\", \"d2\", \"d3\", \"d4\"";
    unknown_class: |c| c.services.get_mut("archive").expect("service").class = "x".into() =>
        "services.archive.class: found \"x\", expected one of \"archive\", \"name-search\", \"timetable\"";
    zero_slots: |c| c.services.get_mut("archive").expect("service").slots = 0 =>
        "services.archive.slots: found 0, expected a whole number from 1 to 10000";
    zero_cold_slots: |c| c.services.get_mut("archive").expect("service").cold_slots = 0 =>
        "services.archive.cold_slots: found 0, expected a whole number from 1 to 10000";
    cold_above_warm: |c| c.services.get_mut("archive").expect("service").cold_slots = 9 =>
        "services.archive.cold_slots: found 9, expected at most slots, which is 3";
    absurd_allowance: |c| c.most_allowance_ms = 86_400_000 =>
        "most_allowance_ms: found 86400000, expected a whole number from 1 to 600000";
    allowances_crossed: |c| c.least_allowance_ms = 20_000 =>
        "least_allowance_ms: found 20000, expected at most most_allowance_ms, which is 10000";
}

/// Checks a value as the kind detected from its fields; returns the report, or an empty string.
fn check(value: &Value) -> String {
    let text = serde_json::to_string_pretty(value).expect("JSON");
    let document = lentillift_settings::document::Document::parse("v", &text).expect("JSON");
    let checked = Kind::detect(&document).check("v", &text);
    checked.map_or_else(|report| report.to_string(), |()| String::new())
}

#[test]
fn replicas_are_servers_of_the_placement() {
    let server = json!({ "address": "10.0.0.1:80", "domain": "d1", "state": "live" });
    let part = |shard| json!({ "shard": shard, "weight": 1, "replicas": ["b-1", "b-2"] });
    let value = json!({
        "revision": 1,
        "servers": { "b-1": server },
        "maps": [{ "snapshot": 1, "parts": [part(0), part(0)] }],
    });
    let faults = check(&value);
    assert_eq!(faults.matches("found \"b-2\"").count(), 2, "{faults}");
    assert!(faults.contains("maps.0.parts.1.shard: found 0 a second time"));
}

#[test]
fn hosts_have_unique_addresses() {
    let host = json!({ "address": "10.0.0.1:80", "domain": "d1", "state": "live" });
    let gone = json!({ "address": "10.0.0.2:80", "domain": "d1", "state": "gone" });
    let value = json!({ "revision": 1, "hosts": { "h-1": host, "h-2": host } });
    assert!(check(&value).contains("10.0.0.1:80, which is also the address of h-1"));
    let value = json!({ "revision": 1, "hosts": { "h-1": gone } });
    assert!(check(&value).contains("hosts.h-1.state: found \"gone\", expected one of"));
}

const SETTINGS: &str = r#"{
  // Settings.
  "host": "entry-1",
  "domain": "d1",
  "caller_address": "127.0.0.1:7070",
  "node_address": "127.0.0.1:7071"
}"#;

/// Flags by field name, converted to the values that the settings file would have.
fn flags(flags: &[(&str, &str)]) -> Map<String, Value> {
    let setting = |name| {
        daemon::SETTINGS
            .iter()
            .find(|setting| setting.name == name)
            .expect("setting")
    };
    let flags = flags.iter();
    flags
        .map(|(n, v)| ((*n).to_owned(), setting(*n).value(v)))
        .collect()
}

#[test]
fn flags_override_the_file() {
    let flags = flags(&[
        ("host", "entry-2"),
        ("operator_address", "127.0.0.1:7072"),
        ("platform_address", "127.0.0.1:7073"),
        ("log", "json"),
        ("seeds", "10.0.0.1:7071,10.0.0.2:7071"),
    ]);
    let start = daemon::resolve(Some(("s", SETTINGS)), &flags).expect("valid settings");
    assert_eq!(&*start.settings.host, "entry-2");
    assert_eq!(&*start.settings.domain, "d1");
    assert_eq!(start.log, LogFormat::Json);
    assert_eq!(start.settings.seeds.len(), 2);
}

#[test]
fn missing_settings_are_all_reported() {
    let report = daemon::resolve(Some(("s", SETTINGS)), &Map::new()).expect_err("missing");
    assert_eq!(
        report.to_string(),
        "s:1: operator_address: found nothing, expected the address to listen on for operators, here or as --operator-address\n\
         s:1: platform_address: found nothing, expected the address of the platform's configuration service, here or as --platform-address"
    );
}

#[test]
fn invalid_flags_are_all_reported() {
    let flags = flags(&[("node_address", "localhost:1"), ("log", "xml")]);
    let report = daemon::resolve(Some(("s", SETTINGS)), &flags).expect_err("invalid");
    assert_eq!(
        report.to_string(),
        "command line:1: log: found \"xml\", expected one of \"human\", \"json\"\n\
         command line:1: node_address: found \"localhost:1\", expected an IP address with its port, like \"10.0.0.7:7070\""
    );
}
