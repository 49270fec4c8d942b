//! Exit codes and output of the daemon's command line.

use std::process::Command;
use std::process::Output;

/// The example settings file at the root of the repository.
const SETTINGS: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/lentilliftd.jsonc"
);

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilliftd"));
    command.args(arguments).output().expect("the daemon starts")
}

macro_rules! exits {
    ($($name:ident: [$($argument:expr),*] with $code:literal, printing [$($expected:literal),+];)+) => {$(
        #[test]
        fn $name() {
            let output = run(&[$($argument),*]);
            let text = [output.stdout, output.stderr].concat();
            let text = String::from_utf8(text).expect("UTF-8");
            assert_eq!(output.status.code(), Some($code), "{text}");
            $(assert!(text.contains($expected), "{text}");)+
        }
    )+};
}

exits! {
    example_settings_are_valid: ["--settings", SETTINGS, "--check"] with 0, printing ["settings are valid"];
    help: ["--help"] with 0, printing ["--operator-address", "Examples:", "Exit codes:"];
    unknown_flag: ["--hosts", "x"] with 2, printing ["hosts"];
    stray_argument: ["file.jsonc"] with 2, printing ["only flags are accepted"];
    missing_file: ["--settings", "/nonexistent", "--check"] with 2, printing ["read /nonexistent"];
    missing_settings: ["--check"] with 2, printing ["host: found nothing", "platform_address: found nothing"];
    invalid_flag_values: ["--settings", SETTINGS, "--check", "--log", "xml", "--node-address", "here"] with 2,
        printing ["log: found \"xml\"", "node_address: found \"here\", expected an IP address"];
}

/// A second process started with the addresses of a running one must exit and name the address that
/// is in use; the first keeps running.
#[test]
fn address_in_use_is_named() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("port");
    let address = taken.local_addr().expect("address").to_string();
    let any = "127.0.0.1:0";
    let output = run(&[
        "--settings",
        SETTINGS,
        "--caller-address",
        any,
        "--node-address",
        any,
        "--operator-address",
        &address,
    ]);
    let text = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains(&format!("listen {address}")), "{text}");
}
