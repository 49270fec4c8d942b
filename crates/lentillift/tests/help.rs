//! `--help` works for every command, even if required options and arguments are missing.

use std::process::Command;

macro_rules! shows_help {
    ($($name:ident: $command:expr;)*) => {$(
        #[test]
        fn $name() {
            let output = Command::new(env!("CARGO_BIN_EXE_lentillift"))
                .args([$command, "--help"])
                .output()
                .expect("run");
            let text = String::from_utf8_lossy(&output.stdout);
            assert_eq!(output.status.code(), Some(0), "{text}");
            let usage = concat!("Usage: lentillift ", $command);
            assert!(text.starts_with(usage), "{text}");
        }
    )*};
}

shows_help! {
    init: "init";
    configure: "configure";
    check: "check";
    diff: "diff";
    domain: "domain";
    host: "host";
    status: "status";
    query: "query";
    timeline: "timeline";
    load: "load";
    explain: "explain";
    quarantine: "quarantine";
}
