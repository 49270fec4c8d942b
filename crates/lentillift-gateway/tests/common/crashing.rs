//! Backend servers that crash on certain requests.

use super::complete_reply;
use super::get_path;
use super::header;
use super::read_message;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Last path segment of requests that crash each server which starts to run them.
pub const FATAL: &str = "fatal";

/// Behaviour of a crashing backend server.
#[derive(Debug, Clone, Copy)]
pub struct Behavior {
    /// Letter that fills its record.
    pub letter: char,
    /// Time to run a request.
    pub work: Duration,
    /// Time from the start of a fatal request until the server crashes.
    pub crash_after: Duration,
    /// Time until it restarts.
    pub restart_after: Duration,
}

impl Behavior {
    /// A server that replies and crashes without delay, and restarts after 20 ms.
    pub fn quick(letter: char) -> Self {
        Self {
            letter,
            work: Duration::ZERO,
            crash_after: Duration::ZERO,
            restart_after: Duration::from_millis(20),
        }
    }
}

/// A backend server that crashes when it starts to run a request for [`FATAL`], and restarts.
#[derive(Debug, Clone)]
pub struct CrashingServer {
    pub address: SocketAddr,
    state: Rc<State>,
}

#[derive(Debug, Default)]
struct State {
    crashes: Cell<u32>,
    fatal: Cell<u32>,
    up: Cell<bool>,
}

impl CrashingServer {
    /// Starts a server on a free port.
    pub async fn start(behavior: Behavior) -> Self {
        // Never listens; reserves the port while the server is down, so that connections are
        // refused.
        let reservation = bind(([127, 0, 0, 1], 0).into());
        let address = reservation.local_addr().expect("an address");
        let server = Self {
            address,
            state: Rc::default(),
        };
        let runner = server.clone();
        runner.state.up.set(true);
        let mut listener = bind(address).listen(1024).expect("listening");
        tokio::task::spawn_local(async move {
            let _reservation = reservation;
            loop {
                runner.serve_until_crash(listener, behavior).await;
                tokio::time::sleep(behavior.restart_after).await;
                listener = bind(address).listen(1024).expect("listening");
                runner.state.up.set(true);
            }
        });
        server
    }

    /// Number of crashes.
    pub fn crashes(&self) -> u32 {
        self.state.crashes.get()
    }

    /// Number of fatal requests that reached it.
    pub fn fatal(&self) -> u32 {
        self.state.fatal.get()
    }

    /// Whether it is listening.
    pub fn is_up(&self) -> bool {
        self.state.up.get()
    }

    /// Serves until a request crashes it.
    async fn serve_until_crash(&self, listener: tokio::net::TcpListener, behavior: Behavior) {
        let ended = watch::Sender::new(false);
        let mut over = ended.subscribe();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.expect("accepted").0,
                _ = over.wait_for(|over| *over) => break,
            };
            let connection = serve_connection(stream, behavior, self.state.clone(), ended.clone());
            let mut over = ended.subscribe();
            tokio::task::spawn_local(async move {
                tokio::select! {
                    () = connection => {}
                    _ = over.wait_for(|over| *over) => {}
                }
            });
        }
        self.state.crashes.set(self.state.crashes.get() + 1);
        self.state.up.set(false);
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    behavior: Behavior,
    state: Rc<State>,
    ended: watch::Sender<bool>,
) {
    while let Some(request) = read_message(&mut stream).await {
        if get_path(&request).ends_with(FATAL) {
            state.fatal.set(state.fatal.get() + 1);
            tokio::time::sleep(behavior.crash_after).await;
            ended.send_replace(true);
            return;
        }
        tokio::time::sleep(behavior.work).await;
        let id = header(&request, "x-id").unwrap_or_default();
        let body = behavior.letter.to_string().repeat(16);
        let reply = complete_reply(&body).replace("ID", &id);
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn bind(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("reused");
    socket.bind(address).expect("a port");
    socket
}
