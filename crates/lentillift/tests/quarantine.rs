//! `lentillift quarantine`, run against a fake process with fixed responses.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;

/// The list of the fake process: one quarantined request.
const RECORDS: &str = "9c41d07be2a35f68 quarantined ends=3 age_s=4 left_s=596\n";

/// Starts a fake process that returns the list, accepts a lift of the listed request, and responds
/// with 404 to everything else.
fn start_process() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = Vec::new();
            let mut byte = [0];
            while !request.ends_with(b"\r\n\r\n") && stream.read(&mut byte).expect("read") == 1 {
                request.push(byte[0]);
            }
            let request = String::from_utf8(request).expect("text");
            let (status, body) = match request.split(" HTTP").next() {
                Some("GET /quarantine") => ("200 OK", RECORDS),
                Some("DELETE /quarantine/9c41d07be2a35f68") => ("200 OK", ""),
                _ => ("404 Not Found", ""),
            };
            let length = body.len();
            let head =
                format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {length}");
            let answer = format!("{head}\r\n\r\n{body}");
            stream.write_all(answer.as_bytes()).expect("written");
        }
    });
    address
}

macro_rules! quarantine {
    ($($name:ident: $arguments:expr => $succeeds:expr, $says:expr;)*) => {$(
        #[test]
        fn $name() {
            let arguments: &[&str] = &$arguments;
            let output = Command::new(env!("CARGO_BIN_EXE_lentillift"))
                .arg("quarantine")
                .args(arguments)
                .arg(start_process().to_string())
                .output()
                .expect("run");
            let printed = [output.stdout, output.stderr].concat();
            let printed = String::from_utf8(printed).expect("text");
            assert_eq!(output.status.success(), $succeeds, "{printed}");
            assert!(printed.contains($says), "{printed}");
        }
    )*};
}

quarantine! {
    lists_records: [] => true, RECORDS;
    lifts_a_known_request: ["--lift", "9c41d07be2a35f68"] => true, "lifted 9c41d07be2a35f68";
    fails_to_lift_an_unknown_request: ["--lift", "0123"] => false, "does not hold 0123";
}
