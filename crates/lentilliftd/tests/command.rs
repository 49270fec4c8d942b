//! The daemon's command line, as a shell sees it.

use std::process::Command;
use std::process::Output;

const SETTINGS: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/lentilliftd.jsonc"
);

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilliftd"));
    command.args(arguments).output().expect("the daemon starts")
}

macro_rules! exits {
    ($($name:ident: [$($argument:expr),*] with $code:literal, saying [$($text:literal),+];)+) => {$(
        #[test]
        fn $name() {
            let output = run(&[$($argument),*]);
            let said = [output.stdout, output.stderr].concat();
            let said = String::from_utf8(said).expect("UTF-8");
            assert_eq!(output.status.code(), Some($code), "{said}");
            $(assert!(said.contains($text), "{said}");)+
        }
    )+};
}

exits! {
    example_is_right: ["--settings", SETTINGS, "--check"] with 0, saying ["settings are right"];
    help: ["--help"] with 0, saying ["--operator-address", "Examples:", "Exit codes:"];
    unknown_flag: ["--hosts", "x"] with 2, saying ["hosts"];
    stray_argument: ["file.jsonc"] with 2, saying ["right are flags only"];
    missing_file: ["--settings", "/nonexistent", "--check"] with 2, saying ["read /nonexistent"];
    nothing_given: ["--check"] with 2, saying ["host: found nothing", "platform_address: found nothing"];
    wrong_flags: ["--settings", SETTINGS, "--check", "--log", "xml", "--node-address", "here"] with 2,
        saying ["log: found \"xml\"", "node_address: found \"here\", expected an IP address"];
}

/// A second process is started on a host with the addresses of the first. It names the address
/// that is taken and ends, and the first goes on.
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
    let said = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains(&format!("listen {address}")), "{said}");
}
