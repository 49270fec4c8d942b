//! A single send, from its dispatch to its completion.

use crate::branch;
use crate::branch::BranchReply;
use crate::branch::PendingAnswers;
use crate::dialect::Dialect;
use crate::exchange;
use crate::host::Host;
use crate::message::Message;
use crate::pool::ConnectionId;
use crate::pool::Requirement;
use crate::source::Source;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use lentillift_scatter::config::Route;
use lentillift_scatter::config::Version;
use lentillift_scatter::leg::Target;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::replica::SendId;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Kind of a send's target, as a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hop {
    /// A backend server of this failure domain.
    Near,
    /// A backend server of another failure domain.
    Far,
    /// Another host.
    Host,
    /// A further message of another host, after its first.
    Rest,
}

impl Hop {
    /// Classifies `target` as seen from a host in `domain`.
    pub(crate) fn of(target: &Target, domain: &str) -> Self {
        match target {
            Target::Server(server) if *server.entry.domain == *domain => Self::Near,
            Target::Server(_) => Self::Far,
            Target::Host { .. } => Self::Host,
        }
    }

    /// The metric label.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Near => "near",
            Self::Far => "far",
            Self::Host => "host",
            Self::Rest => "rest",
        }
    }
}

/// A completed send, or one further message of a host.
pub(crate) struct Completion {
    pub(crate) number: SendId,
    pub(crate) leg: usize,
    pub(crate) hop: Hop,
    /// Time since the send, or since the host's previous message.
    pub(crate) took: Duration,
    pub(crate) reply: BranchReply,
}

/// Sends in flight.
pub(crate) type InFlight = FuturesUnordered<LocalBoxFuture<'static, Completion>>;

/// What all sends of a request have in common.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    /// The route of the request.
    pub(crate) route: Arc<Route>,
    /// Version of the configuration that the route is from.
    pub(crate) config: Version,
    /// The request as it is forwarded.
    pub(crate) message: Rc<Message>,
    /// Authority that the caller named.
    pub(crate) authority: Rc<str>,
    /// Connections on which a backend server rejected the request.
    pub(crate) rejected_on: Vec<ConnectionId>,
}

/// Makes one send and waits for its result, or for the first message of a host.
pub(crate) async fn send_once<D, S>(
    host: Rc<Host<D, S>>,
    services: Vec<String>,
    send: Send,
    context: Context,
) -> Completion
where
    D: Dialect,
    S: Source,
{
    let started = host.now();
    let number = send.id;
    let leg = send.legs.first().copied().unwrap_or_default();
    let hop = Hop::of(&send.target, &host.domain);
    let reply = match &send.target {
        Target::Server(server) => {
            let requirement = Requirement {
                kind: context.route.kind,
                rejected_on: &context.rejected_on,
            };
            let message = &context.message;
            let result = exchange::exchange(&host, server, requirement, message, &send).await;
            BranchReply {
                result,
                merged: None,
                pending: None,
            }
        }
        Target::Host { host: to, .. } => {
            let to = to.clone();
            branch::request_branch(&host, &to, send, services, &context).await
        }
    };
    let took = host.now().saturating_sub(started);
    Completion {
        number,
        leg,
        hop,
        took,
        reply,
    }
}

/// Waits for the next message of a host that has not reported on all legs.
pub(crate) async fn next_answer<D, S>(
    host: Rc<Host<D, S>>,
    number: SendId,
    leg: usize,
    pending: PendingAnswers,
) -> Completion
where
    D: Dialect,
    S: Source,
{
    let started = host.now();
    let reply = pending.next(&host).await;
    let took = host.now().saturating_sub(started);
    Completion {
        number,
        leg,
        hop: Hop::Rest,
        took,
        reply,
    }
}
