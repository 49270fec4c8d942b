//! The listener for callers.

use crate::call::Call;
use crate::parse;
use crate::parse::Fault;
use crate::parse::Route;
use crate::render;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use lentillift_core::id;
use lentillift_core::refusal::Cause;
use lentillift_core::refusal::Refusal;
use lentillift_entry::answer::SearchRequest;
use lentillift_http::listener;
use lentillift_http::listener::Options;
use lentillift_http::listener::plain;
use lentillift_once::submit::ActionRequest;
use lentillift_once::submit::ActionResponse;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// What the listener needs to pass calls on.
#[derive(Debug, Clone)]
struct Desk {
    calls: mpsc::Sender<Call>,
    next: Arc<AtomicU64>,
}

/// Tells the entry when the connection of a query's caller ends before its answer.
struct Guard {
    request: id::Request,
    calls: mpsc::Sender<Call>,
    answered: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.answered {
            let gone = Call::Gone {
                request: self.request,
            };
            // When the queue is full the query ends at its deadline instead.
            let _ = self.calls.try_send(gone);
        }
    }
}

/// Serves callers until `stop` turns true, then finishes the calls under way.
///
/// Calls are numbered from `first`. It must differ widely between starts of a process, or a late
/// answer to a call before the start would go to the caller who has its number now.
pub async fn serve(
    listener: TcpListener,
    options: Options,
    stop: watch::Receiver<bool>,
    calls: mpsc::Sender<Call>,
    first: id::Request,
) {
    let desk = Desk {
        calls,
        next: Arc::new(AtomicU64::new(first)),
    };
    let handler = move |request| {
        let desk = desk.clone();
        async move { desk.handle(request).await }
    };
    listener::serve(listener, options, stop, handler).await;
}

impl Desk {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        match parse::route(&request) {
            Ok(Route::Query(ask)) => self.query(ask).await,
            Ok(Route::Issue { service, caller }) => self.issue(service, caller).await,
            Ok(Route::Action(submit)) => self.action(submit).await,
            Err(Fault::NoRoute) => plain(StatusCode::NOT_FOUND, "no such route".to_owned()),
            Err(Fault::Method) => plain(StatusCode::METHOD_NOT_ALLOWED, "POST is right".to_owned()),
            Err(Fault::Refused(refusal)) => render::refusal(&refusal),
        }
    }

    async fn query(&self, ask: SearchRequest) -> Response<Bytes> {
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let call = Call::Query {
            request,
            ask,
            reply,
        };
        let mut guard = Guard {
            request,
            calls: self.calls.clone(),
            answered: false,
        };
        let _ = self.calls.send(call).await;
        let answer = answer.await;
        guard.answered = true;
        match answer {
            Ok(Ok(answer)) => render::answer(&answer),
            Ok(Err(refusal)) => render::refusal(&refusal),
            Err(_) => render::refusal(&leaving()),
        }
    }

    async fn issue(&self, service: id::Service, caller: id::Caller) -> Response<Bytes> {
        let (reply, key) = oneshot::channel();
        let call = Call::Issue {
            service,
            caller,
            reply,
        };
        let _ = self.calls.send(call).await;
        match key.await {
            Ok(Ok(key)) => render::issued(&key),
            Ok(Err(refusal)) => render::refusal(&refusal),
            Err(_) => render::refusal(&leaving()),
        }
    }

    async fn action(&self, submit: ActionRequest) -> Response<Bytes> {
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        let (reply, settled) = oneshot::channel();
        let call = Call::Action {
            request,
            submit,
            reply,
        };
        let _ = self.calls.send(call).await;
        // Also when nobody took the call: the id may have come by another entry before.
        let ending =
            |_| ActionResponse::unknown("the process is ending; ask another with the same id");
        render::settled(settled.await.unwrap_or_else(ending))
    }
}

fn leaving() -> Refusal {
    Refusal::new(Cause::Leaving, "the process is ending")
}
