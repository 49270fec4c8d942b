//! The HTTP listener for callers.

use crate::call::Call;
use crate::parse;
use crate::parse::Route;
use crate::parse::RouteError;
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

/// Numbers requests, passes them to the tasks that execute them, and waits for the responses.
#[derive(Debug, Clone)]
struct Dispatcher {
    calls: mpsc::Sender<Call>,
    next_request: Arc<AtomicU64>,
}

/// Sends [`Call::Gone`] when dropped before the answer, which happens when the caller disconnects.
struct DisconnectGuard {
    request: id::Request,
    calls: mpsc::Sender<Call>,
    answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.answered {
            let gone = Call::Gone {
                request: self.request,
            };
            // If the queue is full, the query ends at its deadline instead.
            let _ = self.calls.try_send(gone);
        }
    }
}

/// Serves callers until `stop` becomes true, then finishes the requests in flight.
///
/// Requests are numbered from `first`. It must differ widely between restarts of a process:
/// otherwise a late answer to a request from before the restart would reach the caller whose
/// request now has that number.
pub async fn serve(
    listener: TcpListener,
    options: Options,
    stop: watch::Receiver<bool>,
    calls: mpsc::Sender<Call>,
    first: id::Request,
) {
    let dispatcher = Dispatcher {
        calls,
        next_request: Arc::new(AtomicU64::new(first)),
    };
    let handler = move |request| {
        let dispatcher = dispatcher.clone();
        async move { dispatcher.handle(request).await }
    };
    listener::serve(listener, options, stop, handler).await;
}

impl Dispatcher {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        match parse::route(&request) {
            Ok(Route::Query(query)) => self.query(query).await,
            Ok(Route::Issue { service, caller }) => self.issue(service, caller).await,
            Ok(Route::Action(submit)) => self.action(submit).await,
            Err(RouteError::NoRoute) => plain(StatusCode::NOT_FOUND, "no such route".to_owned()),
            Err(RouteError::Method) => {
                plain(StatusCode::METHOD_NOT_ALLOWED, "POST is right".to_owned())
            }
            Err(RouteError::Refused(refusal)) => render::refusal(&refusal),
        }
    }

    async fn query(&self, query: SearchRequest) -> Response<Bytes> {
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let call = Call::Query {
            request,
            query,
            reply,
        };
        let mut guard = DisconnectGuard {
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
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (reply, response) = oneshot::channel();
        let call = Call::Action {
            request,
            submit,
            reply,
        };
        let _ = self.calls.send(call).await;
        // Unknown even if the call was never received: the action may have been sent through
        // another host before, under the same id.
        let ending =
            |_| ActionResponse::unknown("the process is ending; ask another with the same id");
        render::action(response.await.unwrap_or_else(ending))
    }
}

/// The refusal of a call whose task ended without a response.
fn leaving() -> Refusal {
    Refusal::new(Cause::Leaving, "the process is ending")
}
