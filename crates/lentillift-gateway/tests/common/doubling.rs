//! Backend servers that send some replies a second time, late.

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

/// A rejection, with `ID` in place of the request's id.
const REJECTION: &str =
    "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-id: ID\r\nContent-Length: 0\r\n\r\n";

/// What a doubling server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Rejects it without running it.
    Reject,
    /// As [`Step::Reject`], and sends the rejection again in place of the reply to the next request
    /// on the connection, which is delayed by one request from then on.
    RejectTwice,
    /// Runs it once, and sends the reply again in the same way.
    RunAndReplyTwice,
}

impl Step {
    fn runs(self) -> bool {
        self == Self::RunAndReplyTwice
    }

    fn repeats_reply(self) -> bool {
        matches!(self, Self::RejectTwice | Self::RunAndReplyTwice)
    }
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
    let mut replies = VecDeque::new();
    while let Some(request) = read_message(&mut stream).await {
        let id = header(&request, "x-id").unwrap_or_default();
        let step = state.steps.borrow_mut().pop_front();
        let runs = step.is_none_or(Step::runs);
        let reply = match runs {
            true => complete_reply("done"),
            false => REJECTION.to_owned(),
        };
        let reply = reply.replace("ID", &id);
        if runs {
            state.runs.borrow_mut().push(id);
        }
        if step.is_some_and(Step::repeats_reply) {
            replies.push_back(reply.clone());
        }
        replies.push_back(reply);
        let next = replies.pop_front().expect("a reply");
        if stream.write_all(next.as_bytes()).await.is_err() {
            return;
        }
    }
}
