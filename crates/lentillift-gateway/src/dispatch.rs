//! One send, from its start to what came of it.

use crate::branch;
use crate::branch::BranchReply;
use crate::branch::PendingAnswers;
use crate::dialect::Dialect;
use crate::exchange;
use crate::host::Host;
use crate::message::Message;
use crate::source::Source;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use lentillift_scatter::config::Route;
use lentillift_scatter::leg::Target;
use lentillift_scatter::outcome::Send;
use lentillift_scatter::replica::Number;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Which way a send goes, for the counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hop {
    /// To a backend server of this failure domain.
    Near,
    /// To a backend server of another failure domain.
    Far,
    /// To another host.
    Host,
    /// The rest of what another host tells.
    Rest,
}

impl Hop {
    /// The way to `target` from a host in `domain`.
    pub(crate) fn of(target: &Target, domain: &str) -> Self {
        match target {
            Target::Server(server) if *server.entry.domain == *domain => Self::Near,
            Target::Server(_) => Self::Far,
            Target::Host { .. } => Self::Host,
        }
    }

    /// Its label.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Near => "near",
            Self::Far => "far",
            Self::Host => "host",
            Self::Rest => "rest",
        }
    }
}

/// A send that has ended.
pub(crate) struct Completion {
    pub(crate) number: Number,
    pub(crate) leg: usize,
    pub(crate) hop: Hop,
    /// Time since it was sent.
    pub(crate) took: Duration,
    pub(crate) reply: BranchReply,
}

/// Sends that are under way.
pub(crate) type InFlight = FuturesUnordered<LocalBoxFuture<'static, Completion>>;

/// Sends once and waits for the end.
pub(crate) async fn send_once<D, S>(
    host: Rc<Host<D, S>>,
    route: Arc<Route>,
    services: Vec<String>,
    send: Send,
    message: Rc<Message>,
    authority: Rc<str>,
) -> Completion
where
    D: Dialect,
    S: Source,
{
    let began = host.now();
    let number = send.number;
    let leg = send.legs.first().copied().unwrap_or_default();
    let hop = Hop::of(&send.target, &host.domain);
    let told = match &send.target {
        Target::Server(server) => {
            let ended = exchange::exchange(&host, server, route.kind, &message, &send).await;
            BranchReply {
                ended,
                merged: None,
                rest: None,
            }
        }
        Target::Host { host: to, .. } => {
            let to = to.clone();
            branch::request_branch(&host, &to, send, services, &authority, &message).await
        }
    };
    let took = host.now().saturating_sub(began);
    Completion {
        number,
        leg,
        hop,
        took,
        reply: told,
    }
}

/// Waits for what a host still has to tell.
pub(crate) async fn next_answer<D, S>(
    host: Rc<Host<D, S>>,
    number: Number,
    leg: usize,
    rest: PendingAnswers,
) -> Completion
where
    D: Dialect,
    S: Source,
{
    let began = host.now();
    let told = rest.next(&host).await;
    let took = host.now().saturating_sub(began);
    Completion {
        number,
        leg,
        hop: Hop::Rest,
        took,
        reply: told,
    }
}
