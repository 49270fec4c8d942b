//! A crowd of callers whose bodies stop short of their end.

use serde_json::Value;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// Callers in the crowd.
const CALLERS: usize = 40;

/// Largest body that the listener accepts, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Memory that a connection may take beside twice its body, in bytes.
const CONNECTION_BYTES: usize = 64 * 1024;

/// A running daemon; killed when dropped.
struct Daemon {
    child: Child,
    callers: SocketAddr,
}

impl Daemon {
    fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lentilliftd"))
            .args(["--host", "host-1", "--domain", "a"])
            .args(["--caller-address", "127.0.0.1:0"])
            .args(["--node-address", "127.0.0.1:0"])
            .args(["--operator-address", "127.0.0.1:0"])
            // Nothing listens there, and no request gets that far.
            .args(["--platform-address", "127.0.0.1:1"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let ports: Value = serde_json::from_str(&line).expect("JSON");
        let callers = ports["caller"].as_str().expect("an address");
        Self {
            child,
            callers: callers.parse().expect("an address"),
        }
    }

    /// Largest resident memory so far, in bytes.
    fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("a status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().strip_suffix("kB"));
        let kilobytes: usize = peak.expect("a peak").trim().parse().expect("a number");
        kilobytes * 1024
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Connects and sends `bytes`, unless the daemon closes the connection before that.
fn send(daemon: &Daemon, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(daemon.callers).expect("a connection");
    let _ = stream.write_all(bytes);
    stream
}

/// Reads until the daemon closes the connection.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset ends the answer, and what came before it counts.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(framing: &str, rest: &str) -> Vec<u8> {
    let head = "POST /v1/services/s/query HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
    format!("{head}{framing}\r\n\r\n{rest}").into_bytes()
}

/// Guards against chunks of one byte that each cost more than their content.
#[test]
fn bodies_in_chunks_of_one_byte_stop_short() {
    let daemon = Daemon::start();
    let idle = daemon.peak_memory();
    let chunks = "1\r\nx\r\n".repeat(MAX_BODY_BYTES);
    let unfinished = request("transfer-encoding: chunked", &chunks);
    let crowd: Vec<TcpStream> = (0..CALLERS).map(|_| send(&daemon, &unfinished)).collect();
    // Each is answered once the time for its body is over.
    crowd.into_iter().map(read_to_end).for_each(drop);
    let allowed = idle + CALLERS * (2 * MAX_BODY_BYTES + CONNECTION_BYTES);
    let peak = daemon.peak_memory();
    println!("peak memory {} of {} KiB", peak >> 10, allowed >> 10);
    assert!(peak <= allowed, "{} of {} KiB", peak >> 10, allowed >> 10);
    let ordinary = request("content-length: 11", "{\"q\":\"seal\"}");
    let answer = read_to_end(send(&daemon, &ordinary));
    assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
}
