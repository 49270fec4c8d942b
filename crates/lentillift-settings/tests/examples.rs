//! Configurations generated from the example answers match the committed ones, and edits of the
//! answers keep everything else.

use lentillift_settings::answers::Answers;
use lentillift_settings::change;
use lentillift_settings::config::Config;
use lentillift_settings::config::Kind;
use lentillift_settings::generate;
use lentillift_settings::revise;
use lentillift_settings::revise::Direction;
use lentillift_settings::revise::Unit;

const NAFISA: &str = include_str!("../../../examples/nafisa.jsonc");
const KERALA: &str = include_str!("../../../examples/kerala.jsonc");

fn generated(text: &str) -> Config {
    let answers = Answers::parse("example", text).expect("valid answers");
    generate::generate(&answers)
        .expect("valid configuration")
        .config
}

macro_rules! golden {
    ($($name:ident: $answers:expr, $golden:literal;)+) => {$(
        #[test]
        fn $name() {
            let text = serde_json::to_string_pretty(&generated($answers)).expect("JSON");
            assert_eq!(text + "\n", include_str!(concat!("../../../examples/", $golden)));
        }
    )+};
}

golden! {
    nafisa: NAFISA, "nafisa.config.json";
    kerala: KERALA, "kerala.config.json";
}

#[test]
fn examples_have_the_required_sizes() {
    let (nafisa, kerala) = (generated(NAFISA), generated(KERALA));
    let count = |config: &Config, kind| {
        let services = config.services.values();
        services.filter(|service| service.kind == kind).count()
    };
    assert_eq!((nafisa.domains.len(), kerala.domains.len()), (4, 3));
    assert_eq!(count(&nafisa, Kind::Search), 20 + 2);
    assert_eq!(count(&nafisa, Kind::Action), 30);
    assert_eq!(count(&kerala, Kind::Search), 20 + 30);
    assert_eq!(count(&kerala, Kind::Action), 2);
}

#[test]
fn taking_out_and_bringing_back_changes_only_the_revision() {
    for (unit, name) in [(Unit::Domain, "d2"), (Unit::Host, "entry-3")] {
        let out =
            revise::update_out_of_service("a", NAFISA, unit, Direction::Out, name).expect("out");
        assert!(out.changed);
        assert_eq!(out.answers.revision, 2);
        let again =
            revise::update_out_of_service("a", &out.text, unit, Direction::Out, name).expect("out");
        assert_eq!((again.changed, &again.text), (false, &out.text));
        let back =
            revise::update_out_of_service("a", &out.text, unit, Direction::In, name).expect("in");
        let expected = NAFISA.replace("\"revision\": 1", "\"revision\": 3");
        assert_eq!(back.text, expected);
    }
}

#[test]
fn comments_inside_the_list_are_kept() {
    let noted = "\"domains\": [\n      // Power works until Friday.\n      \"d1\"\n    ]";
    let text = NAFISA.replace("\"domains\": []", noted);
    let out =
        revise::update_out_of_service("a", &text, Unit::Domain, Direction::Out, "d2").expect("out");
    assert!(
        out.text
            .contains("// Power works until Friday.\n      \"d1\"")
    );
    let domains: Vec<&str> = out
        .answers
        .out_of_service
        .domains
        .iter()
        .map(|d| &**d)
        .collect();
    assert_eq!(domains, ["d1", "d2"]);
}

/// An operator takes the last failure domain out of service. A configuration published from such
/// answers would leave every query without a backend server.
#[test]
fn last_domain_cannot_be_taken_out() {
    let text = NAFISA.replace("\"domains\": []", "\"domains\": [\"d1\", \"d2\", \"d3\"]");
    let report = revise::update_out_of_service("a", &text, Unit::Domain, Direction::Out, "d4")
        .expect_err("last");
    assert!(report.to_string().contains("found all failure domains"));
}

#[test]
fn changes_are_described_in_sentences() {
    let old = generated(NAFISA);
    let mut new = old.clone();
    new.revision = 2;
    new.domains_out.insert("d2".into());
    new.services.get_mut("archive").expect("archive").slots = 4;
    new.services.get_mut("submission-01").expect("service").kind = Kind::Search;
    assert_eq!(
        change::describe(&old, &new),
        [
            "The failure domain d2 is taken out of service: it gets no new work.",
            "The service archive, slots: 3 becomes 4.",
            "The service submission-01, kind: action becomes search.",
            "CAUTION: requests to submission-01 may run more than once from now on.",
        ]
    );
    let stale = change::describe(&new, &old);
    assert!(stale[0].starts_with("NOTHING takes effect"));
}
