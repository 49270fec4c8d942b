//! Backend servers that send some rejections a second time, late.

use super::complete_reply;
use super::header;
use super::listener;
use super::read_message;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// What a doubling server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Rejects it without running it.
    Reject,
    /// As [`Step::Reject`], and sends the rejection again once it has read the next request on the
    /// connection, before it replies to that one.
    RejectTwice,
}

/// A backend server that takes its steps in order, across all connections, and runs all further
/// requests.
#[derive(Debug, Clone)]
pub struct DoublingServer {
    pub address: SocketAddr,
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    steps: RefCell<VecDeque<Step>>,
    runs: RefCell<Vec<String>>,
}

impl DoublingServer {
    /// Starts a server on a free port.
    pub async fn start(steps: &[Step]) -> Self {
        let (listener, address) = listener().await;
        let state = Rc::new(State {
            steps: RefCell::new(steps.iter().copied().collect()),
            runs: RefCell::default(),
        });
        let shared = state.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve_connection(stream, shared.clone()));
            }
        });
        Self { address, state }
    }

    /// Ids of the requests that it ran, in order.
    pub fn runs(&self) -> Vec<String> {
        self.state.runs.borrow().clone()
    }
}

async fn serve_connection(mut stream: TcpStream, state: Rc<State>) {
    let mut late_copy = String::new();
    while let Some(request) = read_message(&mut stream).await {
        let id = header(&request, "x-id").unwrap_or_default();
        let step = state.steps.borrow_mut().pop_front();
        let reply = match step {
            Some(_) => "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-id: ID\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
            None => complete_reply("done"),
        };
        let reply = reply.replace("ID", &id);
        if step.is_none() {
            state.runs.borrow_mut().push(id);
        }
        let replies = format!("{late_copy}{reply}");
        late_copy = match step {
            Some(Step::RejectTwice) => reply,
            _ => String::new(),
        };
        if stream.write_all(replies.as_bytes()).await.is_err() {
            return;
        }
    }
}
