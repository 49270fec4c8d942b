//! Requesters: each sends to one host at a steady rate over kept connections, and doesn't retry.

use crate::http;
use crate::record::Answered;
use crate::record::Record;
use crate::record::Sent;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// What the requesters of one host send.
#[derive(Debug, Clone)]
pub struct Load {
    pub method: &'static str,
    pub path: &'static str,
    /// Time between two requests to the host.
    pub interval: Duration,
    /// Number of requesters that take turns.
    pub requesters: u32,
    pub deadline: Duration,
}

/// Sends `load` to the host `index` at `front` until `stop` is set.
pub fn start(
    index: usize,
    front: SocketAddr,
    load: &Load,
    record: &Arc<Record>,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let requesters = (0..load.requesters).map(|number| {
        let (load, record, stop) = (load.clone(), record.clone(), stop.clone());
        thread::spawn(move || {
            thread::sleep(load.interval * number);
            let period = load.interval * load.requesters;
            let mut next = Instant::now();
            let mut connection = None;
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("{index:02x}{number:02x}{count:08x}");
                record.sent.lock().unwrap().push(Sent {
                    id: id.clone(),
                    host: index,
                    at: record.now(),
                });
                let status = attempt(front, &load, &id, &mut connection);
                record.answered.lock().unwrap().push(Answered {
                    id,
                    at: record.now(),
                    status,
                });
                next = (next + period).max(Instant::now());
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        })
    });
    requesters.collect()
}

/// Makes one attempt; returns its status, 0 if the connection gave no answer.
fn attempt(
    front: SocketAddr,
    load: &Load,
    id: &str,
    connection: &mut Option<BufReader<TcpStream>>,
) -> u16 {
    if connection.is_none() {
        let opened = TcpStream::connect_timeout(&front, Duration::from_secs(1));
        *connection = opened.ok().map(|stream| {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(load.deadline));
            BufReader::new(stream)
        });
    }
    let Some(reader) = connection.as_mut() else {
        return 0;
    };
    let deadline = load.deadline.as_millis();
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline}\r\nContent-Length: 0\r\n\r\n",
        load.method, load.path
    );
    let written = reader.get_mut().write_all(request.as_bytes());
    let reply = written.and_then(|()| http::read(reader)).ok().flatten();
    let Some(reply) = reply else {
        *connection = None;
        return 0;
    };
    if reply.header("connection").eq_ignore_ascii_case("close") {
        *connection = None;
    }
    reply.status()
}
