//! Invalid answers, and the faults that are reported for them.

use lentillift_settings::answers::Answers;
use lentillift_settings::answers::QUESTIONNAIRE;
use lentillift_settings::generate;

/// The answers of the questionnaire with the first occurrence of each text replaced.
fn replaced(changes: &[(&str, &str)]) -> String {
    let mut text = QUESTIONNAIRE.to_owned();
    for (old, new) in changes {
        assert!(text.contains(old), "the questionnaire lacks {old}");
        text = text.replacen(old, new, 1);
    }
    text
}

/// All faults of a text, one per line of the report.
fn faults(text: &str) -> Vec<String> {
    match Answers::parse("a", text) {
        Ok(_) => Vec::new(),
        Err(report) => report.to_string().lines().map(str::to_owned).collect(),
    }
}

/// Number of the line of the first occurrence of `part`.
fn line(text: &str, part: &str) -> usize {
    let before = text.find(part).map(|at| &text[..at]);
    before
        .expect("the text contains the part")
        .matches('\n')
        .count()
        + 1
}

/// Each row gives the text to replace, its replacement, and the fault reported for the line of the
/// replacement. A missing field is reported for the line where the enclosing object starts.
macro_rules! invalid_answers {
    ($($name:ident: [$($old:literal => $new:literal gives $fault:literal),+];)+) => {$(
        #[test]
        fn $name() {
            let text = replaced(&[$(($old, $new)),+]);
            let expected = [$({
                let part = if $new.is_empty() { "\n{" } else { $new };
                let line = line(&text, part) + usize::from($new.is_empty());
                format!("a:{line}: {}", $fault)
            }),+];
            assert_eq!(faults(&text), expected);
        }
    )+};
}

invalid_answers! {
    revision_zero: [
        "\"revision\": 1" => "\"revision\": 0" gives "revision: found 0, expected a whole number from 1 to 1000000000"
    ];
    unknown_field: [
        "\"copies\": 1" => "\"copys\": 1" gives "services.search.copys: found an unknown field, expected one of the fields copies, may_be_repeated, priority, backend_servers, slots, cold_slots, connections, connect_ms"
    ];
    missing_field: [
        "\"organisation\": \"Example Trust\"," => "" gives "organisation: found nothing, expected a non-empty text in quotes"
    ];
    wrong_type: [
        "\"share\": 4" => "\"share\": \"four\"" gives "callers.website.share: found \"four\", expected a whole number from 1 to 1000"
    ];
    wrong_word: [
        "\"coverage\"," => "\"speed\"," gives "matters_most: found \"speed\", expected one of \"coverage\", \"latency\""
    ];
    unknown_priority: [
        "\"priority\": \"urgent\"" => "\"priority\": \"urgnt\"" gives "services.search.priority: found \"urgnt\", expected one of \"urgent\", \"ordinary\""
    ];
    unknown_domain: [
        "\"domains\": []" => "\"domains\": [\"d9\"]" gives "out_of_service.domains: found \"d9\", expected one of \"d1\", \"d2\", \"d3\""
    ];
    all_domains_out: [
        "\"domains\": []" => "\"domains\": [\"d1\", \"d2\", \"d3\"]" gives "out_of_service.domains: found all failure domains, expected at least one in service"
    ];
    zero_slots: [
        "\"slots\": 2" => "\"slots\": 0" gives "services.search.slots: found 0, expected a whole number from 1 to 10000"
    ];
    cold_above_warm: [
        "\"cold_slots\": 1" => "\"cold_slots\": 3" gives "services.search.cold_slots: found 3, expected at most slots, which is 2"
    ];
    few_connections: [
        "\"connections\": 25" => "\"connections\": 1" gives "services.search.connections: found 1, expected at least slots, which is 2"
    ];
    allowances_crossed: [
        "\"least_ms\": 10," => "\"least_ms\": 20000," gives "allowance.least_ms: found 20000, expected at most most_ms, which is 10000"
    ];
    later_than_allowed: [
        "\"answer_within_ms\": 130" => "\"answer_within_ms\": 20000" gives "priorities.0.answer_within_ms: found 20000, expected at most allowance.most_ms, which is 10000"
    ];
    field_twice: [
        "\"revision\": 1," => "\"revision\": 1, \"revision\": 2," gives "revision: found a duplicate field, expected each field once"
    ];
    name_with_a_space: [
        "\"office\":" => "\"Office 1\":" gives "callers.Office 1: found \"Office 1\", expected a name of 1 to 128 letters, digits and - . _ : that starts with a letter or digit"
    ];
    not_json: [
        "\"revision\": 1," => "\"revision\" 1," gives "found Expected colon after the string or word in object property, expected JSON with comments"
    ];
    all_at_once: [
        "\"revision\": 1" => "\"revision\": -1" gives "revision: found -1, expected a whole number from 1 to 1000000000",
        "\"priority\": \"urgent\"" => "\"priority\": \"urgnt\"" gives "services.search.priority: found \"urgnt\", expected one of \"urgent\", \"ordinary\"",
        "\"cold_slots\": 1" => "\"cold_slots\": 3" gives "services.search.cold_slots: found 3, expected at most slots, which is 2",
        "\"least_ms\": 10," => "\"least_ms\": 20000," gives "allowance.least_ms: found 20000, expected at most most_ms, which is 10000"
    ];
    unknown_priority_of_a_caller: [
        "\"office\": { \"share\": 1 }" => "\"office\": { \"share\": 1, \"priority\": \"x\" }"
            gives "callers.office.priority: found \"x\", expected one of \"urgent\", \"ordinary\""
    ];
    unknown_figure: [
        "\"organisation\"" => "\"policy\": { \"hedge\": { \"off\": true } }, \"organisation\""
            gives "policy.hedge.off: found an unknown field, expected one of the fields budget_percent, least_ms, on, quantile_percent"
    ];
    figure_of_a_wrong_kind: [
        "\"organisation\"" => "\"policy\": { \"hedge\": { \"on\": 1 } }, \"organisation\""
            gives "policy.hedge.on: found 1, expected true or false"
    ];
    figure_out_of_bounds: [
        "\"organisation\"" => "\"policy\": { \"hedge\": { \"budget_percent\": 200 } }, \"organisation\""
            gives "policy.hedge.budget_percent: found 200, expected a whole number from 0 to 100"
    ];
}

#[test]
fn questionnaire_is_valid_as_shipped() {
    let answers = Answers::parse("a", QUESTIONNAIRE).expect("valid answers");
    generate::generate(&answers).expect("valid configuration");
}

/// A recursive parser overflows its stack on a text of opening brackets only. Published by mistake,
/// such a value reaches all processes at the same time, and the whole fleet would crash.
#[test]
fn nesting_without_end_is_rejected() {
    let text = "[".repeat(1024 * 1024);
    let report = Answers::parse("a", &text).expect_err("too deep");
    let expected = "a:1: found more than 32 nested brackets, expected JSON with comments";
    assert_eq!(report.to_string(), expected);
}

/// Two entries of the answers generate a service of the same name. If one silently replaced the
/// other, half of the requests would run under limits that were meant for another service.
#[test]
fn duplicate_service_names_are_rejected() {
    let text = QUESTIONNAIRE.replace("\"copies\": 1", "\"copies\": 2");
    let text = text.replace("\"filing\"", "\"search-1\"");
    let answers = Answers::parse("a", &text).expect("valid answers");
    let faults = generate::generate(&answers).expect_err("duplicate service name");
    assert!(
        faults[0]
            .to_string()
            .contains("search-1 generated by two entries")
    );
}
