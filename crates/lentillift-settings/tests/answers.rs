//! Tables of wrong answers, and the faults that operators are to read.

use lentillift_settings::answers::Answers;
use lentillift_settings::answers::QUESTIONNAIRE;
use lentillift_settings::generate;

/// Replaces parts of the questionnaire's own answers and returns all faults as they are shown.
fn faults(changes: &[(&str, &str)]) -> Vec<String> {
    let mut text = QUESTIONNAIRE.to_owned();
    for (old, new) in changes {
        assert!(text.contains(old), "the questionnaire lacks {old}");
        text = text.replacen(old, new, 1);
    }
    match Answers::parse("a", &text) {
        Ok(_) => Vec::new(),
        Err(report) => report.to_string().lines().map(str::to_owned).collect(),
    }
}

macro_rules! wrong {
    ($($name:ident: [$($old:literal => $new:literal),+] gives [$($fault:literal),+];)+) => {$(
        #[test]
        fn $name() {
            assert_eq!(faults(&[$(($old, $new)),+]), [$($fault),+]);
        }
    )+};
}

wrong! {
    revision_zero: ["\"revision\": 1" => "\"revision\": 0"] gives
        ["a:12: revision: found 0, right is a whole number from 1 to 1000000000"];
    unknown_field: ["\"copies\": 1" => "\"copys\": 1"] gives
        ["a:53: services.search.copys: found an unknown field, right is one of the fields copies, may_be_repeated, priority, backend_servers, slots, cold_slots, connections, connect_ms"];
    missing_field: ["\"organisation\": \"Example Trust\"," => ""] gives
        ["a:9: organisation: found nothing, right is a text in quotes"];
    wrong_type: ["\"share\": 4" => "\"share\": \"four\""] gives
        ["a:45: callers.website.share: found \"four\", right is a whole number from 1 to 1000"];
    wrong_word: ["\"coverage\"," => "\"speed\","] gives
        ["a:19: matters_most: found \"speed\", right is one of \"coverage\", \"latency\""];
    unknown_priority: ["\"priority\": \"urgent\"" => "\"priority\": \"urgnt\""] gives
        ["a:58: services.search.priority: found \"urgnt\", right is one of \"urgent\", \"ordinary\""];
    unknown_domain: ["\"domains\": []" => "\"domains\": [\"d9\"]"] gives
        ["a:32: out_of_service.domains: found \"d9\", right is one of \"d1\", \"d2\", \"d3\""];
    all_domains_out: ["\"domains\": []" => "\"domains\": [\"d1\", \"d2\", \"d3\"]"] gives
        ["a:32: out_of_service.domains: found all failure domains, right is at least one in service"];
    zero_slots: ["\"slots\": 2" => "\"slots\": 0"] gives
        ["a:62: services.search.slots: found 0, right is a whole number from 1 to 10000"];
    cold_above_warm: ["\"cold_slots\": 1" => "\"cold_slots\": 3"] gives
        ["a:64: services.search.cold_slots: found 3, right is at most its slots, which are 2"];
    few_connections: ["\"connections\": 25" => "\"connections\": 1"] gives
        ["a:66: services.search.connections: found 1, right is at least its slots, which are 2"];
    allowances_crossed: ["\"least_ms\": 10," => "\"least_ms\": 20000,"] gives
        ["a:83: allowance.least_ms: found 20000, right is at most most_ms, which is 10000"];
    later_than_allowed: ["\"answer_within_ms\": 130" => "\"answer_within_ms\": 20000"] gives
        ["a:39: priorities.0.answer_within_ms: found 20000, right is at most allowance.most_ms, which is 10000"];
    field_twice: ["\"revision\": 1," => "\"revision\": 1, \"revision\": 2,"] gives
        ["a:12: revision: found the field twice, right is each field once"];
    name_with_capitals: ["\"office\":" => "\"Office 1\":"] gives
        ["a:46: callers.Office 1: found \"Office 1\", right is a name of 1 to 64 lower-case letters, digits and - . _ that starts with a letter or digit"];
    not_json: ["\"revision\": 1," => "\"revision\" 1,"] gives
        ["a:12: found Expected colon after the string or word in object property, right is JSON with comments"];
    all_at_once: [
        "\"revision\": 1" => "\"revision\": -1",
        "\"priority\": \"urgent\"" => "\"priority\": \"urgnt\"",
        "\"cold_slots\": 1" => "\"cold_slots\": 3",
        "\"least_ms\": 10," => "\"least_ms\": 20000,"
    ] gives [
        "a:12: revision: found -1, right is a whole number from 1 to 1000000000",
        "a:58: services.search.priority: found \"urgnt\", right is one of \"urgent\", \"ordinary\"",
        "a:64: services.search.cold_slots: found 3, right is at most its slots, which are 2",
        "a:83: allowance.least_ms: found 20000, right is at most most_ms, which is 10000"
    ];
}

#[test]
fn questionnaire_is_right_as_it_stands() {
    let answers = Answers::parse("a", QUESTIONNAIRE).expect("right");
    generate::generate(&answers).expect("fit");
}

/// A value of nothing but brackets reaches every process at the same moment. A parser that calls
/// itself for each would overflow its stack, and callers would see the whole fleet vanish.
#[test]
fn brackets_without_end_are_refused() {
    let text = "[".repeat(1024 * 1024);
    let report = Answers::parse("a", &text).expect_err("too deep");
    let right = "a:1: found more than 32 nested brackets, right is JSON with comments";
    assert_eq!(report.to_string(), right);
}

/// Two entries of the answers stand for a service of the same name. One would silently win, and
/// half of the requests would run under limits that nobody wrote.
#[test]
fn copies_of_one_name_are_refused() {
    let text = QUESTIONNAIRE.replace("\"copies\": 1", "\"copies\": 2");
    let text = text.replace("\"filing\"", "\"search-1\"");
    let answers = Answers::parse("a", &text).expect("right");
    let faults = generate::generate(&answers).expect_err("two of one name");
    assert!(
        faults[0]
            .to_string()
            .contains("search-1 by copies of two entries")
    );
}
