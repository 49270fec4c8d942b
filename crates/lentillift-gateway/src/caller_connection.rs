//! Callers' connections: what the host awaits on each, and the request to close one for a newcomer.

use crate::places::Awaited;
use crate::places::Places;
use crate::places::Room;
use crate::places::Ticket;
use lentillift_core::time::Clock;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;
use tokio::sync::Notify;

/// All open connections of callers.
#[derive(Debug)]
pub struct Connections {
    clock: Clock,
    places: RefCell<Places>,
    /// The connections on which the host waits.
    waiting: RefCell<HashMap<Ticket, Weak<Connection>>>,
    /// Signals that the host begins to wait on a connection.
    began_to_wait: Notify,
    open: Cell<usize>,
    closed: Cell<u64>,
}

impl Connections {
    /// Creates it without connections.
    pub(crate) fn new(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            places: RefCell::default(),
            waiting: RefCell::default(),
            began_to_wait: Notify::new(),
            open: Cell::new(0),
            closed: Cell::new(0),
        })
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Number of connections closed because they kept the host waiting.
    pub(crate) fn closed(&self) -> u64 {
        self.closed.get()
    }

    /// Adds a connection that was accepted.
    pub(crate) fn add(self: &Rc<Self>) -> Rc<Connection> {
        self.open.set(self.open.get() + 1);
        let connection = Rc::new(Connection {
            all: self.clone(),
            stage: Cell::new(Stage::Serving),
            has_read_ahead: Cell::new(false),
            is_closing: Cell::new(false),
            close: Notify::new(),
        });
        connection.wait_for(Awaited::FirstRequest);
        connection
    }

    /// Closes a connection for a newcomer, as soon as one has kept the host waiting for long enough.
    pub(crate) async fn make_room(&self) {
        loop {
            let now = self.clock.now();
            let room = self.places.borrow().make_room(now);
            let began_to_wait = self.began_to_wait.notified();
            match room {
                Room::Close(ticket) => return self.close(ticket),
                Room::Later(at) => tokio::time::sleep(at.saturating_sub(now)).await,
                Room::Served => began_to_wait.await,
            }
        }
    }

    /// Closes the connections whose heads have been incomplete for longer than `timeout`.
    pub(crate) fn close_overdue_heads(&self, timeout: Duration) {
        let now = self.clock.now();
        let overdue = self.places.borrow().overdue_heads(now, timeout);
        overdue.into_iter().for_each(|ticket| self.close(ticket));
    }

    fn close(&self, ticket: Ticket) {
        let connection = self.end_wait(ticket);
        if let Some(connection) = connection.and_then(|connection| connection.upgrade()) {
            connection.is_closing.set(true);
            connection.close.notify_waiters();
            self.closed.set(self.closed.get() + 1);
        }
    }

    fn end_wait(&self, ticket: Ticket) -> Option<Weak<Connection>> {
        self.places.borrow_mut().end(ticket);
        self.waiting.borrow_mut().remove(&ticket)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting { awaited: Awaited, ticket: Ticket },
    Serving,
}

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct Connection {
    all: Rc<Connections>,
    stage: Cell<Stage>,
    /// Whether a part of the next request came while this one was served.
    has_read_ahead: Cell<bool>,
    is_closing: Cell<bool>,
    close: Notify,
}

impl Connection {
    /// Records that bytes were read; at the end of the stream there are none.
    pub(crate) fn was_read(self: &Rc<Self>, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        match self.stage.get() {
            Stage::Waiting {
                awaited: Awaited::FirstRequest | Awaited::NextRequest,
                ..
            } => self.wait_for(Awaited::Head),
            Stage::Waiting { .. } => {}
            Stage::Serving => self.has_read_ahead.set(true),
        }
    }

    /// Records that the head of a request is complete, and its body is awaited.
    pub(crate) fn head_came(&self) {
        if let Stage::Waiting { ticket, .. } = self.stage.get() {
            self.all.places.borrow_mut().begin_body(ticket);
            let awaited = Awaited::Body;
            self.stage.set(Stage::Waiting { awaited, ticket });
        }
    }

    /// Records that a request is complete.
    pub(crate) fn request_came(&self) {
        self.end_wait();
    }

    /// Records that the response to a request is being sent, and the next one is awaited.
    pub(crate) fn answered(self: &Rc<Self>) {
        self.wait_for(match self.has_read_ahead.replace(false) {
            true => Awaited::Head,
            false => Awaited::NextRequest,
        });
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn close_requested(&self) {
        let requested = self.close.notified();
        if !self.is_closing.get() {
            requested.await;
        }
    }

    /// Whether the connection is to be closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// What the host awaits on the connection; none while a request is served.
    pub(crate) fn awaited(&self) -> Option<Awaited> {
        match self.stage.get() {
            Stage::Waiting { awaited, .. } => Some(awaited),
            Stage::Serving => None,
        }
    }

    /// Whether a request is being received or served, which has to be answered first.
    pub(crate) fn has_request(&self) -> bool {
        matches!(self.awaited(), None | Some(Awaited::Body))
    }

    fn wait_for(self: &Rc<Self>, awaited: Awaited) {
        self.end_wait();
        let now = self.all.clock.now();
        let ticket = self.all.places.borrow_mut().begin(awaited, now);
        let mut waiting = self.all.waiting.borrow_mut();
        waiting.insert(ticket, Rc::downgrade(self));
        self.stage.set(Stage::Waiting { awaited, ticket });
        self.all.began_to_wait.notify_waiters();
    }

    fn end_wait(&self) {
        if let Stage::Waiting { ticket, .. } = self.stage.replace(Stage::Serving) {
            self.all.end_wait(ticket);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.end_wait();
        self.all.open.set(self.all.open.get() - 1);
    }
}
