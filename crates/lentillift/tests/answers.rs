//! Exit codes and output of the commands about answers and configurations.

use serde_json::Value;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const NAFISA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/nafisa.jsonc");
const KERALA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kerala.jsonc");

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentillift"));
    command.args(arguments).output().expect("the tool starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("UTF-8")
}

/// Copies an example into a directory for this test; returns the directory and the file.
fn copy_example(test: &str) -> (PathBuf, String) {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&directory).expect("directory");
    let file = directory.join("answers.jsonc");
    std::fs::copy(NAFISA, &file).expect("copy");
    (directory, file.to_string_lossy().into_owned())
}

macro_rules! exits {
    ($($name:ident: [$($argument:expr),*] with $code:literal, saying $text:literal;)+) => {$(
        #[test]
        fn $name() {
            let output = run(&[$($argument),*]);
            let printed = stdout(&output) + &stderr(&output);
            assert_eq!(output.status.code(), Some($code), "{printed}");
            assert!(printed.contains($text), "{printed}");
        }
    )+};
}

exits! {
    no_command: [] with 2, saying "Usage: lentillift COMMAND";
    unknown_command: ["confgure"] with 2, saying "found confgure";
    unknown_option: ["check", "--loud", NAFISA] with 2, saying "loud";
    missing_argument: ["diff", NAFISA] with 2, saying "found 1 arguments, expected OLD NEW";
    unknown_direction: ["domain", "off", "d1", NAFISA] with 2, saying "found off, expected out or in";
    missing_file: ["check", "/nonexistent"] with 1, saying "read /nonexistent";
    unknown_kind: ["check", "--as", "poem", NAFISA] with 2, saying "found poem, expected one of";
    help_shows_examples: ["domain", "--help"] with 0, saying "Examples:\n  lentillift domain out";
    help_of_a_command: ["help", "timeline"] with 0, saying "Usage: lentillift timeline";
    help_shows_exit_codes: ["check", "-h"] with 0, saying "Exit codes:";
    both_examples_pass: ["check", NAFISA, KERALA] with 0, saying "right (answers)";
    questionnaire_goes_to_stdout: ["init"] with 0, saying "\"matters_most\"";
    unknown_domain: ["domain", "out", "d9", NAFISA] with 1, saying "found \"d9\", expected one of \"d1\"";
    decisions_have_reasons: ["configure", NAFISA] with 0, saying "because coverage matters most";
}

#[test]
fn domain_out_revises_answers_and_writes_the_configuration() {
    let (directory, file) = copy_example("domain_out");
    let config = directory.join("config.json");
    let config = config.to_str().expect("UTF-8");
    let output = run(&["domain", "out", "d2", &file, "--output", config]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stderr(&output).contains("The failure domain d2 is taken out of service"));
    let text = std::fs::read_to_string(&file).expect("answers");
    assert!(text.contains("// A missing notice is the worst harm."));
    let config = std::fs::read_to_string(config).expect("configuration");
    let config: Value = serde_json::from_str(&config).expect("JSON");
    assert_eq!(config["revision"], 2);
    assert_eq!(config["domains_out"][0], "d2");
    let diff = run(&["diff", "--json", NAFISA, &file]);
    let diff: Value = serde_json::from_str(&stdout(&diff)).expect("JSON");
    assert_eq!(
        (&diff["old_revision"], &diff["new_revision"]),
        (&1.into(), &2.into())
    );
    assert_eq!(diff["changes"].as_array().map(Vec::len), Some(1));
}

#[test]
fn dry_run_changes_no_file() {
    let (_, file) = copy_example("dry_run");
    let output = run(&["host", "out", "entry-1", &file, "--dry-run", "--json"]);
    let printed: Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    assert_eq!(
        (&printed["changed"], &printed["revision"]),
        (&true.into(), &2.into())
    );
    let before = std::fs::read(NAFISA).expect("example");
    assert_eq!(std::fs::read(&file).expect("answers"), before);
}

#[test]
fn faults_come_as_json() {
    let (_, file) = copy_example("faults");
    let text = std::fs::read_to_string(&file).expect("answers");
    let text = text.replace("\"slots\": 3", "\"slots\": \"three\"");
    std::fs::write(&file, text).expect("answers");
    let output = run(&["check", "--json", &file]);
    assert_eq!(output.status.code(), Some(1));
    let reports: Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    let faults = reports[0]["faults"].as_array().expect("faults");
    assert_eq!(faults.len(), 2);
    assert_eq!(
        faults[0]["path"],
        serde_json::json!(["services", "archive", "slots"])
    );
    assert!(faults[0]["line"].as_u64().is_some_and(|line| line > 1));
}

#[test]
fn init_overwrites_a_file_only_with_force() {
    let (_, file) = copy_example("init");
    assert_eq!(run(&["init", &file]).status.code(), Some(1));
    let before = std::fs::read(NAFISA).expect("example");
    assert_eq!(std::fs::read(&file).expect("answers"), before);
    assert_eq!(run(&["init", "--force", &file]).status.code(), Some(0));
    assert_eq!(run(&["check", &file]).status.code(), Some(0));
}
