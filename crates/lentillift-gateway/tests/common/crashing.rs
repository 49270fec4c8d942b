//! Backend servers that some requests end.

use super::get_path;
use super::header;
use super::read_message;
use super::whole;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Last part of the path of a request that ends each server which begins to run it.
pub const FATAL: &str = "fatal";

/// How a fragile backend server behaves.
#[derive(Debug, Clone, Copy)]
pub struct Nature {
    /// Letter of its record.
    pub letter: char,
    /// Time that a run takes.
    pub work: Duration,
    /// Time from the beginning of a run that ends it to its end.
    pub until_end: Duration,
    /// Time until it is back.
    pub rest: Duration,
}

impl Nature {
    /// One that replies and ends at once and is back at once.
    pub fn quick(letter: char) -> Self {
        Self {
            letter,
            work: Duration::ZERO,
            until_end: Duration::ZERO,
            rest: Duration::from_millis(20),
        }
    }
}

/// A backend server that ends when it begins to run a request for [`FATAL`], and comes back.
#[derive(Debug, Clone)]
pub struct Fragile {
    pub address: SocketAddr,
    state: Rc<State>,
}

#[derive(Debug, Default)]
struct State {
    ends: Cell<u32>,
    fatal: Cell<u32>,
    up: Cell<bool>,
}

impl Fragile {
    /// Starts one.
    pub async fn start(nature: Nature) -> Self {
        // Never listens: it holds the port while the server is away, and connections are refused.
        let holder = bound(([127, 0, 0, 1], 0).into());
        let address = holder.local_addr().expect("an address");
        let fragile = Self {
            address,
            state: Rc::default(),
        };
        let lives = fragile.clone();
        lives.state.up.set(true);
        let mut listener = bound(address).listen(1024).expect("listening");
        tokio::task::spawn_local(async move {
            let _holder = holder;
            loop {
                lives.live(listener, nature).await;
                tokio::time::sleep(nature.rest).await;
                listener = bound(address).listen(1024).expect("listening");
                lives.state.up.set(true);
            }
        });
        fragile
    }

    /// Times that it ended.
    pub fn ends(&self) -> u32 {
        self.state.ends.get()
    }

    /// Requests that reached it and end servers.
    pub fn fatal(&self) -> u32 {
        self.state.fatal.get()
    }

    /// Whether it listens.
    pub fn is_up(&self) -> bool {
        self.state.up.get()
    }

    /// Serves until a request ends it.
    async fn live(&self, listener: tokio::net::TcpListener, nature: Nature) {
        let ended = watch::Sender::new(false);
        let mut over = ended.subscribe();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.expect("accepted").0,
                _ = over.wait_for(|over| *over) => break,
            };
            let talk = talk(stream, nature, self.state.clone(), ended.clone());
            let mut over = ended.subscribe();
            tokio::task::spawn_local(async move {
                tokio::select! {
                    () = talk => {}
                    _ = over.wait_for(|over| *over) => {}
                }
            });
        }
        self.state.ends.set(self.state.ends.get() + 1);
        self.state.up.set(false);
    }
}

async fn talk(mut stream: TcpStream, nature: Nature, state: Rc<State>, ended: watch::Sender<bool>) {
    while let Some(request) = read_message(&mut stream).await {
        if get_path(&request).ends_with(FATAL) {
            state.fatal.set(state.fatal.get() + 1);
            tokio::time::sleep(nature.until_end).await;
            ended.send_replace(true);
            return;
        }
        tokio::time::sleep(nature.work).await;
        let id = header(&request, "x-id").unwrap_or_default();
        let body = nature.letter.to_string().repeat(16);
        let reply = whole(&body).replace("ID", &id);
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn bound(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("reused");
    socket.bind(address).expect("a port");
    socket
}
